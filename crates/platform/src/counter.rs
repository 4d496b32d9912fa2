//! Calls to the counter, and what its answers mean.

use crate::response::Response;
use bytes::{BufMut, BytesMut};
use weirusher::Status;

/// Most bytes of an answer's body: a number needs few.
pub const MOST_ANSWER: usize = 1024;
/// Largest amount of a call, either way.
const MOST_AMOUNT: f64 = 1e9;
/// Longest life of a new number, in milliseconds.
const MOST_LIFE: f64 = 60_000.0;

/// Writes one call: add `amount` to the number `name`, which lives `ttl` seconds if it is new.
pub fn write_call(dst: &mut BytesMut, name: u64, amount: f64, ttl: f64) {
    // A decimal of six places without an exponent; the counter keeps seven digits.
    let delta = amount.clamp(-MOST_AMOUNT, MOST_AMOUNT);
    let life = (ttl * 1e3).clamp(1.0, MOST_LIFE) as u64;
    let call = format!("POST /v2/numbers/{name:x}?delta={delta:.6}&life_ms={life} HTTP/1.1\r\n");
    dst.put_slice(call.as_bytes());
    dst.put_slice(b"Host: counter.local\r\nContent-Length: 0\r\n\r\n");
}

/// How a call ended, with its total; `None`: it was added, but the total cannot be read, so that the
/// connection is of no further use.
pub fn outcome(response: &Response) -> Option<(Status, f64)> {
    match response.status {
        200 => {
            let text = std::str::from_utf8(&response.body).ok()?.trim();
            let total = text.parse().ok().filter(|total: &f64| total.is_finite())?;
            Some((Status::Ok, total))
        }
        400 | 404 | 503 => Some((Status::Rejected, 0.0)),
        _ => None,
    }
}
