//! The table of open requests: each with its deadline and its attempts.

use crate::guard::{Execution, PriorAttempt, SendConditions, SendError};
use crate::timer_wheel::TimerKey;
use std::collections::HashMap;
use weirusher::{BackendId, RequestId, Status, Time};

/// One attempt of an open request.
#[derive(Debug)]
pub(super) struct Attempt {
    pub backend: BackendId,
    pub started_at: Time,
    /// Latest time at which its last byte may be written.
    pub write_deadline: Time,
    /// When it times out.
    pub deadline: Time,
    pub execution: Execution,
    /// The timer of its timeout; `None` once it has ended.
    pub timer: Option<TimerKey>,
}

impl Attempt {
    fn as_prior(&self) -> PriorAttempt {
        PriorAttempt { started_at: self.started_at, execution: self.execution }
    }
}

/// A request that is pending, or has attempts in flight.
#[derive(Debug)]
pub(super) struct OpenRequest {
    /// Index of its class.
    pub class: usize,
    /// When its response must be written.
    pub deadline: Time,
    /// The timer of its deadline while it is pending; `None` once it has its response or was withdrawn.
    deadline_timer: Option<TimerKey>,
    attempts: Vec<Attempt>,
    in_flight: usize,
}

impl OpenRequest {
    /// A pending request without attempts.
    pub fn new(class: usize, deadline: Time, deadline_timer: TimerKey) -> Self {
        Self { class, deadline, deadline_timer: Some(deadline_timer), attempts: Vec::new(), in_flight: 0 }
    }

    /// The attempts of this request so far, as the guard needs them.
    pub fn prior_attempts(&self) -> Vec<PriorAttempt> {
        self.attempts.iter().map(Attempt::as_prior).collect()
    }

    /// The number of its next attempt.
    pub fn next_attempt(&self) -> u32 {
        self.attempts.len() as u32
    }

    /// Whether an attempt may have been executed.
    pub fn may_have_executed(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.execution != Execution::NotExecuted)
    }

    pub fn add_attempt(&mut self, attempt: Attempt) {
        self.attempts.push(attempt);
        self.in_flight += 1;
    }
}

/// An attempt that has just ended.
#[derive(Debug)]
pub(super) struct EndedAttempt {
    pub backend: BackendId,
    /// Seconds from its start to its end.
    pub elapsed: f64,
    /// The timer of its timeout, to be cancelled.
    pub timer: TimerKey,
}

/// All open requests by id.
#[derive(Debug, Default)]
pub(super) struct RequestTable {
    requests: HashMap<RequestId, OpenRequest>,
    pending: usize,
}

impl RequestTable {
    /// Number of open requests: pending ones, and those with attempts in flight.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Number of requests without a response.
    pub fn pending(&self) -> usize {
        self.pending
    }

    pub fn pending_ids(&self) -> impl Iterator<Item = &RequestId> {
        self.requests.iter().filter(|(_, request)| request.deadline_timer.is_some()).map(|(id, _)| id)
    }

    pub fn contains(&self, id: &str) -> bool {
        self.requests.contains_key(id)
    }

    pub fn is_pending(&self, id: &str) -> bool {
        self.requests.get(id).is_some_and(|request| request.deadline_timer.is_some())
    }

    pub fn is_in_flight(&self, id: &str, attempt: u32) -> bool {
        let attempt = self.requests.get(id).and_then(|request| request.attempts.get(attempt as usize));
        attempt.is_some_and(|attempt| attempt.timer.is_some())
    }

    /// Number of attempts that a request has had.
    pub fn attempts(&self, id: &str) -> u32 {
        self.requests.get(id).map_or(0, OpenRequest::next_attempt)
    }

    pub fn get_mut(&mut self, id: &str) -> Option<&mut OpenRequest> {
        self.requests.get_mut(id)
    }

    /// Adds a pending request.
    pub fn insert(&mut self, id: RequestId, request: OpenRequest) {
        self.requests.insert(id, request);
        self.pending += 1;
    }

    /// Moves every deadline later than `latest` to `latest`. `rearm` must cancel the given timer and return a
    /// new one at `latest`.
    pub fn cap_deadlines(&mut self, latest: Time, mut rearm: impl FnMut(TimerKey, &RequestId) -> TimerKey) {
        for (id, request) in &mut self.requests {
            let Some(timer) = request.deadline_timer.filter(|_| request.deadline > latest) else { continue };
            request.deadline = latest;
            request.deadline_timer = Some(rearm(timer, id));
        }
    }

    /// The state of an attempt that is about to be sent.
    ///
    /// # Errors
    /// [`SendError::NotPending`] if there is no such request, [`SendError::AttemptEnded`] if it has no such
    /// attempt.
    pub fn send_conditions(
        &self,
        id: &str,
        attempt: u32,
        backend_available: bool,
    ) -> Result<SendConditions, SendError> {
        let request = self.requests.get(id).ok_or(SendError::NotPending)?;
        let attempt = request.attempts.get(attempt as usize).ok_or(SendError::AttemptEnded)?;
        Ok(SendConditions {
            request_deadline: request.deadline_timer.map(|_| request.deadline),
            attempt_deadline: attempt.timer.map(|_| attempt.deadline),
            write_deadline: attempt.write_deadline,
            backend_available,
        })
    }

    /// Records that a request has its response or was withdrawn. Returns the timer to cancel;
    /// `None` if the request is unknown or was no longer pending.
    pub fn end_pending(&mut self, id: &str) -> Option<TimerKey> {
        let timer = self.requests.get_mut(id)?.deadline_timer.take()?;
        self.pending -= 1;
        Some(timer)
    }

    /// Records the end of an attempt. `None` if it had already ended or does not exist.
    pub fn end_attempt(&mut self, now: Time, id: &str, attempt: u32, status: Status) -> Option<EndedAttempt> {
        let request = self.requests.get_mut(id)?;
        let attempt = request.attempts.get_mut(attempt as usize)?;
        let timer = attempt.timer.take()?;
        attempt.execution = match status {
            Status::Rejected | Status::ConnectFailed | Status::NotSent => Execution::NotExecuted,
            Status::Ok | Status::Error | Status::Timeout | Status::Reset | Status::Cancelled => {
                Execution::MayHaveExecuted
            }
        };
        request.in_flight -= 1;
        Some(EndedAttempt { backend: attempt.backend.clone(), elapsed: now - attempt.started_at, timer })
    }

    /// Removes and returns a request that is not pending and has no attempt in flight.
    pub fn remove_finished(&mut self, id: &str) -> Option<OpenRequest> {
        let request = self.requests.get(id)?;
        let is_finished = request.deadline_timer.is_none() && request.in_flight == 0;
        if is_finished { self.requests.remove(id) } else { None }
    }
}
