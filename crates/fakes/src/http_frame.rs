//! HTTP/1.1 responses as bytes.

use bytes::Bytes;

/// The bytes of a well-framed response; `headers` are whole lines, each with its CRLF.
pub fn frame(status: u16, headers: &str, body: &str) -> Bytes {
    format!("HTTP/1.1 {status} -\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()).into()
}
