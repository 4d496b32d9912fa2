//! Errors in requests, and the status codes with which they are answered.

use super::MAX_BODY_BYTES;
use weirusher_buffers::BudgetExhausted;
use weirusher_wire::http1::HttpError;

/// Why a request is rejected with an error response instead of being forwarded. Such a request was not
/// executed, so a retry is safe.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The head is not valid HTTP/1.1.
    #[error("malformed head")]
    MalformedHead,
    /// The head is too long.
    #[error("the head is too long")]
    HeadTooLarge,
    /// The length of the body is ambiguous or its encoding is not supported.
    #[error("the length of the body is ambiguous or its encoding is not supported")]
    InvalidLength,
    /// The body is longer than [`MAX_BODY_BYTES`].
    #[error("the body is longer than {MAX_BODY_BYTES} bytes")]
    BodyTooLarge,
    /// The rest of the request did not arrive in time.
    #[error("timed out while reading the request")]
    ReadTimeout,
    /// The target does not name a customer.
    #[error("the target does not name a customer")]
    UnknownTarget,
    /// The class does not allow the method, or does not allow a body.
    #[error("the class does not allow this method or a request body")]
    MethodNotAllowed,
    /// The named header is missing, duplicated or invalid.
    #[error("header {0} is missing, duplicated or invalid")]
    Header(&'static str),
    /// A request with the same id is open, or may have been executed and must not be executed again.
    #[error("a request with the same id is open or may have been executed")]
    DuplicateId,
    /// The memory for requests is used by others.
    #[error("the memory budget for requests is exhausted")]
    MemoryExhausted,
}

impl RequestError {
    /// The status code of the error response.
    pub fn status(self) -> u16 {
        match self {
            Self::MalformedHead | Self::InvalidLength | Self::Header(_) => 400,
            Self::HeadTooLarge => 431,
            Self::BodyTooLarge => 413,
            Self::ReadTimeout => 408,
            Self::UnknownTarget => 404,
            Self::MethodNotAllowed => 405,
            Self::DuplicateId => 409,
            Self::MemoryExhausted => 503,
        }
    }
}

impl From<BudgetExhausted> for RequestError {
    fn from(_: BudgetExhausted) -> Self {
        Self::MemoryExhausted
    }
}

impl From<HttpError> for RequestError {
    fn from(error: HttpError) -> Self {
        match error {
            HttpError::HeadTooLarge => Self::HeadTooLarge,
            HttpError::BodyTooLarge => Self::BodyTooLarge,
            HttpError::InvalidLength => Self::InvalidLength,
            HttpError::BudgetExhausted(_) => Self::MemoryExhausted,
            _ => Self::MalformedHead,
        }
    }
}
