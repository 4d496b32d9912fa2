//! Calls on one pipelined connection, matched to their responses by order.

use std::collections::VecDeque;
use weirusher::Time;

/// Calls that may be pending on one connection; a further one is rejected at once.
const MAX_PENDING: usize = 4096;
/// Call timeouts after which a connection whose oldest call is still unanswered counts as unresponsive.
pub const UNRESPONSIVE_TIMEOUTS: f64 = 10.0;
/// Call timeouts that a call gets in all once its response has started to arrive.
const STARTED_RESPONSE_TIMEOUTS: f64 = 2.0;

/// A call that ended, by its response, its timeout or the loss of its connection.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EndedCall<T> {
    /// The call.
    pub call: T,
    /// Seconds from its sending to the first byte of its response, or to its end where there was none.
    pub elapsed: f64,
}

#[derive(Debug)]
struct PendingCall<T> {
    sent_at: Time,
    /// `None`: timed out. Its response is still to come and will be discarded.
    call: Option<T>,
}

/// The calls of one connection. A call that timed out keeps its place, so that its late response is not taken
/// for that of the next call.
#[derive(Debug)]
pub struct Pipeline<T> {
    call_timeout: f64,
    pending: VecDeque<PendingCall<T>>,
    /// How many calls at the front have timed out.
    timed_out: usize,
    /// When the first byte of the front call's response arrived, until the response is complete.
    response_started_at: Option<Time>,
}

impl<T> Pipeline<T> {
    /// The pipeline of a new connection; each call times out after `call_timeout` seconds.
    pub fn new(call_timeout: f64) -> Self {
        Self { call_timeout, pending: VecDeque::new(), timed_out: 0, response_started_at: None }
    }

    /// Records a call that is being sent.
    ///
    /// # Errors
    /// Too many calls are pending: the call is handed back and must not be sent.
    pub fn send(&mut self, now: Time, call: T) -> Result<(), T> {
        if self.pending.len() >= MAX_PENDING {
            return Err(call);
        }
        self.pending.push_back(PendingCall { sent_at: now, call: Some(call) });
        Ok(())
    }

    /// The next response has arrived in part: the rest of it gets one timeout more.
    pub fn response_started(&mut self, now: Time) {
        self.response_started_at.get_or_insert(now);
    }

    /// The next response is complete: its call, unless that has timed out. The elapsed time ends with the
    /// response's first byte, as the transfer says nothing about the load of the other end.
    ///
    /// # Errors
    /// No call is pending: the connection is out of step and must be closed.
    pub fn response_completed(&mut self, now: Time) -> Result<Option<EndedCall<T>>, UnexpectedResponse> {
        let started_at = self.response_started_at.take().unwrap_or(now);
        let pending = self.pending.pop_front().ok_or(UnexpectedResponse)?;
        if pending.call.is_none() {
            self.timed_out -= 1;
        }
        let elapsed = (started_at - pending.sent_at).max(0.0);
        Ok(pending.call.map(|call| EndedCall { call, elapsed }))
    }

    /// Takes the calls that have timed out by now, in order.
    pub fn take_timed_out(&mut self, now: Time) -> Vec<EndedCall<T>> {
        let mut ended = Vec::new();
        while self.next_timeout().is_some_and(|deadline| deadline <= now) {
            let pending = &mut self.pending[self.timed_out];
            self.timed_out += 1;
            let elapsed = now - pending.sent_at;
            ended.extend(pending.call.take().map(|call| EndedCall { call, elapsed }));
        }
        ended
    }

    /// When the first call that has not timed out will; calls behind a response that has started wait for it.
    fn next_timeout(&self) -> Option<Time> {
        let started = self.timed_out == 0 && self.response_started_at.is_some();
        let timeouts = if started { STARTED_RESPONSE_TIMEOUTS } else { 1.0 };
        self.pending.get(self.timed_out).map(|p| p.sent_at + timeouts * self.call_timeout)
    }

    /// When [`Pipeline::take_timed_out`] or [`Pipeline::is_unresponsive`] should be asked next.
    pub fn deadline(&self) -> Option<Time> {
        self.next_timeout().into_iter().chain(self.unresponsive_at()).reduce(f64::min)
    }

    /// Whether the connection answers nothing any more (half-open, or hung) and should be closed.
    pub fn is_unresponsive(&self, now: Time) -> bool {
        self.unresponsive_at().is_some_and(|at| now >= at)
    }

    fn unresponsive_at(&self) -> Option<Time> {
        self.pending.front().map(|p| p.sent_at + UNRESPONSIVE_TIMEOUTS * self.call_timeout)
    }

    /// The connection is closed: all calls that were still pending, in order.
    pub fn close(&mut self, now: Time) -> Vec<EndedCall<T>> {
        self.timed_out = 0;
        let ended = |p: PendingCall<T>| p.call.map(|call| EndedCall { call, elapsed: now - p.sent_at });
        self.pending.drain(..).filter_map(ended).collect()
    }

    /// Whether a call has timed out whose response is still to come: calls behind it may be held up.
    pub(crate) fn has_timed_out_calls(&self) -> bool {
        self.timed_out > 0
    }

    /// Calls whose response is still to come, those that have timed out included.
    pub(crate) fn pending_calls(&self) -> usize {
        self.pending.len()
    }
}

/// A response arrived that no call is pending for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("a response arrived while no call was pending")]
pub struct UnexpectedResponse;

#[cfg(test)]
mod tests;
