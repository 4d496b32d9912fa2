//! Bodies of HTTP/1.1 messages, taken from a connection's bytes as they come in, by the framing that the head gives.

use crate::head::HeadSearch;
use crate::http1::HttpError;
use bytes::{Buf, Bytes, BytesMut};

/// Most bytes of a chunk's size line, its extensions included.
const MOST_SIZE_LINE: usize = 1024;

/// How the end of a body is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// It has so many bytes.
    Length(usize),
    /// It comes in chunks, the last of them empty (`Transfer-Encoding: chunked`).
    Chunked,
    /// It goes on to the end of the connection. A reset is no end.
    UntilClose,
}

/// Where in a chunked body the next byte lies.
#[derive(Debug)]
enum Part {
    SizeLine,
    /// So many bytes of a chunk are to come.
    Data(usize),
    /// The line break behind a chunk's data.
    DataEnd,
    Trailers,
}

/// A body being read.
#[derive(Debug)]
pub struct BodyReader {
    framing: Framing,
    most: usize,
    part: Part,
    /// What has been taken of a body without a stated length.
    taken: BytesMut,
    trailers: HeadSearch,
}

impl BodyReader {
    /// A reader of one body, of `most` bytes at most.
    pub fn new(framing: Framing, most: usize) -> Self {
        let (taken, trailers) = (BytesMut::new(), HeadSearch::default());
        Self { framing, most, part: Part::SizeLine, taken, trailers }
    }

    /// Bytes that it holds, beside those that wait in `src`.
    pub fn held(&self) -> usize {
        self.taken.len()
    }

    /// The body, once all of it is there; what follows it stays in `src`.
    ///
    /// # Errors
    /// Chunks that cannot be read, or a body past its bound.
    pub fn read(&mut self, src: &mut BytesMut) -> Result<Option<Bytes>, HttpError> {
        match self.framing {
            Framing::Length(length) if src.len() < length => {
                src.reserve(length - src.len());
                Ok(None)
            }
            Framing::Length(length) => Ok(Some(src.split_to(length).freeze())),
            Framing::Chunked => self.chunks(src),
            Framing::UntilClose => self.take(src.len(), src).map(|()| None),
        }
    }

    /// The connection ended in order: the body, if that is its end.
    pub fn ended(&mut self) -> Option<Bytes> {
        (self.framing == Framing::UntilClose).then(|| self.taken.split().freeze())
    }

    fn chunks(&mut self, src: &mut BytesMut) -> Result<Option<Bytes>, HttpError> {
        loop {
            match self.part {
                Part::SizeLine => match size_line(src)? {
                    None => return Ok(None),
                    Some(0) => self.part = Part::Trailers,
                    Some(size) if size > (self.most - self.taken.len()) as u64 => {
                        return Err(HttpError::BodyTooLarge);
                    }
                    Some(size) => self.part = Part::Data(size as usize),
                },
                Part::Data(left) => {
                    let many = left.min(src.len());
                    self.take(many, src)?;
                    if many < left {
                        src.reserve(left - many);
                        self.part = Part::Data(left - many);
                        return Ok(None);
                    }
                    self.part = Part::DataEnd;
                }
                Part::DataEnd => match src.get(..2) {
                    None => return Ok(None),
                    Some(b"\r\n") => {
                        src.advance(2);
                        self.part = Part::SizeLine;
                    }
                    Some(_) => {
                        return Err(HttpError::Malformed("a chunk that is longer than its size".into()));
                    }
                },
                Part::Trailers => return self.trailers(src),
            }
        }
    }

    /// The end of the last chunk. Trailers are of no use here and are dropped, within the bound of a head.
    fn trailers(&mut self, src: &mut BytesMut) -> Result<Option<Bytes>, HttpError> {
        let end = match src.get(..2) {
            None => return Ok(None),
            Some(b"\r\n") => 2,
            Some(_) => match self.trailers.end(src)? {
                None => return Ok(None),
                Some(end) => end,
            },
        };
        src.advance(end);
        Ok(Some(self.taken.split().freeze()))
    }

    fn take(&mut self, many: usize, src: &mut BytesMut) -> Result<(), HttpError> {
        if self.taken.len() + many > self.most {
            return Err(HttpError::BodyTooLarge);
        }
        self.taken.extend_from_slice(&src.split_to(many));
        Ok(())
    }
}

/// Takes a chunk's size line off `src`, once it is whole.
fn size_line(src: &mut BytesMut) -> Result<Option<u64>, HttpError> {
    let bad = || HttpError::Malformed("a chunk's size that is none".into());
    // An empty line would pass for an empty chunk.
    if src.first().is_some_and(|first| !first.is_ascii_hexdigit()) {
        return Err(bad());
    }
    match httparse::parse_chunk_size(src).map_err(|_| bad())? {
        httparse::Status::Complete((end, _)) if end > MOST_SIZE_LINE => Err(bad()),
        httparse::Status::Complete((end, size)) => {
            src.advance(end);
            Ok(Some(size))
        }
        httparse::Status::Partial if src.len() > MOST_SIZE_LINE => Err(bad()),
        httparse::Status::Partial => Ok(None),
    }
}
