//! The fallback limit: what a gateway grants a customer on its own while the count is not known.
//!
//! The limit is an even share of rate and burst, less the units that the gateway has spent without a lease,
//! which stay deducted until they are on the count. A share below one request is raised to one request;
//! otherwise a small customer would hardly be served. Under a ceiling the headroom decides about such a
//! share.
//!
//! Inputs: the plan, the number of gateways that serve the customer, the units of the request.

use super::Gateway;
use super::customer::Customer;
use super::fractional_share::is_fractional;
use crate::interface::{CustomerId, Plan, Time};

impl Customer {
    /// Returns the units that the fallback limit holds for a request of `units`.
    fn fallback_level(&mut self, now: Time, plan: &Plan, units: f64) -> f64 {
        let rate = self.even_share(plan.rate);
        let burst = self.even_share(plan.burst).max(units);
        self.fallback.refill(now, rate, burst - self.remaining_uncounted(now, rate))
    }

    /// Returns whether the fallback limit is full for requests of up to `units`, or the plan has none.
    pub(super) fn has_full_fallback(&self, now: Time, plan: &Plan, units: f64) -> bool {
        let rate = self.even_share(plan.rate);
        let level = self.fallback.level + rate * (now - self.fallback.at);
        let is_full = level >= self.even_share(plan.burst).max(units);
        plan.rate <= 0.0 || is_full && self.remaining_uncounted(now, rate) <= 0.0
    }

    /// Returns the uncounted units that a refill at `rate` has not made up for yet.
    fn remaining_uncounted(&self, now: Time, rate: f64) -> f64 {
        (self.uncounted.units - rate * (now - self.uncounted.since)).max(0.0)
    }

    /// Refills the fallback limit without a bound, before it is set from a known level.
    pub(super) fn refill_fallback(&mut self, now: Time, plan: &Plan) {
        self.fallback.refill(now, self.even_share(plan.rate), f64::INFINITY);
    }

    /// Lowers the fallback limit to this gateway's share of a level that may not yet include the units that
    /// other gateways have spent.
    pub(super) fn cap_fallback(&mut self, level: f64) {
        self.fallback.level = self.fallback.level.min(self.even_share(level));
    }

    /// Sets the fallback limit to this gateway's share of a known level, less the units spent during the
    /// call, which the level does not include.
    pub(super) fn set_fallback(&mut self, level: f64) {
        self.fallback.level = self.even_share(level) - self.uncounted.units.max(0.0);
    }
}

impl Gateway {
    /// Returns whether the fallback limit covers a request of `units`.
    pub(super) fn fallback_covers(&mut self, customer_id: &CustomerId, plan: &Plan, units: f64) -> bool {
        let customer = self.customers.existing(customer_id);
        let covers = customer.fallback_level(self.now, plan, units) >= units;
        if plan.ceiling_rate > 0.0 {
            let fractional = is_fractional(plan, customer.instances, units);
            (fractional || covers) && self.ceiling_covers(customer_id, plan, units)
        } else {
            covers
        }
    }
}
