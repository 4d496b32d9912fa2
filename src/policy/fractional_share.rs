//! Fractional shares: customers whose burst, divided among the gateways that serve them, is below one
//! request.
//!
//! A gateway rarely calls the counter twice for such a customer, so units spent without a lease cannot be
//! reported with its own next call. Instead, each call for any such customer adds a proportional estimate of
//! the units that the gateway spent for all of them; summed over all gateways, the reported total is right.
//! Units spent longer ago than the refill of a burst takes are dropped, as the refill has covered them.

use super::stable_hash::hash_fraction;
use super::token_bucket::DecayingSum;
use super::tuning::FRACTIONAL_SHARE_START_FRACTION;
use crate::interface::{CustomerId, Plan, Time};

/// Returns whether the burst divided among `instances` gateways is below `units`.
pub(super) fn is_fractional(plan: &Plan, instances: u32, units: f64) -> bool {
    plan.burst < f64::from(instances) * units
}

/// Returns whether this gateway admits one request of a new customer although its share is fractional. The
/// result is the same after a restart, so that restarts do not let further gateways admit one.
pub(super) fn admits_first_request(customer: &CustomerId, instance: u32) -> bool {
    hash_fraction(&[customer.as_bytes(), &instance.to_le_bytes()]) < FRACTIONAL_SHARE_START_FRACTION
}

/// Units of all customers with fractional shares in one plan, decaying over the time of a burst's refill.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct FractionalShares {
    /// Spent without a lease.
    uncounted: DecayingSum,
    /// Requested by calls to the counter.
    requested: DecayingSum,
}

impl FractionalShares {
    /// Records units that were spent without a lease.
    pub(super) fn record_uncounted(&mut self, now: Time, units: f64, plan: &Plan) {
        self.uncounted.add(now, units, plan.burst / plan.rate);
    }

    /// Records that a call for a fractional share requests `units`. Returns the units that the call adds for
    /// those spent without a lease.
    pub(super) fn record_request(&mut self, now: Time, units: f64, plan: &Plan) -> f64 {
        self.add_requested(now, units, plan);
        (units * self.uncounted.sum / self.requested.sum).min(plan.burst)
    }

    /// Records `requested` units and lets both sums decay; 0 units only let them decay.
    pub(super) fn add_requested(&mut self, now: Time, requested: f64, plan: &Plan) {
        let memory = plan.burst / plan.rate;
        self.requested.add(now, requested, memory);
        self.uncounted.add(now, 0.0, memory);
    }
}
