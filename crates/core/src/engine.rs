//! The ledger: every Check, attempt and ticket of a running gateway, and its one [`Gateway`].
//!
//! Each request is owed one final answer. A Check waits until the module sends, refuses or fails it; an
//! allowed one leaves with a ticket, and the ledger keeps the attempt until a report closes it, or its limit
//! does. What comes late, twice or from nowhere changes nothing and is counted.

use crate::driver::{Command, DecisionDriver, DecisionTimer};
use crate::ticket::{Keyring, Ticket, TicketError};
use crate::timer_wheel::TimerKey;
use std::collections::HashMap;
use std::sync::Arc;
use weirusher::{
    Action, BackendId, CustomerId, Endpoint, EndpointListKind, Event, Idempotency, LoadReport, Request,
    RequestId, Settings, SettingsError, Status, Time,
};

/// Seconds past an attempt's limit for which its report may still come: the way from the edge, and its batches.
const REPORT_WAIT: f64 = 0.25;
/// Seconds that a Check with a ticket waits for the report of the attempt before it: the two travel on
/// connections of their own. Without it, the attempt may have run.
const ENDING_WAIT: f64 = 0.05;
/// Seconds that a further attempt waits to be asked for before it counts as never sent.
const PARK_WAIT: f64 = 1.0;
/// Seconds past its expiry for which a request's last decision is kept for a Check that still asks.
const KEEP: f64 = 0.5;
/// Seconds of advice where the ledger itself must refuse.
const LEDGER_ADVICE: f64 = 1.0;

/// A Check that waits for its answer, named by the front.
pub type Caller = u64;

/// A decision asked for.
#[derive(Debug, Clone, PartialEq)]
pub struct Check {
    /// Its customer.
    pub customer: CustomerId,
    /// Index of its plan.
    pub plan: usize,
    /// Index of its class.
    pub class: usize,
    /// Units it takes from the quota.
    pub units: f64,
    /// Seconds until the client abandons it.
    pub patience: f64,
    /// How many gateways carry the customer, and the number of the first.
    pub spread: (u32, u32),
    /// The ticket of the attempt before, where a further one is asked for.
    pub ticket: Option<String>,
}

/// Permission for one attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct Allowed {
    /// Where to send it.
    pub server: BackendId,
    /// Seconds until it must be given up.
    pub timeout: f64,
    /// The ticket's text.
    pub ticket: String,
    /// The request's number in this life, and the attempt's.
    pub attempt: (u64, u32),
}

/// Why a Check got no permission and no promise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The module failed it: an earlier attempt may have run.
    Decided,
    /// Its ticket is none of the fleet's.
    BadTicket,
    /// Another Check waits for the same request already, or the ticket was answered before.
    Doubled,
    /// Its earlier attempt is not known here, and its class must not be repeated on a guess.
    Unknown,
}

/// The answer to a Check.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// It may go out.
    Allowed(Allowed),
    /// Refused: a retry does no harm.
    Refused {
        /// Seconds the client should stay away.
        retry_after: f64,
    },
    /// Failed, with no promise.
    Failed(Failure),
}

/// Names an answer on its way, for [`Engine::undelivered`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Delivery(Option<(u64, u32)>);

/// What the engine wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Answer a Check.
    Answer {
        /// Who waits.
        caller: Caller,
        /// The answer.
        answer: Answer,
        /// Handed back if it could not be delivered.
        delivery: Delivery,
    },
    /// What the module wants of the world around.
    Command(Command),
}

impl From<Command> for Output {
    fn from(command: Command) -> Self {
        Self::Command(command)
    }
}

/// How an attempt ended, as a report tells it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Ending {
    /// The attempt ended; a further one may be asked for.
    Attempt(Status),
    /// The request is over: its client has its answer, or left.
    Request(Status),
}

/// A report about a ticket.
#[derive(Debug, Clone)]
pub struct Report<'a> {
    /// The ticket's text.
    pub ticket: &'a str,
    /// How it ended.
    pub ending: Ending,
    /// Seconds from its sending to its end, as the reporter measured them.
    pub spent: Option<f64>,
    /// True units, where they are settled afterwards.
    pub settled: Option<f64>,
}

/// What a report led to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It closed its attempt.
    Closed,
    /// It ended a request whose attempt was closed before.
    Ended,
    /// Its attempt or request is closed already: doubled, or late.
    Late,
    /// Another instance, or an earlier life of this one, issued the ticket.
    Foreign {
        /// The issuer.
        issuer: u32,
    },
    /// The ticket is not valid.
    Invalid(TicketError),
}

/// What was counted; each grows only.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize)]
pub struct Tally {
    /// Checks taken.
    pub checks: u64,
    /// Permissions given.
    pub allowed: u64,
    /// Checks refused.
    pub refused: u64,
    /// Checks failed.
    pub failed: u64,
    /// Checks whose client left before the answer.
    pub left: u64,
    /// Permissions that reached nobody.
    pub undelivered: u64,
    /// Attempts closed by a report.
    pub reported: u64,
    /// Attempts closed by their limit, without a report.
    pub unreported: u64,
    /// Further attempts that nobody asked for in time.
    pub uncollected: u64,
    /// Reports that came late or twice.
    pub late_reports: u64,
    /// Reports for tickets of other instances or lives.
    pub foreign_reports: u64,
    /// Tickets, in Checks and reports, that were forged, altered or of an unknown key.
    pub bad_tickets: u64,
    /// Checks whose ticket another instance or life issued.
    pub foreign_checks: u64,
    /// Checks that doubled one that waits or was answered.
    pub doubled_checks: u64,
    /// Checks refused because the ledger was full.
    pub ledger_full: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// The module wants it sent, and nobody has asked yet.
    Parked,
    /// Its ticket is out.
    Issued,
    Closed,
}

#[derive(Debug)]
struct Attempt {
    server: BackendId,
    since: Time,
    limit: Time,
    state: State,
    /// A report told its end.
    reported: bool,
    timer: Option<TimerKey>,
}

/// How an attempt is closed.
#[derive(Debug, Clone, Copy)]
struct End {
    status: Status,
    over: bool,
    /// A report told it.
    reported: bool,
    spent: Option<f64>,
    settled: Option<f64>,
}

impl End {
    /// An end that nobody reported.
    fn assumed(status: Status, over: bool) -> Self {
        Self { status, over, reported: false, spent: None, settled: None }
    }
}

#[derive(Debug)]
struct Entry {
    job: RequestId,
    customer: CustomerId,
    class: usize,
    units: f64,
    attempts: Vec<Attempt>,
    waiting: Option<Caller>,
    /// The module's final answer, while nobody has asked for it.
    verdict: Option<Answer>,
    /// A Check waits for the report of the attempt before.
    ending: Option<TimerKey>,
    forget: Option<TimerKey>,
}

#[derive(Debug, Clone, Copy)]
enum Due {
    Module(u64),
    Limit(u64, u32),
    Parked(u64),
    Ending(u64),
    Forget(u64),
}

impl From<DecisionTimer> for Due {
    fn from(DecisionTimer(token): DecisionTimer) -> Self {
        Self::Module(token)
    }
}

/// Why an engine cannot start.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EngineError {
    /// The module refuses its settings.
    #[error("the settings cannot work: {0}")]
    Settings(SettingsError),
}

/// A gateway without its sockets.
#[derive(Debug)]
pub struct Engine {
    me: u32,
    epoch: u64,
    ring: Keyring,
    effects: Vec<Idempotency>,
    driver: DecisionDriver<Due>,
    ledger: HashMap<u64, Entry>,
    most: usize,
    callers: HashMap<Caller, u64>,
    /// Attempts whose tickets are out.
    issued: usize,
    next: u64,
    outputs: Vec<Output>,
    tally: Tally,
}

impl Engine {
    /// A gateway that starts its life `epoch` at `now`, in Unix seconds; `seed` feeds all randomness.
    ///
    /// # Errors
    /// Settings that no module can work with.
    pub fn new(
        settings: Settings,
        ring: Keyring,
        epoch: u64,
        seed: u64,
        now: Time,
    ) -> Result<Self, EngineError> {
        let (me, most) = (settings.instance, settings.max_open_requests as usize);
        let effects = settings.classes.iter().map(|c| c.idempotency).collect();
        Ok(Self {
            me,
            epoch,
            ring,
            effects,
            driver: DecisionDriver::new(settings, seed, now).map_err(EngineError::Settings)?,
            ledger: HashMap::new(),
            most,
            callers: HashMap::new(),
            issued: 0,
            next: 0,
            outputs: Vec::new(),
            tally: Tally::default(),
        })
    }

    /// What was counted so far.
    pub fn tally(&self) -> Tally {
        self.tally
    }

    /// Requests in the ledger.
    pub fn open_requests(&self) -> usize {
        self.ledger.len()
    }

    /// Attempts whose tickets are out, and Checks that wait: what a drain has to wait for.
    pub fn owed(&self) -> usize {
        self.callers.len() + self.issued
    }

    /// When [`Engine::advance`] should be called next.
    pub fn next_deadline(&self) -> Option<Time> {
        self.driver.timers.next_expiry()
    }

    /// What is to be done, in order.
    pub fn outputs(&mut self) -> std::vec::Drain<'_, Output> {
        self.outputs.drain(..)
    }

    // ---- Events ----

    /// A Check came.
    pub fn check(&mut self, now: Time, caller: Caller, check: &Check) {
        self.tally.checks += 1;
        match &check.ticket {
            None => self.first(now, caller, check, false),
            Some(text) => match self.ring.verify(text) {
                Ok(ticket) if (ticket.issuer, ticket.incarnation) == (self.me, self.epoch) => {
                    self.further(now, caller, check, ticket.request, ticket.attempt);
                }
                Ok(ticket) => self.foreign(now, caller, check, usize::from(ticket.class)),
                Err(_) => {
                    self.tally.bad_tickets += 1;
                    self.turn_down(caller, Failure::BadTicket);
                }
            },
        }
    }

    /// The client left before its Check was answered.
    pub fn caller_gone(&mut self, now: Time, caller: Caller) {
        let Some(seq) = self.callers.remove(&caller) else { return };
        self.tally.left += 1;
        if let Some(entry) = self.ledger.get_mut(&seq) {
            entry.waiting = None;
        }
        self.abandon(now, seq);
    }

    /// An answer could not be handed over: its client left between the decision and the answer, so nobody
    /// holds the ticket and the attempt was surely never sent.
    pub fn undelivered(&mut self, now: Time, delivery: Delivery) {
        let Some((seq, attempt)) = delivery.0 else { return };
        self.tally.undelivered += 1;
        self.close(now, seq, attempt, End::assumed(Status::NotSent, true));
        self.finish(now, seq);
    }

    /// A report came.
    pub fn report(&mut self, now: Time, report: &Report<'_>) -> Verdict {
        let ticket = match self.ring.verify(report.ticket) {
            Ok(ticket) => ticket,
            Err(error) => {
                self.tally.bad_tickets += 1;
                return Verdict::Invalid(error);
            }
        };
        if (ticket.issuer, ticket.incarnation) != (self.me, self.epoch) {
            // Only the issuer knows the attempt; it closes it at its limit (docs/external-authorisation.md).
            self.tally.foreign_reports += 1;
            return Verdict::Foreign { issuer: ticket.issuer };
        }
        let seq = ticket.request;
        let open = self.attempt(seq, ticket.attempt).is_some_and(|a| a.state == State::Issued);
        match report.ending {
            Ending::Attempt(status) | Ending::Request(status) if open => {
                let over = status == Status::Ok || matches!(report.ending, Ending::Request(_));
                self.tally.reported += 1;
                let (spent, settled) = (report.spent, report.settled);
                self.close(now, seq, ticket.attempt, End { status, over, reported: true, spent, settled });
                if over {
                    self.finish(now, seq);
                }
                Verdict::Closed
            }
            Ending::Request(_) if self.ends(seq, ticket.attempt) => {
                // After a report of the attempt's end it is the request's; after its limit it is late.
                let heard = self.attempt(seq, ticket.attempt).is_some_and(|a| a.reported);
                self.tally.late_reports += u64::from(!heard);
                self.abandon(now, seq);
                if heard { Verdict::Ended } else { Verdict::Late }
            }
            _ => {
                self.tally.late_reports += 1;
                Verdict::Late
            }
        }
    }

    /// A counter call ended.
    pub fn counter_response(&mut self, now: Time, call: u64, status: Status, total: f64, spent: f64) {
        for event in self.driver.counter_response(call, status, total, spent) {
            self.handle(now, event);
        }
    }

    /// The list of backends came.
    pub fn update_endpoints(&mut self, now: Time, kind: EndpointListKind, servers: Vec<Endpoint>) {
        let event = self.driver.endpoint_list(now, kind, servers);
        self.handle(now, event);
    }

    /// Lets the timers come due.
    pub fn advance(&mut self, now: Time) {
        for due in self.driver.timers.expire(now) {
            match due {
                Due::Module(token) => self.handle(now, Event::Timer { token }),
                Due::Limit(seq, attempt) => {
                    self.tally.unreported += 1;
                    self.close(now, seq, attempt, End::assumed(Status::Timeout, false));
                }
                Due::Parked(seq) => {
                    self.tally.uncollected += 1;
                    self.abandon(now, seq);
                }
                Due::Ending(seq) => self.end_unreported(now, seq),
                Due::Forget(seq) => {
                    if let Some(entry) = self.ledger.get_mut(&seq) {
                        entry.forget = None;
                    }
                    self.finish(now, seq);
                }
            }
        }
    }

    // ---- Checks ----

    fn first(&mut self, now: Time, caller: Caller, check: &Check, repeat: bool) {
        if self.ledger.len() >= self.most {
            self.tally.ledger_full += 1;
            return self.refuse(caller, LEDGER_ADVICE);
        }
        self.next += 1;
        let seq = self.next;
        let job: RequestId = Arc::from(format!("{seq:x}"));
        let expires = now + check.patience;
        let forget = Some(self.driver.timers.set(expires + KEEP, Due::Forget(seq)));
        self.callers.insert(caller, seq);
        self.ledger.insert(
            seq,
            Entry {
                job: job.clone(),
                customer: check.customer.clone(),
                class: check.class,
                units: check.units,
                attempts: Vec::new(),
                waiting: Some(caller),
                verdict: None,
                ending: None,
                forget,
            },
        );
        let request = Request {
            id: job,
            units: check.units,
            deadline: expires,
            plan: check.plan,
            customer_instances: check.spread.0,
            first_instance: check.spread.1,
            class: check.class,
            customer: check.customer.clone(),
            is_retry: repeat,
        };
        self.handle(now, Event::Request(request));
    }

    /// A further attempt of a request of ours.
    fn further(&mut self, now: Time, caller: Caller, check: &Check, seq: u64, attempt: u32) {
        let Some(entry) = self.ledger.get_mut(&seq) else {
            return self.unknown(caller, check.class);
        };
        if entry.customer != check.customer {
            // A client shows what it took from another: it must neither spend nor end that one's attempts.
            self.tally.bad_tickets += 1;
            return self.turn_down(caller, Failure::BadTicket);
        }
        let last = entry.attempts.len() as u32 - 1;
        let state = entry.attempts[last as usize].state;
        // A parked attempt follows the one whose ticket is shown; any other must be shown its own.
        let shown = if state == State::Parked { last.checked_sub(1) } else { Some(last) };
        if entry.waiting.is_some() || shown != Some(attempt) {
            self.tally.doubled_checks += 1;
            return self.turn_down(caller, Failure::Doubled);
        }
        entry.waiting = Some(caller);
        self.callers.insert(caller, seq);
        match state {
            State::Parked => self.issue(now, seq, last),
            State::Issued => {
                let timer = self.driver.timers.set(now + ENDING_WAIT, Due::Ending(seq));
                self.ledger.get_mut(&seq).expect("seen above").ending = Some(timer);
            }
            State::Closed => {
                // The module decided when the attempt ended; the request is over with that.
                let verdict = entry.verdict.take().unwrap_or(Answer::Failed(Failure::Decided));
                self.answer(seq, verdict, None);
                self.abandon(now, seq);
            }
        }
    }

    /// The issuer of the ticket is another instance, or an earlier life of this one: its ledger is not ours,
    /// so what may be repeated starts anew, as a client's marked repeat that pays again; the rest fails.
    fn foreign(&mut self, now: Time, caller: Caller, check: &Check, class: usize) {
        self.tally.foreign_checks += 1;
        if self.effects.get(class) == Some(&Idempotency::Idempotent) && check.class == class {
            self.first(now, caller, check, true);
        } else {
            self.turn_down(caller, Failure::Unknown);
        }
    }

    fn unknown(&mut self, caller: Caller, class: usize) {
        self.tally.doubled_checks += 1;
        if self.effects.get(class) == Some(&Idempotency::Idempotent) {
            self.refuse(caller, 0.0);
        } else {
            self.turn_down(caller, Failure::Unknown);
        }
    }

    fn refuse(&mut self, caller: Caller, retry_after: f64) {
        self.tally.refused += 1;
        let answer = Answer::Refused { retry_after };
        self.outputs.push(Output::Answer { caller, answer, delivery: Delivery(None) });
    }

    fn turn_down(&mut self, caller: Caller, failure: Failure) {
        self.tally.failed += 1;
        let answer = Answer::Failed(failure);
        self.outputs.push(Output::Answer { caller, answer, delivery: Delivery(None) });
    }

    // ---- Attempts ----

    fn attempt(&self, seq: u64, attempt: u32) -> Option<&Attempt> {
        self.ledger.get(&seq)?.attempts.get(attempt as usize)
    }

    /// The report ends a request of which this attempt is the last that anybody saw.
    fn ends(&self, seq: u64, attempt: u32) -> bool {
        let Some(entry) = self.ledger.get(&seq) else { return false };
        let seen = entry.attempts.iter().rposition(|a| a.state != State::Parked);
        entry.waiting.is_none() && seen == Some(attempt as usize)
    }

    /// The module begins an attempt: its ticket leaves with the Check that waits, or it is parked.
    fn begin(&mut self, now: Time, seq: u64, server: BackendId, timeout: f64) {
        let Some(entry) = self.ledger.get_mut(&seq) else { return };
        let attempt = entry.attempts.len() as u32;
        let limit = now + timeout;
        entry.attempts.push(Attempt {
            server,
            since: now,
            limit,
            state: State::Parked,
            reported: false,
            timer: None,
        });
        if entry.waiting.is_some() {
            return self.issue(now, seq, attempt);
        }
        let timer = self.driver.timers.set((now + PARK_WAIT).min(limit), Due::Parked(seq));
        self.ledger.get_mut(&seq).expect("seen above").attempts[attempt as usize].timer = Some(timer);
    }

    fn issue(&mut self, now: Time, seq: u64, attempt: u32) {
        let Some(entry) = self.ledger.get_mut(&seq) else { return };
        let tried = &mut entry.attempts[attempt as usize];
        (tried.state, tried.since) = (State::Issued, now);
        self.issued += 1;
        if let Some(timer) = tried.timer.take() {
            self.driver.timers.cancel(timer);
        }
        tried.timer = Some(self.driver.timers.set(tried.limit + REPORT_WAIT, Due::Limit(seq, attempt)));
        let ticket = Ticket {
            issuer: self.me,
            incarnation: self.epoch,
            request: seq,
            attempt,
            units: entry.units,
            expires_at: tried.limit,
            class: entry.class as u16,
            backend: tried.server.to_string(),
        };
        let (server, timeout) = (tried.server.clone(), tried.limit - now);
        let ticket = self.ring.sign(&ticket);
        let allowed = Allowed { server, timeout, ticket, attempt: (seq, attempt) };
        self.answer(seq, Answer::Allowed(allowed), Some((seq, attempt)));
    }

    /// Closes an attempt once; what comes after it is late.
    fn close(&mut self, now: Time, seq: u64, attempt: u32, end: End) {
        let Some(entry) = self.ledger.get_mut(&seq) else { return };
        let Some(tried) = entry.attempts.get_mut(attempt as usize) else { return };
        if tried.state == State::Closed {
            return;
        }
        tried.reported = end.reported;
        if std::mem::replace(&mut tried.state, State::Closed) == State::Issued {
            self.issued -= 1;
        }
        if let Some(timer) = tried.timer.take() {
            self.driver.timers.cancel(timer);
        }
        if let Some(timer) = entry.ending.take() {
            self.driver.timers.cancel(timer);
        }
        let most = (now - tried.since).max(0.0);
        // A reporter's own figure is believed only as far as the time that has passed here.
        let spent = end.spent.filter(|s| s.is_finite() && *s >= 0.0).map_or(most, |s| s.min(most));
        let (job, server) = (entry.job.clone(), tried.server.clone());
        let settled = end.settled.filter(|units| units.is_finite() && *units >= 0.0);
        let (End { status, over, .. }, load) = (end, LoadReport::default());
        self.handle(
            now,
            Event::AttemptEnded {
                request: job,
                attempt,
                backend: server,
                status,
                elapsed: spent,
                request_ended: over,
                settled_units: settled,
                load,
            },
        );
    }

    /// The edge asks for a further attempt and no report came: the attempt before may have run.
    fn end_unreported(&mut self, now: Time, seq: u64) {
        let Some(entry) = self.ledger.get_mut(&seq) else { return };
        entry.ending = None;
        let Some(last) = entry.attempts.iter().rposition(|a| a.state == State::Issued) else { return };
        self.tally.unreported += 1;
        self.close(now, seq, last as u32, End::assumed(Status::Reset, false));
    }

    /// The request is over. A Check that still asks for a further attempt of it would wait for ever.
    fn finish(&mut self, now: Time, seq: u64) {
        self.answer(seq, Answer::Failed(Failure::Doubled), None);
        self.abandon(now, seq);
    }

    /// Nobody waits for this request any more: what was not sent never will be, and the module is told. Its
    /// attempts that are out keep it in the ledger.
    fn abandon(&mut self, now: Time, seq: u64) {
        let Some(entry) = self.ledger.get(&seq).filter(|e| e.waiting.is_none()) else { return };
        let job = entry.job.clone();
        let parked = entry.attempts.iter().position(|a| a.state == State::Parked);
        if let Some(parked) = parked {
            self.close(now, seq, parked as u32, End::assumed(Status::NotSent, true));
        }
        self.handle(now, Event::ClientGone { request: job });
        self.drop_entry(seq);
    }

    fn drop_entry(&mut self, seq: u64) {
        let Some(entry) = self.ledger.get(&seq) else { return };
        if entry.waiting.is_some() || entry.attempts.iter().any(|a| a.state != State::Closed) {
            return;
        }
        let entry = self.ledger.remove(&seq).expect("seen above");
        for timer in [entry.forget, entry.ending].into_iter().flatten() {
            self.driver.timers.cancel(timer);
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
            Action::Forward { request: job, backend: server, timeout, .. } => {
                self.begin(now, seq(&job), server, timeout)
            }
            Action::Reject { request: job, retry_after, .. } => {
                self.decided(seq(&job), Answer::Refused { retry_after })
            }
            Action::Fail { request: job, .. } => self.decided(seq(&job), Answer::Failed(Failure::Decided)),
            // An edge cannot be told to call an attempt off, and probes are not asked for.
            Action::CancelAttempt { .. } | Action::HealthCheck { .. } => {}
            _ => self.outputs.push(Command::Log("an action that this gateway does not know".into()).into()),
        }
    }

    /// The module's final answer: to the Check that waits, or kept for one that may still ask.
    fn decided(&mut self, seq: u64, answer: Answer) {
        let Some(entry) = self.ledger.get_mut(&seq) else { return };
        if entry.waiting.is_none() {
            entry.verdict = Some(answer);
            return;
        }
        self.answer(seq, answer, None);
        self.drop_entry(seq);
    }

    fn answer(&mut self, seq: u64, answer: Answer, delivery: Option<(u64, u32)>) {
        let Some(caller) = self.ledger.get_mut(&seq).and_then(|e| e.waiting.take()) else { return };
        self.callers.remove(&caller);
        match answer {
            Answer::Allowed(_) => self.tally.allowed += 1,
            Answer::Refused { .. } => self.tally.refused += 1,
            Answer::Failed(_) => self.tally.failed += 1,
        }
        self.outputs.push(Output::Answer { caller, answer, delivery: Delivery(delivery) });
    }
}

fn seq(job: &RequestId) -> u64 {
    u64::from_str_radix(job, 16).unwrap_or(0) // Jobs are named by the ledger, from 1.
}
