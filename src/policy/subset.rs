//! The subset: the backends that a gateway prefers while any of them may be sent to.
//!
//! A gateway then observes a few backends often rather than all of them rarely, and opens few connections.
//! Subsets are runs of the sorted list of running backends; those of a fleet together cover all backends
//! evenly. Inputs: the number of this gateway, of gateways and of running backends.

use super::Gateway;
use super::tuning::{GATEWAYS_PER_BACKEND, MAX_SUBSET_SIZE, MIN_GATEWAYS_PER_BACKEND, MIN_SUBSET_SIZE};

/// The fractional part of the golden ratio.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_894_9;

/// Where in the list of running backends, from 0 to 1, the subset of a gateway begins. Multiples of the
/// golden ratio are evenly spread however many there are; random places would leave some backends to half as
/// many gateways.
pub(super) fn subset_start(gateway: u32) -> f64 {
    (f64::from(gateway) * GOLDEN_RATIO_FRACTION).fract()
}

impl Gateway {
    /// Backends in the subset: enough for [`GATEWAYS_PER_BACKEND`] to share each, but no more than
    /// [`MAX_SUBSET_SIZE`] while [`MIN_GATEWAYS_PER_BACKEND`] still do.
    pub(super) fn subset_size(&self) -> usize {
        let (running, gateways) = (self.backends.running.len(), self.settings.instances as usize);
        let limit = MAX_SUBSET_SIZE.max(MIN_GATEWAYS_PER_BACKEND * running / gateways);
        let shared = (GATEWAYS_PER_BACKEND * running / gateways).min(limit);
        shared.max(MIN_SUBSET_SIZE).min(running)
    }
}
