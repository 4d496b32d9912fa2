//! The bound on how far a customer may exceed its token bucket, whatever happens to the counter.
//!
//! The derivation is in docs/design.md. Each term bounds the units that the counter does not account for,
//! from one cause: units that gateways admit locally, the level above the burst that has not expired yet,
//! units lost in the restart of a gateway, and units lost when the counter is emptied.

/// Fraction of the burst by which the level at the counter may exceed the burst before the excess expires
/// (the policy's `EXPIRY_SLACK_FRACTION`). The same fraction bounds the units lost when a counter
/// is emptied: those added after a gateway last read it, and a drop too small to be detected
/// (`COUNT_RESET_FRACTION`).
const EXPIRY_SLACK_FRACTION: f64 = 0.5;
/// Number of fallback limits that the counter may miss for each restart of a gateway: the units that the
/// gateway had not added yet, and those that it may admit again after the restart.
const FALLBACK_LIMITS_PER_RESTART: f64 = 2.0;

/// The inputs of the bound for one customer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OvershootBound {
    /// The bucket's burst, in units.
    pub burst: f64,
    /// Number of gateway instances that serve the customer.
    pub instances: f64,
    /// Size of the customer's largest request, in units.
    pub largest_request: f64,
}

impl OvershootBound {
    /// Units that one gateway may admit before it must add them to the counter: its share of the burst, but
    /// at least one request.
    fn fallback_limit(&self) -> f64 {
        (self.burst / self.instances.max(1.0)).max(self.largest_request)
    }

    /// Maximum number of units admitted beyond the bucket if gateways restart `restarts` times and the
    /// counter loses its data `counter_losses` times. Counter outages add no term: units admitted during one
    /// are added to the counter afterwards.
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
