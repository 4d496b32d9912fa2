//! HTTP/1.1 with bodies of a stated length, parsed by httparse.

use crate::body::{BodyReader, Framing};
use crate::head::{self, Fields, HeadSearch, NO_HEADERS};
use bytes::{BufMut, Bytes, BytesMut};
use tokio_util::codec::{Decoder, Encoder};

/// Most bytes of a head.
pub const MOST_HEAD: usize = 16 * 1024;
/// Most headers of a message.
pub const MOST_HEADERS: usize = 64;
/// Most bytes of a body.
pub const MOST_BODY: usize = 1024 * 1024;

/// Why an HTTP connection ends.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum HttpError {
    /// The connection failed.
    #[error("connection: {0}")]
    Io(#[from] std::io::Error),
    /// What came is no HTTP/1.1.
    #[error("not HTTP/1.1: {0}")]
    Malformed(String),
    /// The head passes its bound.
    #[error("a head of more than {MOST_HEAD} bytes or {MOST_HEADERS} headers")]
    HeadTooLarge,
    /// The body passes its bound.
    #[error("a body of more than {MOST_BODY} bytes")]
    BodyTooLarge,
    /// The body's length is given in a way that is not served, or in two ways.
    #[error("a body whose length is told in no way that is served, or in two")]
    Length,
}

/// Headers in their order; names in lower case.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Headers(pub Vec<(String, String)>);

impl Headers {
    /// The first value of a header; `name` in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// Adds a header.
    pub fn add(&mut self, name: &str, value: impl ToString) {
        self.0.push((name.to_string(), value.to_string()));
    }

    fn parse(fields: Fields<'_, '_>) -> Result<Self, HttpError> {
        let header = |(name, value): (&str, &[u8])| {
            let value =
                std::str::from_utf8(value).map_err(|_| HttpError::Malformed("a header is no text".into()))?;
            Ok((name.to_ascii_lowercase(), value.to_string()))
        };
        fields.all().map(header).collect::<Result<_, _>>().map(Self)
    }

    fn write(&self, dst: &mut BytesMut, body: usize) {
        for (name, value) in self.0.iter().filter(|(n, _)| n != "content-length") {
            // A value with a line break would begin a header of its own.
            let clean = |text: &str| text.replace(['\r', '\n'], " ");
            dst.put_slice(format!("{}: {}\r\n", clean(name), clean(value)).as_bytes());
        }
        dst.put_slice(format!("content-length: {body}\r\n\r\n").as_bytes());
    }
}

/// A request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Request {
    /// Its method.
    pub method: String,
    /// Its target.
    pub path: String,
    /// Its headers.
    pub headers: Headers,
    /// Its body.
    pub body: Bytes,
}

/// A response.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Response {
    /// Its status.
    pub status: u16,
    /// Its headers.
    pub headers: Headers,
    /// Its body.
    pub body: Bytes,
}

impl Response {
    /// A response with a text.
    pub fn text(status: u16, body: impl Into<Bytes>) -> Self {
        Self { status, headers: Headers::default(), body: body.into() }
    }
}

/// A message being read: its head is parsed once, when all of it is there.
#[derive(Debug)]
struct Reader<M> {
    head: Option<(M, BodyReader)>,
    search: HeadSearch,
}

impl<M> Default for Reader<M> {
    fn default() -> Self {
        Self { head: None, search: HeadSearch::default() }
    }
}

impl<M> Reader<M> {
    fn read(
        &mut self,
        src: &mut BytesMut,
        parse: impl FnOnce(&[u8]) -> Result<(M, usize), HttpError>,
    ) -> Result<Option<(M, Bytes)>, HttpError> {
        if self.head.is_none() {
            let Some(end) = self.search.end(src)? else { return Ok(None) };
            let head = src.split_to(end);
            let (message, length) = parse(&head)?;
            self.head = Some((message, BodyReader::new(Framing::Length(length), MOST_BODY)));
        }
        let Some((_, body)) = &mut self.head else { return Ok(None) };
        let Some(body) = body.read(src)? else { return Ok(None) };
        Ok(self.head.take().map(|(message, _)| (message, body)))
    }
}

/// The server's side: requests in, responses out.
#[derive(Debug, Default)]
pub struct ServerCodec(Reader<Request>);

impl Decoder for ServerCodec {
    type Item = Request;
    type Error = HttpError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Request>, HttpError> {
        let read = self.0.read(src, |head| {
            let mut slots = NO_HEADERS;
            let parsed = head::request(head, &mut slots)?;
            let length = parsed.fields.length(MOST_BODY)?.unwrap_or(0);
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

/// The client's side: requests out, responses in.
#[derive(Debug, Default)]
pub struct ClientCodec(Reader<Response>);

impl Decoder for ClientCodec {
    type Item = Response;
    type Error = HttpError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Response>, HttpError> {
        let read = self.0.read(src, |head| {
            let mut slots = NO_HEADERS;
            let parsed = head::response(head, &mut slots)?;
            let length = parsed.fields.length(MOST_BODY)?.unwrap_or(0);
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
