//! Requests to backends, and the interpretation of their responses.

use crate::client::MAX_BODY_BYTES;
use crate::response::Response;
use bytes::{Buf, Bytes};
use weirusher::{LoadReport, Status};
use weirusher_buffers::{BudgetExhausted, ByteBudget, SegmentedBuffer, SegmentedBytes};
use weirusher_wire::head::RequestHead;

/// Longest load report that is parsed, in bytes.
const MAX_LOAD_REPORT_BYTES: usize = 1024;
/// Maximum length of the body of a backend's response, in bytes.
pub const MAX_RESPONSE_BYTES: usize = MAX_BODY_BYTES;
/// Microseconds per second. The time budget in a request to a backend is in microseconds.
const MICROS_PER_SECOND: f64 = 1e6;

/// The part of a client request that is forwarded unchanged in every attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct ForwardedRequest {
    /// The request line and the headers that are the same in every attempt. It may be as long as the client's
    /// head, so its memory is granted like that of the body.
    head: SegmentedBytes,
    is_get: bool,
    body: SegmentedBytes,
}

impl ForwardedRequest {
    /// Builds a forwarded request without a body. Method, target and id are forwarded as received; other headers
    /// are not. `budget` grants the memory of a long head.
    ///
    /// # Errors
    /// The budget is exhausted.
    pub fn new(head: &RequestHead<'_, '_>, id: &str, budget: ByteBudget) -> Result<Self, BudgetExhausted> {
        let mut forwarded = SegmentedBuffer::new(budget);
        for part in
            [head.method, " ", head.target, " HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: ", id, "\r\n"]
        {
            forwarded.append(part.as_bytes())?;
        }
        Ok(Self { head: forwarded.take(), is_get: head.method == "GET", body: SegmentedBytes::default() })
    }

    /// Adds the body, which is forwarded as received.
    pub fn with_body(self, body: SegmentedBytes) -> Self {
        Self { body, ..self }
    }

    /// The message of an attempt with a time budget of `timeout` seconds.
    pub fn message(&self, timeout: f64) -> impl Buf {
        let length = match self.is_get && self.body.is_empty() {
            true => String::new(),
            false => format!("Content-Length: {}\r\n", self.body.len()),
        };
        let micros = (timeout * MICROS_PER_SECOND).max(1.0) as u64;
        let fields = Bytes::from(format!("{length}X-Expires-In: {micros}u\r\n\r\n"));
        self.head.clone().chain(fields).chain(self.body.clone())
    }
}

/// The status of an attempt, from its complete response. Only a 200 serves the request.
pub fn attempt_status(response: &Response) -> Status {
    match response.status {
        200 => Status::Ok,
        503 | 504 if response.not_executed => Status::Rejected,
        _ => Status::Error,
    }
}

/// Parses a load report. A malformed report counts as empty.
pub fn parse_load_report(report: &str) -> LoadReport {
    let mut load = LoadReport::default();
    if report.len() > MAX_LOAD_REPORT_BYTES {
        return load;
    }
    let (_, pairs) = report.trim().split_once(' ').unwrap_or(("", report));
    for pair in pairs.split(',') {
        let Some((key, value)) = pair.trim().split_once('=') else { return LoadReport::default() };
        let Some(value) = value.parse().ok().filter(|value: &f64| value.is_finite() && *value >= 0.0) else {
            return LoadReport::default();
        };
        match key {
            "inflight" => load.in_flight = Some(value),
            "util" => load.cpu_utilization = Some(value),
            _ => {}
        }
    }
    load
}
