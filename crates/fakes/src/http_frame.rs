//! Encodes HTTP/1.1 responses.

use bytes::Bytes;

/// Encodes a well-formed response with a `Content-Length`. `headers` holds complete header lines, each with its CRLF.
pub fn http_response(status: u16, headers: &str, body: &str) -> Bytes {
    format!("HTTP/1.1 {status} -\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()).into()
}
