//! The attempts of a request, as the guard checks them.

use weirusher::Time;

/// Whether an attempt was executed by its backend, as far as is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Execution {
    /// The attempt has not ended.
    InFlight,
    /// The attempt ended and was certainly not executed.
    NotExecuted,
    /// The attempt ended and may have been executed.
    MayHaveExecuted,
}

/// An attempt of a request that was started before the one that is checked.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PriorAttempt {
    /// When it was started.
    pub started_at: Time,
    /// Whether it was executed.
    pub execution: Execution,
}

/// What [`super::Guard::check_send`] needs to know of an attempt whose first byte is about to be written.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SendConditions {
    /// When the response to the request is due; `None` if the request has its response or was withdrawn.
    pub request_deadline: Option<Time>,
    /// When the attempt times out; `None` if it has ended.
    pub attempt_deadline: Option<Time>,
    /// When the last byte has to be written at the latest: the end of the idempotency window.
    pub write_deadline: Time,
    /// The backend is in the endpoint list, at the same address, and accepts new requests.
    pub backend_available: bool,
}

/// The time limits of an attempt that may be sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SendLimits {
    /// Seconds until the attempt times out; the backend is sent this time budget.
    pub timeout: f64,
    /// Seconds within which the last byte has to be written.
    pub write_timeout: f64,
}

/// Why an attempt is not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// The request has its response, or was withdrawn.
    #[error("not_pending")]
    NotPending,
    /// The client has closed or reset its connection.
    #[error("client_gone")]
    ClientGone,
    /// The attempt ended before it was sent.
    #[error("attempt_ended")]
    AttemptEnded,
    /// The deadline of the attempt or of its request has passed.
    #[error("deadline_exceeded")]
    DeadlineExceeded,
    /// The idempotency window ends before the attempt can be written: its effect could happen twice.
    #[error("window_over")]
    WindowOver,
    /// The backend drains, was removed or has another address.
    #[error("backend_unavailable")]
    BackendUnavailable,
}
