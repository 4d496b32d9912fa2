//! The open requests and their attempts.

use super::check::{CallerId, CheckOutcome};
use crate::ticket_validator::MAX_CLOCK_SKEW_SECONDS;
use crate::timer_wheel::TimerKey;
use std::collections::HashMap;
use weirusher::{BackendId, CustomerId, RequestId, Time};

/// Names one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// The request's number, counted from 1 in each incarnation of the engine.
    pub request: u64,
    /// The attempt's number within the request, counted from 0.
    pub attempt: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptState {
    /// The decisions started it, and no check has claimed it yet.
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
    /// When the backends may forget the request's idempotency key: the attempt must not be executed after that.
    pub window_end: Time,
    pub state: AttemptState,
    /// A report closed it.
    pub reported: bool,
    /// Closes it if no report does, or drops it if no check claims it.
    pub timer: Option<TimerKey>,
}

impl Attempt {
    /// An attempt that no check has claimed yet. It times out after `timeout` seconds, and must not be executed later
    /// than `start_within` seconds from now.
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

    /// When the attempt's ticket expires. A backend's clock may be late by the largest skew, and it accepts a ticket for
    /// as long past its expiry; both have passed by the end of the window.
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
    /// The check that is pending.
    pub caller: Option<CallerId>,
    /// The decisions' outcome, kept for a check that may still come.
    pub outcome: Option<CheckOutcome>,
    /// Runs while a check waits for the report of the attempt before it.
    pub report_timer: Option<TimerKey>,
    /// Ends the request some time after its deadline.
    pub expiry_timer: Option<TimerKey>,
}

impl OpenRequest {
    /// Whether nothing refers to the request any more: no check is pending and all attempts are closed.
    pub fn is_finished(&self) -> bool {
        self.caller.is_none() && self.attempts.iter().all(|a| a.state == AttemptState::Closed)
    }

    /// The last attempt of which a ticket was issued.
    pub fn last_issued_attempt(&self) -> Option<usize> {
        self.attempts.iter().rposition(|a| a.state != AttemptState::Unclaimed)
    }
}

/// The requests by their numbers.
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

    /// The number of the next request.
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

/// The decisions' name of a request.
pub(super) fn request_id(number: u64) -> RequestId {
    RequestId::from(format!("{number:x}"))
}

/// The number of a request that [`request_id`] named.
pub(super) fn request_number(id: &RequestId) -> u64 {
    u64::from_str_radix(id, 16).unwrap_or(0) // 0 is no request's number.
}
