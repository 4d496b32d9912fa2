//! Counters of the proxy core. Each only increases; they are logged when the process stops.

use super::output::Outcome;
use std::fmt;
use weirusher::{Reason, Status};

/// How often each reason was given for a request that was rejected or failed.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub struct ReasonCounts([u64; Reason::ALL.len()]);

impl ReasonCounts {
    fn add(&mut self, reason: Reason) {
        let index = Reason::ALL.iter().position(|known| *known == reason);
        if let Some(index) = index {
            self.0[index] += 1;
        }
    }

    /// Each reason that was given, with its count.
    pub fn iter(&self) -> impl Iterator<Item = (Reason, u64)> {
        Reason::ALL.into_iter().zip(self.0).filter(|(_, count)| *count > 0)
    }
}

impl fmt::Debug for ReasonCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_map().entries(self.iter().map(|(reason, count)| (reason.name(), count))).finish()
    }
}

/// Counts of requests and attempts since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProxyMetrics {
    /// Requests received.
    pub requests: u64,
    /// Attempts started.
    pub attempts: u64,
    /// Requests answered by a backend.
    pub served: u64,
    /// Requests rejected before execution.
    pub rejected: u64,
    /// Requests failed.
    pub failed: u64,
    /// Requests withdrawn because the client closed its connection first.
    pub client_gone: u64,
    /// Requests that the policy had not answered by their deadline. Also counted as failed.
    pub undecided: u64,
    /// Attempts aborted at their timeout.
    pub attempts_timed_out: u64,
    /// Attempts that never reached their backend.
    pub attempts_not_sent: u64,
    /// Attempts that their backend rejected before execution.
    pub attempts_rejected: u64,
    /// Attempts that ended with an error response, a reset or a malformed response.
    pub attempts_failed: u64,
    /// Why requests were rejected or failed.
    pub reasons: ReasonCounts,
}

impl ProxyMetrics {
    pub(super) fn count_outcome(&mut self, outcome: &Outcome) {
        match outcome {
            Outcome::Rejected { .. } => self.rejected += 1,
            Outcome::Failed { .. } => self.failed += 1,
        }
        self.reasons.add(outcome.reason());
    }

    pub(super) fn count_attempt_end(&mut self, status: Status) {
        match status {
            Status::ConnectFailed | Status::NotSent => self.attempts_not_sent += 1,
            Status::Rejected => self.attempts_rejected += 1,
            Status::Timeout => self.attempts_timed_out += 1,
            Status::Error | Status::Reset => self.attempts_failed += 1,
            Status::Ok | Status::Cancelled => {}
        }
    }
}
