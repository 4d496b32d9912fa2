//! The bound on how far a customer may exceed its token bucket, whatever happens to the counter.
//!
//! The derivation is in docs/design.md. Each term is the most that one thing which the counter does not know
//! can hide: the units that gateways spend locally, what may stand above the burst before it lapses, what a
//! restarted gateway forgets, and what an emptied counter forgets.

/// Part of the burst that may stand above it at the counter before it lapses (`EXPIRY_SLACK_FRACTION` of the
/// decisions). As much is lost when a counter is emptied: units added after a gateway last read it, and a drop
/// too small to be noticed (`COUNT_RESET_FRACTION`).
const LAPSE_SLACK: f64 = 0.5;
/// Local allowances that one restarted gateway can hide: the units it had not reported, and a fresh
/// allowance.
const ALLOWANCES_PER_RESTART: f64 = 2.0;

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
    /// Units that one gateway may spend locally before it has to report them: its part of the burst, one
    /// request at least.
    fn local_allowance(&self) -> f64 {
        (self.burst / self.instances.max(1.0)).max(self.largest_request)
    }

    /// Most units beyond the bucket after `restarts` of gateways and `counter_losses` of counter contents.
    /// Counter outages do not appear: what is admitted during one is added to the counter afterwards.
    pub fn max_excess(&self, restarts: u32, counter_losses: u32) -> f64 {
        let allowances = self.local_allowance() * self.instances.max(1.0);
        let slack = LAPSE_SLACK * self.burst;
        allowances
            + slack
            + f64::from(restarts) * ALLOWANCES_PER_RESTART * self.local_allowance()
            + f64::from(counter_losses) * slack
    }
}

#[cfg(test)]
mod tests;
