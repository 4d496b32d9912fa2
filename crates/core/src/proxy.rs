//! The state machine of the proxy mode, in which the gateway forwards requests itself, without I/O. Each
//! accepted request gets exactly one response.
//!
//! The runtime reports events through the `handle_*` methods, carries out the outputs of
//! [`ProxyCore::take_outputs`] in order, and calls [`ProxyCore::handle_timeout`] at
//! [`ProxyCore::next_timeout`]. An attempt ends once: when the runtime reports its end or when it times out,
//! whichever comes first. Later reports are ignored. All times are in seconds.

mod executed_ids;
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
use executed_ids::ExecutedIds;
use table::{Attempt, OpenRequest, RequestTable};
use weirusher::{
    Action, BackendId, Endpoint, EndpointListKind, Event, LoadReport, Reason, Request, RequestId, Settings,
    Status, Time,
};

/// The purpose of a timer.
#[derive(Debug, Clone)]
enum Timer {
    /// A policy timer, by its token.
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

/// The proxy state of one gateway instance, without its sockets.
#[derive(Debug)]
pub struct ProxyCore {
    driver: PolicyDriver<Timer>,
    guard: Guard,
    requests: RequestTable,
    executed_ids: ExecutedIds,
    outputs: Vec<ProxyOutput>,
    metrics: ProxyMetrics,
}

impl ProxyCore {
    /// Creates a proxy that starts at `now`, in Unix seconds. `seed` seeds all random numbers.
    ///
    /// # Errors
    /// The policy rejects the settings.
    pub fn new(settings: Settings, seed: u64, now: Time) -> Result<Self, EngineError> {
        let (guard, executed_ids) = (Guard::new(&settings), ExecutedIds::new(&settings.classes));
        let driver = PolicyDriver::new(settings, seed, now).map_err(EngineError::Settings)?;
        Ok(Self {
            driver,
            guard,
            requests: RequestTable::default(),
            executed_ids,
            outputs: Vec::new(),
            metrics: ProxyMetrics::default(),
        })
    }

    // ---- State ----

    /// Counts of requests and attempts since the start.
    pub fn metrics(&self) -> ProxyMetrics {
        self.metrics
    }

    /// Counts of the rule violations found since the start.
    pub fn violations(&self) -> Violations {
        self.guard.violations()
    }

    /// Number of pending requests: accepted, without a response.
    pub fn pending(&self) -> usize {
        self.requests.pending()
    }

    /// Ids of the pending requests.
    pub fn pending_ids(&self) -> impl Iterator<Item = &RequestId> {
        self.requests.pending_ids()
    }

    /// Number of requests in the table: pending, or with attempts in flight.
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

    /// Whether the first byte of an attempt may be written now. `backend_available`: the backend is in the
    /// endpoint list and accepts new requests.
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

    /// Handles a request that was read. One that cannot be answered before the process ends is rejected at
    /// once. One whose id belongs to a request that is open, or may have been executed and must not be executed
    /// again, is not entered.
    pub fn handle_request(&mut self, now: Time, request: IncomingRequest) -> RequestStatus {
        if self.contains(&request.id) || self.executed_ids.contains(now, &request.id) {
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

    /// Handles a client that closed its connection before it had its response.
    pub fn handle_client_gone(&mut self, now: Time, id: &RequestId) {
        if self.end_pending(id) {
            self.metrics.client_gone += 1;
            self.withdraw(now, id);
        }
    }

    /// Records that the gateway closed a connection on which `unanswered` requests had no response although
    /// their client was still connected.
    pub fn handle_connection_closed(&mut self, unanswered: usize) {
        self.guard.record_connection_closed(unanswered);
    }

    /// Handles the end of an attempt. Returns `true` if the client gets this attempt's response.
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
        self.remove_finished(now, id);
        serves
    }

    /// Handles the end of a counter call: `total` is the counter's new value, `elapsed` the seconds that the
    /// call took.
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

    /// Records that discovery confirmed the endpoint list as unchanged.
    pub fn handle_endpoint_list_confirmed(&mut self, now: Time) {
        self.driver.endpoint_list_confirmed(now);
    }

    /// Handles the timers that have expired by `now`.
    pub fn handle_timeout(&mut self, now: Time) {
        for timer in self.driver.timers.expire(now) {
            match timer {
                Timer::Policy(token) => self.run_policy(now, Event::Timer { token }),
                Timer::Attempt(id, attempt) => {
                    // The attempt is aborted first, so that its connection is free before another attempt
                    // starts.
                    self.outputs.push(ProxyOutput::Abort { request: id.clone(), attempt });
                    self.handle_attempt_ended(now, &id, attempt, Status::Timeout, LoadReport::default());
                }
                Timer::Deadline(id) => self.fail_undecided(now, &id),
            }
        }
    }

    /// Begins a graceful shutdown: from now on every request, including pending ones, gets its response
    /// before the earliest time at which the process may be killed.
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

    /// Fails a request whose deadline has passed without an answer from the policy.
    fn fail_undecided(&mut self, now: Time, id: &RequestId) {
        if !self.end_pending(id) {
            return;
        }
        self.metrics.undecided += 1;
        self.respond(id.clone(), Outcome::Failed { reason: Reason::DeadlineExceeded });
        self.withdraw(now, id);
    }

    /// Sends the policy's outcome for a request to its client, unless the request already has a response.
    fn answer(&mut self, now: Time, id: RequestId, outcome: Outcome) {
        if self.end_pending(&id) {
            self.remove_finished(now, &id);
            self.respond(id, outcome);
        }
    }

    fn respond(&mut self, request: RequestId, outcome: Outcome) {
        self.metrics.count_outcome(&outcome);
        self.outputs.push(ProxyOutput::Respond { request, outcome });
    }

    /// Withdraws a request that no client waits for any more: the policy drops it, and its attempts in flight
    /// are aborted.
    fn withdraw(&mut self, now: Time, id: &RequestId) {
        self.run_policy(now, Event::ClientGone { request: id.clone() });
        for attempt in 0..self.requests.attempts(id) {
            self.cancel_attempt(now, id, attempt);
        }
        self.remove_finished(now, id);
    }

    fn cancel_attempt(&mut self, now: Time, id: &RequestId, attempt: u32) {
        if self.requests.is_in_flight(id, attempt) {
            self.outputs.push(ProxyOutput::Abort { request: id.clone(), attempt });
            self.handle_attempt_ended(now, id, attempt, Status::Cancelled, LoadReport::default());
        }
    }

    /// Removes a request that is not pending and has no attempt in flight. Its id is kept if the request must not be
    /// executed again.
    fn remove_finished(&mut self, now: Time, id: &RequestId) {
        let Some(request) = self.requests.remove_finished(id) else { return };
        if request.may_have_executed() && !self.guard.is_idempotent(request.class) {
            self.executed_ids.insert(now, id.clone());
        }
    }

    /// Marks a request as no longer pending. Returns whether it was pending.
    fn end_pending(&mut self, id: &RequestId) -> bool {
        let Some(timer) = self.requests.end_pending(id) else { return false };
        self.driver.timers.cancel(timer);
        true
    }

    // ---- Policy ----

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
                self.start_attempt(now, request, backend, timeout, start_within);
            }
            Action::Reject { request, retry_after, reason } => {
                self.answer(now, request, Outcome::Rejected { retry_after, reason });
            }
            Action::Fail { request, reason } => self.answer(now, request, Outcome::Failed { reason }),
            _ => self.outputs.push(Command::Log("ignored an unsupported policy action".into()).into()),
        }
    }

    /// Adds an attempt to the table and starts it, unless that would break a rule. A prevented attempt ends
    /// at once as not sent, because the policy relies on every attempt ending.
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
        // A shutdown may have brought the deadline forward, which the policy does not know.
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
                self.outputs.push(ProxyOutput::AttemptPrevented { request: id.clone(), attempt, violation });
                self.handle_attempt_ended(now, &id, attempt, Status::NotSent, LoadReport::default());
            }
        }
    }
}
