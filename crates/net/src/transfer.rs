//! Reads and writes that rely only on the result of the call itself.
//!
//! The runtime's own take a short transfer as a sign that the socket is drained or full, and wait for the system's next
//! notification. If the transfer was short for another reason, there is no such notification.

use bytes::{Buf, BytesMut};
use std::io::{self, ErrorKind, IoSlice};
use std::task::{Context, Poll, ready};
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Slices of one vectored write: a head and a body.
const MAX_SLICES: usize = 2;

/// Whether a failed call is to be repeated: it would have blocked or was interrupted.
fn is_transient(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}

/// Reads the bytes that were received, and waits for some if there are none. `Ok(0)`: the peer has closed its side.
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

/// Writes some of the bytes and advances past them.
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

/// [`read()`] in the form of the runtime's `AsyncRead`.
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

/// [`write()`] in the form of the runtime's `AsyncWrite`.
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
