//! Answers of backends, the counter and discovery, as their bytes come in.

use bytes::{Bytes, BytesMut};
use weirusher_wire::body::{BodyReader, Framing};
use weirusher_wire::head::{HeadSearch, NO_HEADERS, response};
use weirusher_wire::http1::HttpError;

/// Interim answers that are skipped ahead of a real one; more are a fault.
const MOST_INTERIM: u32 = 8;

/// An answer, whole.
#[derive(Debug, Clone, PartialEq)]
pub struct Response {
    /// Its status.
    pub status: u16,
    /// Its body.
    pub body: Bytes,
    /// It carries `X-Never-Ran: 1`.
    pub never_ran: bool,
    /// Its load report, unread.
    pub report: Option<String>,
    /// The connection is of no further use.
    pub closes: bool,
}

/// Reads one answer after another from the bytes of a connection.
#[derive(Debug)]
pub struct ResponseReader {
    most_body: usize,
    search: HeadSearch,
    head: Option<(Response, BodyReader)>,
    interim: u32,
    begun: bool,
}

impl ResponseReader {
    /// A reader of answers whose bodies hold `most_body` bytes at most.
    pub fn new(most_body: usize) -> Self {
        Self { most_body, search: HeadSearch::default(), head: None, interim: 0, begun: false }
    }

    /// Whether some of the next answer has come, but not all.
    pub fn begun(&self) -> bool {
        self.begun
    }

    /// Bytes of its body that it holds, beside those that wait in `src`.
    pub fn held(&self) -> usize {
        self.head.as_ref().map_or(0, |(_, body)| body.held())
    }

    /// The next answer, once all of it is there.
    ///
    /// # Errors
    /// What came cannot be read, or passes a bound; the connection is of no further use.
    pub fn read(&mut self, src: &mut BytesMut) -> Result<Option<Response>, HttpError> {
        while self.head.is_none() {
            self.begun = !src.is_empty();
            let Some(end) = self.search.end(src)? else { return Ok(None) };
            let bytes = src.split_to(end);
            let mut slots = NO_HEADERS;
            let head = response(&bytes, &mut slots)?;
            if head.status < 200 {
                self.interim += 1;
                // 101 would be another protocol from here on, which nobody asked for.
                if self.interim > MOST_INTERIM || head.status < 100 || head.status == 101 {
                    return Err(HttpError::Malformed("an interim answer that is none".into()));
                }
                continue;
            }
            let fields = head.fields;
            let framing = match head.status {
                // These have no body, whatever their head says.
                204 | 304 => Framing::Length(0),
                _ => fields.framing(self.most_body)?.unwrap_or(Framing::UntilClose),
            };
            let never_ran = fields.one("X-Never-Ran") == Ok(Some("1"));
            let report = fields.one("Endpoint-Load-Metrics").ok().flatten().map(str::to_string);
            let (status, closes) = (head.status, fields.closes() || framing == Framing::UntilClose);
            let body = BodyReader::new(framing, self.most_body);
            self.head = Some((Response { status, body: Bytes::new(), never_ran, report, closes }, body));
        }
        let Some((_, body)) = &mut self.head else { return Ok(None) };
        let Some(body) = body.read(src)? else { return Ok(None) };
        Ok(self.whole(body))
    }

    /// The connection ended in order, with no reset: the answer that this is the end of.
    pub fn ended(&mut self) -> Option<Response> {
        let body = self.head.as_mut()?.1.ended()?;
        self.whole(body)
    }

    fn whole(&mut self, body: Bytes) -> Option<Response> {
        self.interim = 0;
        self.head.take().map(|(response, _)| Response { body, ..response })
    }
}
