//! Attempts at backends, and what their answers mean.

use crate::client::MOST_BODY;
use crate::response::Response;
use bytes::{BufMut, Bytes, BytesMut};
use weirusher::{LoadReport, Status};
use weirusher_wire::head::RequestHead;

/// Most bytes of a load report that are read.
const MOST_REPORT: usize = 1024;
/// Most bytes of a backend's body.
pub const MOST_ANSWER: usize = MOST_BODY;

/// What of a request passes on, the same bytes at every attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct Passed {
    /// The head but for the time left, which differs from attempt to attempt.
    head: Bytes,
    body: Bytes,
}

impl Passed {
    /// What passes on of a request that was read: method, target, id and body as they came.
    pub fn new(head: &RequestHead<'_, '_>, job: &str, body: Bytes) -> Self {
        let mut dst = BytesMut::with_capacity(head.target.len() + job.len() + 96);
        for part in [head.method, " ", head.target, " HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: ", job] {
            dst.put_slice(part.as_bytes());
        }
        dst.put_slice(b"\r\n");
        if head.method != "GET" || !body.is_empty() {
            dst.put_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
        }
        Self { head: dst.freeze(), body }
    }

    /// Its body.
    pub fn body(&self) -> Bytes {
        self.body.clone()
    }

    /// Writes the head of an attempt that is waited for `timeout` seconds; the body follows it.
    pub fn write_head(&self, dst: &mut BytesMut, timeout: f64) {
        dst.put_slice(&self.head);
        dst.put_slice(format!("X-Expires-In: {}u\r\n\r\n", (timeout * 1e6).max(1.0) as u64).as_bytes());
    }
}

/// How an attempt ended by what its backend answered. Only a whole 200 serves.
pub fn outcome(response: &Response) -> Status {
    match response.status {
        200 => Status::Ok,
        503 | 504 if response.never_ran => Status::Rejected,
        _ => Status::Error,
    }
}

/// Reads a load report; what cannot be read is no report.
pub fn load(report: &str) -> LoadReport {
    let mut load = LoadReport::default();
    if report.len() > MOST_REPORT {
        return load;
    }
    let (_, pairs) = report.trim().split_once(' ').unwrap_or(("", report));
    for pair in pairs.split(',') {
        let Some((key, value)) = pair.trim().split_once('=') else { return LoadReport::default() };
        let Some(value) = value.parse().ok().filter(|v: &f64| v.is_finite() && *v >= 0.0) else {
            return LoadReport::default();
        };
        match key {
            "inflight" => load.inflight = Some(value),
            "util" => load.util = Some(value),
            _ => {}
        }
    }
    load
}
