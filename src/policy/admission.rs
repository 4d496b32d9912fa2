//! Whether a request is let in: by its lease, a new lease, the local fallback limit, or beyond its quota.

use super::Gateway;
use super::bucket::{TokenBucket, add_decaying};
use super::customer::Customer;
use super::request::OpenRequest;
use super::tuning::*;
use super::window::{hash, window};
use crate::interface::*;

impl Gateway {
    pub(super) fn accept_request(&mut self, request: Request) {
        let id = request.id.clone();
        if self.requests.contains_key(&id) {
            return;
        }
        let (plans, classes) = (self.settings.plans.len(), self.settings.classes.len());
        let known = (request.class < classes && request.plan < plans)
            && (request.units.is_finite() && request.units >= 0.0);
        let in_time = request.deadline
            > self.now
                + 2.0 * COUNTER_WAIT_SHARE * self.settings.counter_timeout
                + 4.0 * self.settings.event_interval;
        let full = self.requests.len() >= self.settings.max_open_requests as usize;
        let (arrived, attempts) = (self.now, Vec::new());
        let copy = request.clone();
        self.requests.insert(
            id.clone(),
            OpenRequest { request: copy, arrived, attempts, over: false, streaming: false },
        );
        let turned_down =
            [(!known, Reason::Invalid), (!in_time, Reason::TooLate), (full, Reason::TooManyOpenRequests)];
        if let Some((_, reason)) = turned_down.into_iter().find(|(applies, _)| *applies) {
            return self.respond_locally(&id, 0.0, reason);
        }
        let plan = self.settings.plans[request.plan].clone();
        let spread = request.customer_instances.clamp(1, self.settings.instances);
        // Rule 5: a restarted gateway does not know what it spent under a ceiling; else one request fits.
        let place = hash(&[request.customer.as_bytes(), &self.settings.instance.to_le_bytes()]) % 1024;
        let one = if (place as f64) < THIN_SHARE_STARTS * 1024.0 { request.units } else { 0.0 };
        let level = if plan.ceiling_rate > 0.0 { 0.0 } else { (plan.burst / f64::from(spread)).max(one) };
        let new_customer =
            || Customer { fallback: TokenBucket { level, at: self.now }, ..Customer::default() };
        let customer = self.customers.entry(request.customer.clone()).or_insert_with(new_customer);
        (customer.plan, customer.spread, customer.last_used) = (request.plan, spread, self.now);
        customer.position = (self.settings.instance + self.settings.instances
            - request.first_instance % self.settings.instances)
            % self.settings.instances;
        add_decaying(&mut customer.demand, self.now, request.units, DEMAND_MEMORY);
        if !self.has_capacity(1.0) {
            return self.respond_locally(&id, self.settings.max_retry_after, Reason::Overload);
        }
        if plan.rate <= 0.0 {
            return self.spend(id, 0.0, false);
        }
        self.admit(id, &plan);
    }

    /// The ordinary path: the lease, else a new one, else refusal. While the counter is unavailable the
    /// fallback limit decides.
    pub(super) fn admit(&mut self, id: RequestId, plan: &Plan) {
        let (units, key) = (self.requests[&id].request.units, self.requests[&id].request.customer.clone());
        // Crowded calls go to the largest worth at stake: a lesser one must find a fuller bucket.
        let worth = units * plan.priority_weight;
        self.mean_worth += GAIN * (worth - self.mean_worth);
        let price = (self.mean_worth / worth.max(1e-9)).powi(2).clamp(0.2, CALLS_SAVED.0);
        let callable = self.counter_callable() && self.call_budget.level >= price;
        let customer = self.customers.get_mut(&key).expect("admitted customers are known");
        if customer.window != window(plan, &key, self.now).0 {
            customer.lease = 0.0; // It lapses with its window.
        }
        if customer.lease >= units {
            return self.spend(id, units, false);
        }
        if customer.pending_call.is_some() && !customer.call_late {
            customer.waiting.push_back(id);
            return;
        }
        // The last call failed, or none is answered: nothing is asked, and all that is spent is owed.
        if self.failing.count > 0 || self.counter_unavailable() {
            if callable {
                self.repay_uncounted(&key, plan);
            }
            return self.admit_by_fallback(id, plan);
        }
        let customer = self.customers.get_mut(&key).expect("still known");
        if let Some(mut level) = customer.level.filter(|l| self.now - l.at < REFRESH) {
            // Where an ask came away short, all its gateways wait until the refill is worth one each.
            let worth =
                if customer.partly_granted { f64::from(customer.spread).min(plan.burst / 2.0) } else { 1.0 };
            let least = worth.max(1.0) * units;
            if level.refill(self.now, plan.rate, plan.burst) + customer.lease + 1e-6 < least {
                return self.over_quota(id, plan);
            }
        }
        if customer.pending_call.is_none() && callable {
            let unseen = customer.level.is_none() && plan.burst >= f64::from(customer.spread) * units;
            customer.waiting.push_back(id.clone());
            self.request_lease(&key, plan);
            if unseen && self.fallback_covers(&key, plan, units) {
                self.customers.get_mut(&key).expect("still known").waiting.pop_back();
                self.spend(id, units, true);
            }
            return;
        }
        self.admit_by_fallback(id, plan);
    }

    /// Beyond the quota (the source's soft limit): refused, but where the settings say that such a request
    /// earns more than it costs and there is room to spare, it goes; under a ceiling only within the share.
    pub(super) fn over_quota(&mut self, id: RequestId, plan: &Plan) {
        let pays = plan.over_quota_weight > plan.over_quota_cost && plan.max_concurrent == 0;
        let (units, key) = (self.requests[&id].request.units, self.requests[&id].request.customer.clone());
        if !(pays && self.has_capacity(SPARE_CAPACITY_SHARE))
            || plan.ceiling_rate > 0.0 && !self.ceiling_share_covers(&key, plan, units)
        {
            let customer = &self.customers[&key];
            let left =
                customer.lease + customer.level.map_or(0.0, |l| l.level + plan.rate * (self.now - l.at));
            return self.respond_locally(&id, (units - left).max(0.0) / plan.rate, Reason::Quota);
        }
        let share = &mut self.customers.get_mut(&key).expect("admitted customers are known").ceiling_share;
        share.level = (share.level - units).max(0.0);
        self.send_first_attempt(id);
    }

    pub(super) fn admit_by_fallback(&mut self, id: RequestId, plan: &Plan) {
        let (units, key) = (self.requests[&id].request.units, self.requests[&id].request.customer.clone());
        if self.fallback_covers(&key, plan, units) {
            self.spend(id, units, true);
        } else {
            self.over_quota(id, plan);
        }
    }

    pub(super) fn spend(&mut self, id: RequestId, units: f64, off_count: bool) {
        let key = self.requests[&id].request.customer.clone();
        let plan = self.settings.plans[self.requests[&id].request.plan].clone();
        let unsure = self.failing.count > 0 || self.counter_unavailable();
        let customer = self.customers.get_mut(&key).expect("spending customers are known");
        let thin = plan.burst < f64::from(customer.spread) * units;
        if !off_count {
            customer.lease -= units;
        } else {
            customer.fallback.level = (customer.fallback.level - units).max(0.0);
            if thin && !unsure {
                add_decaying(
                    &mut self.thin_shares[customer.plan].uncounted,
                    self.now,
                    units,
                    plan.burst / plan.rate,
                );
            } else {
                customer.add_uncounted(units, self.now);
            }
        }
        if plan.ceiling_rate > 0.0 {
            customer.ceiling_share.level = (customer.ceiling_share.level - units).max(0.0);
        }
        // An open cap: each gateway holds an even share of it, one at least.
        let share = (plan.max_concurrent / customer.spread).max(1);
        if plan.max_concurrent == 0 || customer.open_attempts < share {
            self.send_first_attempt(id);
        } else {
            customer.lease += units; // Not sent, so not spent.
            self.respond_locally(&id, self.latency, Reason::ConcurrencyLimit);
        }
    }
}
