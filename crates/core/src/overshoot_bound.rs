//! The bound on how far a customer may exceed its token bucket, whatever happens to the counter.
//!
//! The derivation is in docs/design.md. Each term is the most that one thing which the counter does not know
//! can hide: the units that gateways spend locally, what may stand above the burst before it expires, what a
//! restarted gateway forgets, and what an emptied counter forgets.

/// Part of the burst that may stand above it at the counter before it expires (`EXPIRY_SLACK_FRACTION` of the
/// decisions). As much is lost when a counter is emptied: units added after a gateway last read it, and a drop
/// too small to be noticed (`COUNT_RESET_FRACTION`).
const EXPIRY_SLACK_FRACTION: f64 = 0.5;
/// Fallback limits that one restarted gateway can hide: its uncounted units, and those it may admit anew.
const FALLBACK_LIMITS_PER_RESTART: f64 = 2.0;

/// The inputs of the bound for one customer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OvershootBound {
    /// The bucket's burst, in units.
    pub burst: f64,
    /// Gateway instances that serve the customer.
    pub instances: f64,
    /// Units of the customer's largest request.
    pub largest_request: f64,
}

impl OvershootBound {
    /// Units that one gateway may admit before it has to add them to the counter: its part of the burst, one
    /// request at least.
    fn fallback_limit(&self) -> f64 {
        (self.burst / self.instances.max(1.0)).max(self.largest_request)
    }

    /// Most units beyond the bucket after `restarts` of gateways and `counter_losses` of counter contents.
    /// Counter outages do not appear: what is admitted during one is added to the counter afterwards.
    pub fn max_excess(&self, restarts: u32, counter_losses: u32) -> f64 {
        let fallback_limits = self.fallback_limit() * self.instances.max(1.0);
        let slack = EXPIRY_SLACK_FRACTION * self.burst;
        fallback_limits
            + slack
            + f64::from(restarts) * FALLBACK_LIMITS_PER_RESTART * self.fallback_limit()
            + f64::from(counter_losses) * slack
    }
}

#[cfg(test)]
mod tests;
