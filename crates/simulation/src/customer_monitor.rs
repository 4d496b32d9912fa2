//! Compares what one customer is served with what a single gateway that sees all its requests would serve.

use crate::outcome::CustomerOutcome;
use crate::schedule::Quota;

/// A token bucket. A level below zero is what the customer was served beyond its quota.
#[derive(Debug, Clone, Copy)]
struct TokenBucket {
    quota: Quota,
    level: f64,
    refilled_at: f64,
}

impl TokenBucket {
    fn full(quota: Quota, now: f64) -> Self {
        Self { quota, level: quota.burst, refilled_at: now }
    }

    fn refill(&mut self, now: f64) -> f64 {
        let refilled = self.level + self.quota.rate * (now - self.refilled_at);
        self.level = refilled.min(self.quota.burst);
        self.refilled_at = now;
        self.level
    }

    /// Takes a unit, whether or not it is there; what the bucket is overdrawn by.
    fn overdraw(&mut self, now: f64) -> f64 {
        self.refill(now);
        self.level -= 1.0;
        -self.level
    }
}

/// Follows one customer's requests, of one unit each.
pub(crate) struct CustomerMonitor {
    /// Overdrawn by what was served.
    served: TokenBucket,
    /// The bucket of a single gateway.
    ideal: TokenBucket,
    ceiling: Option<TokenBucket>,
    pub outcome: CustomerOutcome,
}

impl CustomerMonitor {
    pub fn new(now: f64, quota: Quota, ceiling: Option<Quota>) -> Self {
        Self {
            served: TokenBucket::full(quota, now),
            ideal: TokenBucket::full(quota, now),
            ceiling: ceiling.map(|ceiling| TokenBucket::full(ceiling, now)),
            outcome: CustomerOutcome::default(),
        }
    }

    /// The customer sent a request.
    pub fn handle_request(&mut self, now: f64) {
        self.outcome.requests += 1;
        if self.ideal.refill(now) >= 1.0 {
            self.ideal.level -= 1.0;
            self.outcome.due += 1;
        }
    }

    /// A request of the customer was forwarded.
    pub fn handle_forwarded(&mut self, now: f64) {
        self.outcome.served += 1;
        let overshoot = self.served.overdraw(now);
        if overshoot > self.outcome.overshoot {
            (self.outcome.overshoot, self.outcome.overshoot_at) = (overshoot, now);
        }
        if let Some(ceiling) = &mut self.ceiling {
            self.outcome.ceiling_overshoot = self.outcome.ceiling_overshoot.max(ceiling.overdraw(now));
        }
    }
}
