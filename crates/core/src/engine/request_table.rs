//! The open requests and their attempts.

use super::check::{CallerId, CheckOutcome};
use crate::ticket_validator::MAX_CLOCK_SKEW_SECONDS;
use crate::timer_wheel::TimerKey;
use std::collections::HashMap;
use weirusher::{BackendId, CustomerId, RequestId, Time};

/// Identifies one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// The request's number, counted from 1 in each incarnation of the engine.
    pub request: u64,
    /// The attempt's number within the request, counted from 0.
    pub attempt: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptState {
    /// The policy started it, and no check has claimed it yet.
    Unclaimed,
    /// Its ticket was issued.
    InFlight,
    Closed,
}

#[derive(Debug)]
pub(super) struct Attempt {
    pub backend: BackendId,
    pub started_at: Time,
    pub deadline: Time,
    /// When the backends may discard the request's idempotency key. The attempt must not be executed later.
    pub window_end: Time,
    pub state: AttemptState,
    /// Whether a report closed it.
    pub reported: bool,
    /// Closes the attempt if no report does, or abandons it if no check claims it.
    pub timer: Option<TimerKey>,
}

impl Attempt {
    /// Creates an attempt that no check has claimed yet. It times out after `timeout` seconds, and must not
    /// be executed later than `start_within` seconds from now.
    pub fn new(now: Time, backend: BackendId, timeout: f64, start_within: f64) -> Self {
        Self {
            backend,
            started_at: now,
            deadline: now + timeout,
            window_end: now + start_within,
            state: AttemptState::Unclaimed,
            reported: false,
            timer: None,
        }
    }

    /// When the attempt's ticket expires. A backend's clock may lag by the maximum skew, and the backend
    /// accepts a ticket for the same time past its expiry. The ticket therefore expires at least twice the
    /// maximum skew before the end of the window.
    pub fn ticket_expiry(&self) -> Time {
        self.deadline.min(self.window_end - 2.0 * MAX_CLOCK_SKEW_SECONDS)
    }
}

#[derive(Debug)]
pub(super) struct OpenRequest {
    pub id: RequestId,
    pub customer: CustomerId,
    pub class: usize,
    pub units: f64,
    pub attempts: Vec<Attempt>,
    /// The caller of its pending check; `None` if no check is pending.
    pub caller: Option<CallerId>,
    /// The policy's outcome, kept for a check that may still arrive.
    pub outcome: Option<CheckOutcome>,
    /// Runs while a check waits for the report of the previous attempt.
    pub report_timer: Option<TimerKey>,
    /// Ends the request some time after its deadline.
    pub expiry_timer: Option<TimerKey>,
}

impl OpenRequest {
    /// Whether no check is pending and all attempts are closed.
    pub fn is_finished(&self) -> bool {
        self.caller.is_none() && self.attempts.iter().all(|a| a.state == AttemptState::Closed)
    }

    /// Index of the last attempt with an issued ticket.
    pub fn last_issued_attempt(&self) -> Option<usize> {
        self.attempts.iter().rposition(|a| a.state != AttemptState::Unclaimed)
    }
}

/// The open requests by number.
#[derive(Debug)]
pub(super) struct RequestTable {
    requests: HashMap<u64, OpenRequest>,
    capacity: usize,
    last_number: u64,
}

impl RequestTable {
    /// An empty table for up to `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Self { requests: HashMap::new(), capacity, last_number: 0 }
    }

    pub fn len(&self) -> usize {
        self.requests.len()
    }

    pub fn is_full(&self) -> bool {
        self.requests.len() >= self.capacity
    }

    /// Allocates the number of a new request.
    pub fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    pub fn insert(&mut self, number: u64, request: OpenRequest) {
        self.requests.insert(number, request);
    }

    pub fn get(&self, number: u64) -> Option<&OpenRequest> {
        self.requests.get(&number)
    }

    pub fn get_mut(&mut self, number: u64) -> Option<&mut OpenRequest> {
        self.requests.get_mut(&number)
    }

    pub fn attempt(&self, id: AttemptId) -> Option<&Attempt> {
        self.requests.get(&id.request)?.attempts.get(id.attempt as usize)
    }

    /// Removes a request that is finished.
    pub fn remove_finished(&mut self, number: u64) -> Option<OpenRequest> {
        self.requests.get(&number).filter(|request| request.is_finished())?;
        self.requests.remove(&number)
    }
}

/// The id under which the policy knows a request.
pub(super) fn request_id(number: u64) -> RequestId {
    RequestId::from(format!("{number:x}"))
}

/// The number of a request with an id from [`request_id`].
pub(super) fn request_number(id: &RequestId) -> u64 {
    u64::from_str_radix(id, 16).unwrap_or(0) // No request has number 0.
}
