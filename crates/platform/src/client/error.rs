//! Why a request is answered with an error.

use super::MAX_BODY_BYTES;
use weirusher_wire::http1::HttpError;

/// Why a request is answered with an error and not forwarded. None was executed, so a retry is safe.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The head is not HTTP/1.1.
    #[error("the head is malformed")]
    Head,
    /// The head is too long.
    #[error("the head is too long")]
    HeadTooLarge,
    /// The length of the body is ambiguous or not supported.
    #[error("the length of the body is ambiguous or not supported")]
    InvalidLength,
    /// The body is too long.
    #[error("the body has more than {MAX_BODY_BYTES} bytes")]
    BodyTooLarge,
    /// The rest of the request did not arrive in time.
    #[error("the request was not complete in time")]
    ReadTimeout,
    /// The target does not name a customer.
    #[error("the target does not name a customer")]
    Target,
    /// The method or a body does not fit the class.
    #[error("the method or body does not fit the class")]
    Method,
    /// The named header is missing, occurs twice or has an invalid value.
    #[error("the header {0} is missing, occurs twice or is invalid")]
    Field(&'static str),
    /// A request with the same id is open.
    #[error("a request with the same id is open")]
    DuplicateId,
    /// The byte budget for request bodies is used up.
    #[error("no memory is left for the body")]
    OutOfMemory,
}

impl RequestError {
    /// The status code of the response.
    pub fn status(self) -> u16 {
        match self {
            Self::Head | Self::InvalidLength | Self::Field(_) => 400,
            Self::HeadTooLarge => 431,
            Self::BodyTooLarge => 413,
            Self::ReadTimeout => 408,
            Self::Target => 404,
            Self::Method => 405,
            Self::DuplicateId => 409,
            Self::OutOfMemory => 503,
        }
    }
}

impl From<HttpError> for RequestError {
    fn from(error: HttpError) -> Self {
        match error {
            HttpError::HeadTooLarge => Self::HeadTooLarge,
            HttpError::BodyTooLarge => Self::BodyTooLarge,
            HttpError::InvalidLength => Self::InvalidLength,
            _ => Self::Head,
        }
    }
}
