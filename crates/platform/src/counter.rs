//! Calls to the counter service, and the interpretation of its responses.

use crate::response::Response;
use bytes::{BufMut, BytesMut};
use weirusher::Status;

/// Maximum length of a response body, in bytes. The body is a single number.
pub const MAX_RESPONSE_BYTES: usize = 1024;
/// Largest absolute amount of one call.
const MAX_AMOUNT: f64 = 1e9;
/// Longest time to live of a new counter, in milliseconds.
const MAX_TTL_MS: f64 = 60_000.0;

/// The result of a call to the counter service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AddResult {
    /// The status of the call.
    pub status: Status,
    /// The total of the counter after the call; 0 unless the call succeeded.
    pub total: f64,
}

/// Writes a call that adds `amount` units to the counter `name`, which expires `ttl` seconds after its
/// creation.
pub fn write_add(dst: &mut BytesMut, name: u64, amount: f64, ttl: f64) {
    // The counter service accepts decimals without an exponent, and keeps seven digits.
    let delta = amount.clamp(-MAX_AMOUNT, MAX_AMOUNT);
    let ttl_ms = (ttl * 1e3).clamp(1.0, MAX_TTL_MS) as u64;
    let call = format!("POST /v2/numbers/{name:x}?delta={delta:.6}&life_ms={ttl_ms} HTTP/1.1\r\n");
    dst.put_slice(call.as_bytes());
    dst.put_slice(b"Host: counter.local\r\nContent-Length: 0\r\n\r\n");
}

/// Parses the response to a call. `None` means that the amount may have been added but the new total is
/// unknown: the total cannot be read, or the status code is unexpected. The connection must then be closed.
pub fn parse_add_result(response: &Response) -> Option<AddResult> {
    match response.status {
        200 => {
            let body = response.body.to_bytes();
            let text = std::str::from_utf8(&body).ok()?.trim();
            let total = text.parse().ok().filter(|total: &f64| total.is_finite())?;
            Some(AddResult { status: Status::Ok, total })
        }
        400 | 404 | 503 => Some(AddResult { status: Status::Rejected, total: 0.0 }),
        _ => None,
    }
}
