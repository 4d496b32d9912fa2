//! Violations of the guard's rules, and their counts.

use std::fmt;

/// A broken rule. A decision that would break one is counted and not carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    /// An attempt beyond the maximum number per request.
    TooManyAttempts,
    /// A second attempt in flight for a request that may not be hedged.
    ConcurrentAttempt,
    /// A retry of a non-idempotent request of which an earlier attempt may have been executed.
    UnsafeRetry,
    /// A retry after the window within which the backends discard duplicates of the request.
    RetryAfterWindow,
    /// A connection closed while a request that was read from it was pending and its client still connected.
    ClosedUnanswered,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooManyAttempts => "too_many_attempts",
            Self::ConcurrentAttempt => "concurrent_attempt",
            Self::UnsafeRetry => "unsafe_retry",
            Self::RetryAfterWindow => "retry_after_window",
            Self::ClosedUnanswered => "closed_unanswered",
        })
    }
}

/// How often each [`Violation`] was found since the start. All counts are 0 unless the gateway has a bug.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize)]
pub struct Violations {
    /// See [`Violation::TooManyAttempts`].
    pub too_many_attempts: u64,
    /// See [`Violation::ConcurrentAttempt`].
    pub concurrent_attempt: u64,
    /// See [`Violation::UnsafeRetry`].
    pub unsafe_retry: u64,
    /// See [`Violation::RetryAfterWindow`].
    pub retry_after_window: u64,
    /// See [`Violation::ClosedUnanswered`].
    pub closed_unanswered: u64,
}

impl Violations {
    /// The sum of all counts.
    pub fn total(&self) -> u64 {
        self.too_many_attempts
            + self.concurrent_attempt
            + self.unsafe_retry
            + self.retry_after_window
            + self.closed_unanswered
    }

    pub(super) fn add(&mut self, violation: Violation, count: u64) {
        *match violation {
            Violation::TooManyAttempts => &mut self.too_many_attempts,
            Violation::ConcurrentAttempt => &mut self.concurrent_attempt,
            Violation::UnsafeRetry => &mut self.unsafe_retry,
            Violation::RetryAfterWindow => &mut self.retry_after_window,
            Violation::ClosedUnanswered => &mut self.closed_unanswered,
        } += count;
    }
}
