//! Answers of workers, the counter and discovery, as their bytes come in.

use bytes::{Bytes, BytesMut};
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
    head: Option<(Response, usize)>,
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
            // Without a length the end of the connection would be the end of the body: nobody could tell a
            // whole answer from a broken one.
            let length = fields.length(self.most_body)?.ok_or(HttpError::Length)?;
            let never_ran = fields.one("X-Never-Ran") == Ok(Some("1"));
            let report = fields.one("Endpoint-Load-Metrics").ok().flatten().map(str::to_string);
            let (status, closes) = (head.status, fields.closes());
            self.head = Some((Response { status, body: Bytes::new(), never_ran, report, closes }, length));
        }
        let length = self.head.as_ref().map_or(0, |(_, length)| *length);
        if src.len() < length {
            src.reserve(length - src.len());
            return Ok(None);
        }
        self.interim = 0;
        let body = src.split_to(length).freeze();
        Ok(self.head.take().map(|(response, _)| Response { body, ..response }))
    }
}
