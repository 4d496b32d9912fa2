//! Subsetting: the backends that a gateway prefers as long as any of them is available.
//!
//! With a subset a gateway observes a few backends often instead of all of them rarely, and opens few
//! connections. A subset is a contiguous range of the sorted list of running backends; the subsets of a fleet
//! together cover all backends evenly.
//!
//! Inputs: the index of this gateway, the number of gateways and of running backends.

use super::Gateway;
use super::tuning::{GATEWAYS_PER_BACKEND, MAX_SUBSET_SIZE, MIN_GATEWAYS_PER_BACKEND, MIN_SUBSET_SIZE};

/// The fractional part of the golden ratio.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_894_9;

/// Returns where the subset of a gateway begins, as a fraction of the list of running backends. The
/// fractional parts of multiples of the golden ratio are evenly spread, however many there are; with random
/// positions some backends would be in the subsets of only half as many gateways.
pub(super) fn subset_start(gateway: u32) -> f64 {
    (f64::from(gateway) * GOLDEN_RATIO_FRACTION).fract()
}

/// The order in which a search visits the running backends: first the subset, from a random position in it,
/// then the others.
#[derive(Debug, Clone, Copy)]
pub(super) struct SearchOrder {
    /// Number of running backends.
    pub(super) running: usize,
    /// Number of backends in the subset.
    pub(super) subset: usize,
    /// Position in the list at which the subset begins.
    start: usize,
    /// Position in the subset at which the search begins.
    first: usize,
}

impl SearchOrder {
    /// Returns the position in the list of running backends that the search visits at `step`, from 0.
    pub(super) fn position(&self, step: usize) -> usize {
        let offset = if step < self.subset { (self.first + step) % self.subset } else { step };
        (self.start + offset) % self.running
    }
}

impl Gateway {
    /// Returns the order of a new search, which begins at a random position.
    pub(super) fn search_order(&mut self) -> SearchOrder {
        let (running, subset) = (self.backends.running.len(), self.subset_size());
        let start = (self.subset_start * running as f64) as usize;
        let first = (self.random_fraction() * subset as f64) as usize;
        SearchOrder { running, subset, start, first }
    }

    /// Returns the number of backends in the subset: so many that [`GATEWAYS_PER_BACKEND`] gateways share
    /// each backend, but at most [`MAX_SUBSET_SIZE`] as long as [`MIN_GATEWAYS_PER_BACKEND`] still share it.
    fn subset_size(&self) -> usize {
        let (running, gateways) = (self.backends.running.len(), self.settings.instances as usize);
        let limit = MAX_SUBSET_SIZE.max(MIN_GATEWAYS_PER_BACKEND * running / gateways);
        let shared = (GATEWAYS_PER_BACKEND * running / gateways).min(limit);
        shared.max(MIN_SUBSET_SIZE).min(running)
    }
}
