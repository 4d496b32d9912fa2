//! The retry budget: how many retries and hedged requests may be sent beside the first attempts.
//!
//! Each first attempt earns [`RETRIES_PER_REQUEST`]; a retry or a hedged request costs one. When many
//! attempts fail, the retries stay a small fraction of the load and do not feed an overload.

use super::tuning::{MAX_RETRY_BUDGET, RETRIES_PER_REQUEST};

/// Retries and hedged requests that may be sent.
#[derive(Debug)]
pub(super) struct RetryBudget(f64);

impl Default for RetryBudget {
    fn default() -> Self {
        Self(MAX_RETRY_BUDGET)
    }
}

impl RetryBudget {
    /// Credits the first attempt of a request.
    pub(super) fn deposit(&mut self) {
        self.0 = (self.0 + RETRIES_PER_REQUEST).min(MAX_RETRY_BUDGET);
    }

    /// Whether one more may be sent.
    pub(super) fn allows_one(&self) -> bool {
        self.0 >= 1.0
    }

    /// Debits one that was sent.
    pub(super) fn withdraw(&mut self) {
        self.0 -= 1.0;
    }
}
