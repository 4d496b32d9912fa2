//! Calls to the counter over one pipelined connection, and the pauses before a new connection.

use std::collections::{HashMap, VecDeque};
use weirusher::{Status, Time};

/// Calls that may wait for an answer on one connection; a further one is refused at once.
const MOST_PENDING: usize = 4096;
/// Times the call limit after which the oldest unanswered call shows a dead connection.
pub const GIVE_UP_CONNECTION: f64 = 10.0;
/// Seconds of the first and the longest pause before a new connection: within a refresh of the policy all
/// gateways are back, so that none settles its debts when the others have long gone on.
const PAUSE: (f64, f64) = (0.02, 0.25);

#[derive(Debug)]
struct Pending<T> {
    sent: Time,
    /// `None`: given up; its answer is still owed by the connection, and is swallowed.
    call: Option<T>,
}

/// Matches answers to calls by order. A call that is given up keeps its place, so that its late answer cannot
/// be taken for the next call's.
#[derive(Debug)]
pub struct Pipeline<T> {
    limit: f64,
    pending: VecDeque<Pending<T>>,
    /// How many at the front are given up already.
    given_up: usize,
    /// When the first byte of the answer to the front call came, until all of it is there.
    begun: Option<Time>,
}

impl<T> Pipeline<T> {
    /// A fresh connection's calls, each given up after `limit` seconds.
    pub fn new(limit: f64) -> Self {
        Self { limit, pending: VecDeque::new(), given_up: 0, begun: None }
    }

    /// Notes a call that is being sent.
    ///
    /// # Errors
    /// Too many wait: the call comes back and must not be sent.
    pub fn send(&mut self, now: Time, call: T) -> Result<(), T> {
        if self.pending.len() >= MOST_PENDING {
            return Err(call);
        }
        self.pending.push_back(Pending { sent: now, call: Some(call) });
        Ok(())
    }

    /// Some of the next answer has come, but not all: the rest gets one limit more.
    pub fn begun(&mut self, now: Time) {
        self.begun.get_or_insert(now);
    }

    /// The next answer has come: the call it belongs to and the seconds until it began, unless that was given up. How
    /// long its bytes were on their way tells nothing of how busy the other end is.
    ///
    /// # Errors
    /// Nothing was asked: the connection is out of step and must be dropped.
    pub fn answered(&mut self, now: Time) -> Result<Option<(T, f64)>, Unasked> {
        let began = self.begun.take().unwrap_or(now);
        let pending = self.pending.pop_front().ok_or(Unasked)?;
        if pending.call.is_none() {
            self.given_up -= 1;
        }
        Ok(pending.call.map(|call| (call, (began - pending.sent).max(0.0))))
    }

    /// The calls that have waited past the limit, in order.
    pub fn give_up(&mut self, now: Time) -> Vec<(T, f64)> {
        let mut late = Vec::new();
        while self.live().is_some_and(|deadline| deadline <= now) {
            let pending = &mut self.pending[self.given_up];
            self.given_up += 1;
            late.extend(pending.call.take().map(|call| (call, now - pending.sent)));
        }
        late
    }

    /// When the first call that is not given up is; those behind an answer that has begun wait for it.
    fn live(&self) -> Option<Time> {
        let limits = if self.given_up == 0 && self.begun.is_some() { 2.0 } else { 1.0 };
        self.pending.get(self.given_up).map(|p| p.sent + limits * self.limit)
    }

    /// When [`Pipeline::give_up`] or [`Pipeline::dead`] has something to say.
    pub fn deadline(&self) -> Option<Time> {
        let live = self.live();
        let dead = self.pending.front().map(|p| p.sent + GIVE_UP_CONNECTION * self.limit);
        live.into_iter().chain(dead).reduce(f64::min)
    }

    /// The connection answers nothing any more (half-open, or hung): it should be dropped.
    pub fn dead(&self, now: Time) -> bool {
        self.pending.front().is_some_and(|p| now >= p.sent + GIVE_UP_CONNECTION * self.limit)
    }

    /// The connection is gone: all calls that still wait, in order.
    pub fn broken(&mut self, now: Time) -> Vec<(T, f64)> {
        self.given_up = 0;
        self.pending.drain(..).filter_map(|p| p.call.map(|call| (call, now - p.sent))).collect()
    }
}

/// Connections to the counter that calls go over, at most: an answer that never ends holds up the calls behind
/// it on its own connection only.
const LINES: usize = 6;

/// Where a call goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route {
    /// On this line, which is open or on its way.
    On(usize),
    /// On this line, which must be opened first.
    Open(usize),
    /// Nowhere: no line may be opened yet, or all are full.
    Nowhere,
}

#[derive(Debug)]
struct Line {
    /// Open, or being opened.
    open: bool,
    answered: bool,
    pipeline: Pipeline<(u64, u64)>,
}

/// A few pipelined connections to one counter: which one a call goes on, and when another may be opened.
///
/// Calls for one name stay in order: while one is out, the next follows it on its line. Otherwise a call goes
/// where the fewest are out, and never behind one that is late while there is another way.
#[derive(Debug)]
pub struct Lines {
    limit: f64,
    lines: Vec<Line>,
    /// By name with calls out: their line, and how many.
    names: HashMap<u64, (usize, u32)>,
    backoff: Backoff,
    not_before: Time,
}

impl Lines {
    /// No line is open; a call is given up after `limit` seconds.
    pub fn new(limit: f64, seed: u64) -> Self {
        let line = |_| Line { open: false, answered: false, pipeline: Pipeline::new(limit) };
        let (lines, backoff) = ((0..LINES).map(line).collect(), Backoff::new(seed));
        Self { limit, lines, names: HashMap::new(), backoff, not_before: 0.0 }
    }

    /// Sends a call for `name` on its way, and tells which.
    pub fn send(&mut self, now: Time, call: u64, name: u64) -> Route {
        let Some((line, opens)) = self.choose(now, name) else { return Route::Nowhere };
        if self.lines[line].pipeline.send(now, (call, name)).is_err() {
            return Route::Nowhere;
        }
        if opens {
            self.lines[line].open = true;
        }
        self.names.entry(name).or_insert((line, 0)).1 += 1;
        if opens { Route::Open(line) } else { Route::On(line) }
    }

    fn choose(&self, now: Time, name: u64) -> Option<(usize, bool)> {
        if let Some((line, _)) = self.names.get(&name) {
            return Some((*line, false));
        }
        let load = |at: &usize| {
            let pipeline = &self.lines[*at].pipeline;
            (pipeline.given_up > 0, pipeline.pending.len())
        };
        let best = (0..LINES).filter(|at| self.lines[*at].open).min_by_key(load);
        if best.is_some_and(|at| load(&at) == (false, 0)) {
            return best.map(|at| (at, false));
        }
        let closed = self.lines.iter().position(|line| !line.open).filter(|_| now >= self.not_before);
        closed.map(|at| (at, true)).or(best.map(|at| (at, false)))
    }

    /// Some of the next answer on a line has come, but not all.
    pub fn begun(&mut self, now: Time, line: usize) {
        self.lines[line].pipeline.begun(now);
    }

    /// The next answer has come on a line: its call and the seconds until it began, unless that was given up.
    ///
    /// # Errors
    /// Nothing was asked: the line must be dropped.
    pub fn answered(&mut self, now: Time, line: usize) -> Result<Option<(u64, f64)>, Unasked> {
        let answered = self.lines[line].pipeline.answered(now)?;
        self.lines[line].answered = true;
        self.backoff.reset();
        Ok(answered.map(|((call, name), spent)| {
            self.ended(name);
            (call, spent)
        }))
    }

    /// The calls of a line that have waited past the limit.
    pub fn give_up(&mut self, now: Time, line: usize) -> Vec<(u64, f64)> {
        let late = self.lines[line].pipeline.give_up(now);
        self.all_ended(late)
    }

    /// When [`Lines::give_up`] or [`Lines::dead`] has something to say of a line.
    pub fn deadline(&self, line: usize) -> Option<Time> {
        self.lines[line].pipeline.deadline()
    }

    /// The line answers nothing any more: it should be dropped.
    pub fn dead(&self, now: Time, line: usize) -> bool {
        self.lines[line].pipeline.dead(now)
    }

    /// A line is closed: the calls that still waited on it. One that never answered counts as a failure, after
    /// which none is opened for a while.
    pub fn closed(&mut self, now: Time, line: usize) -> Vec<(u64, f64)> {
        let closed = &mut self.lines[line];
        closed.open = false;
        if !std::mem::take(&mut closed.answered) {
            self.not_before = now + self.backoff.pause();
        }
        let left = closed.pipeline.broken(now);
        closed.pipeline = Pipeline::new(self.limit);
        self.all_ended(left)
    }

    fn all_ended(&mut self, calls: Vec<((u64, u64), f64)>) -> Vec<(u64, f64)> {
        calls.iter().for_each(|((_, name), _)| self.ended(*name));
        calls.into_iter().map(|((call, _), spent)| (call, spent)).collect()
    }

    fn ended(&mut self, name: u64) {
        let Some(out) = self.names.get_mut(&name) else { return };
        out.1 -= 1;
        if out.1 == 0 {
            self.names.remove(&name);
        }
    }
}

/// How a call ended: its status, the total, the seconds it took.
pub type CallEnd = (Status, f64, f64);

/// Hands the ends of one count's calls on in the order in which the calls were made, as the module expects
/// them: a call that is turned away at once must not be taken for an earlier one that is still out.
#[derive(Debug, Default)]
pub struct CallOrder {
    next: u64,
    names: HashMap<u64, u64>,
    queues: HashMap<u64, VecDeque<(u64, Option<CallEnd>)>>,
}

impl CallOrder {
    /// A call to the count `name` begins; its number.
    pub fn begin(&mut self, name: u64) -> u64 {
        self.next += 1;
        self.names.insert(self.next, name);
        self.queues.entry(name).or_default().push_back((self.next, None));
        self.next
    }

    /// A call ended: its count, and all ends that may be handed on now. An unknown call gives none.
    pub fn end(&mut self, call: u64, end: CallEnd) -> Option<(u64, Vec<CallEnd>)> {
        let name = self.names.remove(&call)?;
        let queue = self.queues.get_mut(&name)?;
        queue.iter_mut().find(|(c, _)| *c == call)?.1 = Some(end);
        let mut ends = Vec::new();
        while let Some((_, Some(end))) = queue.front() {
            ends.push(*end);
            queue.pop_front();
        }
        if queue.is_empty() {
            self.queues.remove(&name);
        }
        Some((name, ends))
    }
}

/// An answer came that no call asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an answer came that no call asked for")]
pub struct Unasked;

/// Pauses that double, each drawn between half and the whole, so that a fleet does not return as one herd.
#[derive(Debug)]
pub struct Backoff {
    failures: u32,
    rng: fastrand::Rng,
}

impl Backoff {
    /// No failure yet.
    pub fn new(seed: u64) -> Self {
        Self { failures: 0, rng: fastrand::Rng::with_seed(seed) }
    }

    /// Seconds to wait before the next try.
    pub fn pause(&mut self) -> f64 {
        let most = (PAUSE.0 * f64::from(1u32 << self.failures.min(16))).min(PAUSE.1);
        self.failures += 1;
        most * (0.5 + 0.5 * self.rng.f64())
    }

    /// It worked: the next pause is a first one again.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}

#[cfg(test)]
mod tests;
