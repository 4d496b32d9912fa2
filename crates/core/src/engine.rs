//! The state machine for external authorisation, without I/O, around one [`Gateway`](weirusher::Gateway).
//!
//! Checks, reports, counter responses and endpoint lists go in; check outcomes and commands come out. Each
//! check gets one outcome, unless its client closes first. An allowed check carries a ticket away; the
//! attempt stays in the request table until a report closes it, or its deadline. What comes late, twice or
//! from another issuer changes nothing and is counted. Points in time are Unix seconds, spans are seconds.

mod attempts;
mod check;
mod metrics;
mod report;
mod request_table;

pub use check::{CallerId, Check, CheckFailure, CheckOutcome, DeliveryId, Grant, InstanceRange};
pub use metrics::EngineMetrics;
pub use report::{Completion, Report, ReportOutcome};
pub use request_table::AttemptId;

use crate::driver::{Command, DecisionDriver, DecisionTimer};
use crate::ticket::Keyring;
use request_table::{Attempt, RequestTable, request_number};
use std::collections::HashMap;
use weirusher::{
    Action, Endpoint, EndpointListKind, Event, Idempotency, RequestId, Settings, SettingsError, Status, Time,
};

/// What the engine wants done, in order.
#[derive(Debug, Clone, PartialEq)]
pub enum EngineOutput {
    /// Deliver a check's outcome.
    CheckOutcome {
        /// The check.
        caller: CallerId,
        /// Its outcome.
        outcome: CheckOutcome,
        /// Handed back if the outcome could not be delivered.
        delivery: DeliveryId,
    },
    /// What the decisions want done outside of the request table.
    Command(Command),
}

impl From<Command> for EngineOutput {
    fn from(command: Command) -> Self {
        Self::Command(command)
    }
}

#[derive(Debug, Clone, Copy)]
enum Timer {
    /// One of the decisions', by its token.
    Decision(u64),
    /// The attempt's report should have come.
    AttemptDeadline(AttemptId),
    /// A check should have claimed the request's last attempt.
    UnclaimedRetry(u64),
    /// A check waits for the report of the request's last attempt.
    MissingReport(u64),
    /// The request's deadline is over, and the time for late checks.
    RequestExpiry(u64),
}

impl From<DecisionTimer> for Timer {
    fn from(DecisionTimer(token): DecisionTimer) -> Self {
        Self::Decision(token)
    }
}

/// Why an engine cannot start.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EngineError {
    /// The decisions cannot work with the settings.
    #[error("the settings cannot work: {0}")]
    Settings(SettingsError),
}

/// One gateway instance without its sockets.
#[derive(Debug)]
pub struct Engine {
    instance: u32,
    incarnation: u64,
    keyring: Keyring,
    /// By class.
    class_idempotency: Vec<Idempotency>,
    driver: DecisionDriver<Timer>,
    requests: RequestTable,
    /// The requests of pending checks.
    callers: HashMap<CallerId, u64>,
    /// Attempts whose ticket was issued and that are not closed.
    in_flight: usize,
    outputs: Vec<EngineOutput>,
    metrics: EngineMetrics,
}

impl Engine {
    /// An engine that starts its `incarnation` at `now`; `seed` feeds all randomness.
    ///
    /// # Errors
    /// The decisions cannot work with the settings.
    pub fn new(
        settings: Settings,
        keyring: Keyring,
        incarnation: u64,
        seed: u64,
        now: Time,
    ) -> Result<Self, EngineError> {
        Ok(Self {
            instance: settings.instance,
            incarnation,
            keyring,
            class_idempotency: settings.classes.iter().map(|class| class.idempotency).collect(),
            requests: RequestTable::new(settings.max_open_requests as usize),
            driver: DecisionDriver::new(settings, seed, now).map_err(EngineError::Settings)?,
            callers: HashMap::new(),
            in_flight: 0,
            outputs: Vec::new(),
            metrics: EngineMetrics::default(),
        })
    }

    /// What was counted so far.
    pub fn metrics(&self) -> EngineMetrics {
        self.metrics
    }

    /// Requests in the table.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Pending checks and attempts in flight: what a graceful shutdown has to wait for.
    pub fn pending(&self) -> usize {
        self.callers.len() + self.in_flight
    }

    /// When [`Engine::handle_timeout`] should be called next.
    pub fn next_timeout(&self) -> Option<Time> {
        self.driver.timers.next_expiry()
    }

    /// Takes what is to be done, in order.
    pub fn drain_outputs(&mut self) -> std::vec::Drain<'_, EngineOutput> {
        self.outputs.drain(..)
    }

    /// A counter call ended. `total` is in units, `elapsed` in seconds.
    pub fn handle_counter_response(
        &mut self,
        now: Time,
        call: u64,
        status: Status,
        total: f64,
        elapsed: f64,
    ) {
        for event in self.driver.counter_response(call, status, total, elapsed) {
            self.decide(now, event);
        }
    }

    /// A list of endpoints arrived.
    pub fn handle_endpoint_list(&mut self, now: Time, kind: EndpointListKind, endpoints: Vec<Endpoint>) {
        let event = self.driver.endpoint_list(now, kind, endpoints);
        self.decide(now, event);
    }

    /// Handles the timers that have expired by now.
    pub fn handle_timeout(&mut self, now: Time) {
        for timer in self.driver.timers.expire(now) {
            match timer {
                Timer::Decision(token) => self.decide(now, Event::Timer { token }),
                Timer::AttemptDeadline(id) => self.close_at_deadline(now, id),
                Timer::UnclaimedRetry(request) => {
                    self.metrics.unclaimed_retries += 1;
                    self.abandon_request(now, request);
                }
                Timer::MissingReport(request) => self.close_without_report(now, request),
                Timer::RequestExpiry(request) => {
                    if let Some(open) = self.requests.get_mut(request) {
                        open.expiry_timer = None;
                    }
                    self.end_request(now, request);
                }
            }
        }
    }

    /// Hands an event to the decisions, and carries out what they want done.
    fn decide(&mut self, now: Time, event: Event) {
        let mut actions = self.driver.handle(now, event, &mut self.outputs);
        for action in actions.drain(..) {
            self.carry_out(now, action);
        }
        self.driver.recycle(actions);
    }

    fn carry_out(&mut self, now: Time, action: Action) {
        match action {
            Action::Forward { request, backend, timeout, start_within } => {
                let attempt = Attempt::new(now, backend, timeout, start_within);
                self.start_attempt(now, request_number(&request), attempt);
            }
            Action::Reject { request, retry_after, .. } => {
                self.set_outcome(&request, CheckOutcome::Rejected { retry_after });
            }
            Action::Fail { request, .. } => {
                self.set_outcome(&request, CheckOutcome::Failed(CheckFailure::RequestFailed));
            }
            _ => self.outputs.push(Command::Log("an action that this gateway does not know".into()).into()),
        }
    }

    /// The decisions' final outcome: for the pending check, or kept for one that may still come.
    fn set_outcome(&mut self, request: &RequestId, outcome: CheckOutcome) {
        let request = request_number(request);
        let Some(open) = self.requests.get_mut(request) else { return };
        if open.caller.is_none() {
            open.outcome = Some(outcome);
            return;
        }
        self.respond(request, outcome, None);
        self.remove_if_finished(request);
    }
}
