//! Calls to the counter: when they may be made, what they add, and what becomes of those that wait for them.

use super::bucket::{TokenBucket, add_decaying};
use super::customer::{Call, Customer, Purpose};
use super::tuning::*;
use super::window::{hash, window, window_length};
use super::{CounterFailures, Gateway, ThinShares, Timer};
use crate::interface::*;
use std::collections::VecDeque;

impl Gateway {
    /// The counter may be called: a token bucket, whose rate the counter's speed moves, has a call.
    pub(super) fn counter_callable(&mut self) -> bool {
        let saved = CALLS_SAVED.0.max(CALLS_SAVED.1 * self.call_rate);
        self.call_budget.refill(self.now, self.call_rate, saved) > 0.0 && self.settings.has_counter
    }

    /// The counter has answered nothing for a while, or is just back: others may not have told it yet what
    /// they spent meanwhile, so its level is not to be granted from.
    pub(super) fn counter_unavailable(&self) -> bool {
        let CounterFailures { count, since } = self.failing;
        self.now < self.settling_until
            || count >= UNAVAILABLE_AFTER.0
                && self.now - since > UNAVAILABLE_AFTER.1 * self.settings.counter_timeout
    }

    pub(super) fn request_lease(&mut self, key: &CustomerId, plan: &Plan) {
        let (window, _) = window(plan, key, self.now);
        let customer = self.customers.get_mut(key).expect("asked for known customers only");
        let need: f64 = customer.waiting.iter().map(|id| self.requests[id].request.units).sum();
        let demand = customer.demand.level / DEMAND_MEMORY;
        let left = customer.level.map_or(plan.burst, |mut l| l.refill(self.now, plan.rate, plan.burst));
        let spare = (demand * LEASE_SPAN).min(left / f64::from(customer.spread));
        // Whole units beyond the need only: a unit stranded at each gateway is most of a small burst.
        let want = ((need - customer.lease).ceil() + spare.floor()).max(0.0);
        // A gateway of many rarely asks twice for a customer: each ask of a thin share adds for what was sent
        // off the count, in proportion, so that the sum over all gateways is right. What is older
        // than a burst's refill has been paid: counted late it would refuse customers that are long full.
        let thin = plan.burst < f64::from(customer.spread) * need;
        let memory = plan.burst / plan.rate;
        let ThinShares { uncounted: unleased, requested } = &mut self.thin_shares[customer.plan];
        add_decaying(requested, self.now, if thin { need } else { 0.0 }, memory);
        add_decaying(unleased, self.now, 0.0, memory);
        let thin = if thin { (need * unleased.level / requested.level).min(plan.burst) } else { 0.0 };
        let uncounted = self.take_uncounted(key, plan);
        self.add_to_count(key, window, want + uncounted + thin, Purpose::Lease { want, uncounted }, plan);
        let token = self.set_timer(
            self.now + COUNTER_WAIT_SHARE * self.settings.counter_timeout,
            Timer::CounterWait(key.clone()),
        );
        let customer = self.customers.get_mut(key).expect("seen above");
        (customer.window, customer.call_late, customer.pending_call) = (window, false, Some(token));
    }

    /// Takes what is uncounted off the customer: all but what the refill paid until the counter was back, at
    /// the first gateway, which the count does not know, as it holds no more than the burst. Nothing while
    /// calls fail: what may have been counted, and was called again, would be paid twice.
    pub(super) fn take_uncounted(&mut self, key: &CustomerId, plan: &Plan) -> f64 {
        let customer = self.customers.get_mut(key).expect("asked for known customers only");
        if self.failing.count > 0 {
            return 0.0;
        }
        let TokenBucket { level, at } = std::mem::take(&mut customer.uncounted);
        let back = self.settling_until - SETTLING - REFRESH;
        let paid = plan.rate * (back - at) - plan.burst;
        (level - paid.max(0.0) / f64::from(customer.spread)).max(0.0)
    }

    /// While the counter is unavailable: a trial call, and once it has answered, what this gateway owes.
    pub(super) fn repay_uncounted(&mut self, key: &CustomerId, plan: &Plan) {
        let (window, _) = window(plan, key, self.now);
        let customer = &self.customers[key];
        let nothing = self.failing.count == 0 && customer.uncounted.level <= 0.0;
        if nothing || customer.pending_call.is_some() {
            return;
        }
        let uncounted = self.take_uncounted(key, plan);
        self.add_to_count(key, window, uncounted, Purpose::Lease { want: 0.0, uncounted }, plan);
        self.next_token += 1; // No timer: nothing is held for it.
        let customer = self.customers.get_mut(key).expect("seen above");
        (customer.pending_call, customer.call_late) = (Some(self.next_token), true);
    }

    pub(super) fn add_to_count(
        &mut self,
        key: &CustomerId,
        window: u64,
        step: f64,
        purpose: Purpose,
        plan: &Plan,
    ) {
        let index = self.customers[key].plan as u64;
        let counter = hash(&[key.as_bytes(), &index.to_le_bytes(), &window.to_le_bytes()]);
        let call = Call { customer: key.clone(), window, step, purpose };
        self.calls.entry(counter).or_default().push_back(call);
        self.call_budget.level -= 1.0;
        self.actions.push(Action::AddToCounter {
            counter,
            amount: step,
            ttl: (2.2 * window_length(plan)).min(60.0),
        });
    }

    /// The counter's speed moves the rate of calls, as a gateway of many has less than one out: a crowded
    /// counter works in vain on calls that nobody waits for. A silent one gets trial calls only.
    pub(super) fn pace_calls(&mut self, status: Status, spent: f64) {
        // An answer that is spoilt, or broken off, shows no crowd.
        let came = matches!(status, Status::Ok | Status::Error | Status::Reset);
        let quick = came && spent < CROWDED_SHARE * self.settings.counter_timeout;
        let (root, slow, lost) = CALL_RATE_STEP;
        if !quick && self.now - spent >= self.call_rate_cut {
            // Once for all that was out at that moment: they met the same line.
            self.call_rate_cut = self.now;
            self.call_rate =
                (self.call_rate * if status == Status::Ok { slow } else { lost }).max(CALL_RATE.0);
        } else if quick && self.call_budget.level < 1.0 {
            self.call_rate += root * self.call_rate.sqrt();
        }
    }

    pub(super) fn counter_response(&mut self, name: u64, status: Status, total: f64, spent: f64) {
        let Some(call) = self.calls.get_mut(&name).and_then(VecDeque::pop_front) else { return };
        if self.calls[&name].is_empty() {
            self.calls.remove(&name);
        }
        let calls_before = self.call_rate;
        self.pace_calls(status, spent);
        if !matches!(status, Status::Ok | Status::Error) {
            if self.failing.count == 0 {
                (self.failing.since, self.call_rate_before_failures) = (self.now - spent, calls_before);
            }
            self.failing.count += 1;
        } else if std::mem::take(&mut self.failing).count >= UNAVAILABLE_AFTER.0 {
            self.settling_until = self.now + SETTLING;
            // It bore that before: what was out of order is back, and was not crowded.
            self.call_rate = self.call_rate.max(CALL_RATE_RESTORED * self.call_rate_before_failures);
        }
        let Some(customer) = self.customers.get_mut(&call.customer) else { return };
        let plan = self.settings.plans[customer.plan].clone();
        match call.purpose {
            _ if status == Status::Ok => self.apply_total(&call, total, &plan),
            // Unless it surely was added, it stays uncounted: the customer must not gain by a lost answer.
            Purpose::Lease { uncounted, .. } if uncounted > 0.0 && status != Status::Error => {
                customer.add_uncounted(uncounted, self.now)
            }
            _ => {}
        }
        if let Purpose::Lease { .. } = call.purpose {
            let customer = self.customers.get_mut(&call.customer).expect("seen above");
            customer.pending_call = None;
            let held = std::mem::take(&mut customer.waiting);
            for id in held {
                self.admit_waiting(id, status == Status::Ok, &plan);
            }
        }
    }

    pub(super) fn admit_waiting(&mut self, id: RequestId, answered: bool, plan: &Plan) {
        let Some(job) = self.requests.get(&id).filter(|j| !j.over) else { return };
        let (units, customer) = (job.request.units, &self.customers[&job.request.customer]);
        if customer.lease >= units {
            self.spend(id, units, false);
        } else if answered {
            self.over_quota(id, plan);
        } else {
            self.admit_by_fallback(id, plan);
        }
    }

    /// A slow counter must not hold requests: after a few milliseconds the fallback limit decides.
    pub(super) fn stop_waiting(&mut self, key: &CustomerId, asked: u64) {
        let asking = |customer: &&mut Customer| customer.pending_call == Some(asked);
        let Some(customer) = self.customers.get_mut(key).filter(asking) else { return };
        customer.call_late = true;
        let plan = self.settings.plans[customer.plan].clone();
        for id in std::mem::take(&mut customer.waiting) {
            self.admit_waiting(id, false, &plan);
        }
    }
}
