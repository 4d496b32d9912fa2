//! Reads and writes that treat a socket as drained or full only when a call would block.
//!
//! Tokio's own I/O takes a short transfer as a sign that the socket is drained or full, and waits for the next
//! readiness notification of the system. If the transfer was short for another reason, that notification never arrives.
//!
//! Waiting for a socket that is always ready takes no time, so a task would keep its thread as long as its peer keeps
//! sending. Each transfer therefore counts against the task's share of the thread ([`consume_budget`]).

use bytes::Buf;
use std::io::{self, ErrorKind, IoSlice};
use std::task::{Context, Poll, ready};
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::task::coop::consume_budget;
use weirusher_buffers::ReadBuffer;

/// Maximum number of slices in a vectored write: a head in two parts and several blocks of a body.
const MAX_SLICES: usize = 16;
/// Maximum number of bytes that [`read_chunk`] reads at once.
const READ_CHUNK_BYTES: usize = 16 * 1024;

/// Whether a failed call must be repeated: it would have blocked, or it was interrupted.
fn is_transient(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}

/// Reads the bytes that have arrived into `buffer`, waiting until there are some. `Ok(0)` means that the peer has closed
/// its side.
///
/// # Errors
/// The connection failed, or the buffer is full and cannot grow (`OutOfMemory`).
pub async fn read(stream: &TcpStream, buffer: &mut ReadBuffer) -> io::Result<usize> {
    if buffer.is_full() {
        buffer.grow().map_err(|exhausted| io::Error::new(ErrorKind::OutOfMemory, exhausted))?;
    }
    loop {
        consume_budget().await;
        stream.readable().await?;
        match stream.try_read(buffer.space()) {
            Ok(count) => {
                buffer.add(count);
                return Ok(count);
            }
            Err(error) if is_transient(&error) => {}
            Err(error) => return Err(error),
        }
    }
}

/// Reads up to `limit` bytes that have arrived, waiting until there are some, and passes them to `receive`, whose result
/// is returned. No bytes mean that the peer has closed its side. Until bytes have arrived, no memory is used for them.
///
/// # Errors
/// The connection failed.
pub async fn read_chunk<T>(
    stream: &TcpStream,
    limit: usize,
    mut receive: impl FnMut(&[u8]) -> T,
) -> io::Result<T> {
    loop {
        consume_budget().await;
        stream.readable().await?;
        match try_read_chunk(stream, limit, &mut receive) {
            Err(error) if is_transient(&error) => {}
            read => return read,
        }
    }
}

/// [`read_chunk`] without waiting. The chunk is on the stack of this function, not in the state of a task.
fn try_read_chunk<T>(
    stream: &TcpStream,
    limit: usize,
    receive: &mut impl FnMut(&[u8]) -> T,
) -> io::Result<T> {
    let mut chunk = [0; READ_CHUNK_BYTES];
    let count = stream.try_read(&mut chunk[..limit.min(READ_CHUNK_BYTES)])?;
    Ok(receive(&chunk[..count]))
}

/// Writes some of the bytes, and advances `bytes` past them.
///
/// # Errors
/// The connection failed.
pub async fn write(stream: &TcpStream, bytes: &mut impl Buf) -> io::Result<()> {
    loop {
        stream.writable().await?;
        let mut slices = [IoSlice::new(&[]); MAX_SLICES];
        let count = bytes.chunks_vectored(&mut slices);
        match stream.try_write_vectored(&slices[..count]) {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(written) => {
                bytes.advance(written);
                return Ok(());
            }
            Err(error) if is_transient(&error) => {}
            Err(error) => return Err(error),
        }
    }
}

/// Writes all bytes. The first write is not delayed by other tasks, so that a check made just before it still holds.
///
/// # Errors
/// The connection failed.
pub async fn write_all(stream: &TcpStream, mut bytes: impl Buf) -> io::Result<()> {
    while bytes.has_remaining() {
        write(stream, &mut bytes).await?;
        if bytes.has_remaining() {
            consume_budget().await;
        }
    }
    Ok(())
}

/// [`read()`] with the signature of Tokio's `AsyncRead`.
///
/// # Errors
/// The connection failed.
pub(crate) fn poll_read(
    stream: &TcpStream,
    cx: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
) -> Poll<io::Result<()>> {
    loop {
        ready!(stream.poll_read_ready(cx))?;
        match stream.try_read(buffer.initialize_unfilled()) {
            Ok(count) => {
                buffer.advance(count);
                return Poll::Ready(Ok(()));
            }
            Err(error) if is_transient(&error) => {}
            Err(error) => return Poll::Ready(Err(error)),
        }
    }
}

/// [`write()`] with the signature of Tokio's `AsyncWrite`.
///
/// # Errors
/// The connection failed.
pub(crate) fn poll_write(
    stream: &TcpStream,
    cx: &mut Context<'_>,
    slices: &[IoSlice<'_>],
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(cx))?;
        match stream.try_write_vectored(slices) {
            Err(error) if is_transient(&error) => {}
            written => return Poll::Ready(written),
        }
    }
}
