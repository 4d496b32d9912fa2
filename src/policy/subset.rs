//! The servers that a gateway keeps to while any of them may be sent to: it hears of few often, not of all
//! rarely, and opens few connections. Together the subsets of a fleet cover all servers evenly.

use super::Gateway;
use super::tuning::*;

/// The fractional part of the golden ratio.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_894_9;

/// Where among the running servers, from 0 to 1, a gateway's subset begins. The multiples of the golden ratio
/// are evenly spread however many there are; places of chance leave some servers to half as many gateways.
pub(super) fn subset_start(gateway: u32) -> f64 {
    (f64::from(gateway) * GOLDEN_RATIO_FRACTION).fract()
}

impl Gateway {
    /// Servers in the subset: enough for [`SUBSET_GATEWAYS`] to meet at each, but not many more than a
    /// gateway's own traffic keeps in use, while [`SUBSET_GATEWAYS_LEAST`] still meet.
    pub(super) fn subset_size(&self) -> usize {
        let (running, gateways) = (self.running.len(), self.settings.instances as usize);
        let most = SUBSET_MOST.max(SUBSET_GATEWAYS_LEAST * running / gateways);
        let shared = (SUBSET_GATEWAYS * running / gateways).min(most);
        shared.max(SUBSET_LEAST).min(running)
    }
}
