//! Incremental reading of HTTP/1.1 message bodies (RFC 9112, sections 6 and 7).

use crate::head::HeadSearch;
use crate::http1::HttpError;
use bytes::Buf;
use weirusher_buffers::{ByteBudget, SegmentedBuffer, SegmentedBytes};

/// Maximum length of a chunk's size line in bytes, chunk extensions included.
const MAX_SIZE_LINE: usize = 1024;

/// How the end of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// The body has this many bytes (`Content-Length`).
    Length(usize),
    /// The body is sent in chunks; an empty chunk ends it (`Transfer-Encoding: chunked`).
    Chunked,
    /// The body ends when the peer closes the connection (FIN). A reset leaves the body incomplete.
    UntilClose,
}

/// What the reader of a chunked body expects next.
#[derive(Debug)]
enum ChunkState {
    SizeLine,
    /// The data of a chunk, with the number of bytes that are still to come.
    Data(usize),
    /// The line break after a chunk's data.
    DataEnd,
    Trailers,
}

/// Reads one message body.
#[derive(Debug)]
pub struct BodyReader {
    framing: Framing,
    max_length: usize,
    chunk: ChunkState,
    /// What was read so far.
    body: SegmentedBuffer,
    trailers: HeadSearch,
}

impl BodyReader {
    /// Creates a reader for one body of at most `max_length` bytes, whose memory is granted by `budget`. For
    /// [`Framing::Length`] the caller must have checked that the length is no more than `max_length`; it is not
    /// checked here.
    pub fn new(framing: Framing, max_length: usize, budget: ByteBudget) -> Self {
        let (body, trailers) = (SegmentedBuffer::new(budget), HeadSearch::default());
        Self { framing, max_length, chunk: ChunkState::SizeLine, body, trailers }
    }

    /// The number of body bytes that the reader holds, not counting those that are still in the source buffer.
    pub fn buffered(&self) -> usize {
        self.body.len()
    }

    /// The number of bytes, after those that were passed to [`Self::read`], that certainly belong to the body. They
    /// may be passed to [`Self::append`] as they arrive.
    pub fn expected(&self) -> usize {
        match (self.framing, &self.chunk) {
            (Framing::Length(length), _) => length - self.body.len(),
            (Framing::Chunked, ChunkState::Data(missing)) => *missing,
            (Framing::Chunked, _) => 0,
            (Framing::UntilClose, _) => usize::MAX,
        }
    }

    /// Adds bytes to the body, no more than [`Self::expected`].
    ///
    /// # Errors
    /// The body is too long, or the budget is exhausted.
    pub fn append(&mut self, bytes: &[u8]) -> Result<(), HttpError> {
        if self.body.len() + bytes.len() > self.max_length {
            return Err(HttpError::BodyTooLarge);
        }
        if let ChunkState::Data(missing) = &mut self.chunk {
            *missing -= bytes.len();
        }
        Ok(self.body.append(bytes)?)
    }

    /// Consumes bytes of `src`, a contiguous buffer, and returns the body once it is complete. Bytes after the body
    /// stay in `src`.
    ///
    /// # Errors
    /// A chunk is malformed, the body is too long, or the budget is exhausted.
    pub fn read(&mut self, src: &mut impl Buf) -> Result<Option<SegmentedBytes>, HttpError> {
        match self.framing {
            Framing::Chunked => self.read_chunked(src),
            Framing::Length(_) => {
                self.consume(src)?;
                Ok((self.expected() == 0).then(|| self.body.take()))
            }
            Framing::UntilClose => self.consume(src).map(|()| None),
        }
    }

    /// Called when the peer has closed the connection: returns the body if its framing is [`Framing::UntilClose`].
    /// `None` means that the body is incomplete.
    pub fn finish(&mut self) -> Option<SegmentedBytes> {
        (self.framing == Framing::UntilClose).then(|| self.body.take())
    }

    fn read_chunked(&mut self, src: &mut impl Buf) -> Result<Option<SegmentedBytes>, HttpError> {
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
                ChunkState::Data(0) => self.chunk = ChunkState::DataEnd,
                ChunkState::Data(_) if !src.has_remaining() => return Ok(None),
                ChunkState::Data(_) => self.consume(src)?,
                ChunkState::DataEnd => match src.chunk().get(..2) {
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

    /// Reads the trailer section after the last chunk. Trailers are discarded. They may be no longer than a
    /// message head.
    fn read_trailers(&mut self, src: &mut impl Buf) -> Result<Option<SegmentedBytes>, HttpError> {
        let end = match src.chunk().get(..2) {
            None => return Ok(None),
            Some(b"\r\n") => 2,
            Some(_) => match self.trailers.find_end(src.chunk())? {
                None => return Ok(None),
                Some(end) => end,
            },
        };
        src.advance(end);
        Ok(Some(self.body.take()))
    }

    /// Moves the expected bytes at the start of `src` to the end of the body.
    fn consume(&mut self, src: &mut impl Buf) -> Result<(), HttpError> {
        let count = self.expected().min(src.remaining());
        self.append(&src.chunk()[..count])?;
        src.advance(count);
        Ok(())
    }
}

/// Removes a chunk's size line from `src` once it is complete, and returns the size.
fn take_size_line(src: &mut impl Buf) -> Result<Option<u64>, HttpError> {
    let invalid = || HttpError::Malformed("a chunk has no valid size");
    let line = src.chunk();
    // `httparse` takes an empty line for the size 0, which would end the body; it is rejected here.
    if line.first().is_some_and(|first| !first.is_ascii_hexdigit()) {
        return Err(invalid());
    }
    match httparse::parse_chunk_size(line).map_err(|_| invalid())? {
        httparse::Status::Complete((end, _)) if end > MAX_SIZE_LINE => Err(invalid()),
        httparse::Status::Complete((end, size)) => {
            src.advance(end);
            Ok(Some(size))
        }
        httparse::Status::Partial if line.len() > MAX_SIZE_LINE => Err(invalid()),
        httparse::Status::Partial => Ok(None),
    }
}
