//! Compares the requests that the gateways serve to a customer with those that a single gateway would serve if it
//! received all requests of the customer.

use crate::outcome::CustomerOutcome;
use crate::schedule::Quota;

/// A token bucket. A level below zero is the number of units that the customer was served beyond its quota.
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

    /// Takes a unit even from an empty bucket, and returns by how many units the bucket is overdrawn; a
    /// negative number is the remaining level.
    fn overdraw(&mut self, now: f64) -> f64 {
        self.refill(now);
        self.level -= 1.0;
        -self.level
    }
}

/// Records one customer's requests, each of one unit.
pub(crate) struct CustomerMonitor {
    /// The quota; every served request takes a unit, so that the bucket is overdrawn by the overshoot.
    served: TokenBucket,
    /// The quota as a single gateway would enforce it.
    ideal: TokenBucket,
    /// The hard ceiling; every served request takes a unit, as with the quota.
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

    /// Records that the customer sent a request.
    pub fn handle_request(&mut self, now: f64) {
        self.outcome.requests += 1;
        if self.ideal.refill(now) >= 1.0 {
            self.ideal.level -= 1.0;
            self.outcome.due += 1;
        }
    }

    /// Records that a request of the customer was forwarded to a backend.
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
