//! Reads and writes that treat a socket as drained or full only when a call would block.
//!
//! Tokio's own I/O takes a short transfer as a sign that the socket is drained or full, and waits for the next
//! readiness notification of the system. If the transfer was short for another reason, that notification never arrives.

use bytes::{Buf, BytesMut};
use std::io::{self, ErrorKind, IoSlice};
use std::task::{Context, Poll, ready};
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Maximum number of slices in a vectored write: a head and a body.
const MAX_SLICES: usize = 2;

/// Whether a failed call must be repeated: it would have blocked, or it was interrupted.
fn is_transient(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}

/// Reads the bytes that have arrived, waiting until there are some. `Ok(0)` means that the peer has closed its side.
///
/// # Errors
/// The connection failed.
pub async fn read(stream: &TcpStream, buffer: &mut BytesMut) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        match stream.try_read_buf(buffer) {
            Err(error) if is_transient(&error) => {}
            read => return read,
        }
    }
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

/// Writes all bytes.
///
/// # Errors
/// The connection failed.
pub async fn write_all(stream: &TcpStream, mut bytes: impl Buf) -> io::Result<()> {
    while bytes.has_remaining() {
        write(stream, &mut bytes).await?;
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
