//! RESP2, the protocol of the counter: the codec of the redis-protocol crate, with bounds on frame sizes.

use bytes::{BufMut, Bytes, BytesMut};
pub use redis_protocol::resp2::types::BytesFrame as Frame;
use redis_protocol::resp2::{decode::decode_bytes_mut, encode::extend_encode};
use tokio_util::codec::{Decoder, Encoder};

/// Maximum size of a frame in bytes. The commands and responses in use take less than 200.
pub const MAX_FRAME_BYTES: usize = 16 * 1024;
/// Maximum number of elements of an array.
pub const MAX_ELEMENTS: i64 = 64;
/// The separator between the parts of a frame.
const CRLF: &[u8] = b"\r\n";
/// The type bytes that begin a RESP2 frame.
const FRAME_KINDS: &[u8] = b"*$+-:";
const ARRAY: u8 = b'*';
const BULK_STRING: u8 = b'$';
/// The length of a null array or null bulk string.
const NULL_LENGTH: i64 = -1;
const MILLIS_PER_SECOND: f64 = 1000.0;

/// Why a RESP connection has to be closed.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum RespError {
    /// The connection failed.
    #[error("connection failed: {0}")]
    Io(#[from] std::io::Error),
    /// The bytes are not RESP2.
    #[error("not RESP: {0}")]
    Malformed(String),
    /// A frame exceeds [`MAX_FRAME_BYTES`] or [`MAX_ELEMENTS`].
    #[error("the frame exceeds {MAX_FRAME_BYTES} bytes or {MAX_ELEMENTS} elements")]
    TooLarge,
}

/// Decodes and encodes RESP2 frames.
#[derive(Debug, Default)]
pub struct RespCodec;

impl Decoder for RespCodec {
    type Item = Frame;
    type Error = RespError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Frame>, RespError> {
        if frame_end(src)?.is_none() {
            return if src.len() > MAX_FRAME_BYTES { Err(RespError::TooLarge) } else { Ok(None) };
        }
        match decode_bytes_mut(src) {
            Ok(frame) => Ok(frame.map(|(frame, _, _)| frame)),
            Err(error) => Err(RespError::Malformed(error.details().to_string())),
        }
    }
}

/// The first line of a frame.
struct FrameHead {
    kind: u8,
    /// The announced length of an array or bulk string; 0 for other frames, which consist of this line only.
    length: i64,
    /// Length of the line in bytes, including its line break.
    bytes: usize,
}

impl FrameHead {
    /// The end of the frame whose body starts at `start`, once all of it is in `src`. Not valid for arrays.
    fn body_end(&self, src: &[u8], start: usize) -> Option<usize> {
        let has_body = self.kind == BULK_STRING && self.length >= 0;
        let end = if has_body { start + self.length as usize + CRLF.len() } else { start };
        (src.len() >= end).then_some(end)
    }
}

/// The end of the first frame, once all of it is in `src`. Protects the memory and the stack against hostile input:
/// announced lengths are checked before the decoder allocates memory for them, and nested arrays are rejected.
fn frame_end(src: &[u8]) -> Result<Option<usize>, RespError> {
    let Some(head) = frame_head(src)? else { return Ok(None) };
    if head.kind != ARRAY {
        return Ok(head.body_end(src, head.bytes));
    }
    if head.length > MAX_ELEMENTS {
        return Err(RespError::TooLarge);
    }
    let mut end = head.bytes;
    for _ in 0..head.length.max(0) {
        let Some(element) = frame_head(&src[end..])? else { return Ok(None) };
        if element.kind == ARRAY {
            return Err(RespError::Malformed("nested array".into()));
        }
        let Some(element_end) = element.body_end(src, end + element.bytes) else { return Ok(None) };
        end = element_end;
    }
    Ok(Some(end))
}

/// Parses the first line of a frame; `None` if it is not complete yet.
fn frame_head(src: &[u8]) -> Result<Option<FrameHead>, RespError> {
    let Some((&kind, rest)) = src.split_first() else { return Ok(None) };
    if !FRAME_KINDS.contains(&kind) {
        return Err(RespError::Malformed(format!("unknown frame type {kind:#04x}")));
    }
    let Some(end) = rest.windows(CRLF.len()).take(MAX_FRAME_BYTES).position(|w| w == CRLF) else {
        return Ok(None);
    };
    let bytes = 1 + end + CRLF.len();
    if kind != ARRAY && kind != BULK_STRING {
        return Ok(Some(FrameHead { kind, length: 0, bytes }));
    }
    match std::str::from_utf8(&rest[..end]).ok().and_then(|text| text.parse::<i64>().ok()) {
        Some(length) if length > MAX_FRAME_BYTES as i64 => Err(RespError::TooLarge),
        Some(length) if length >= NULL_LENGTH => Ok(Some(FrameHead { kind, length, bytes })),
        _ => Err(RespError::Malformed("invalid length".into())),
    }
}

impl Encoder<Frame> for RespCodec {
    type Error = RespError;

    fn encode(&mut self, frame: Frame, dst: &mut BytesMut) -> Result<(), RespError> {
        extend_encode(dst, &frame, false).map_err(|e| RespError::Malformed(e.details().to_string()))?;
        Ok(())
    }
}

/// Encodes a command as an array of bulk strings.
pub fn command(words: &[&str]) -> Frame {
    Frame::Array(words.iter().map(|w| Frame::BulkString(Bytes::copy_from_slice(w.as_bytes()))).collect())
}

/// The words of a command; `None` if the frame is not an array of bulk strings in UTF-8.
pub fn words(frame: &Frame) -> Option<Vec<&str>> {
    let Frame::Array(items) = frame else { return None };
    let mut words = Vec::with_capacity(items.len());
    for item in items {
        let Frame::BulkString(bytes) = item else { return None };
        words.push(std::str::from_utf8(bytes).ok()?);
    }
    Some(words)
}

/// The value of a response that is a finite number, in any form in which a server may send it; `None` for an error
/// response or another type.
pub fn number(frame: &Frame) -> Option<f64> {
    let parse = |bytes: &Bytes| std::str::from_utf8(bytes).ok()?.trim().parse::<f64>().ok();
    match frame {
        Frame::BulkString(bytes) | Frame::SimpleString(bytes) => parse(bytes).filter(|n| n.is_finite()),
        Frame::Integer(n) => Some(*n as f64),
        _ => None,
    }
}

/// Writes the two commands that add `amount` units to a count, which expires `ttl` seconds after its first add: a `SET`
/// that creates the key with its expiry unless it exists, and an `INCRBYFLOAT`. Every RESP server supports both.
pub fn write_add(dst: &mut BytesMut, counter: u64, amount: f64, ttl: f64) {
    let key = format!("w:{counter:x}");
    let ttl_ms = ((ttl * MILLIS_PER_SECOND).ceil().max(1.0) as u64).to_string();
    write_command(dst, &["SET", &key, "0", "PX", &ttl_ms, "NX"]);
    write_command(dst, &["INCRBYFLOAT", &key, &amount.to_string()]);
}

fn write_command(dst: &mut BytesMut, words: &[&str]) {
    dst.put_slice(format!("*{}\r\n", words.len()).as_bytes());
    for word in words {
        dst.put_slice(format!("${}\r\n{word}\r\n", word.len()).as_bytes());
    }
}

#[cfg(test)]
mod tests;
