//! An incremental reader for the responses of backends, the counter and discovery.

use bytes::Buf;
use weirusher_buffers::{ByteBudget, SegmentedBytes};
use weirusher_wire::body::{BodyReader, Framing};
use weirusher_wire::head::{EMPTY_HEADERS, HeadSearch, parse_response};
use weirusher_wire::http1::HttpError;

/// Maximum number of interim responses (1xx) before a final one.
const MAX_INTERIM: u32 = 8;

/// A complete response.
#[derive(Debug, Clone, PartialEq)]
pub struct Response {
    /// The HTTP status code.
    pub status: u16,
    /// The complete body, without transfer coding.
    pub body: SegmentedBytes,
    /// Whether the backend states that it did not execute the request (`X-Never-Ran: 1`).
    pub not_executed: bool,
    /// The unparsed load report of the backend.
    pub load_report: Option<String>,
    /// Whether the connection cannot be reused after this response.
    pub closes_connection: bool,
}

/// Reads consecutive responses from the bytes of a connection as they arrive.
#[derive(Debug)]
pub struct ResponseReader {
    max_body: usize,
    budget: ByteBudget,
    head_search: HeadSearch,
    /// The response whose body is being read, and the reader of its body.
    head: Option<(Response, BodyReader)>,
    /// Interim responses since the last final one.
    interim: u32,
    started: bool,
}

impl ResponseReader {
    /// Creates a reader for responses with bodies of at most `max_body` bytes, whose memory is granted by
    /// `budget`.
    pub fn new(max_body: usize, budget: ByteBudget) -> Self {
        Self { max_body, budget, head_search: HeadSearch::default(), head: None, interim: 0, started: false }
    }

    /// Whether the next response was received in part.
    pub fn has_started(&self) -> bool {
        self.started
    }

    /// Number of the next bytes that certainly belong to a body. They may be passed to [`Self::append`] as they
    /// arrive.
    pub fn expected(&self) -> usize {
        self.head.as_ref().map_or(0, |(_, body)| body.expected())
    }

    /// Adds bytes to the body, no more than [`Self::expected`].
    ///
    /// # Errors
    /// The body is too long, or its budget is exhausted.
    pub fn append(&mut self, bytes: &[u8]) -> Result<(), HttpError> {
        self.head.as_mut().map_or(Ok(()), |(_, body)| body.append(bytes))
    }

    /// Consumes bytes from `src`, a contiguous buffer, and returns the next response once it is complete.
    ///
    /// # Errors
    /// The response is malformed or too long, or its budget is exhausted; the connection must be closed.
    pub fn read(&mut self, src: &mut impl Buf) -> Result<Option<Response>, HttpError> {
        while self.head.is_none() {
            self.started = src.has_remaining();
            let Some(end) = self.head_search.find_end(src.chunk())? else { return Ok(None) };
            self.read_head(&src.chunk()[..end])?;
            src.advance(end);
        }
        let Some((_, body)) = &mut self.head else { return Ok(None) };
        let Some(body) = body.read(src)? else { return Ok(None) };
        Ok(self.complete(body))
    }

    /// Handles an orderly close of the connection (not a reset): returns the current response if the close is
    /// its end.
    pub fn finish(&mut self) -> Option<Response> {
        let body = self.head.as_mut()?.1.finish()?;
        self.complete(body)
    }

    /// Parses a head. Interim responses are counted and skipped.
    fn read_head(&mut self, bytes: &[u8]) -> Result<(), HttpError> {
        let mut slots = EMPTY_HEADERS;
        let head = parse_response(bytes, &mut slots)?;
        if head.status < 200 {
            self.interim += 1;
            // A 101 would switch to another protocol, which the gateway never requests.
            if self.interim > MAX_INTERIM || head.status < 100 || head.status == 101 {
                return Err(HttpError::Malformed("invalid interim response"));
            }
            return Ok(());
        }
        let fields = head.fields;
        let framing = match head.status {
            // These have no body, whatever their head says (RFC 9112, section 6.3).
            204 | 304 => Framing::Length(0),
            _ => fields.framing(self.max_body)?.unwrap_or(Framing::UntilClose),
        };
        let response = Response {
            status: head.status,
            body: SegmentedBytes::default(),
            not_executed: fields.single("X-Never-Ran") == Ok(Some("1")),
            load_report: fields.single("Endpoint-Load-Metrics").ok().flatten().map(str::to_string),
            closes_connection: fields.closes_connection() || framing == Framing::UntilClose,
        };
        self.head = Some((response, BodyReader::new(framing, self.max_body, self.budget.clone())));
        Ok(())
    }

    fn complete(&mut self, body: SegmentedBytes) -> Option<Response> {
        self.interim = 0;
        self.head.take().map(|(response, _)| Response { body, ..response })
    }
}
