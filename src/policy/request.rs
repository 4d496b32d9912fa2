//! A request that is open, and its attempts.

use crate::interface::{Request, Time};

/// Whether an attempt may have taken effect.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Progress {
    /// It is in flight.
    Pending,
    /// It surely never ran.
    NeverRan,
    /// It may have run.
    MayHaveRun,
}

/// One attempt of a request.
#[derive(Debug)]
pub(super) struct Attempt {
    /// Index of its backend.
    pub(super) backend: usize,
    pub(super) sent: Time,
    pub(super) progress: Progress,
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
    pub(super) fn pending_attempts(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.progress == Progress::Pending).count()
    }

    /// Whether no attempt can have taken effect.
    pub(super) fn never_ran(&self) -> bool {
        self.attempts.iter().all(|attempt| attempt.progress == Progress::NeverRan)
    }
}
