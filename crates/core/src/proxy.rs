//! The proxy without its sockets: the table of open requests, the attempts of each with their limits, and the one
//! response that each is owed.
//!
//! A front tells what arrived and how attempts ended, and carries out the outputs in order. An attempt ends
//! once, whichever comes first: what its connection brought, or its limit. What comes after that is ignored.

use crate::driver::{Command, DecisionDriver, DecisionTimer};
use crate::engine::EngineError;
use crate::guard::{Blocked, Earlier, Guard, Progress, SendCheck, SendLimits, Violation, Violations};
use crate::shutdown::Shutdown;
use crate::timer_wheel::TimerKey;
use std::collections::HashMap;
use std::fmt;
use weirusher::{
    Action, BackendId, CustomerId, Endpoint, EndpointListKind, Event, LoadReport, Reason, Request, RequestId,
    Settings, Status, Time,
};

/// A request that arrived.
#[derive(Debug, Clone, PartialEq)]
pub struct IncomingRequest {
    /// Its id, none of an open request's.
    pub id: RequestId,
    /// Its customer.
    pub customer: CustomerId,
    /// Index of its plan.
    pub plan: usize,
    /// Index of its class.
    pub class: usize,
    /// Units it takes from the quota.
    pub units: f64,
    /// Seconds until the client abandons it.
    pub time_budget: f64,
    /// How many gateways carry the customer, and the number of the first.
    pub customer_instances: (u32, u32),
    /// It is a client's marked repeat.
    pub is_retry: bool,
}

/// A response that no server gave.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Outcome {
    /// Refused: a retry does no harm.
    Rejected {
        /// Seconds the client should stay away; 0: no advice.
        retry_after: f64,
        /// Why.
        reason: Reason,
    },
    /// Failed, with no promise.
    Failed {
        /// Why.
        reason: Reason,
    },
}

/// How often each reason was given for a request that was refused or failed.
#[derive(Clone, Copy, Default, PartialEq, Eq, serde::Serialize)]
pub struct ReasonCounts([u64; Reason::ALL.len()]);

impl ReasonCounts {
    fn add(&mut self, reason: Reason) {
        let index = Reason::ALL.iter().position(|known| *known == reason);
        if let Some(index) = index {
            self.0[index] += 1;
        }
    }

    /// Each reason that was given, and how often.
    pub fn iter(&self) -> impl Iterator<Item = (Reason, u64)> {
        Reason::ALL.into_iter().zip(self.0).filter(|(_, count)| *count > 0)
    }
}

impl fmt::Debug for ReasonCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_map().entries(self.iter().map(|(reason, count)| (reason.name(), count))).finish()
    }
}

/// What the proxy wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum ProxyOutput {
    /// Begin an attempt; [`ProxyCore::attempt_ended`] tells its end.
    Forward {
        /// The request.
        request: RequestId,
        /// Its attempt, from 0.
        attempt: u32,
        /// The server.
        backend: BackendId,
        /// Seconds until it is given up.
        timeout: f64,
        /// Seconds within which its last byte must be on its way; else it must not begin, or break off.
        start_within: f64,
    },
    /// Give an attempt up: its connection must close. Its end has been told already.
    Abort {
        /// The request.
        request: RequestId,
        /// Its attempt.
        attempt: u32,
    },
    /// An attempt was not begun, as it would have broken a rule: to be logged as an error of the decisions.
    Prevented {
        /// The request.
        request: RequestId,
        /// Its attempt.
        attempt: u32,
        /// The rule.
        violation: Violation,
    },
    /// Give the client its response.
    Respond {
        /// The request.
        request: RequestId,
        /// What it is.
        outcome: Outcome,
    },
    /// What the module wants of the world around.
    Command(Command),
}

impl From<Command> for ProxyOutput {
    fn from(command: Command) -> Self {
        Self::Command(command)
    }
}

/// What was counted; each grows only.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize)]
pub struct ProxyTally {
    /// Requests taken.
    pub requests: u64,
    /// Attempts begun.
    pub attempts: u64,
    /// Requests served.
    pub served: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests failed.
    pub failed: u64,
    /// Requests whose client left first.
    pub left: u64,
    /// Requests that were still undecided when their time was up.
    pub overdue: u64,
    /// Attempts given up at their limit.
    pub timed_out: u64,
    /// Attempts that never got to their server.
    pub unreached: u64,
    /// Attempts that their server turned away.
    pub turned_away: u64,
    /// Attempts that broke or brought an error.
    pub broken: u64,
    /// Why requests were refused or failed.
    pub reasons: ReasonCounts,
}

#[derive(Debug)]
struct Attempt {
    server: BackendId,
    sent: Time,
    /// Its last byte must be on its way by then.
    send_by: Time,
    /// When it is given up.
    give_up: Time,
    progress: Progress,
    /// Its limit, while it is out.
    limit: Option<TimerKey>,
}

#[derive(Debug)]
struct OpenRequest {
    class: usize,
    attempts: Vec<Attempt>,
    out: usize,
    /// By when its response has to be on its way.
    deadline: Time,
    /// The timer of its deadline, while its response is owed.
    pending: Option<TimerKey>,
}

/// What became of a request that arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrived {
    /// It is owed a response, which an output brings.
    Accepted,
    /// Its id is that of an open request; nothing was done.
    Duplicate,
}

impl Attempt {
    fn as_earlier(&self) -> Earlier {
        Earlier { sent: self.sent, progress: self.progress }
    }
}

#[derive(Debug, Clone)]
enum Due {
    Module(u64),
    Attempt(RequestId, u32),
    Expiry(RequestId),
}

impl From<DecisionTimer> for Due {
    fn from(DecisionTimer(token): DecisionTimer) -> Self {
        Self::Module(token)
    }
}

/// A gateway through which the requests pass, without its sockets.
#[derive(Debug)]
pub struct ProxyCore {
    driver: DecisionDriver<Due>,
    guard: Guard,
    requests: HashMap<RequestId, OpenRequest>,
    pending: usize,
    outputs: Vec<ProxyOutput>,
    tally: ProxyTally,
}

impl ProxyCore {
    /// A gateway that starts at `now`, in Unix seconds; `seed` feeds all randomness.
    ///
    /// # Errors
    /// Settings that no module can work with.
    pub fn new(settings: Settings, seed: u64, now: Time) -> Result<Self, EngineError> {
        let guard = Guard::new(&settings);
        let driver = DecisionDriver::new(settings, seed, now).map_err(EngineError::Settings)?;
        Ok(Self {
            driver,
            guard,
            requests: HashMap::new(),
            pending: 0,
            outputs: Vec::new(),
            tally: ProxyTally::default(),
        })
    }

    /// What was counted so far.
    pub fn tally(&self) -> ProxyTally {
        self.tally
    }

    /// Requests that are owed a response.
    pub fn pending(&self) -> usize {
        self.pending
    }

    /// Ids of the requests that are owed a response.
    pub fn pending_ids(&self) -> impl Iterator<Item = &RequestId> {
        self.requests.iter().filter(|(_, entry)| entry.pending.is_some()).map(|(job, _)| job)
    }

    /// Requests in the table: those owed a response, and those with attempts still out.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Whether a request of this id is in the table.
    pub fn contains(&self, job: &str) -> bool {
        self.requests.contains_key(job)
    }

    /// When [`ProxyCore::advance`] should be called next.
    pub fn next_deadline(&self) -> Option<Time> {
        self.driver.timers.next_expiry()
    }

    /// Moves what is to be done, in order, to the end of `into`.
    pub fn take_outputs(&mut self, into: &mut Vec<ProxyOutput>) {
        into.append(&mut self.outputs);
    }

    // ---- Events ----

    /// A request arrived; one that cannot be answered before the process ends is refused at once.
    pub fn request(&mut self, now: Time, request: IncomingRequest) -> Arrived {
        if self.contains(&request.id) {
            return Arrived::Duplicate;
        }
        self.tally.requests += 1;
        let deadline = match self.guard.accept(now, request.time_budget) {
            Ok(deadline) => deadline,
            Err(reason) => {
                self.refuse_unseen(request.id, reason);
                return Arrived::Accepted;
            }
        };
        let IncomingRequest {
            id: job,
            customer,
            plan,
            class,
            units,
            customer_instances: (spread, first),
            is_retry: repeat,
            ..
        } = request;
        let pending = Some(self.driver.timers.set(deadline, Due::Expiry(job.clone())));
        self.requests
            .insert(job.clone(), OpenRequest { class, attempts: Vec::new(), out: 0, deadline, pending });
        self.pending += 1;
        let request = Request {
            id: job,
            units,
            deadline,
            plan,
            customer_instances: spread,
            first_instance: first,
            class,
            customer,
            is_retry: repeat,
        };
        self.handle(now, Event::Request(request));
        Arrived::Accepted
    }

    /// Refuses a request that the module never sees.
    fn refuse_unseen(&mut self, job: RequestId, reason: Reason) {
        self.tally.refused += 1;
        self.tally.reasons.add(reason);
        let outcome = Outcome::Rejected { retry_after: 0.0, reason };
        self.outputs.push(ProxyOutput::Respond { request: job, outcome });
    }

    /// The process was told to stop: from now on each request, those that are open too, has its response before the
    /// earliest moment at which the process may be killed.
    pub fn stop(&mut self, now: Time) -> Shutdown {
        let shutdown = self.guard.stop(now);
        let latest = shutdown.respond_by();
        for (job, entry) in &mut self.requests {
            let Some(timer) = entry.pending.filter(|_| entry.deadline > latest) else { continue };
            self.driver.timers.cancel(timer);
            entry.deadline = latest;
            entry.pending = Some(self.driver.timers.set(latest, Due::Expiry(job.clone())));
        }
        shutdown
    }

    /// Whether a connection may bring further requests.
    pub fn may_read(&self, now: Time) -> bool {
        self.guard.may_read(now)
    }

    /// Whether the first byte of an attempt may be written now; `listed`: its server takes new requests.
    ///
    /// # Errors
    /// Why not.
    pub fn may_send(
        &self,
        now: Time,
        job: &RequestId,
        attempt: u32,
        listed: bool,
    ) -> Result<SendLimits, Blocked> {
        let entry = self.requests.get(job).ok_or(Blocked::NotPending)?;
        let tried = entry.attempts.get(attempt as usize).ok_or(Blocked::Ended)?;
        let check = SendCheck {
            deadline: entry.pending.map(|_| entry.deadline),
            give_up: tried.limit.map(|_| tried.give_up),
            send_by: tried.send_by,
            listed,
        };
        self.guard.may_send(now, &check)
    }

    /// A connection closed, with so many requests that were read and have no response though their client is there.
    pub fn closed(&mut self, unanswered: usize) {
        self.guard.closed(unanswered);
    }

    /// Decisions that would have broken a rule.
    pub fn violations(&self) -> Violations {
        self.guard.violations()
    }

    /// The client left before its response.
    pub fn client_gone(&mut self, now: Time, job: &RequestId) {
        if self.complete(job) {
            self.tally.left += 1;
            self.withdraw(now, job);
        }
    }

    /// An attempt ended. `true`: its response is the one that the client is owed.
    pub fn attempt_ended(
        &mut self,
        now: Time,
        job: &RequestId,
        attempt: u32,
        status: Status,
        load: LoadReport,
    ) -> bool {
        let Some((server, spent)) = self.close(now, job, attempt, status) else { return false };
        match status {
            Status::ConnectFailed | Status::NotSent => self.tally.unreached += 1,
            Status::Rejected => self.tally.turned_away += 1,
            Status::Timeout => self.tally.timed_out += 1,
            Status::Error | Status::Reset => self.tally.broken += 1,
            Status::Ok | Status::Cancelled => {}
        }
        let serves = status == Status::Ok && self.complete(job);
        self.tally.served += u64::from(serves);
        let over = self.requests.get(job).is_some_and(|e| e.pending.is_none());
        let (job, settled) = (job.clone(), None);
        let told = Event::AttemptEnded {
            request: job.clone(),
            attempt,
            backend: server,
            status,
            elapsed: spent,
            request_ended: over,
            settled_units: settled,
            load,
        };
        self.handle(now, told);
        self.forget(&job);
        serves
    }

    /// A counter call ended.
    pub fn counter_response(&mut self, now: Time, call: u64, status: Status, total: f64, spent: f64) {
        for event in self.driver.counter_response(call, status, total, spent) {
            self.handle(now, event);
        }
    }

    /// The list of servers came.
    pub fn update_endpoints(&mut self, now: Time, kind: EndpointListKind, servers: Vec<Endpoint>) {
        let event = self.driver.endpoint_list(now, kind, servers);
        self.handle(now, event);
    }

    /// Discovery answered that the list is as it was.
    pub fn confirm_endpoints(&mut self, now: Time) {
        self.driver.endpoint_list_confirmed(now);
    }

    /// Lets the timers come due.
    pub fn advance(&mut self, now: Time) {
        for due in self.driver.timers.expire(now) {
            match due {
                Due::Module(token) => self.handle(now, Event::Timer { token }),
                Due::Attempt(job, attempt) => {
                    // First, so that its connection is free before the module begins another.
                    self.outputs.push(ProxyOutput::Abort { request: job.clone(), attempt });
                    self.attempt_ended(now, &job, attempt, Status::Timeout, LoadReport::default());
                }
                Due::Expiry(job) => self.expire(now, &job),
            }
        }
    }

    // ---- The table of requests ----

    /// The client's time is nearly up and the module has not decided: rule 1 goes first.
    fn expire(&mut self, now: Time, job: &RequestId) {
        if !self.complete(job) {
            return;
        }
        self.tally.overdue += 1;
        self.tally.failed += 1;
        let reason = Reason::DeadlineExceeded;
        self.tally.reasons.add(reason);
        self.outputs.push(ProxyOutput::Respond { request: job.clone(), outcome: Outcome::Failed { reason } });
        self.withdraw(now, job);
    }

    /// Nobody waits any more: the module is told, and what is out is called off.
    fn withdraw(&mut self, now: Time, job: &RequestId) {
        self.handle(now, Event::ClientGone { request: job.clone() });
        let attempts = self.requests.get(job).map_or(0, |e| e.attempts.len() as u32);
        for attempt in 0..attempts {
            self.cancel(now, job, attempt);
        }
        self.forget(job);
    }

    fn cancel(&mut self, now: Time, job: &RequestId, attempt: u32) {
        let out = self.requests.get(job).and_then(|e| e.attempts.get(attempt as usize));
        if out.is_some_and(|a| a.limit.is_some()) {
            self.outputs.push(ProxyOutput::Abort { request: job.clone(), attempt });
            self.attempt_ended(now, job, attempt, Status::Cancelled, LoadReport::default());
        }
    }

    /// The response is given: `true` the first time.
    fn complete(&mut self, job: &RequestId) -> bool {
        let Some(pending) = self.requests.get_mut(job).and_then(|e| e.pending.take()) else { return false };
        self.driver.timers.cancel(pending);
        self.pending -= 1;
        true
    }

    /// Closes an attempt once: its server, and the seconds since it was sent.
    fn close(
        &mut self,
        now: Time,
        job: &RequestId,
        attempt: u32,
        status: Status,
    ) -> Option<(BackendId, f64)> {
        let entry = self.requests.get_mut(job)?;
        let tried = entry.attempts.get_mut(attempt as usize)?;
        self.driver.timers.cancel(tried.limit.take()?);
        tried.progress = match status {
            Status::Rejected | Status::ConnectFailed | Status::NotSent => Progress::NeverRan,
            Status::Ok | Status::Error | Status::Timeout | Status::Reset | Status::Cancelled => {
                Progress::MayHaveRun
            }
        };
        entry.out -= 1;
        Some((tried.server.clone(), now - tried.sent))
    }

    /// Drops an entry that is answered and has nothing out.
    fn forget(&mut self, job: &RequestId) {
        if self.requests.get(job).is_some_and(|e| e.pending.is_none() && e.out == 0) {
            self.requests.remove(job);
        }
    }

    // ---- The module ----

    fn handle(&mut self, now: Time, event: Event) {
        let mut actions = self.driver.handle(now, event, &mut self.outputs);
        for action in actions.drain(..) {
            self.act(now, action);
        }
        self.driver.recycle(actions);
    }

    fn act(&mut self, now: Time, action: Action) {
        match action {
            Action::Forward { request: job, backend: server, timeout, start_within: within } => {
                self.begin(now, job, server, timeout, within)
            }
            Action::Reject { request: job, retry_after, reason } => {
                self.decided(job, Outcome::Rejected { retry_after, reason });
            }
            Action::Fail { request: job, reason } => self.decided(job, Outcome::Failed { reason }),
            Action::CancelAttempt { request: job, attempt } => self.cancel(now, &job, attempt),
            // None are asked for: attempts tell enough.
            Action::HealthCheck { .. } => {}
            _ => self.outputs.push(Command::Log("an action that this gateway does not know".into()).into()),
        }
    }

    fn begin(&mut self, now: Time, job: RequestId, server: BackendId, timeout: f64, within: f64) {
        let Some(entry) = self.requests.get_mut(&job) else { return };
        let earlier: Vec<Earlier> = entry.attempts.iter().map(Attempt::as_earlier).collect();
        let permit = self.guard.may_repeat(now, entry.class, &earlier);
        let attempt = entry.attempts.len() as u32;
        // No longer than the request has: a shutdown may have moved its deadline since the module heard of it.
        let timeout = timeout.min(entry.deadline - now);
        let (send_by, give_up) = (now + within, now + timeout);
        let limit = Some(self.driver.timers.set(give_up, Due::Attempt(job.clone(), attempt)));
        let (server_id, progress) = (server.clone(), Progress::Out);
        entry.attempts.push(Attempt { server: server_id, sent: now, send_by, give_up, progress, limit });
        entry.out += 1;
        self.tally.attempts += 1;
        match permit {
            Ok(()) => self.outputs.push(ProxyOutput::Forward {
                request: job,
                attempt,
                backend: server,
                timeout,
                start_within: within,
            }),
            Err(violation) => {
                self.outputs.push(ProxyOutput::Prevented { request: job.clone(), attempt, violation });
                // The module counts on it: it ends as one that was never sent.
                self.attempt_ended(now, &job, attempt, Status::NotSent, LoadReport::default());
            }
        }
    }

    fn decided(&mut self, job: RequestId, outcome: Outcome) {
        if !self.complete(&job) {
            return;
        }
        let reason = match outcome {
            Outcome::Rejected { reason, .. } => {
                self.tally.refused += 1;
                reason
            }
            Outcome::Failed { reason } => {
                self.tally.failed += 1;
                reason
            }
        };
        self.tally.reasons.add(reason);
        self.forget(&job);
        self.outputs.push(ProxyOutput::Respond { request: job, outcome });
    }
}
