//! A request that is open, and its attempts.

use crate::interface::{Request, Time};

/// Whether an attempt was executed by its backend, as far as is known.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Execution {
    /// It is in flight.
    InFlight,
    /// It ended and was certainly not executed.
    NotExecuted,
    /// It ended and may have been executed.
    MayHaveExecuted,
}

/// One attempt of a request.
#[derive(Debug)]
pub(super) struct Attempt {
    /// Index of its backend.
    pub(super) backend: usize,
    pub(super) sent: Time,
    pub(super) execution: Execution,
}

/// A request without a response, or with attempts in flight.
#[derive(Debug)]
pub(super) struct OpenRequest {
    pub(super) request: Request,
    pub(super) arrived: Time,
    pub(super) attempts: Vec<Attempt>,
    /// It has its response, or its client is gone.
    pub(super) closed: bool,
    /// Its response has begun.
    pub(super) streaming: bool,
}

impl OpenRequest {
    /// A request that arrived at `now`.
    pub(super) fn new(request: Request, now: Time) -> Self {
        Self { request, arrived: now, attempts: Vec::new(), closed: false, streaming: false }
    }

    /// How many attempts are in flight.
    pub(super) fn attempts_in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.execution == Execution::InFlight).count()
    }

    /// Whether no attempt was or may be executed. Also false while one is in flight.
    pub(super) fn never_executed(&self) -> bool {
        self.attempts.iter().all(|attempt| attempt.execution == Execution::NotExecuted)
    }
}
