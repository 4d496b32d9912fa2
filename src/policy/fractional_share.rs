//! Fractional shares: customers whose burst, divided among the gateways that serve them, is under one
//! request.
//!
//! A gateway rarely calls twice for such a customer, so what it spends without a lease cannot wait for its
//! own next call. Instead every call for such a customer adds a proportional estimate of what the gateway
//! spent for all of them, and the sum over all gateways is right. What is older than a burst's refill is
//! forgotten: the refill has paid for it.

use super::stable_hash::hash_fraction;
use super::token_bucket::DecayingSum;
use super::tuning::FRACTIONAL_SHARE_START_FRACTION;
use crate::interface::{CustomerId, Plan, Time};

/// Whether the burst divided among `instances` gateways is under `units`.
pub(super) fn is_fractional(plan: &Plan, instances: u32, units: f64) -> bool {
    plan.burst < f64::from(instances) * units
}

/// Whether this gateway admits one request of a new customer at a fractional share. The choice is the same
/// after a restart, which must not admit another one.
pub(super) fn starts_with_request(customer: &CustomerId, instance: u32) -> bool {
    hash_fraction(&[customer.as_bytes(), &instance.to_le_bytes()]) < FRACTIONAL_SHARE_START_FRACTION
}

/// Units of all customers of one plan at fractional shares, over the time of a burst's refill.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct FractionalShares {
    /// Spent without a lease.
    uncounted: DecayingSum,
    /// Requested by calls to the counter.
    requested: DecayingSum,
}

impl FractionalShares {
    /// Counts units that were spent without a lease.
    pub(super) fn record_uncounted(&mut self, now: Time, units: f64, plan: &Plan) {
        self.uncounted.add(now, units, plan.burst / plan.rate);
    }

    /// Units that a call which requests `units` at a fractional share adds for those spent without a lease.
    pub(super) fn record_request(&mut self, now: Time, units: f64, plan: &Plan) -> f64 {
        self.add_requested(now, units, plan);
        (units * self.uncounted.sum / self.requested.sum).min(plan.burst)
    }

    /// Counts `requested` units, and lets both sums decay; 0 units only let them decay.
    pub(super) fn add_requested(&mut self, now: Time, requested: f64, plan: &Plan) {
        let memory = plan.burst / plan.rate;
        self.requested.add(now, requested, memory);
        self.uncounted.add(now, 0.0, memory);
    }
}
