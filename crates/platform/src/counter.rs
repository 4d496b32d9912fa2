//! Calls to the shared counter, and what its responses mean.

use crate::response::Response;
use bytes::{BufMut, BytesMut};
use weirusher::Status;

/// Most bytes of the body of a response, which holds a number.
pub const MAX_RESPONSE_BYTES: usize = 1024;
/// Largest amount of a call, either way.
const MAX_AMOUNT: f64 = 1e9;
/// Longest time to live of a new count, in milliseconds.
const MAX_TTL_MS: f64 = 60_000.0;

/// What a response of the counter says.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AddResult {
    /// How the call ended.
    pub status: Status,
    /// The count's total after the call; 0 unless the call succeeded.
    pub total: f64,
}

/// Writes a call that adds `amount` units to the count `name`, which expires `ttl` seconds after its creation.
pub fn write_add(dst: &mut BytesMut, name: u64, amount: f64, ttl: f64) {
    // The counter takes decimals without an exponent, and keeps seven digits.
    let delta = amount.clamp(-MAX_AMOUNT, MAX_AMOUNT);
    let ttl_ms = (ttl * 1e3).clamp(1.0, MAX_TTL_MS) as u64;
    let call = format!("POST /v2/numbers/{name:x}?delta={delta:.6}&life_ms={ttl_ms} HTTP/1.1\r\n");
    dst.put_slice(call.as_bytes());
    dst.put_slice(b"Host: counter.local\r\nContent-Length: 0\r\n\r\n");
}

/// The result of a call by its response. `None`: the amount was added, but the total cannot be read, and the connection
/// must not be used further.
pub fn parse_add_result(response: &Response) -> Option<AddResult> {
    match response.status {
        200 => {
            let text = std::str::from_utf8(&response.body).ok()?.trim();
            let total = text.parse().ok().filter(|total: &f64| total.is_finite())?;
            Some(AddResult { status: Status::Ok, total })
        }
        400 | 404 | 503 => Some(AddResult { status: Status::Rejected, total: 0.0 }),
        _ => None,
    }
}
