//! Heads of HTTP/1.1 messages, read where they lie: nothing is copied.

use crate::body::Framing;
use crate::http1::{HttpError, MOST_HEAD, MOST_HEADERS};

/// Finds the end of a head as its bytes come in: only what is new is searched, so that a byte a second does
/// not cost a search of the whole each time.
#[derive(Debug, Default)]
pub struct HeadSearch(usize);

impl HeadSearch {
    /// The length of the head at the start of `src`, its empty line included, once all of it is there.
    ///
    /// # Errors
    /// It is longer than [`MOST_HEAD`].
    pub fn end(&mut self, src: &[u8]) -> Result<Option<usize>, HttpError> {
        let from = self.0.saturating_sub(3).min(src.len());
        let found = src[from..].windows(4).position(|w| w == b"\r\n\r\n").map(|at| from + at + 4);
        self.0 = if found.is_some() { 0 } else { src.len() };
        if found.unwrap_or(src.len()) > MOST_HEAD { Err(HttpError::HeadTooLarge) } else { Ok(found) }
    }
}

/// Room for the headers of one head.
pub type Slots<'b> = [httparse::Header<'b>; MOST_HEADERS];

/// Empty room.
pub const NO_HEADERS: Slots<'static> = [httparse::EMPTY_HEADER; MOST_HEADERS];

/// A header came twice where one is allowed, or is no text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BadField;

/// The headers of a head.
#[derive(Debug, Clone, Copy)]
pub struct Fields<'h, 'b>(&'h [httparse::Header<'b>]);

impl<'h, 'b> Fields<'h, 'b> {
    /// Every header in its order.
    pub fn all(&self) -> impl Iterator<Item = (&'b str, &'b [u8])> + use<'h, 'b> {
        self.0.iter().map(|h| (h.name, h.value))
    }

    /// A header that may come once; `None`: it did not come.
    ///
    /// # Errors
    /// It came twice, or is not visible ASCII with spaces.
    pub fn one(&self, name: &str) -> Result<Option<&'b str>, BadField> {
        let mut values = self.0.iter().filter(|h| h.name.eq_ignore_ascii_case(name)).map(|h| h.value);
        let Some(value) = values.next() else { return Ok(None) };
        if values.next().is_some() || !value.iter().all(|b| (0x20..0x7f).contains(b)) {
            return Err(BadField);
        }
        std::str::from_utf8(value).map(Some).map_err(|_| BadField)
    }

    /// Whether a header came at all.
    pub fn has(&self, name: &str) -> bool {
        self.0.iter().any(|h| h.name.eq_ignore_ascii_case(name))
    }

    /// Whether the sender closes the connection after this message.
    pub fn closes(&self) -> bool {
        let closing =
            |value: &[u8]| value.split(|b| *b == b',').any(|t| t.trim_ascii().eq_ignore_ascii_case(b"close"));
        self.0.iter().any(|h| h.name.eq_ignore_ascii_case("connection") && closing(h.value))
    }

    /// How the end of the body is told; `None`: the head does not say. Only one way is taken: a length beside chunks is
    /// how requests are smuggled.
    ///
    /// # Errors
    /// It is told in two ways, in another encoding, by no plain number, or the length is past `most`.
    pub fn framing(&self, most: usize) -> Result<Option<Framing>, HttpError> {
        if !self.has("transfer-encoding") {
            return Ok(self.length(most)?.map(Framing::Length));
        }
        let encoding = self.one("transfer-encoding").map_err(|_| HttpError::Length)?;
        let chunked = encoding.is_some_and(|text| text.trim().eq_ignore_ascii_case("chunked"));
        if chunked && !self.has("content-length") {
            Ok(Some(Framing::Chunked))
        } else {
            Err(HttpError::Length)
        }
    }

    /// The stated length of the body; `None`: none is stated. Two lengths, or a length and an encoding, are how
    /// requests are smuggled.
    ///
    /// # Errors
    /// A length in two ways, in an encoding, no plain number, or past `most`.
    pub fn length(&self, most: usize) -> Result<Option<usize>, HttpError> {
        if self.has("transfer-encoding") {
            return Err(HttpError::Length);
        }
        let Some(text) = self.one("content-length").map_err(|_| HttpError::Length)? else { return Ok(None) };
        if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
            return Err(HttpError::Length);
        }
        let length = text.parse().map_err(|_| HttpError::BodyTooLarge)?;
        if length > most { Err(HttpError::BodyTooLarge) } else { Ok(Some(length)) }
    }
}

/// The head of a request.
#[derive(Debug, Clone, Copy)]
pub struct RequestHead<'h, 'b> {
    /// Its method.
    pub method: &'b str,
    /// Its target.
    pub target: &'b str,
    /// Its headers.
    pub fields: Fields<'h, 'b>,
}

/// The head of a response.
#[derive(Debug, Clone, Copy)]
pub struct ResponseHead<'h, 'b> {
    /// Its status.
    pub status: u16,
    /// Its headers.
    pub fields: Fields<'h, 'b>,
}

fn malformed(error: httparse::Error) -> HttpError {
    if error == httparse::Error::TooManyHeaders {
        HttpError::HeadTooLarge
    } else {
        HttpError::Malformed(error.to_string())
    }
}

/// The end of a whole head is where the search found it, and its version is 1.1: a line feed alone, or an
/// older version, is read in two ways by two readers.
fn whole(bytes: &[u8], parsed: httparse::Status<usize>, version: Option<u8>) -> Result<(), HttpError> {
    if parsed != httparse::Status::Complete(bytes.len()) {
        return Err(HttpError::Malformed("it ends before its empty line".into()));
    }
    if version != Some(1) {
        return Err(HttpError::Malformed("its version is not 1.1".into()));
    }
    Ok(())
}

/// Reads the head of a request, all of which is in `bytes`.
///
/// # Errors
/// It is no head of HTTP/1.1, or has too many headers.
pub fn request<'h, 'b>(bytes: &'b [u8], slots: &'h mut Slots<'b>) -> Result<RequestHead<'h, 'b>, HttpError> {
    let mut parsed = httparse::Request::new(slots);
    let status = parsed.parse(bytes).map_err(malformed)?;
    whole(bytes, status, parsed.version)?;
    let (method, target) = (parsed.method.unwrap_or(""), parsed.path.unwrap_or(""));
    Ok(RequestHead { method, target, fields: Fields(parsed.headers) })
}

/// Reads the head of a response, all of which is in `bytes`.
///
/// # Errors
/// It is no head of HTTP/1.1, or has too many headers.
pub fn response<'h, 'b>(
    bytes: &'b [u8],
    slots: &'h mut Slots<'b>,
) -> Result<ResponseHead<'h, 'b>, HttpError> {
    let mut parsed = httparse::Response::new(slots);
    let status = parsed.parse(bytes).map_err(malformed)?;
    whole(bytes, status, parsed.version)?;
    Ok(ResponseHead { status: parsed.code.unwrap_or(0), fields: Fields(parsed.headers) })
}
