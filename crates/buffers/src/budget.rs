//! A bound on the total memory of the buffers of one kind.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

/// The budget has less memory left than a buffer needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the memory budget for buffers is exhausted")]
pub struct BudgetExhausted;

/// The state of a budget, for logs and metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetUsage {
    /// Bytes that may be granted in total.
    pub capacity: usize,
    /// Bytes that are granted at present.
    pub used: usize,
    /// The most bytes that were granted at the same time.
    pub peak: usize,
    /// Number of permits that were refused.
    pub refused: u64,
}

#[derive(Debug)]
struct State {
    capacity: usize,
    used: AtomicUsize,
    peak: AtomicUsize,
    refused: AtomicU64,
}

/// A limit on the total number of bytes of all buffers of one kind. Clones share the limit.
#[derive(Debug, Clone)]
pub struct ByteBudget(Arc<State>);

impl ByteBudget {
    /// Creates a budget of `capacity` bytes.
    pub fn new(capacity: usize) -> Self {
        let (used, peak, refused) = (AtomicUsize::new(0), AtomicUsize::new(0), AtomicU64::new(0));
        Self(Arc::new(State { capacity, used, peak, refused }))
    }

    /// Grants `bytes`. To be called before the memory is allocated.
    ///
    /// # Errors
    /// The budget is exhausted.
    pub fn grant(&self, bytes: usize) -> Result<BytePermit, BudgetExhausted> {
        let state = &*self.0;
        let grow = |used: usize| used.checked_add(bytes).filter(|used| *used <= state.capacity);
        match state.used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, grow) {
            Ok(used) => {
                state.peak.fetch_max(used + bytes, Ordering::Relaxed);
                Ok(BytePermit { budget: self.clone(), bytes })
            }
            Err(_) => {
                state.refused.fetch_add(1, Ordering::Relaxed);
                Err(BudgetExhausted)
            }
        }
    }

    /// What is granted at present, and was so far.
    pub fn usage(&self) -> BudgetUsage {
        BudgetUsage {
            capacity: self.0.capacity,
            used: self.0.used.load(Ordering::Relaxed),
            peak: self.0.peak.load(Ordering::Relaxed),
            refused: self.0.refused.load(Ordering::Relaxed),
        }
    }
}

/// Bytes that a budget has granted. They return to the budget on drop, so the permit must be kept with the memory and
/// dropped after it.
#[derive(Debug)]
pub struct BytePermit {
    budget: ByteBudget,
    bytes: usize,
}

impl Drop for BytePermit {
    fn drop(&mut self) {
        self.budget.0.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
