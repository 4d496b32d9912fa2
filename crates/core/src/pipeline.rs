//! Calls on one pipelined connection, matched to their responses by order.

use std::collections::VecDeque;
use weirusher::Time;

/// Maximum number of pending calls on one connection. A further call is rejected at once.
const MAX_PENDING: usize = 4096;
/// Age of a connection's oldest unanswered call, in call timeouts, from which on the connection counts as
/// unresponsive.
pub const UNRESPONSIVE_TIMEOUTS: f64 = 10.0;
/// Total time, in call timeouts, that a call has once its response has started to arrive.
const STARTED_RESPONSE_TIMEOUTS: f64 = 2.0;

/// A call that ended, by its response, its timeout or the loss of its connection.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EndedCall<T> {
    /// The call.
    pub call: T,
    /// Seconds from sending the call to the first byte of its response, or to the end of the call if there
    /// was no response.
    pub elapsed: f64,
}

#[derive(Debug)]
struct PendingCall<T> {
    sent_at: Time,
    /// `None` once the call has timed out. Its response is still outstanding and will be discarded.
    call: Option<T>,
}

/// The calls of one connection. A call that has timed out keeps its place, so that its late response is not
/// matched to the next call.
#[derive(Debug)]
pub struct Pipeline<T> {
    call_timeout: f64,
    pending: VecDeque<PendingCall<T>>,
    /// Number of calls at the front that have timed out.
    timed_out: usize,
    /// When the first byte of the front call's response arrived, until the response is complete.
    response_started_at: Option<Time>,
}

impl<T> Pipeline<T> {
    /// Creates the pipeline of a new connection. Each call times out after `call_timeout` seconds.
    pub fn new(call_timeout: f64) -> Self {
        Self { call_timeout, pending: VecDeque::new(), timed_out: 0, response_started_at: None }
    }

    /// Records a call that is being sent.
    ///
    /// # Errors
    /// Too many calls are pending: the call is returned and must not be sent.
    pub fn send(&mut self, now: Time, call: T) -> Result<(), T> {
        if self.pending.len() >= MAX_PENDING {
            return Err(call);
        }
        self.pending.push_back(PendingCall { sent_at: now, call: Some(call) });
        Ok(())
    }

    /// Records that the next response has started to arrive, which extends its call's timeout by one call
    /// timeout.
    pub fn response_started(&mut self, now: Time) {
        self.response_started_at.get_or_insert(now);
    }

    /// Records that the next response is complete. Returns its call, or `None` if the call has timed out. The
    /// elapsed time ends with the first byte of the response, because the transfer time says nothing about
    /// the load of the server.
    ///
    /// # Errors
    /// No call is pending: the connection is out of sync and must be closed.
    pub fn response_completed(&mut self, now: Time) -> Result<Option<EndedCall<T>>, UnexpectedResponse> {
        let started_at = self.response_started_at.take().unwrap_or(now);
        let pending = self.pending.pop_front().ok_or(UnexpectedResponse)?;
        if pending.call.is_none() {
            self.timed_out -= 1;
        }
        let elapsed = (started_at - pending.sent_at).max(0.0);
        Ok(pending.call.map(|call| EndedCall { call, elapsed }))
    }

    /// Takes the calls that have timed out by `now`, in order.
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

    /// When the first call that has not timed out yet will do so. Calls behind a response that has started to
    /// arrive wait for it.
    fn next_timeout(&self) -> Option<Time> {
        let started = self.timed_out == 0 && self.response_started_at.is_some();
        let timeouts = if started { STARTED_RESPONSE_TIMEOUTS } else { 1.0 };
        self.pending.get(self.timed_out).map(|p| p.sent_at + timeouts * self.call_timeout)
    }

    /// When [`Pipeline::take_timed_out`] or [`Pipeline::is_unresponsive`] should be called next.
    pub fn deadline(&self) -> Option<Time> {
        self.next_timeout().into_iter().chain(self.unresponsive_at()).reduce(f64::min)
    }

    /// Whether the connection has stopped responding (half-open or hung) and should be closed.
    pub fn is_unresponsive(&self, now: Time) -> bool {
        self.unresponsive_at().is_some_and(|at| now >= at)
    }

    fn unresponsive_at(&self) -> Option<Time> {
        self.pending.front().map(|p| p.sent_at + UNRESPONSIVE_TIMEOUTS * self.call_timeout)
    }

    /// Records that the connection was closed, and returns the calls that had neither ended nor timed out, in
    /// order.
    pub fn close(&mut self, now: Time) -> Vec<EndedCall<T>> {
        self.timed_out = 0;
        let ended = |p: PendingCall<T>| p.call.map(|call| EndedCall { call, elapsed: now - p.sent_at });
        self.pending.drain(..).filter_map(ended).collect()
    }

    /// Whether the response of a timed-out call is still outstanding. It may delay the calls behind it.
    pub(crate) fn has_timed_out_calls(&self) -> bool {
        self.timed_out > 0
    }

    /// Number of calls whose response is outstanding, including those that have timed out.
    pub(crate) fn pending_calls(&self) -> usize {
        self.pending.len()
    }
}

/// A response arrived while no call was pending.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("a response arrived while no call was pending")]
pub struct UnexpectedResponse;

#[cfg(test)]
mod tests;
