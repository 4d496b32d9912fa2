//! The state machine for external authorisation, without I/O, around one [`Gateway`](weirusher::Gateway).
//!
//! Inputs are checks, reports, counter responses and endpoint lists; outputs are check outcomes and commands.
//! Each check gets one outcome, unless its client closes first. An allowed check returns a ticket; the
//! attempt stays in the request table until a report or its deadline closes it. Reports that are late,
//! duplicate or for another issuer's ticket change nothing and are counted. Points in time are Unix seconds,
//! durations are seconds.

mod attempts;
mod check;
mod metrics;
mod report;
mod request_table;

pub use check::{CallerId, Check, CheckFailure, CheckOutcome, DeliveryId, Grant, InstanceRange};
pub use metrics::EngineMetrics;
pub use report::{Completion, Report, ReportOutcome};
pub use request_table::AttemptId;

use crate::driver::{Command, PolicyDriver, PolicyTimer};
use crate::ticket::Keyring;
use request_table::{Attempt, RequestTable, request_number};
use std::collections::HashMap;
use weirusher::{
    Action, Endpoint, EndpointListKind, Event, Idempotency, RequestId, Settings, SettingsError, Status, Time,
};

/// An effect for the caller to carry out. Outputs must be carried out in order.
#[derive(Debug, Clone, PartialEq)]
pub enum EngineOutput {
    /// Deliver a check's outcome.
    CheckOutcome {
        /// Identifies the check that is answered.
        caller: CallerId,
        /// Its outcome.
        outcome: CheckOutcome,
        /// To be passed to [`Engine::handle_undelivered`] if the outcome could not be delivered.
        delivery: DeliveryId,
    },
    /// An effect that does not concern a request.
    Command(Command),
}

impl From<Command> for EngineOutput {
    fn from(command: Command) -> Self {
        Self::Command(command)
    }
}

#[derive(Debug, Clone, Copy)]
enum Timer {
    /// A policy timer, by its token.
    Policy(u64),
    /// No report of the attempt has arrived in time.
    AttemptDeadline(AttemptId),
    /// No check has claimed the request's last attempt in time.
    UnclaimedRetry(u64),
    /// The report of the request's last attempt, for which a check waits, is overdue.
    MissingReport(u64),
    /// The request's deadline and the grace period for late checks have passed.
    RequestExpiry(u64),
}

impl From<PolicyTimer> for Timer {
    fn from(PolicyTimer(token): PolicyTimer) -> Self {
        Self::Policy(token)
    }
}

/// Why an engine cannot start.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EngineError {
    /// The policy rejects the settings.
    #[error("invalid settings: {0}")]
    Settings(SettingsError),
}

/// The state of one gateway instance, without its sockets.
#[derive(Debug)]
pub struct Engine {
    instance: u32,
    incarnation: u64,
    keyring: Keyring,
    /// Indexed by class.
    class_idempotency: Vec<Idempotency>,
    driver: PolicyDriver<Timer>,
    requests: RequestTable,
    /// The request number of each pending check.
    callers: HashMap<CallerId, u64>,
    /// Number of attempts with an issued ticket that are not closed.
    in_flight: usize,
    outputs: Vec<EngineOutput>,
    metrics: EngineMetrics,
}

impl Engine {
    /// Creates an engine for this `incarnation`, starting at `now`. `seed` seeds all random numbers.
    ///
    /// # Errors
    /// The policy rejects the settings.
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
            driver: PolicyDriver::new(settings, seed, now).map_err(EngineError::Settings)?,
            callers: HashMap::new(),
            in_flight: 0,
            outputs: Vec::new(),
            metrics: EngineMetrics::default(),
        })
    }

    /// The counters so far.
    pub fn metrics(&self) -> EngineMetrics {
        self.metrics
    }

    /// Number of requests in the table.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Number of pending checks and attempts in flight. A graceful shutdown waits until it is 0.
    pub fn pending(&self) -> usize {
        self.callers.len() + self.in_flight
    }

    /// When [`Engine::handle_timeout`] should be called next.
    pub fn next_timeout(&self) -> Option<Time> {
        self.driver.timers.next_expiry()
    }

    /// Takes the pending outputs, in order.
    pub fn drain_outputs(&mut self) -> std::vec::Drain<'_, EngineOutput> {
        self.outputs.drain(..)
    }

    /// Handles the end of a counter call. `total` is the counter's new value in units, `elapsed` is in
    /// seconds.
    pub fn handle_counter_response(
        &mut self,
        now: Time,
        call: u64,
        status: Status,
        total: f64,
        elapsed: f64,
    ) {
        for event in self.driver.counter_response(call, status, total, elapsed) {
            self.run_policy(now, event);
        }
    }

    /// Handles a new endpoint list, or changes to it.
    pub fn handle_endpoint_list(&mut self, now: Time, kind: EndpointListKind, endpoints: Vec<Endpoint>) {
        let event = self.driver.endpoint_list(now, kind, endpoints);
        self.run_policy(now, event);
    }

    /// Handles the timers that have expired by `now`.
    pub fn handle_timeout(&mut self, now: Time) {
        for timer in self.driver.timers.expire(now) {
            match timer {
                Timer::Policy(token) => self.run_policy(now, Event::Timer { token }),
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

    /// Passes an event to the policy and carries out the resulting actions.
    fn run_policy(&mut self, now: Time, event: Event) {
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
            _ => self.outputs.push(Command::Log("ignored an unsupported policy action".into()).into()),
        }
    }

    /// Sends the policy's final outcome to the pending check, or keeps it for a check that may still arrive.
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
