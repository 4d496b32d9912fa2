//! Actions: what the caller must do for a gateway.

use super::{BackendId, RequestId, Time};
use std::fmt;

/// Why a request is rejected or fails without the response of a backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum Reason {
    /// The class, plan or units of the request are invalid.
    Invalid,
    /// Too little time is left until the deadline to decide the request.
    TooLate,
    /// The number of open requests has reached
    /// [`Settings::max_open_requests`](super::Settings::max_open_requests).
    TooManyOpenRequests,
    /// The concurrency limit of the gateway, over all customers, is reached.
    Overload,
    /// The customer's quota is exhausted. No other reason is related to the quota.
    Quota,
    /// The customer has as many attempts in flight as its plan allows.
    ConcurrencyLimit,
    /// No backend is available.
    NoBackend,
    /// All attempts ended without a response that may be passed on, and no retry is allowed.
    AttemptsFailed,
    /// The deadline passed before the request was decided, or before it was read.
    DeadlineExceeded,
    /// The gateway shuts down before the request could be answered.
    Stopping,
}

impl Reason {
    /// All reasons, in the order of their discriminants.
    pub const ALL: [Self; 10] = [
        Self::Invalid,
        Self::TooLate,
        Self::TooManyOpenRequests,
        Self::Overload,
        Self::Quota,
        Self::ConcurrencyLimit,
        Self::NoBackend,
        Self::AttemptsFailed,
        Self::DeadlineExceeded,
        Self::Stopping,
    ];

    /// The name of the reason in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Invalid => "invalid",
            Self::TooLate => "too_late",
            Self::TooManyOpenRequests => "too_many_open",
            Self::Overload => "overload",
            Self::Quota => "quota",
            Self::ConcurrencyLimit => "open_cap",
            Self::NoBackend => "no_server",
            Self::AttemptsFailed => "attempts_failed",
            Self::DeadlineExceeded => "deadline_exceeded",
            Self::Stopping => "stopping",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// An action that the caller must carry out.
#[derive(Debug, Clone, PartialEq)]
#[non_exhaustive]
pub enum Action {
    /// Start an attempt. The attempts of a request are numbered from 0 in the order of these actions.
    Forward {
        /// The request to send.
        request: RequestId,
        /// The backend to send it to.
        backend: BackendId,
        /// Seconds after which the attempt times out.
        timeout: f64,
        /// Seconds within which the last byte of the request must have been sent; otherwise the attempt must
        /// not start. After that time backends have discarded the idempotency key of the earlier attempt, and
        /// the request would take effect twice. Infinity means no limit.
        start_within: f64,
    },
    /// Respond with a rejection: the client may safely retry.
    Reject {
        /// The request to reject.
        request: RequestId,
        /// Value of Retry-After in seconds; 0 if there is none.
        retry_after: f64,
        /// Why the request is rejected.
        reason: Reason,
    },
    /// Respond with a failure: the request may have been executed.
    Fail {
        /// The request that fails.
        request: RequestId,
        /// Why the request fails.
        reason: Reason,
    },
    /// Set a timer. When it is due, [`Event::Timer`](super::Event::Timer) must be passed with its token.
    SetTimer {
        /// Identifies the timer.
        token: u64,
        /// When the timer is due.
        at: Time,
    },
    /// Add to a count and return its total.
    AddToCounter {
        /// The name of the count, below 2^63.
        counter: u64,
        /// Units to add; 0 only reads the total.
        amount: f64,
        /// Time to live, in seconds, of a count that does not exist yet.
        ttl: f64,
    },
    /// Watch the endpoint list from now on.
    WatchEndpoints,
}
