//! Bodies of HTTP/1.1 messages (RFC 9112, 6 and 7), read from the bytes of a connection as they arrive.

use crate::head::HeadSearch;
use crate::http1::HttpError;
use bytes::{Buf, Bytes, BytesMut};

/// Most bytes of the line with a chunk's size, extensions included.
const MAX_SIZE_LINE: usize = 1024;

/// How the end of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// The body has this many bytes (`Content-Length`).
    Length(usize),
    /// The body is sent in chunks, the last of them empty (`Transfer-Encoding: chunked`).
    Chunked,
    /// The body ends when the connection is closed in order. A reset does not end it.
    UntilClose,
}

/// What the next byte of a chunked body belongs to.
#[derive(Debug)]
enum ChunkState {
    SizeLine,
    /// The data of a chunk, of which this many bytes are missing.
    Data(usize),
    /// The line break after a chunk's data.
    DataEnd,
    Trailers,
}

/// Reads one body.
#[derive(Debug)]
pub struct BodyReader {
    framing: Framing,
    max_length: usize,
    chunk: ChunkState,
    /// The part of a body without a stated length that was read so far.
    body: BytesMut,
    trailers: HeadSearch,
}

impl BodyReader {
    /// A reader of one body of at most `max_length` bytes.
    pub fn new(framing: Framing, max_length: usize) -> Self {
        let (body, trailers) = (BytesMut::new(), HeadSearch::default());
        Self { framing, max_length, chunk: ChunkState::SizeLine, body, trailers }
    }

    /// How many bytes of the body the reader holds, beside those that are still in `src`.
    pub fn buffered(&self) -> usize {
        self.body.len()
    }

    /// Reads from `src`; returns the body once it is complete. Bytes behind it stay in `src`.
    ///
    /// # Errors
    /// A malformed chunk, or a body that is too long.
    pub fn read(&mut self, src: &mut BytesMut) -> Result<Option<Bytes>, HttpError> {
        match self.framing {
            Framing::Length(length) if src.len() < length => {
                src.reserve(length - src.len());
                Ok(None)
            }
            Framing::Length(length) => Ok(Some(src.split_to(length).freeze())),
            Framing::Chunked => self.read_chunked(src),
            Framing::UntilClose => self.append(src.len(), src).map(|()| None),
        }
    }

    /// The connection was closed in order: returns the body if that is how it ends.
    pub fn finish(&mut self) -> Option<Bytes> {
        (self.framing == Framing::UntilClose).then(|| self.body.split().freeze())
    }

    fn read_chunked(&mut self, src: &mut BytesMut) -> Result<Option<Bytes>, HttpError> {
        loop {
            match self.chunk {
                ChunkState::SizeLine => match take_size_line(src)? {
                    None => return Ok(None),
                    Some(0) => self.chunk = ChunkState::Trailers,
                    Some(size) if size > (self.max_length - self.body.len()) as u64 => {
                        return Err(HttpError::BodyTooLarge);
                    }
                    Some(size) => self.chunk = ChunkState::Data(size as usize),
                },
                ChunkState::Data(missing) => {
                    let available = missing.min(src.len());
                    self.append(available, src)?;
                    if available < missing {
                        src.reserve(missing - available);
                        self.chunk = ChunkState::Data(missing - available);
                        return Ok(None);
                    }
                    self.chunk = ChunkState::DataEnd;
                }
                ChunkState::DataEnd => match src.get(..2) {
                    None => return Ok(None),
                    Some(b"\r\n") => {
                        src.advance(2);
                        self.chunk = ChunkState::SizeLine;
                    }
                    Some(_) => return Err(HttpError::Malformed("a chunk is longer than its size")),
                },
                ChunkState::Trailers => return self.read_trailers(src),
            }
        }
    }

    /// Reads the end of the last chunk. Trailers are dropped, and bounded like a head.
    fn read_trailers(&mut self, src: &mut BytesMut) -> Result<Option<Bytes>, HttpError> {
        let end = match src.get(..2) {
            None => return Ok(None),
            Some(b"\r\n") => 2,
            Some(_) => match self.trailers.find_end(src)? {
                None => return Ok(None),
                Some(end) => end,
            },
        };
        src.advance(end);
        Ok(Some(self.body.split().freeze()))
    }

    /// Moves the first `count` bytes of `src` to the body.
    fn append(&mut self, count: usize, src: &mut BytesMut) -> Result<(), HttpError> {
        if self.body.len() + count > self.max_length {
            return Err(HttpError::BodyTooLarge);
        }
        self.body.extend_from_slice(&src.split_to(count));
        Ok(())
    }
}

/// Takes the line with a chunk's size off `src`, once it is complete.
fn take_size_line(src: &mut BytesMut) -> Result<Option<u64>, HttpError> {
    let invalid = || HttpError::Malformed("a chunk has no valid size");
    // The parser would take an empty line for an empty chunk.
    if src.first().is_some_and(|first| !first.is_ascii_hexdigit()) {
        return Err(invalid());
    }
    match httparse::parse_chunk_size(src).map_err(|_| invalid())? {
        httparse::Status::Complete((end, _)) if end > MAX_SIZE_LINE => Err(invalid()),
        httparse::Status::Complete((end, size)) => {
            src.advance(end);
            Ok(Some(size))
        }
        httparse::Status::Partial if src.len() > MAX_SIZE_LINE => Err(invalid()),
        httparse::Status::Partial => Ok(None),
    }
}
