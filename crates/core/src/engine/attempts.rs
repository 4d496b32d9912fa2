//! The life cycle of an attempt: started by the policy, claimed by a check, closed by a report or a timer.

use super::check::{CheckFailure, CheckOutcome, Grant};
use super::request_table::{Attempt, AttemptId, AttemptState};
use super::{Engine, Timer};
use crate::ticket::Ticket;
use weirusher::{Event, LoadReport, Status, Time};

/// Seconds after an attempt's deadline during which its report is still accepted: the proxy sends its access
/// log in batches.
const REPORT_GRACE_SECONDS: f64 = 0.25;
/// Seconds within which a check must claim a retry. An unclaimed retry counts as not sent.
const CLAIM_TIMEOUT_SECONDS: f64 = 1.0;

/// How an attempt ended.
#[derive(Debug, Clone, Copy)]
pub(super) struct AttemptEnd {
    pub status: Status,
    pub request_ended: bool,
    /// Whether a report stated the end.
    pub reported: bool,
    /// Duration of the attempt in seconds, as reported.
    pub elapsed: Option<f64>,
    /// The units actually used, as reported.
    pub settled_units: Option<f64>,
}

impl AttemptEnd {
    /// An end without a report.
    fn unreported(status: Status, request_ended: bool) -> Self {
        Self { status, request_ended, reported: false, elapsed: None, settled_units: None }
    }
}

impl Engine {
    /// Starts an attempt for the policy. A pending check gets its ticket; otherwise a later check must claim
    /// it.
    pub(super) fn start_attempt(&mut self, now: Time, request: u64, attempt: Attempt) {
        let Some(open) = self.requests.get_mut(request) else { return };
        let id = AttemptId { request, attempt: open.attempts.len() as u32 };
        let claim_until = (now + CLAIM_TIMEOUT_SECONDS).min(attempt.deadline);
        open.attempts.push(attempt);
        if open.caller.is_some() {
            return self.issue_ticket(now, id);
        }
        let timer = self.driver.timers.set(claim_until, Timer::UnclaimedRetry(request));
        open.attempts[id.attempt as usize].timer = Some(timer);
    }

    /// Allows the pending check and issues the attempt's ticket. If the ticket would already be expired, the
    /// attempt ends as not sent and the policy decides how the request proceeds.
    pub(super) fn issue_ticket(&mut self, now: Time, id: AttemptId) {
        let Some(open) = self.requests.get_mut(id.request) else { return };
        let attempt = &mut open.attempts[id.attempt as usize];
        let expires_at = attempt.ticket_expiry();
        if expires_at <= now {
            self.metrics.expired_grants += 1;
            return self.close_attempt(now, id, AttemptEnd::unreported(Status::NotSent, false));
        }
        (attempt.state, attempt.started_at) = (AttemptState::InFlight, now);
        self.in_flight += 1;
        if let Some(timer) = attempt.timer.take() {
            self.driver.timers.cancel(timer);
        }
        let report_until = attempt.deadline + REPORT_GRACE_SECONDS;
        attempt.timer = Some(self.driver.timers.set(report_until, Timer::AttemptDeadline(id)));
        let ticket = Ticket {
            issuer: self.instance,
            incarnation: self.incarnation,
            request: id.request,
            attempt: id.attempt,
            units: open.units,
            expires_at,
            class: open.class as u16,
            backend: attempt.backend.to_string(),
        };
        let (backend, timeout) = (attempt.backend.clone(), attempt.deadline - now);
        let ticket = self.keyring.sign(&ticket);
        let grant = Grant { backend, timeout, ticket, attempt: id };
        self.respond(id.request, CheckOutcome::Allowed(grant), Some(id));
    }

    /// Closes an attempt. Does nothing if it is already closed.
    pub(super) fn close_attempt(&mut self, now: Time, id: AttemptId, end: AttemptEnd) {
        let Some(open) = self.requests.get_mut(id.request) else { return };
        let Some(attempt) = open.attempts.get_mut(id.attempt as usize) else { return };
        if attempt.state == AttemptState::Closed {
            return;
        }
        attempt.reported = end.reported;
        if std::mem::replace(&mut attempt.state, AttemptState::Closed) == AttemptState::InFlight {
            self.in_flight -= 1;
        }
        for timer in [attempt.timer.take(), open.report_timer.take()].into_iter().flatten() {
            self.driver.timers.cancel(timer);
        }
        // The reporter's clock may be wrong: the reported duration is capped at the time that passed here, so
        // that it cannot distort the latency statistics.
        let longest = (now - attempt.started_at).max(0.0);
        let elapsed = end.elapsed.filter(|s| s.is_finite() && *s >= 0.0).map_or(longest, |s| s.min(longest));
        let event = Event::AttemptEnded {
            request: open.id.clone(),
            attempt: id.attempt,
            backend: attempt.backend.clone(),
            status: end.status,
            elapsed,
            request_ended: end.request_ended,
            settled_units: end.settled_units.filter(|units| units.is_finite() && *units >= 0.0),
            load: LoadReport::default(),
        };
        self.run_policy(now, event);
    }

    /// Closes an attempt that was certainly not sent, and ends its request.
    pub(super) fn close_unsent(&mut self, now: Time, id: AttemptId) {
        self.close_attempt(now, id, AttemptEnd::unreported(Status::NotSent, true));
    }

    /// Closes an attempt whose report did not arrive by its deadline.
    pub(super) fn close_at_deadline(&mut self, now: Time, id: AttemptId) {
        self.metrics.unreported += 1;
        self.close_attempt(now, id, AttemptEnd::unreported(Status::Timeout, false));
    }

    /// Closes the request's attempt in flight because its report did not arrive while a retry's check waited
    /// for it. The attempt may have been executed, and ends as reset.
    pub(super) fn close_without_report(&mut self, now: Time, request: u64) {
        let Some(open) = self.requests.get_mut(request) else { return };
        open.report_timer = None;
        let Some(last) = open.attempts.iter().rposition(|a| a.state == AttemptState::InFlight) else {
            return;
        };
        self.metrics.unreported += 1;
        let id = AttemptId { request, attempt: last as u32 };
        self.close_attempt(now, id, AttemptEnd::unreported(Status::Reset, false));
    }

    /// Ends a request. A check that still waits for a retry of it fails.
    pub(super) fn end_request(&mut self, now: Time, request: u64) {
        self.respond(request, CheckOutcome::Failed(CheckFailure::Duplicate), None);
        self.abandon_request(now, request);
    }

    /// Notifies the policy that no client waits for the request any more, and closes an unclaimed attempt as
    /// not sent. Attempts in flight keep the request in the table.
    pub(super) fn abandon_request(&mut self, now: Time, request: u64) {
        let Some(open) = self.requests.get(request).filter(|open| open.caller.is_none()) else { return };
        let id = open.id.clone();
        let unclaimed = open.attempts.iter().position(|a| a.state == AttemptState::Unclaimed);
        if let Some(attempt) = unclaimed {
            self.close_unsent(now, AttemptId { request, attempt: attempt as u32 });
        }
        self.run_policy(now, Event::ClientGone { request: id });
        self.remove_if_finished(request);
    }

    /// Removes a request from the table if no check is pending and all attempts are closed.
    pub(super) fn remove_if_finished(&mut self, request: u64) {
        let Some(open) = self.requests.remove_finished(request) else { return };
        for timer in [open.expiry_timer, open.report_timer].into_iter().flatten() {
            self.driver.timers.cancel(timer);
        }
    }
}
