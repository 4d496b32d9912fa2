//! Codecs for HTTP/1.1 messages with a `Content-Length` or without a body.

use crate::body::{BodyReader, Framing};
use crate::head::{EMPTY_HEADERS, HeadSearch, HeaderFields, parse_request, parse_response};
use bytes::{BufMut, Bytes, BytesMut};
use tokio_util::codec::{Decoder, Encoder};
use weirusher_buffers::{BLOCK_BYTES, BudgetExhausted, ByteBudget};

/// Maximum size of a message head in bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum number of headers of a message.
pub const MAX_HEADERS: usize = 64;
/// Maximum size of a message body in bytes.
pub const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Why an HTTP connection has to be closed.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum HttpError {
    /// The connection failed.
    #[error("connection: {0}")]
    Io(#[from] std::io::Error),
    /// The head cannot be parsed.
    #[error("not HTTP/1.1: {0}")]
    Head(httparse::Error),
    /// The message violates HTTP/1.1 in another way.
    #[error("not HTTP/1.1: {0}")]
    Malformed(&'static str),
    /// The head is too long or has too many headers.
    #[error("a head of more than {MAX_HEAD_BYTES} bytes or {MAX_HEADERS} headers")]
    HeadTooLarge,
    /// The body is longer than the reader accepts.
    #[error("a body that is too long")]
    BodyTooLarge,
    /// The `Content-Length` occurs twice, is not a number or conflicts with a `Transfer-Encoding`, or the transfer
    /// encoding is not supported.
    #[error("a body whose length is ambiguous or not supported")]
    InvalidLength,
    /// The memory for the message is used by others.
    #[error(transparent)]
    BudgetExhausted(#[from] BudgetExhausted),
}

/// Headers in the order of the message, with names in lower case.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Headers(pub Vec<(String, String)>);

impl Headers {
    /// The first value of a header; `name` must be in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// Adds a header.
    pub fn add(&mut self, name: &str, value: impl ToString) {
        self.0.push((name.to_string(), value.to_string()));
    }

    fn parse(fields: HeaderFields<'_, '_>) -> Result<Self, HttpError> {
        let header = |(name, value): (&str, &[u8])| {
            let value =
                std::str::from_utf8(value).map_err(|_| HttpError::Malformed("a header is not UTF-8"))?;
            Ok((name.to_ascii_lowercase(), value.to_string()))
        };
        fields.iter().map(header).collect::<Result<_, _>>().map(Self)
    }

    fn write(&self, dst: &mut BytesMut, content_length: usize) {
        for (name, value) in self.0.iter().filter(|(n, _)| n != "content-length") {
            // A line break in a name or value would inject another header.
            let clean = |text: &str| text.replace(['\r', '\n'], " ");
            dst.put_slice(format!("{}: {}\r\n", clean(name), clean(value)).as_bytes());
        }
        dst.put_slice(format!("content-length: {content_length}\r\n\r\n").as_bytes());
    }
}

/// A complete request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Request {
    /// The method, such as `GET`.
    pub method: String,
    /// The request target, normally a path with an optional query.
    pub path: String,
    /// All headers of the message. The encoder replaces `content-length`.
    pub headers: Headers,
    /// The body without transfer encoding; empty if there is none.
    pub body: Bytes,
}

/// A complete response.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// All headers of the message. The encoder replaces `content-length`.
    pub headers: Headers,
    /// The body without transfer encoding; empty if there is none.
    pub body: Bytes,
}

impl Response {
    /// A response without headers.
    pub fn text(status: u16, body: impl Into<Bytes>) -> Self {
        Self { status, headers: Headers::default(), body: body.into() }
    }
}

/// Reads messages. The head of each is parsed once, when all of it has arrived.
#[derive(Debug)]
struct MessageReader<M> {
    max_body: usize,
    head: Option<(M, BodyReader)>,
    search: HeadSearch,
}

impl<M> Default for MessageReader<M> {
    fn default() -> Self {
        Self::new(MAX_BODY_BYTES)
    }
}

impl<M> MessageReader<M> {
    fn new(max_body: usize) -> Self {
        Self { max_body, head: None, search: HeadSearch::default() }
    }

    fn read(
        &mut self,
        src: &mut BytesMut,
        parse: impl FnOnce(&[u8], usize) -> Result<(M, usize), HttpError>,
    ) -> Result<Option<(M, Bytes)>, HttpError> {
        if self.head.is_none() {
            let Some(end) = self.search.find_end(src)? else { return Ok(None) };
            let head = src.split_to(end);
            let (message, length) = parse(&head, self.max_body)?;
            let budget = ByteBudget::new(length.next_multiple_of(BLOCK_BYTES)); // This body's own.
            self.head = Some((message, BodyReader::new(Framing::Length(length), self.max_body, budget)));
        }
        let Some((_, body)) = &mut self.head else { return Ok(None) };
        let Some(body) = body.read(src)? else { return Ok(None) };
        Ok(self.head.take().map(|(message, _)| (message, body.to_bytes())))
    }
}

/// The server's side: decodes requests and encodes responses.
#[derive(Debug, Default)]
pub struct ServerCodec(MessageReader<Request>);

impl ServerCodec {
    /// A codec for requests with bodies of at most `max_body` bytes.
    pub fn with_max_body(max_body: usize) -> Self {
        Self(MessageReader::new(max_body))
    }
}

impl Decoder for ServerCodec {
    type Item = Request;
    type Error = HttpError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Request>, HttpError> {
        let read = self.0.read(src, |head, max_body| {
            let mut slots = EMPTY_HEADERS;
            let parsed = parse_request(head, &mut slots)?;
            let length = parsed.fields.content_length(max_body)?.unwrap_or(0);
            let (method, path) = (parsed.method.to_string(), parsed.target.to_string());
            let headers = Headers::parse(parsed.fields)?;
            Ok((Request { method, path, headers, body: Bytes::new() }, length))
        })?;
        Ok(read.map(|(request, body)| Request { body, ..request }))
    }
}

impl Encoder<Response> for ServerCodec {
    type Error = HttpError;

    fn encode(&mut self, response: Response, dst: &mut BytesMut) -> Result<(), HttpError> {
        dst.put_slice(format!("HTTP/1.1 {} -\r\n", response.status).as_bytes());
        response.headers.write(dst, response.body.len());
        dst.put_slice(&response.body);
        Ok(())
    }
}

/// The client's side: encodes requests and decodes responses.
#[derive(Debug, Default)]
pub struct ClientCodec(MessageReader<Response>);

impl Decoder for ClientCodec {
    type Item = Response;
    type Error = HttpError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Response>, HttpError> {
        let read = self.0.read(src, |head, max_body| {
            let mut slots = EMPTY_HEADERS;
            let parsed = parse_response(head, &mut slots)?;
            let length = parsed.fields.content_length(max_body)?.unwrap_or(0);
            let headers = Headers::parse(parsed.fields)?;
            Ok((Response { status: parsed.status, headers, body: Bytes::new() }, length))
        })?;
        Ok(read.map(|(response, body)| Response { body, ..response }))
    }
}

impl Encoder<Request> for ClientCodec {
    type Error = HttpError;

    fn encode(&mut self, request: Request, dst: &mut BytesMut) -> Result<(), HttpError> {
        dst.put_slice(format!("{} {} HTTP/1.1\r\n", request.method, request.path).as_bytes());
        request.headers.write(dst, request.body.len());
        dst.put_slice(&request.body);
        Ok(())
    }
}
