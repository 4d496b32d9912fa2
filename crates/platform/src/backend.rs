//! Requests to backends, and the interpretation of their responses.

use crate::client::MAX_BODY_BYTES;
use crate::response::Response;
use bytes::{BufMut, Bytes, BytesMut};
use weirusher::{LoadReport, Status};
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
    /// The head without the time budget, which differs from attempt to attempt.
    head: Bytes,
    body: Bytes,
}

impl ForwardedRequest {
    /// Builds the forwarded request. Method, target, id and body are forwarded as received; other headers are
    /// not.
    pub fn new(head: &RequestHead<'_, '_>, id: &str, body: Bytes) -> Self {
        let mut dst = BytesMut::with_capacity(head.target.len() + id.len() + 96);
        for part in [head.method, " ", head.target, " HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: ", id] {
            dst.put_slice(part.as_bytes());
        }
        dst.put_slice(b"\r\n");
        if head.method != "GET" || !body.is_empty() {
            dst.put_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
        }
        Self { head: dst.freeze(), body }
    }

    /// Returns the body, to be written after the head.
    pub fn body(&self) -> Bytes {
        self.body.clone()
    }

    /// Writes the head of an attempt with a time budget of `timeout` seconds. The body must follow.
    pub fn write_head(&self, dst: &mut BytesMut, timeout: f64) {
        dst.put_slice(&self.head);
        dst.put_slice(
            format!("X-Expires-In: {}u\r\n\r\n", (timeout * MICROS_PER_SECOND).max(1.0) as u64).as_bytes(),
        );
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
