//! Calls to the counter: which ones are in flight, and whether the counter is available.
//!
//! The counter counts as unavailable after several consecutive calls failed over several timeouts, and for
//! some time after it responds again: other gateways may not yet have reported what they spent meanwhile, so
//! no lease is granted from its total. Fallback limits decide instead.
//!
//! Inputs: status and duration (seconds) of each call, the counter's timeout in seconds.

use super::Gateway;
use super::call_pacing::CallPacer;
use super::lease::LeaseRequest;
use super::tuning::{SETTLING_SECONDS, UNAVAILABLE_AFTER_FAILURES, UNAVAILABLE_AFTER_TIMEOUTS};
use super::window::{count_ttl, counter_name};
use crate::interface::{Action, CustomerId, Plan, Settings, Status, Time};
use std::collections::{HashMap, VecDeque};

/// The purpose of a call.
#[derive(Debug, Clone, Copy)]
pub(super) enum Purpose {
    /// Requests a lease.
    Lease(LeaseRequest),
    /// Reads the total of the previous window.
    ReadPrevious,
    /// Corrects the total.
    Correct,
}

/// A call to the counter that is in flight.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) customer: CustomerId,
    /// Index of the window that the count belongs to.
    pub(super) window: u64,
    /// Units that it adds to the count.
    pub(super) amount: f64,
    pub(super) purpose: Purpose,
}

/// The latest consecutive failed calls.
#[derive(Debug, Clone, Copy, Default)]
struct Failures {
    count: u32,
    /// When the first of them was made.
    since: Time,
}

/// The calls to the counter, and its availability according to their outcomes.
#[derive(Debug)]
pub(super) struct CounterCalls {
    enabled: bool,
    /// Seconds after which a call times out.
    timeout: f64,
    /// Calls in flight to each count, in the order in which they were made.
    in_flight: HashMap<u64, VecDeque<Call>>,
    pacer: CallPacer,
    failures: Failures,
    /// Calls per second before the first of those failures.
    rate_before_failures: f64,
    /// End of the period after an outage in which gateways report what they spent meanwhile.
    settling_until: Time,
}

impl CounterCalls {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            enabled: settings.has_counter,
            timeout: settings.counter_timeout,
            in_flight: HashMap::new(),
            pacer: CallPacer::new(settings.instances),
            failures: Failures::default(),
            rate_before_failures: 0.0,
            settling_until: 0.0,
        }
    }

    /// Returns whether a request of this priority (units times priority weight) may make a call.
    pub(super) fn allows_call(&mut self, now: Time, priority: f64) -> bool {
        self.pacer.allows(now, priority) && self.enabled
    }

    /// Returns whether the last call failed.
    pub(super) fn is_failing(&self) -> bool {
        self.failures.count > 0
    }

    /// Returns whether the counter is unavailable, or other gateways may still have to report units to it.
    pub(super) fn is_unavailable(&self, now: Time) -> bool {
        let Failures { count, since } = self.failures;
        now < self.settling_until
            || count >= UNAVAILABLE_AFTER_FAILURES && now - since > UNAVAILABLE_AFTER_TIMEOUTS * self.timeout
    }

    /// Returns when the counter responded again after its last outage.
    pub(super) fn returned_at(&self) -> Time {
        self.settling_until - SETTLING_SECONDS
    }

    /// Removes and returns the oldest call to a count, or `None` if there is none.
    pub(super) fn finish(&mut self, counter: u64) -> Option<Call> {
        let calls = self.in_flight.get_mut(&counter)?;
        let call = calls.pop_front();
        if calls.is_empty() {
            self.in_flight.remove(&counter);
        }
        call
    }

    /// Updates the availability and the call rate from a call that ended.
    pub(super) fn observe(&mut self, now: Time, status: Status, elapsed: f64) {
        let rate_before = self.pacer.rate;
        self.pacer.observe(now, status, elapsed, self.timeout);
        if !matches!(status, Status::Ok | Status::Error) {
            if self.failures.count == 0 {
                (self.failures.since, self.rate_before_failures) = (now - elapsed, rate_before);
            }
            self.failures.count += 1;
        } else if std::mem::take(&mut self.failures).count >= UNAVAILABLE_AFTER_FAILURES {
            self.settling_until = now + SETTLING_SECONDS;
            self.pacer.restore(self.rate_before_failures);
        }
    }
}

impl Gateway {
    /// Returns whether the counter is unavailable now; see [`CounterCalls::is_unavailable`].
    pub(super) fn counter_unavailable(&self) -> bool {
        self.counter.is_unavailable(self.now)
    }

    /// Calls the counter to add `amount` units to a customer's count in a window.
    pub(super) fn add_to_count(
        &mut self,
        customer: &CustomerId,
        window: u64,
        amount: f64,
        purpose: Purpose,
        plan: &Plan,
    ) {
        let counter = counter_name(customer, self.customers.existing(customer).plan, window);
        let call = Call { customer: customer.clone(), window, amount, purpose };
        self.counter.in_flight.entry(counter).or_default().push_back(call);
        self.counter.pacer.withdraw();
        self.actions.push(Action::AddToCounter { counter, amount, ttl: count_ttl(plan) });
    }
}
