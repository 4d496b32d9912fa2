//! The state machine of the platform proxy, without I/O: each request that it accepts gets exactly one response.
//!
//! The runtime reports what happened by the `handle_*` methods, carries out the outputs of
//! [`ProxyCore::take_outputs`] in order, and calls [`ProxyCore::handle_timeout`] at [`ProxyCore::next_timeout`]. An
//! attempt ends once, by the report of its connection or by its timeout, whichever comes first; later reports are ignored.
//! All times are in seconds.

mod metrics;
mod output;
mod request;
mod table;

pub use metrics::{ProxyMetrics, ReasonCounts};
pub use output::{NewAttempt, Outcome, ProxyOutput};
pub use request::{IncomingRequest, RequestStatus};

use crate::driver::{Command, PolicyDriver, PolicyTimer};
use crate::engine::EngineError;
use crate::guard::{Execution, Guard, SendError, SendLimits, Violations};
use crate::shutdown::Shutdown;
use table::{Attempt, OpenRequest, RequestTable};
use weirusher::{
    Action, BackendId, Endpoint, EndpointListKind, Event, LoadReport, Reason, Request, RequestId, Settings,
    Status, Time,
};

/// What a timer of the wheel stands for.
#[derive(Debug, Clone)]
enum Timer {
    /// A timer of the decisions, by its token.
    Policy(u64),
    /// The timeout of an attempt.
    Attempt(RequestId, u32),
    /// The deadline of a request.
    Deadline(RequestId),
}

impl From<PolicyTimer> for Timer {
    fn from(PolicyTimer(token): PolicyTimer) -> Self {
        Self::Policy(token)
    }
}

/// The proxy of one gateway instance, without its sockets.
#[derive(Debug)]
pub struct ProxyCore {
    driver: PolicyDriver<Timer>,
    guard: Guard,
    requests: RequestTable,
    outputs: Vec<ProxyOutput>,
    metrics: ProxyMetrics,
}

impl ProxyCore {
    /// A proxy that starts at `now`, in Unix seconds. `seed` feeds all randomness.
    ///
    /// # Errors
    /// The decisions cannot use the settings.
    pub fn new(settings: Settings, seed: u64, now: Time) -> Result<Self, EngineError> {
        let guard = Guard::new(&settings);
        let driver = PolicyDriver::new(settings, seed, now).map_err(EngineError::Settings)?;
        Ok(Self {
            driver,
            guard,
            requests: RequestTable::default(),
            outputs: Vec::new(),
            metrics: ProxyMetrics::default(),
        })
    }

    // ---- State ----

    /// Counts of requests and attempts since the start.
    pub fn metrics(&self) -> ProxyMetrics {
        self.metrics
    }

    /// Decisions that would have broken a rule.
    pub fn violations(&self) -> Violations {
        self.guard.violations()
    }

    /// How many requests are pending: accepted, without a response.
    pub fn pending(&self) -> usize {
        self.requests.pending()
    }

    /// Ids of the pending requests.
    pub fn pending_ids(&self) -> impl Iterator<Item = &RequestId> {
        self.requests.pending_ids()
    }

    /// How many requests are in the table: pending, or with attempts in flight.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Whether a request with this id is in the table.
    pub fn contains(&self, id: &str) -> bool {
        self.requests.contains(id)
    }

    /// Whether further requests may be read from a connection.
    pub fn may_read(&self, now: Time) -> bool {
        self.guard.may_read(now)
    }

    /// Whether the first byte of an attempt may be written now. `backend_available`: the backend is in the endpoint list
    /// and accepts new requests.
    ///
    /// # Errors
    /// Why it may not be written.
    pub fn check_send(
        &self,
        now: Time,
        id: &RequestId,
        attempt: u32,
        backend_available: bool,
    ) -> Result<SendLimits, SendError> {
        self.guard.check_send(now, &self.requests.send_conditions(id, attempt, backend_available)?)
    }

    /// When [`ProxyCore::handle_timeout`] has to be called next.
    pub fn next_timeout(&self) -> Option<Time> {
        self.driver.timers.next_expiry()
    }

    /// Moves the pending outputs to the end of `into`, in order.
    pub fn take_outputs(&mut self, into: &mut Vec<ProxyOutput>) {
        into.append(&mut self.outputs);
    }

    // ---- Events ----

    /// A request was read. One that cannot be answered before the process ends is rejected at once.
    pub fn handle_request(&mut self, now: Time, request: IncomingRequest) -> RequestStatus {
        if self.contains(&request.id) {
            return RequestStatus::Duplicate;
        }
        self.metrics.requests += 1;
        let deadline = match self.guard.check_accept(now, request.time_budget) {
            Ok(deadline) => deadline,
            Err(reason) => {
                self.respond(request.id, Outcome::Rejected { retry_after: 0.0, reason });
                return RequestStatus::Accepted;
            }
        };
        let timer = self.driver.timers.set(deadline, Timer::Deadline(request.id.clone()));
        self.requests.insert(request.id.clone(), OpenRequest::new(request.class, deadline, timer));
        let request = Request {
            id: request.id,
            units: request.units,
            deadline,
            plan: request.plan,
            customer_instances: request.customer_instances,
            first_instance: request.first_instance,
            class: request.class,
            customer: request.customer,
            is_retry: request.is_retry,
        };
        self.run_policy(now, Event::Request(request));
        RequestStatus::Accepted
    }

    /// The client closed its connection before its response.
    pub fn handle_client_gone(&mut self, now: Time, id: &RequestId) {
        if self.end_pending(id) {
            self.metrics.client_gone += 1;
            self.withdraw(now, id);
        }
    }

    /// The gateway closed a connection on which `unanswered` requests had no response though their client was connected.
    pub fn handle_connection_closed(&mut self, unanswered: usize) {
        self.guard.connection_closed(unanswered);
    }

    /// An attempt ended. Returns `true` if its response is the one that the client gets.
    pub fn handle_attempt_ended(
        &mut self,
        now: Time,
        id: &RequestId,
        attempt: u32,
        status: Status,
        load: LoadReport,
    ) -> bool {
        let Some(ended) = self.requests.end_attempt(now, id, attempt, status) else { return false };
        self.driver.timers.cancel(ended.timer);
        self.metrics.count_attempt_end(status);
        let serves = status == Status::Ok && self.end_pending(id);
        self.metrics.served += u64::from(serves);
        let event = Event::AttemptEnded {
            request: id.clone(),
            attempt,
            backend: ended.backend,
            status,
            elapsed: ended.elapsed,
            request_ended: !self.requests.is_pending(id),
            settled_units: None,
            load,
        };
        self.run_policy(now, event);
        self.requests.remove_finished(id);
        serves
    }

    /// A counter call ended: `total` is the counter's new value, `elapsed` the seconds that the call took.
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

    /// A new endpoint list, or changes to it, arrived.
    pub fn handle_endpoint_list(&mut self, now: Time, kind: EndpointListKind, endpoints: Vec<Endpoint>) {
        let event = self.driver.endpoint_list(now, kind, endpoints);
        self.run_policy(now, event);
    }

    /// Discovery confirmed that the endpoint list is unchanged.
    pub fn handle_endpoint_list_confirmed(&mut self, now: Time) {
        self.driver.endpoint_list_confirmed(now);
    }

    /// Runs the timers that are due.
    pub fn handle_timeout(&mut self, now: Time) {
        for timer in self.driver.timers.expire(now) {
            match timer {
                Timer::Policy(token) => self.run_policy(now, Event::Timer { token }),
                Timer::Attempt(id, attempt) => {
                    // Aborted first, so that its connection is free before another attempt starts.
                    self.outputs.push(ProxyOutput::Abort { request: id.clone(), attempt });
                    self.handle_attempt_ended(now, &id, attempt, Status::Timeout, LoadReport::default());
                }
                Timer::Deadline(id) => self.fail_undecided(now, &id),
            }
        }
    }

    /// Begins a graceful shutdown: from now on every request, pending ones included, has its response before the earliest
    /// moment at which the process may be killed.
    pub fn begin_shutdown(&mut self, now: Time) -> Shutdown {
        let shutdown = self.guard.begin_shutdown(now);
        let latest = shutdown.respond_by();
        let timers = &mut self.driver.timers;
        self.requests.cap_deadlines(latest, |timer, id| {
            timers.cancel(timer);
            timers.set(latest, Timer::Deadline(id.clone()))
        });
        shutdown
    }

    // ---- Ends of requests and attempts ----

    /// The deadline of a request has passed and the decisions have not answered it: it fails.
    fn fail_undecided(&mut self, now: Time, id: &RequestId) {
        if !self.end_pending(id) {
            return;
        }
        self.metrics.undecided += 1;
        self.respond(id.clone(), Outcome::Failed { reason: Reason::DeadlineExceeded });
        self.withdraw(now, id);
    }

    /// The decisions answered a request: its client gets the outcome, unless it has a response already.
    fn answer(&mut self, id: RequestId, outcome: Outcome) {
        if self.end_pending(&id) {
            self.requests.remove_finished(&id);
            self.respond(id, outcome);
        }
    }

    fn respond(&mut self, request: RequestId, outcome: Outcome) {
        self.metrics.count_outcome(&outcome);
        self.outputs.push(ProxyOutput::Respond { request, outcome });
    }

    /// No client waits for a request any more: the decisions drop it, and its attempts in flight are aborted.
    fn withdraw(&mut self, now: Time, id: &RequestId) {
        self.run_policy(now, Event::ClientGone { request: id.clone() });
        for attempt in 0..self.requests.attempts(id) {
            self.cancel_attempt(now, id, attempt);
        }
        self.requests.remove_finished(id);
    }

    fn cancel_attempt(&mut self, now: Time, id: &RequestId, attempt: u32) {
        if self.requests.is_in_flight(id, attempt) {
            self.outputs.push(ProxyOutput::Abort { request: id.clone(), attempt });
            self.handle_attempt_ended(now, id, attempt, Status::Cancelled, LoadReport::default());
        }
    }

    /// A request stops being pending; `true` the first time.
    fn end_pending(&mut self, id: &RequestId) -> bool {
        let Some(timer) = self.requests.end_pending(id) else { return false };
        self.driver.timers.cancel(timer);
        true
    }

    // ---- Decisions ----

    /// Passes an event to the decisions and carries out their actions.
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
                self.start_attempt(now, request, backend, timeout, start_within);
            }
            Action::Reject { request, retry_after, reason } => {
                self.answer(request, Outcome::Rejected { retry_after, reason });
            }
            Action::Fail { request, reason } => self.answer(request, Outcome::Failed { reason }),
            _ => self.outputs.push(Command::Log("an action that this gateway does not know".into()).into()),
        }
    }

    /// Enters an attempt in the table and starts it, unless that would break a rule. A prevented attempt ends at once as
    /// not sent, because the decisions count on its end.
    fn start_attempt(
        &mut self,
        now: Time,
        id: RequestId,
        backend: BackendId,
        timeout: f64,
        write_timeout: f64,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let checked = self.guard.check_attempt(now, request.class, &request.prior_attempts());
        let attempt = request.next_attempt();
        // A shutdown may have brought the deadline forward, which the decisions do not know.
        let timeout = timeout.min(request.deadline - now);
        let deadline = now + timeout;
        request.add_attempt(Attempt {
            backend: backend.clone(),
            started_at: now,
            write_deadline: now + write_timeout,
            deadline,
            execution: Execution::InFlight,
            timer: Some(self.driver.timers.set(deadline, Timer::Attempt(id.clone(), attempt))),
        });
        self.metrics.attempts += 1;
        match checked {
            Ok(()) => {
                let new = NewAttempt { request: id, number: attempt, backend, timeout, write_timeout };
                self.outputs.push(ProxyOutput::Forward(new));
            }
            Err(violation) => {
                self.outputs.push(ProxyOutput::Prevented { request: id.clone(), attempt, violation });
                self.handle_attempt_ended(now, &id, attempt, Status::NotSent, LoadReport::default());
            }
        }
    }
}
