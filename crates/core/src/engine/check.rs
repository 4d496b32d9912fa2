//! Checks: requests for permission to send an attempt, answered with the backend to use.

use super::request_table::{AttemptId, AttemptState, OpenRequest, request_id};
use super::{Engine, EngineOutput, Timer};
use weirusher::{BackendId, CustomerId, Event, Idempotency, Request, Time};

/// Seconds that a retry's check waits for the report of the previous attempt, because the two arrive on
/// separate connections. Without the report, the attempt counts as possibly executed.
const REPORT_BEFORE_RETRY_SECONDS: f64 = 0.05;
/// Seconds after its deadline for which a request and its outcome are kept for a late check.
const KEEP_AFTER_DEADLINE_SECONDS: f64 = 0.5;
/// Retry-After, in seconds, when the request table is full.
const TABLE_FULL_RETRY_AFTER_SECONDS: f64 = 1.0;

/// Identifies a pending check. Chosen by the caller.
pub type CallerId = u64;

/// The gateway instances that serve a customer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InstanceRange {
    /// Number of instances.
    pub count: u32,
    /// Number of the first instance.
    pub first: u32,
}

/// Asks whether an attempt may be sent, and to which backend.
#[derive(Debug, Clone, PartialEq)]
pub struct Check {
    /// The customer whose quota the request uses.
    pub customer: CustomerId,
    /// Index of the customer's plan.
    pub plan: usize,
    /// Index of the request's class.
    pub class: usize,
    /// Units that the request takes from the quota.
    pub units: f64,
    /// Seconds until the client gives up on the request.
    pub time_budget: f64,
    /// The instances that serve the customer.
    pub instances: InstanceRange,
    /// The ticket of the previous attempt, if this is a retry.
    pub ticket: Option<String>,
}

/// Permission to send one attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct Grant {
    /// The backend to send it to.
    pub backend: BackendId,
    /// Seconds until the attempt times out.
    pub timeout: f64,
    /// The encoded ticket, to be presented by reports on the attempt and by the check of a retry.
    pub ticket: String,
    /// Id of the attempt that is permitted.
    pub attempt: AttemptId,
}

/// Why a check failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckFailure {
    /// The request failed: an earlier attempt may have been executed.
    RequestFailed,
    /// The ticket is not valid, or belongs to another customer.
    InvalidTicket,
    /// Another check for the request is pending, or the ticket was already used for a retry.
    Duplicate,
    /// The previous attempt is unknown to this instance, and a request of its class must not be retried
    /// without knowing how that attempt ended.
    UnknownAttempt,
}

/// The outcome of a check.
#[derive(Debug, Clone, PartialEq)]
pub enum CheckOutcome {
    /// The attempt may be sent.
    Allowed(Grant),
    /// Nothing was executed: the client may retry.
    Rejected {
        /// Seconds that the client should wait first.
        retry_after: f64,
    },
    /// Failed. Whether the request was executed is not known.
    Failed(CheckFailure),
}

/// Identifies an outcome that is being delivered, for [`Engine::handle_undelivered`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DeliveryId(pub(super) Option<AttemptId>);

impl Engine {
    /// Handles a check. Its outcome follows as an [`EngineOutput`] for `caller`.
    pub fn handle_check(&mut self, now: Time, caller: CallerId, check: &Check) {
        self.metrics.checks += 1;
        match &check.ticket {
            None => self.start_request(now, caller, check, false),
            Some(text) => match self.keyring.verify(text) {
                Ok(ticket) if self.issued(&ticket) => {
                    let previous = AttemptId { request: ticket.request, attempt: ticket.attempt };
                    self.retry(now, caller, check, previous);
                }
                Ok(ticket) => self.retry_of_other_issuer(now, caller, check, usize::from(ticket.class)),
                Err(_) => {
                    self.metrics.bad_tickets += 1;
                    self.fail(caller, CheckFailure::InvalidTicket);
                }
            },
        }
    }

    /// Handles a client that closed its connection before its check had an outcome.
    pub fn handle_client_closed(&mut self, now: Time, caller: CallerId) {
        let Some(request) = self.callers.remove(&caller) else { return };
        self.metrics.client_closed += 1;
        if let Some(open) = self.requests.get_mut(request) {
            open.caller = None;
        }
        self.abandon_request(now, request);
    }

    /// Handles an outcome that could not be delivered because the client closed after the decision. The
    /// ticket has reached no client, so the attempt was not sent.
    pub fn handle_undelivered(&mut self, now: Time, delivery: DeliveryId) {
        let Some(attempt) = delivery.0 else { return };
        self.metrics.undelivered += 1;
        self.close_unsent(now, attempt);
        self.end_request(now, attempt.request);
    }

    fn start_request(&mut self, now: Time, caller: CallerId, check: &Check, is_retry: bool) {
        if self.requests.is_full() {
            self.metrics.table_full += 1;
            return self.reject(caller, TABLE_FULL_RETRY_AFTER_SECONDS);
        }
        let number = self.requests.next_number();
        let id = request_id(number);
        let deadline = now + check.time_budget;
        let expiry = deadline + KEEP_AFTER_DEADLINE_SECONDS;
        let expiry_timer = Some(self.driver.timers.set(expiry, Timer::RequestExpiry(number)));
        self.callers.insert(caller, number);
        let open = OpenRequest {
            id: id.clone(),
            customer: check.customer.clone(),
            class: check.class,
            units: check.units,
            attempts: Vec::new(),
            caller: Some(caller),
            outcome: None,
            report_timer: None,
            expiry_timer,
        };
        self.requests.insert(number, open);
        let request = Request {
            id,
            units: check.units,
            deadline,
            plan: check.plan,
            customer_instances: check.instances.count,
            first_instance: check.instances.first,
            class: check.class,
            customer: check.customer.clone(),
            is_retry,
        };
        self.run_policy(now, Event::Request(request));
    }

    /// Handles a retry with a ticket that this incarnation issued.
    fn retry(&mut self, now: Time, caller: CallerId, check: &Check, previous: AttemptId) {
        let number = previous.request;
        let Some(open) = self.requests.get_mut(number) else {
            return self.retry_of_closed_request(caller, check.class);
        };
        if open.customer != check.customer {
            // A client must not act on another customer's attempts by presenting that customer's ticket.
            self.metrics.bad_tickets += 1;
            return self.fail(caller, CheckFailure::InvalidTicket);
        }
        let last = open.attempts.len() as u32 - 1;
        let state = open.attempts[last as usize].state;
        // An unclaimed attempt is claimed with the ticket of the attempt before it; otherwise the check must
        // carry the last ticket.
        let expected = if state == AttemptState::Unclaimed { last.checked_sub(1) } else { Some(last) };
        if open.caller.is_some() || expected != Some(previous.attempt) {
            self.metrics.duplicate_checks += 1;
            return self.fail(caller, CheckFailure::Duplicate);
        }
        open.caller = Some(caller);
        self.callers.insert(caller, number);
        match state {
            AttemptState::Unclaimed => self.issue_ticket(now, AttemptId { request: number, attempt: last }),
            AttemptState::InFlight => {
                let wait_until = now + REPORT_BEFORE_RETRY_SECONDS;
                open.report_timer = Some(self.driver.timers.set(wait_until, Timer::MissingReport(number)));
            }
            AttemptState::Closed => {
                // The policy ended the request together with its last attempt.
                let failed = CheckOutcome::Failed(CheckFailure::RequestFailed);
                let outcome = open.outcome.take().unwrap_or(failed);
                self.respond(number, outcome, None);
                self.abandon_request(now, number);
            }
        }
    }

    /// Handles a retry with a ticket of another instance, or of an earlier incarnation of this one. The
    /// issuer's request table is not available to this instance: an idempotent request starts over and is
    /// charged to the quota again, any other fails.
    fn retry_of_other_issuer(&mut self, now: Time, caller: CallerId, check: &Check, class: usize) {
        self.metrics.foreign_checks += 1;
        if self.is_idempotent(class) && check.class == class {
            self.start_request(now, caller, check, true);
        } else {
            self.fail(caller, CheckFailure::UnknownAttempt);
        }
    }

    fn retry_of_closed_request(&mut self, caller: CallerId, class: usize) {
        self.metrics.duplicate_checks += 1;
        if self.is_idempotent(class) {
            self.reject(caller, 0.0);
        } else {
            self.fail(caller, CheckFailure::UnknownAttempt);
        }
    }

    fn is_idempotent(&self, class: usize) -> bool {
        self.class_idempotency.get(class) == Some(&Idempotency::Idempotent)
    }

    fn reject(&mut self, caller: CallerId, retry_after: f64) {
        self.push_outcome(caller, CheckOutcome::Rejected { retry_after }, None);
    }

    fn fail(&mut self, caller: CallerId, failure: CheckFailure) {
        self.push_outcome(caller, CheckOutcome::Failed(failure), None);
    }

    /// Sends the outcome to the request's pending check, if there is one. `granted` is the attempt that the
    /// outcome allows.
    pub(super) fn respond(&mut self, request: u64, outcome: CheckOutcome, granted: Option<AttemptId>) {
        let Some(caller) = self.requests.get_mut(request).and_then(|open| open.caller.take()) else { return };
        self.callers.remove(&caller);
        self.push_outcome(caller, outcome, granted);
    }

    fn push_outcome(&mut self, caller: CallerId, outcome: CheckOutcome, granted: Option<AttemptId>) {
        match outcome {
            CheckOutcome::Allowed(_) => self.metrics.allowed += 1,
            CheckOutcome::Rejected { .. } => self.metrics.rejected += 1,
            CheckOutcome::Failed(_) => self.metrics.failed += 1,
        }
        self.outputs.push(EngineOutput::CheckOutcome { caller, outcome, delivery: DeliveryId(granted) });
    }
}
