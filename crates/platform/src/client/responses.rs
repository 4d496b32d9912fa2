//! The responses to clients, as bytes.

use super::error::RequestError;
use bytes::{BufMut, BytesMut};

/// Asks the client to send the body that it announced with `Expect: 100-continue`.
pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Writes the end of a head: the length of the body, and whether the connection closes.
fn finish_head(dst: &mut BytesMut, content_length: usize, close: bool) {
    dst.put_slice(b"Content-Length: ");
    dst.put_slice(content_length.to_string().as_bytes());
    dst.put_slice(if close { b"\r\nConnection: close\r\n\r\n" } else { b"\r\n\r\n" });
}

/// Writes the head of a response that a backend gave; its body of `content_length` bytes follows.
pub fn write_served(dst: &mut BytesMut, content_length: usize, close: bool) {
    dst.put_slice(b"HTTP/1.1 200 OK\r\n");
    finish_head(dst, content_length, close);
}

/// Writes the response to a rejected request: a retry is safe, after `retry_after` seconds unless that is 0.
pub fn write_rejected(dst: &mut BytesMut, retry_after: f64, close: bool) {
    dst.put_slice(b"HTTP/1.1 429 Too Many Requests\r\n");
    if retry_after > 0.0 {
        dst.put_slice(format!("Retry-After: {retry_after:.3}\r\n").as_bytes());
    }
    finish_head(dst, 0, close);
}

/// Writes the response to a request that was rejected because of the shutdown: a retry at another gateway is safe.
pub fn write_unavailable(dst: &mut BytesMut, close: bool) {
    dst.put_slice(b"HTTP/1.1 503 Service Unavailable\r\n");
    finish_head(dst, 0, close);
}

/// Writes the response to a failed request, which may have been executed.
pub fn write_failed(dst: &mut BytesMut, close: bool) {
    dst.put_slice(b"HTTP/1.1 502 Bad Gateway\r\n");
    finish_head(dst, 0, close);
}

/// Writes the response to an invalid request, after which the connection closes.
pub fn write_error(dst: &mut BytesMut, error: RequestError) {
    dst.put_slice(format!("HTTP/1.1 {} -\r\n", error.status()).as_bytes());
    finish_head(dst, 0, true);
}

/// Writes the response to a readiness check.
pub fn write_readiness(dst: &mut BytesMut, ready: bool, close: bool) {
    dst.put_slice(if ready { b"HTTP/1.1 200 OK\r\n" } else { b"HTTP/1.1 503 Not Ready\r\n" });
    finish_head(dst, 0, close);
}
