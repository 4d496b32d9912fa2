//! Zero-copy parsing of HTTP/1.1 message heads (RFC 9112).

use crate::body::Framing;
use crate::http1::{HttpError, MAX_HEAD_BYTES, MAX_HEADERS};

/// The line break of the last header and the empty line that ends a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Finds the end of a head as its bytes arrive. Only new bytes are searched: otherwise a peer that sends one byte at a
/// time would cause a search of the whole head for each byte.
#[derive(Debug, Default)]
pub struct HeadSearch {
    /// Number of bytes that were searched without finding the end.
    searched: usize,
}

impl HeadSearch {
    /// The length of the head at the start of `src`, including its empty line, once the head is complete.
    ///
    /// # Errors
    /// The head is longer than [`MAX_HEAD_BYTES`].
    pub fn find_end(&mut self, src: &[u8]) -> Result<Option<usize>, HttpError> {
        let from = self.searched.saturating_sub(HEAD_END.len() - 1).min(src.len());
        let position = src[from..].windows(HEAD_END.len()).position(|window| window == HEAD_END);
        let end = position.map(|position| from + position + HEAD_END.len());
        self.searched = if end.is_some() { 0 } else { src.len() };
        if end.unwrap_or(src.len()) > MAX_HEAD_BYTES { Err(HttpError::HeadTooLarge) } else { Ok(end) }
    }
}

/// Storage for the parsed headers of one head.
pub type HeaderSlots<'b> = [httparse::Header<'b>; MAX_HEADERS];

/// Empty storage to pass to a parser.
pub const EMPTY_HEADERS: HeaderSlots<'static> = [httparse::EMPTY_HEADER; MAX_HEADERS];

/// A header that may occur only once is repeated, or its value has bytes other than visible ASCII and spaces.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("a header occurs twice or is not visible ASCII")]
pub struct InvalidField;

/// The headers of a head.
#[derive(Debug, Clone, Copy)]
pub struct HeaderFields<'h, 'b>(&'h [httparse::Header<'b>]);

impl<'h, 'b> HeaderFields<'h, 'b> {
    /// The names and values of all headers, in order.
    pub fn iter(&self) -> impl Iterator<Item = (&'b str, &'b [u8])> + use<'h, 'b> {
        self.0.iter().map(|header| (header.name, header.value))
    }

    /// The value of a header that may occur once; `None` if it is absent.
    ///
    /// # Errors
    /// It is repeated, or its value has bytes other than visible ASCII and spaces.
    pub fn single(&self, name: &str) -> Result<Option<&'b str>, InvalidField> {
        let mut values =
            self.0.iter().filter(|header| header.name.eq_ignore_ascii_case(name)).map(|header| header.value);
        let Some(value) = values.next() else { return Ok(None) };
        if values.next().is_some() || !value.iter().all(|byte| (0x20..0x7f).contains(byte)) {
            return Err(InvalidField);
        }
        std::str::from_utf8(value).map(Some).map_err(|_| InvalidField)
    }

    /// Whether a header is present.
    pub fn contains(&self, name: &str) -> bool {
        self.0.iter().any(|header| header.name.eq_ignore_ascii_case(name))
    }

    /// Whether the sender closes the connection after this message (`Connection: close`).
    pub fn closes_connection(&self) -> bool {
        let has_close = |value: &[u8]| {
            value.split(|byte| *byte == b',').any(|token| token.trim_ascii().eq_ignore_ascii_case(b"close"))
        };
        self.0.iter().any(|header| header.name.eq_ignore_ascii_case("connection") && has_close(header.value))
    }

    /// How the end of the body is determined (RFC 9112, section 6.3); `None` if the head has neither a
    /// `Content-Length` nor a `Transfer-Encoding`.
    ///
    /// # Errors
    /// Both a length and an encoding are given, which request smuggling relies on; the encoding is anything but a
    /// single `chunked`; or the length is repeated, not a number or above `max_length`.
    pub fn framing(&self, max_length: usize) -> Result<Option<Framing>, HttpError> {
        if !self.contains("transfer-encoding") {
            return Ok(self.content_length(max_length)?.map(Framing::Length));
        }
        let encoding = self.single("transfer-encoding").map_err(|_| HttpError::InvalidLength)?;
        let chunked = encoding.is_some_and(|text| text.trim().eq_ignore_ascii_case("chunked"));
        if chunked && !self.contains("content-length") {
            Ok(Some(Framing::Chunked))
        } else {
            Err(HttpError::InvalidLength)
        }
    }

    /// The `Content-Length`; `None` if it is absent.
    ///
    /// # Errors
    /// It is repeated, not a number or above `max_length`, or the head also has a `Transfer-Encoding`.
    pub fn content_length(&self, max_length: usize) -> Result<Option<usize>, HttpError> {
        if self.contains("transfer-encoding") {
            return Err(HttpError::InvalidLength);
        }
        let Some(text) = self.single("content-length").map_err(|_| HttpError::InvalidLength)? else {
            return Ok(None);
        };
        if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
            return Err(HttpError::InvalidLength);
        }
        let length = text.parse().map_err(|_| HttpError::BodyTooLarge)?;
        if length > max_length { Err(HttpError::BodyTooLarge) } else { Ok(Some(length)) }
    }
}

/// The head of a request.
#[derive(Debug, Clone, Copy)]
pub struct RequestHead<'h, 'b> {
    /// The method, such as `GET`.
    pub method: &'b str,
    /// The request target, normally a path with an optional query.
    pub target: &'b str,
    /// The headers.
    pub fields: HeaderFields<'h, 'b>,
}

/// The head of a response.
#[derive(Debug, Clone, Copy)]
pub struct ResponseHead<'h, 'b> {
    /// The status code.
    pub status: u16,
    /// The headers.
    pub fields: HeaderFields<'h, 'b>,
}

fn parse_error(error: httparse::Error) -> HttpError {
    if error == httparse::Error::TooManyHeaders { HttpError::HeadTooLarge } else { HttpError::Head(error) }
}

/// Checks that the parser found the end of the head where [`HeadSearch`] did, and that the version is 1.1. Lines that
/// end in a bare line feed and older versions are rejected, as other implementations on the path may interpret them
/// differently.
fn check_head(
    bytes: &[u8],
    parsed: httparse::Status<usize>,
    minor_version: Option<u8>,
) -> Result<(), HttpError> {
    if parsed != httparse::Status::Complete(bytes.len()) {
        return Err(HttpError::Malformed("the head ends before its empty line"));
    }
    if minor_version != Some(1) {
        return Err(HttpError::Malformed("the version is not 1.1"));
    }
    Ok(())
}

/// Parses the head of a request; `bytes` is the whole head and nothing else.
///
/// # Errors
/// It is not an HTTP/1.1 head, or has more than [`MAX_HEADERS`] headers.
pub fn parse_request<'h, 'b>(
    bytes: &'b [u8],
    slots: &'h mut HeaderSlots<'b>,
) -> Result<RequestHead<'h, 'b>, HttpError> {
    let mut parsed = httparse::Request::new(slots);
    let status = parsed.parse(bytes).map_err(parse_error)?;
    check_head(bytes, status, parsed.version)?;
    let (method, target) = (parsed.method.unwrap_or(""), parsed.path.unwrap_or(""));
    Ok(RequestHead { method, target, fields: HeaderFields(parsed.headers) })
}

/// Parses the head of a response; `bytes` is the whole head and nothing else.
///
/// # Errors
/// It is not an HTTP/1.1 head, or has more than [`MAX_HEADERS`] headers.
pub fn parse_response<'h, 'b>(
    bytes: &'b [u8],
    slots: &'h mut HeaderSlots<'b>,
) -> Result<ResponseHead<'h, 'b>, HttpError> {
    let mut parsed = httparse::Response::new(slots);
    let status = parsed.parse(bytes).map_err(parse_error)?;
    check_head(bytes, status, parsed.version)?;
    Ok(ResponseHead { status: parsed.code.unwrap_or(0), fields: HeaderFields(parsed.headers) })
}
