//! Quota: how the units of a request are paid for, if the customer's plan has a rate.
//!
//! A request uses the first of these that is available: the lease; a call for a lease, in flight or new; the
//! fallback limit if no call can be made. A request beyond the quota is rejected at once with a Retry-After,
//! unless the plan's over-quota weight exceeds its over-quota cost, the plan has no concurrency limit, and
//! there is spare capacity. Under a ceiling it must also fit into the headroom.
//!
//! Inputs: the plan, the units of the request, the customer's last known level.

use super::Gateway;
use super::customer::Customer;
use super::fractional_share::is_fractional;
use super::tuning::{LEVEL_REFRESH_SECONDS, SPARE_CAPACITY_FRACTION, UNIT_TOLERANCE};
use super::window::Window;
use crate::interface::{CustomerId, Plan, Reason, RequestId, Time};

/// Where the units of a request are taken from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Funding {
    /// The lease, whose units are on the count already.
    Lease,
    /// The fallback limit, whose units have yet to be added to the count.
    Fallback,
}

impl Customer {
    /// Returns whether the last known level is recent and shows that a lease would not cover `units`. If the
    /// last lease was not granted in full, the gateways wait until the refill covers one request for each of
    /// them. The number of these requests is limited to half the units of a burst.
    fn level_exhausted(&self, now: Time, plan: &Plan, units: f64) -> bool {
        let recent = self.level.filter(|level| now - level.at < LEVEL_REFRESH_SECONDS);
        let Some(mut level) = recent else { return false };
        let requests =
            if self.not_fully_granted { f64::from(self.instances).min(plan.burst / 2.0) } else { 1.0 };
        let needed = requests.max(1.0) * units;
        level.refill(now, plan.rate, plan.burst) + self.lease + UNIT_TOLERANCE < needed
    }

    /// Returns the seconds until the lease and the last known level cover a request of `units`.
    fn seconds_until_covered(&self, now: Time, plan: &Plan, units: f64) -> f64 {
        let level = self.level.map_or(0.0, |level| level.level + plan.rate * (now - level.at));
        (units - (self.lease + level)).max(0.0) / plan.rate
    }
}

impl Gateway {
    /// Checks a request against the customer's quota: it is sent, waits for a lease, or is rejected.
    pub(super) fn admit(&mut self, id: &RequestId, plan: &Plan) {
        let request = &self.requests[id].request;
        let (units, customer_id) = (request.units, request.customer.clone());
        let call_allowed = self.counter.allows_call(self.now, units * plan.priority_weight);
        let customer = self.customers.existing(&customer_id);
        if customer.lease_window != Window::at(self.now, &customer_id, plan).index {
            customer.lease = 0.0; // A lease expires with its window.
        }
        if customer.lease >= units {
            return self.spend(id, units, Funding::Lease);
        }
        if customer.may_wait() {
            return customer.waiting.push_back(id.clone());
        }
        if self.counter.is_failing() || self.counter.is_unavailable(self.now) {
            if call_allowed {
                self.report_uncounted(&customer_id, plan);
            }
            return self.admit_by_fallback(id, plan);
        }
        if customer.level_exhausted(self.now, plan, units) {
            return self.over_quota(id, plan);
        }
        if customer.pending_call.is_none() && call_allowed {
            return self.admit_by_new_lease(id, &customer_id, plan, units);
        }
        self.admit_by_fallback(id, plan);
    }

    /// Calls the counter for a lease. The request waits for it, unless the customer's level is not known yet
    /// and the fallback limit covers the request.
    fn admit_by_new_lease(&mut self, id: &RequestId, customer_id: &CustomerId, plan: &Plan, units: f64) {
        let customer = self.customers.existing(customer_id);
        let unknown_level = customer.level.is_none() && !is_fractional(plan, customer.instances, units);
        customer.waiting.push_back(id.clone());
        self.request_lease(customer_id, plan);
        if unknown_level && self.fallback_covers(customer_id, plan, units) {
            let customer = self.customers.existing(customer_id);
            customer.waiting.pop_back();
            self.spend(id, units, Funding::Fallback);
        }
    }

    /// Admits a request if the fallback limit covers it; otherwise it is beyond the quota.
    pub(super) fn admit_by_fallback(&mut self, id: &RequestId, plan: &Plan) {
        let request = &self.requests[id].request;
        let (units, customer_id) = (request.units, request.customer.clone());
        if self.fallback_covers(&customer_id, plan, units) {
            self.spend(id, units, Funding::Fallback);
        } else {
            self.over_quota(id, plan);
        }
    }

    /// Rejects a request beyond the quota, or sends it if the plan's over-quota weight exceeds its over-quota
    /// cost, the plan has no concurrency limit, there is spare capacity, and the ceiling covers the request.
    pub(super) fn over_quota(&mut self, id: &RequestId, plan: &Plan) {
        let request = &self.requests[id].request;
        let (units, customer_id) = (request.units, request.customer.clone());
        let worthwhile = plan.over_quota_weight > plan.over_quota_cost && plan.max_concurrent == 0;
        let admitted = worthwhile
            && self.has_capacity(SPARE_CAPACITY_FRACTION)
            && (plan.ceiling_rate <= 0.0 || self.ceiling_covers(&customer_id, plan, units));
        let customer = self.customers.existing(&customer_id);
        if admitted {
            customer.ceiling_headroom.take(units);
            self.send_first_attempt(id);
        } else {
            let retry_after = customer.seconds_until_covered(self.now, plan, units);
            self.respond_locally(id, retry_after, Reason::Quota);
        }
    }

    /// Charges a request and sends its first attempt, or rejects it if the customer has too many attempts in
    /// flight.
    pub(super) fn spend(&mut self, id: &RequestId, units: f64, funding: Funding) {
        let request = &self.requests[id].request;
        let plan = &self.settings.plans[request.plan];
        let failing = self.counter.is_failing() || self.counter.is_unavailable(self.now);
        let customer = self.customers.existing(&request.customer);
        match funding {
            Funding::Lease => customer.lease -= units,
            Funding::Fallback => {
                customer.fallback.take(units);
                if is_fractional(plan, customer.instances, units) && !failing {
                    self.fractional_shares[customer.plan].record_uncounted(self.now, units, plan);
                } else {
                    customer.uncounted.add(self.now, units);
                }
            }
        }
        if plan.ceiling_rate > 0.0 {
            customer.ceiling_headroom.take(units);
        }
        // Each gateway gets an even share of the attempts that the plan allows in flight, but at least one.
        let max_concurrent = (plan.max_concurrent / customer.instances).max(1);
        if plan.max_concurrent == 0 || customer.attempts_in_flight < max_concurrent {
            self.send_first_attempt(id);
        } else {
            // The request is not sent. Its units are on the count or will be added to it, so they go to the
            // lease, for a later request.
            customer.lease += units;
            self.respond_locally(id, self.latency.mean, Reason::ConcurrencyLimit);
        }
    }
}
