//! Leases: when a gateway requests units of a customer's quota from the counter, how many, and how the
//! requests that wait for them are decided.
//!
//! A call adds to the customer's count the units that the waiting requests need, a second of recent demand,
//! and the units that the gateway has spent without a lease. The total in the response determines how much of
//! that is granted (`settlement`). Requests wait for at most 0.4 of the counter's timeout, which is 20 ms
//! with the default timeout; then the fallback limit decides.
//!
//! Inputs: the customer's recent demand and last known level (units), the status of counter calls, the
//! counter's timeout in seconds.

use super::Gateway;
use super::counter::Purpose;
use super::customer::Customer;
use super::fractional_share::is_fractional;
use super::quota::Funding;
use super::timers::Timer;
use super::tuning::{
    COUNTER_WAIT_FRACTION, DEMAND_MEMORY_SECONDS, LEASE_DEMAND_SECONDS, LEVEL_REFRESH_SECONDS,
};
use super::window::Window;
use crate::interface::{CustomerId, Plan, RequestId, Status, Time};

/// Units that a call for a lease adds to the count. Any units that the call adds beyond these are the
/// estimate for fractional shares.
#[derive(Debug, Clone, Copy)]
pub(super) struct LeaseRequest {
    /// Units to be leased.
    pub(super) requested: f64,
    /// Units spent earlier without a lease.
    pub(super) uncounted: f64,
}

/// A call for a lease that is in flight.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingCall {
    /// The token of the timer that ends the wait for it.
    token: u64,
    /// No request waits for it: the wait has ended, or there was none.
    wait_ended: bool,
}

impl Customer {
    /// Returns whether a call is in flight that a request may wait for.
    pub(super) fn may_wait(&self) -> bool {
        self.pending_call.is_some_and(|call| !call.wait_ended)
    }

    /// Returns the units to request when the waiting requests need `needed` units. Spare units for the recent
    /// demand are added, up to this gateway's share of the level, but only whole ones: one unused unit at
    /// each gateway would be most of a small burst.
    fn lease_units(&self, now: Time, needed: f64, plan: &Plan) -> f64 {
        let demand = self.demand.sum / DEMAND_MEMORY_SECONDS;
        let level = self.level.map_or(plan.burst, |mut level| level.refill(now, plan.rate, plan.burst));
        let spare = (demand * LEASE_DEMAND_SECONDS).min(self.even_share(level));
        ((needed - self.lease).ceil() + spare.floor()).max(0.0)
    }
}

impl Gateway {
    /// Calls the counter for a lease that covers the waiting requests.
    pub(super) fn request_lease(&mut self, customer_id: &CustomerId, plan: &Plan) {
        let window = Window::at(self.now, customer_id, plan).index;
        let customer = self.customers.existing(customer_id);
        let needed: f64 = customer.waiting.iter().map(|id| self.requests[id].request.units).sum();
        let requested = customer.lease_units(self.now, needed, plan);
        let shares = &mut self.fractional_shares[customer.plan];
        let estimate = if is_fractional(plan, customer.instances, needed) {
            shares.record_request(self.now, needed, plan)
        } else {
            shares.add_requested(self.now, 0.0, plan);
            0.0
        };
        let uncounted = self.take_uncounted(customer_id, plan);
        let purpose = Purpose::Lease(LeaseRequest { requested, uncounted });
        self.add_to_count(customer_id, window, requested + uncounted + estimate, purpose, plan);
        let wait = COUNTER_WAIT_FRACTION * self.settings.counter_timeout;
        let token = self.set_timer(self.now + wait, Timer::LeaseWait(customer_id.clone()));
        let customer = self.customers.existing(customer_id);
        customer.lease_window = window;
        customer.pending_call = Some(PendingCall { token, wait_ended: false });
    }

    /// Calls the counter while it is unavailable, to report units that were spent without a lease or, while
    /// calls fail, to probe whether it responds. No request waits for this call.
    pub(super) fn report_uncounted(&mut self, customer_id: &CustomerId, plan: &Plan) {
        let window = Window::at(self.now, customer_id, plan).index;
        let customer = self.customers.existing(customer_id);
        let nothing_to_report = !self.counter.is_failing() && customer.uncounted.units <= 0.0;
        if nothing_to_report || customer.pending_call.is_some() {
            return;
        }
        let uncounted = self.take_uncounted(customer_id, plan);
        let purpose = Purpose::Lease(LeaseRequest { requested: 0.0, uncounted });
        self.add_to_count(customer_id, window, uncounted, purpose, plan);
        let token = self.timers.next_token();
        let customer = self.customers.existing(customer_id);
        customer.pending_call = Some(PendingCall { token, wait_ended: true });
    }

    /// Takes the uncounted units that the next call has to report. After an outage they are reduced by this
    /// gateway's share of the refill beyond one burst: the count credits at most one burst for that time.
    /// Returns 0 while calls fail: units of a call that was counted but got no response would be counted
    /// twice.
    fn take_uncounted(&mut self, customer_id: &CustomerId, plan: &Plan) -> f64 {
        let customer = self.customers.existing(customer_id);
        if self.counter.is_failing() {
            return 0.0;
        }
        let uncounted = std::mem::take(&mut customer.uncounted);
        let outage_end = self.counter.returned_at() - LEVEL_REFRESH_SECONDS;
        let refilled = plan.rate * (outage_end - uncounted.since) - plan.burst;
        (uncounted.units - customer.even_share(refilled.max(0.0))).max(0.0)
    }

    /// Handles the end of a call to the counter: settles its total and decides the requests that waited for
    /// it. `total` is valid only with [`Status::Ok`].
    pub(super) fn counter_response(&mut self, counter: u64, status: Status, total: f64, elapsed: f64) {
        let Some(call) = self.counter.finish(counter) else { return };
        self.counter.observe(self.now, status, elapsed);
        let Some(customer) = self.customers.find(&call.customer) else { return };
        let plan = self.settings.plans[customer.plan].clone();
        match call.purpose {
            _ if status == Status::Ok => self.apply_total(&call, total, &plan),
            // Units stay uncounted unless they were certainly added: a customer must not gain by a lost
            // response.
            Purpose::Lease(lease) if lease.uncounted > 0.0 && status != Status::Error => {
                customer.uncounted.add(self.now, lease.uncounted);
            }
            _ => {}
        }
        if let Purpose::Lease(_) = call.purpose {
            let customer = self.customers.existing(&call.customer);
            customer.pending_call = None;
            let waiting = std::mem::take(&mut customer.waiting);
            self.admit_waiting(waiting, status == Status::Ok, &plan);
        }
    }

    /// Ends the wait for the lease that was requested with this token, so that a slow counter does not delay
    /// requests.
    pub(super) fn end_lease_wait(&mut self, customer_id: &CustomerId, token: u64) {
        let Some(customer) = self.customers.find(customer_id) else { return };
        let Some(call) = customer.pending_call.as_mut().filter(|call| call.token == token) else { return };
        call.wait_ended = true;
        let plan = self.settings.plans[customer.plan].clone();
        let waiting = std::mem::take(&mut customer.waiting);
        self.admit_waiting(waiting, false, &plan);
    }

    /// Decides requests that waited for a lease. `total_known` tells whether the call returned the count's
    /// total.
    fn admit_waiting(
        &mut self,
        waiting: impl IntoIterator<Item = RequestId>,
        total_known: bool,
        plan: &Plan,
    ) {
        for id in waiting {
            let Some(open) = self.requests.get(&id).filter(|open| !open.closed) else { continue };
            let units = open.request.units;
            if self.customers.existing(&open.request.customer).lease >= units {
                self.spend(&id, units, Funding::Lease);
            } else if total_known {
                self.over_quota(&id, plan);
            } else {
                self.admit_by_fallback(&id, plan);
            }
        }
    }
}
