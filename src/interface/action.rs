//! Actions: what a gateway wants done.

use super::{BackendId, RequestId, Time};
use std::fmt;

/// Why a request is rejected or fails without a backend's response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum Reason {
    /// Its class, plan or units are invalid.
    Invalid,
    /// Too little time is left until its deadline to decide on it.
    TooLate,
    /// As many requests are open as [`Settings::max_open_requests`](super::Settings::max_open_requests)
    /// allows.
    TooManyOpenRequests,
    /// The concurrency limit of the gateway, over all customers, is reached.
    Overload,
    /// Its customer is beyond its quota: the only reason that the quota gives.
    Quota,
    /// Its customer has as many attempts in flight as its plan allows.
    ConcurrencyLimit,
    /// No backend may be sent to now.
    NoBackend,
    /// Its attempts ended without a response that may be passed on, and no retry is allowed.
    AttemptsFailed,
    /// Its deadline passed before a decision, or while it was unread.
    DeadlineExceeded,
    /// The gateway shuts down before it could be answered.
    Stopping,
}

impl Reason {
    /// Every reason, in the order of their indices.
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

    /// Its name in logs and metrics.
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

/// What is to be done.
#[derive(Debug, Clone, PartialEq)]
#[non_exhaustive]
pub enum Action {
    /// Begin an attempt. The attempts of a request are numbered from 0 in this order.
    Forward {
        /// The request.
        request: RequestId,
        /// The backend.
        backend: BackendId,
        /// Seconds until it is given up.
        timeout: f64,
        /// Seconds within which its last byte must have been sent, or it must not begin: past that, backends
        /// have forgotten the idempotency key of the earlier attempt, and it would take effect twice.
        /// Infinity: any time.
        start_within: f64,
    },
    /// Respond with a rejection: a retry of the client does no harm.
    Reject {
        /// The request.
        request: RequestId,
        /// Retry-After in seconds; 0: none.
        retry_after: f64,
        /// Why.
        reason: Reason,
    },
    /// Respond with a failure: the request may have been executed.
    Fail {
        /// The request.
        request: RequestId,
        /// Why.
        reason: Reason,
    },
    /// Set a timer, which comes back as [`Event::Timer`](super::Event::Timer).
    SetTimer {
        /// Its token.
        token: u64,
        /// When it is due.
        at: Time,
    },
    /// Add to a count and get its total.
    AddToCounter {
        /// The name of the count, below 2^63.
        counter: u64,
        /// Units to add; 0 only reads.
        amount: f64,
        /// Seconds to live of a count that is new.
        ttl: f64,
    },
    /// Watch the endpoint list from now on.
    WatchEndpoints,
}
