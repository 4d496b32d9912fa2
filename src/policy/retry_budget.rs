//! The retry budget: how many retries and hedged requests may be sent in addition to the first attempts.
//!
//! Each first attempt adds [`RETRIES_PER_REQUEST`] to the budget; a retry or a hedged request takes 1. So
//! when many attempts fail, retries stay a small fraction of the load and do not amplify an overload.

use super::tuning::{MAX_RETRY_BUDGET, RETRIES_PER_REQUEST};

/// The number of retries and hedged requests that may be sent now.
#[derive(Debug)]
pub(super) struct RetryBudget(f64);

impl Default for RetryBudget {
    fn default() -> Self {
        Self(MAX_RETRY_BUDGET)
    }
}

impl RetryBudget {
    /// Adds the credit of a first attempt.
    pub(super) fn deposit(&mut self) {
        self.0 = (self.0 + RETRIES_PER_REQUEST).min(MAX_RETRY_BUDGET);
    }

    /// Returns whether one more retry or hedged request may be sent.
    pub(super) fn allows_one(&self) -> bool {
        self.0 >= 1.0
    }

    /// Deducts a retry or hedged request that was sent.
    pub(super) fn withdraw(&mut self) {
        self.0 -= 1.0;
    }
}
