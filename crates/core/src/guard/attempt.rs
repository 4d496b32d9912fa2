//! The attempts of a request, as far as the guard needs to know them.

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

/// An earlier attempt of the request whose next attempt is checked.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PriorAttempt {
    /// When it was started.
    pub started_at: Time,
    /// Whether it was executed.
    pub execution: Execution,
}

/// The state of an attempt whose first byte is about to be written, for [`super::Guard::check_send`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SendConditions {
    /// When the response to the request is due; `None` if the request has its response or was withdrawn.
    pub request_deadline: Option<Time>,
    /// When the attempt times out; `None` if it has ended.
    pub attempt_deadline: Option<Time>,
    /// Latest time at which the last byte may be written: the end of the idempotency window.
    pub write_deadline: Time,
    /// Whether the backend is in the endpoint list, at the same address, and accepts new requests.
    pub backend_available: bool,
}

/// The time limits of an attempt that may be sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SendLimits {
    /// Seconds until the attempt times out. Sent to the backend as its time budget.
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
    /// The idempotency window ends before the attempt can be written: the request could take effect twice.
    #[error("window_over")]
    WindowOver,
    /// The backend is draining, was removed or has another address.
    #[error("backend_unavailable")]
    BackendUnavailable,
}
