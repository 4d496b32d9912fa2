//! The subset: the backends that a gateway prefers while any of them may be sent to.
//!
//! A gateway then observes a few backends often rather than all of them rarely, and opens few connections.
//! Subsets are runs of the sorted list of running backends; those of a fleet together cover all backends
//! evenly.
//!
//! Inputs: the number of this gateway, of gateways and of running backends.

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

/// The order in which a search passes through the running backends: the subset first, from a random place in
/// it, then the others.
#[derive(Debug, Clone, Copy)]
pub(super) struct SearchOrder {
    /// Number of running backends.
    pub(super) running: usize,
    /// Number of backends in the subset.
    pub(super) subset: usize,
    /// Where the subset begins.
    start: usize,
    /// Where in the subset the search begins.
    first: usize,
}

impl SearchOrder {
    /// The place in the list of running backends that the search visits as number `step`, from 0.
    pub(super) fn place(&self, step: usize) -> usize {
        let offset = if step < self.subset { (self.first + step) % self.subset } else { step };
        (self.start + offset) % self.running
    }
}

impl Gateway {
    /// A new search, with a random place to begin at.
    pub(super) fn search_order(&mut self) -> SearchOrder {
        let (running, subset) = (self.backends.running.len(), self.subset_size());
        let start = (self.subset_start * running as f64) as usize;
        let first = (self.draw() * subset as f64) as usize;
        SearchOrder { running, subset, start, first }
    }

    /// Backends in the subset: enough for [`GATEWAYS_PER_BACKEND`] to share each, but no more than
    /// [`MAX_SUBSET_SIZE`] while [`MIN_GATEWAYS_PER_BACKEND`] still do.
    fn subset_size(&self) -> usize {
        let (running, gateways) = (self.backends.running.len(), self.settings.instances as usize);
        let limit = MAX_SUBSET_SIZE.max(MIN_GATEWAYS_PER_BACKEND * running / gateways);
        let shared = (GATEWAYS_PER_BACKEND * running / gateways).min(limit);
        shared.max(MIN_SUBSET_SIZE).min(running)
    }
}
