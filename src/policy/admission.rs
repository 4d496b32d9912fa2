//! Admission: the checks of a new request, in order.
//!
//! 1. A request is rejected at once if it is invalid, if its deadline is too close to decide it in time, or
//!    if the maximum number of open requests in the settings is reached.
//! 2. It is rejected if the gateway's `concurrency_limit` is reached, or if its customer is new and there is
//!    no place for one more (`customer`).
//! 3. A plan without a rate has no quota: only the customer's number of attempts in flight is checked
//!    (`spend` in `quota`). Otherwise the customer's quota decides (`admit` in `quota`).
//!
//! Inputs: the request, its deadline (seconds on the caller's clock), the settings.

use super::Gateway;
use super::customer::Customer;
use super::fractional_share::admits_first_request;
use super::quota::Funding;
use super::request::OpenRequest;
use super::token_bucket::TokenBucket;
use super::tuning::{
    ADMISSION_EVENT_INTERVALS, ADMISSION_LEASE_WAITS, COUNTER_WAIT_FRACTION, DEMAND_MEMORY_SECONDS,
};
use crate::interface::{Plan, Reason, Request};

impl Gateway {
    /// Handles a new request: it is sent, waits for a lease, or is rejected. A request whose id is already
    /// open is ignored.
    pub(super) fn accept_request(&mut self, request: Request) {
        if self.requests.contains_key(&request.id) {
            return;
        }
        let rejection = self.immediate_rejection(&request);
        let id = request.id.clone();
        self.requests.insert(id.clone(), OpenRequest::new(request.clone(), self.now));
        if let Some(reason) = rejection {
            return self.respond_locally(&id, 0.0, reason);
        }
        if !self.customers.has_place(self.now, &request.customer, &self.settings) {
            return self.respond_locally(&id, self.settings.max_retry_after, Reason::Overload);
        }
        let plan = self.settings.plans[request.plan].clone();
        self.record_demand(&request, &plan);
        if !self.has_capacity(1.0) {
            self.respond_locally(&id, self.settings.max_retry_after, Reason::Overload);
        } else if plan.rate <= 0.0 {
            self.spend(&id, 0.0, Funding::Lease);
        } else {
            self.admit(&id, &plan);
        }
    }

    /// Returns why a request is rejected regardless of its customer's quota, or `None` if it is not.
    fn immediate_rejection(&self, request: &Request) -> Option<Reason> {
        let settings = &self.settings;
        let valid = request.class < settings.classes.len()
            && request.plan < settings.plans.len()
            && request.units.is_finite()
            && request.units >= 0.0;
        let decided_by = self.now
            + ADMISSION_LEASE_WAITS * COUNTER_WAIT_FRACTION * settings.counter_timeout
            + ADMISSION_EVENT_INTERVALS * settings.event_interval;
        let in_time = request.deadline > decided_by;
        if !valid {
            Some(Reason::Invalid)
        } else if !in_time {
            Some(Reason::TooLate)
        } else if self.requests.len() >= settings.max_open_requests as usize {
            Some(Reason::TooManyOpenRequests)
        } else {
            None
        }
    }

    /// Adds the units of a request to its customer's demand. A new customer is added.
    fn record_demand(&mut self, request: &Request, plan: &Plan) {
        let (instance, instances) = (self.settings.instance, self.settings.instances);
        let customer_instances = request.customer_instances.clamp(1, instances);
        let now = self.now;
        let new_customer = || Customer {
            fallback: TokenBucket {
                level: initial_fallback(request, plan, customer_instances, instance),
                at: now,
            },
            ..Customer::default()
        };
        let customer = self.customers.find_or_insert_with(&request.customer, new_customer);
        customer.plan = request.plan;
        customer.instances = customer_instances;
        customer.position = (instance + instances - request.first_instance % instances) % instances;
        customer.last_used = now;
        customer.demand.add(now, request.units, DEMAND_MEMORY_SECONDS);
    }
}

/// Returns the initial fallback limit of a new customer: this gateway's share of the burst. If that is below
/// one request, `FRACTIONAL_SHARE_START_FRACTION` of the gateways raise it to one request. Under a
/// ceiling the limit is 0, as a gateway that has restarted does not know how much it spent before.
fn initial_fallback(request: &Request, plan: &Plan, customer_instances: u32, instance: u32) -> f64 {
    if plan.ceiling_rate > 0.0 {
        return 0.0;
    }
    let one_request = if admits_first_request(&request.customer, instance) { request.units } else { 0.0 };
    (plan.burst / f64::from(customer_instances)).max(one_request)
}
