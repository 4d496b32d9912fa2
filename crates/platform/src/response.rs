//! Responses of backends, the counter and discovery, read from the bytes of a connection as they arrive.

use bytes::{Bytes, BytesMut};
use weirusher_wire::body::{BodyReader, Framing};
use weirusher_wire::head::{EMPTY_HEADERS, HeadSearch, parse_response};
use weirusher_wire::http1::HttpError;

/// Most interim responses (1xx) ahead of a final one.
const MAX_INTERIM: u32 = 8;

/// A complete response.
#[derive(Debug, Clone, PartialEq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The body.
    pub body: Bytes,
    /// The backend states that it did not execute the request (`X-Never-Ran: 1`).
    pub not_executed: bool,
    /// The load report of the backend, not parsed.
    pub load_report: Option<String>,
    /// The connection must not be used further.
    pub closes_connection: bool,
}

/// Reads one response after another from a connection.
#[derive(Debug)]
pub struct ResponseReader {
    max_body: usize,
    search: HeadSearch,
    /// The head of the response whose body is being read.
    head: Option<(Response, BodyReader)>,
    /// Interim responses since the last final one.
    interim: u32,
    started: bool,
}

impl ResponseReader {
    /// A reader of responses with bodies of at most `max_body` bytes.
    pub fn new(max_body: usize) -> Self {
        Self { max_body, search: HeadSearch::default(), head: None, interim: 0, started: false }
    }

    /// Whether a part of the next response was received.
    pub fn has_started(&self) -> bool {
        self.started
    }

    /// How many bytes of the body the reader holds, beside those that are still in `src`.
    pub fn buffered(&self) -> usize {
        self.head.as_ref().map_or(0, |(_, body)| body.buffered())
    }

    /// Reads from `src`; returns the next response once it is complete.
    ///
    /// # Errors
    /// The response is malformed or too long; the connection must not be used further.
    pub fn read(&mut self, src: &mut BytesMut) -> Result<Option<Response>, HttpError> {
        while self.head.is_none() {
            self.started = !src.is_empty();
            let Some(end) = self.search.find_end(src)? else { return Ok(None) };
            let head = src.split_to(end);
            self.read_head(&head)?;
        }
        let Some((_, body)) = &mut self.head else { return Ok(None) };
        let Some(body) = body.read(src)? else { return Ok(None) };
        Ok(self.complete(body))
    }

    /// The connection was closed in order, without a reset: returns the response if that is how it ends.
    pub fn finish(&mut self) -> Option<Response> {
        let body = self.head.as_mut()?.1.finish()?;
        self.complete(body)
    }

    /// Parses a head. An interim response is counted and skipped.
    fn read_head(&mut self, bytes: &[u8]) -> Result<(), HttpError> {
        let mut slots = EMPTY_HEADERS;
        let head = parse_response(bytes, &mut slots)?;
        if head.status < 200 {
            self.interim += 1;
            // 101 would switch to another protocol, which was not requested.
            if self.interim > MAX_INTERIM || head.status < 100 || head.status == 101 {
                return Err(HttpError::Malformed("an invalid interim response"));
            }
            return Ok(());
        }
        let fields = head.fields;
        let framing = match head.status {
            // These have no body, whatever their head says (RFC 9112, 6.3).
            204 | 304 => Framing::Length(0),
            _ => fields.framing(self.max_body)?.unwrap_or(Framing::UntilClose),
        };
        let response = Response {
            status: head.status,
            body: Bytes::new(),
            not_executed: fields.single("X-Never-Ran") == Ok(Some("1")),
            load_report: fields.single("Endpoint-Load-Metrics").ok().flatten().map(str::to_string),
            closes_connection: fields.closes_connection() || framing == Framing::UntilClose,
        };
        self.head = Some((response, BodyReader::new(framing, self.max_body)));
        Ok(())
    }

    fn complete(&mut self, body: Bytes) -> Option<Response> {
        self.interim = 0;
        self.head.take().map(|(response, _)| Response { body, ..response })
    }
}
