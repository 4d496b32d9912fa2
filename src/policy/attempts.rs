//! Attempts: the first attempt of a request, its retries and its hedged requests.
//!
//! A retry follows a failed attempt; a hedged request starts while a slow attempt is in flight. Both are sent
//! only if all of these conditions are met:
//! - the retry budget (`retry_budget`) and the concurrency limit (`concurrency_limit`) allow one more;
//! - the maximum number of attempts is not reached, and the request has time left;
//! - the retry scope (`retry_scope`) allows it: if an earlier attempt may have been executed, the scope tells
//!   whether and where it can be repeated;
//! - `selection` finds a backend in that scope that was not tried before.
//!
//! A timed-out attempt is not retried, as no useful time is left.
//!
//! Inputs: the class of the request (latency objective, deadline), the limits in the settings, the status of
//! attempts.

use super::Gateway;
use super::request::{Attempt, Execution, OpenRequest};
use super::selection::Placement;
use super::timers::Timer;
use super::tuning::{
    HEDGE_DELAY_FRACTION, HEDGE_DELAY_LATENCIES, RESPONSE_EVENT_INTERVALS, SPARE_CAPACITY_FRACTION,
};
use crate::interface::{Action, Class, Reason, RequestId, Status};

/// How an attempt ended.
#[derive(Debug, Clone, Copy)]
pub(super) struct AttemptOutcome {
    /// Number of the attempt within the request, from 0.
    pub(super) attempt: u32,
    pub(super) status: Status,
    /// The client has its response or has disconnected.
    pub(super) request_ended: bool,
    /// Units actually used, if they are known only after the response.
    pub(super) settled_units: Option<f64>,
}

impl Gateway {
    /// Sends the first attempt of an admitted request.
    pub(super) fn send_first_attempt(&mut self, id: &RequestId) {
        self.retry_budget.deposit();
        if !self.send_attempt(id) {
            self.respond_locally(id, self.settings.max_retry_after, Reason::NoBackend);
        }
    }

    /// Sends an attempt if one is allowed and a backend is available. Returns whether it was sent.
    fn send_attempt(&mut self, id: &RequestId) -> bool {
        // Removed from the table for the time being, so that the gateway can be borrowed mutably.
        let Some(mut open) = self.requests.remove(id) else { return false };
        let class = self.settings.classes[open.request.class].clone();
        let timeout = self.attempt_timeout(&open, &class);
        let attempts_left = open.attempts.len() < self.settings.max_attempts as usize;
        let allowed = attempts_left && timeout > 0.0 && !open.closed;
        let placement = if allowed { self.choose_backend(&open) } else { None };
        if let Some(placement) = placement {
            self.forward(&mut open, placement, timeout);
            self.schedule_hedge(id, &class, timeout);
        }
        self.requests.insert(id.clone(), open);
        placement.is_some()
    }

    /// Returns the seconds until a response is of no use: until the latency objective if a late response has
    /// no value, and until the deadline in any case.
    fn attempt_timeout(&self, open: &OpenRequest, class: &Class) -> f64 {
        let useful_until =
            if class.late_weight > 0.0 { f64::INFINITY } else { open.arrived + class.latency_objective };
        let latest = useful_until - RESPONSE_EVENT_INTERVALS * self.settings.event_interval;
        latest.min(open.request.deadline) - self.now
    }

    /// Updates the statistics and limits for a new attempt and forwards it.
    fn forward(&mut self, open: &mut OpenRequest, placement: Placement, timeout: f64) {
        let request = &open.request;
        let backend = &mut self.backends.all[placement.backend];
        backend.in_flight += 1.0;
        backend.slow_start.level -= request.units.max(1.0);
        self.concurrency.attempt_started();
        if let Some(customer) = self.customers.find(&request.customer) {
            customer.attempts_in_flight += 1;
        }
        self.load.record_sent(self.now, request.units);
        self.actions.push(Action::Forward {
            request: request.id.clone(),
            backend: backend.id.clone(),
            timeout,
            start_within: placement.start_within,
        });
        open.attempts.push(Attempt {
            backend: placement.backend,
            location: backend.location,
            sent: self.now,
            execution: Execution::InFlight,
        });
    }

    /// Sets the timer of a hedged request, unless the attempt times out before it is due.
    fn schedule_hedge(&mut self, id: &RequestId, class: &Class, timeout: f64) {
        let delay =
            (HEDGE_DELAY_FRACTION * class.latency_objective).max(HEDGE_DELAY_LATENCIES * self.latency.mean);
        if self.settings.hedging && delay < timeout {
            self.set_timer(self.now + delay, Timer::Hedge(id.clone()));
        }
    }

    /// Sends a hedged request if exactly one attempt is in flight, its response has not begun, and there is
    /// spare capacity.
    pub(super) fn send_hedge(&mut self, id: &RequestId) {
        let unanswered =
            |open: &OpenRequest| !open.closed && !open.streaming && open.attempts_in_flight() == 1;
        if self.requests.get(id).is_some_and(unanswered)
            && self.retry_budget.allows_one()
            && self.has_capacity(SPARE_CAPACITY_FRACTION)
            && self.send_attempt(id)
        {
            self.retry_budget.withdraw();
        }
    }

    /// Records the end of an attempt. If it was the last in flight, the request is closed, retried, rejected
    /// or failed.
    pub(super) fn attempt_ended(&mut self, id: &RequestId, outcome: AttemptOutcome) {
        let Some(open) = self.record_outcome(id, outcome) else { return };
        let (in_flight, streaming) = (open.attempts_in_flight() > 0, open.streaming);
        if outcome.request_ended || open.closed {
            return self.close_request(id);
        }
        if streaming || in_flight {
            return;
        }
        if self.retry_budget.allows_one()
            && outcome.status != Status::Timeout
            && self.has_capacity(1.0)
            && self.send_attempt(id)
        {
            self.retry_budget.withdraw();
            return;
        }
        self.respond_locally(id, self.latency.mean, Reason::AttemptsFailed);
    }

    /// Marks an attempt as ended and settles its units. Returns `None` if the attempt is unknown.
    fn record_outcome(&mut self, id: &RequestId, outcome: AttemptOutcome) -> Option<&OpenRequest> {
        let open = self.requests.get_mut(id)?;
        let attempt = open.attempts.get_mut(outcome.attempt as usize)?;
        if attempt.execution == Execution::InFlight {
            attempt.execution = match outcome.status {
                Status::Rejected | Status::ConnectFailed | Status::NotSent => Execution::NotExecuted,
                _ => Execution::MayHaveExecuted,
            };
            if let Some(customer) = self.customers.find(&open.request.customer) {
                customer.attempts_in_flight = customer.attempts_in_flight.saturating_sub(1);
                if let Some(units) = outcome.settled_units {
                    customer.uncounted.add(self.now, units - open.request.units);
                }
            }
        }
        Some(open)
    }
}
