//! Writes the heads of the responses to clients.

use super::error::RequestError;
use bytes::{BufMut, BytesMut};

/// The interim response to `Expect: 100-continue`, after which the client sends the body.
pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Writes the end of a head: the length of the body and, if `close` is set, `Connection: close`.
fn finish_head(dst: &mut BytesMut, content_length: usize, close: bool) {
    dst.put_slice(b"Content-Length: ");
    dst.put_slice(content_length.to_string().as_bytes());
    dst.put_slice(if close { b"\r\nConnection: close\r\n\r\n" } else { b"\r\n\r\n" });
}

/// Writes the head of a backend's response. A body of `content_length` bytes follows.
pub fn write_served(dst: &mut BytesMut, content_length: usize, close: bool) {
    dst.put_slice(b"HTTP/1.1 200 OK\r\n");
    finish_head(dst, content_length, close);
}

/// Writes the response to a rejected request. A retry is safe; a `retry_after` of 0 seconds is not sent.
pub fn write_rejected(dst: &mut BytesMut, retry_after: f64, close: bool) {
    dst.put_slice(b"HTTP/1.1 429 Too Many Requests\r\n");
    if retry_after > 0.0 {
        dst.put_slice(format!("Retry-After: {retry_after:.3}\r\n").as_bytes());
    }
    finish_head(dst, 0, close);
}

/// Writes the response to a request that was rejected because the gateway shuts down. A retry at another
/// gateway is safe.
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
