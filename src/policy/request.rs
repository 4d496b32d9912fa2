//! Open requests and their attempts.

use crate::interface::{Location, Request, Time};

/// What is known about the execution of an attempt by its backend.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Execution {
    /// The attempt is in flight.
    InFlight,
    /// The attempt ended and was certainly not executed.
    NotExecuted,
    /// The attempt ended and may have been executed.
    MayHaveExecuted,
}

/// One attempt of a request.
#[derive(Debug)]
pub(super) struct Attempt {
    /// Index of its backend.
    pub(super) backend: usize,
    /// Where its backend ran when it was sent.
    pub(super) location: Location,
    pub(super) sent: Time,
    pub(super) execution: Execution,
}

/// A request without a response, or with attempts in flight.
#[derive(Debug)]
pub(super) struct OpenRequest {
    pub(super) request: Request,
    pub(super) arrived: Time,
    pub(super) attempts: Vec<Attempt>,
    /// The request has its response, or its client has disconnected.
    pub(super) closed: bool,
    /// The response has begun.
    pub(super) streaming: bool,
}

impl OpenRequest {
    /// Creates the record of a request that arrived at `now`.
    pub(super) fn new(request: Request, now: Time) -> Self {
        Self { request, arrived: now, attempts: Vec::new(), closed: false, streaming: false }
    }

    pub(super) fn attempts_in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.execution == Execution::InFlight).count()
    }

    /// Returns whether certainly no attempt was executed; false while one is in flight.
    pub(super) fn never_executed(&self) -> bool {
        self.attempts.iter().all(|attempt| attempt.execution == Execution::NotExecuted)
    }
}
