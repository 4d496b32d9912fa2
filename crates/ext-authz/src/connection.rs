//! A connection from a proxy, with a lingering close so that the peer receives the last bytes written.

use std::future::Future;
use std::io;
use std::pin::{Pin, pin};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Sleep;
use tonic::transport::server::{Connected, TcpConnectInfo};
use weirusher_net::Stream;

/// Maximum time that a connection stays open after its last byte was written. Closing a socket while data is
/// still arriving sends a reset, which can make the peer discard the last bytes before it has read them. A
/// peer normally closes its side once it has read the GOAWAY frame.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);
/// Size of the buffer that incoming data is discarded into while lingering.
const DISCARD_BUFFER_BYTES: usize = 4096;

/// An accepted connection, which occupies one of the server's connection slots.
pub struct Connection {
    stream: Stream,
    /// Set once the write side has been shut down.
    linger_timeout: Option<Pin<Box<Sleep>>>,
    _slot: OwnedSemaphorePermit,
}

impl Connection {
    /// Creates a connection that holds `slot` until it is dropped.
    pub fn new(stream: TcpStream, slot: OwnedSemaphorePermit) -> Self {
        Self { stream: stream.into(), linger_timeout: None, _slot: slot }
    }

    fn stream(self: Pin<&mut Self>) -> Pin<&mut Stream> {
        Pin::new(&mut self.get_mut().stream)
    }

    /// Reads and discards incoming data until the peer closes its side.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let mut discarded = [0; DISCARD_BUFFER_BYTES];
        loop {
            let mut buf = ReadBuf::new(&mut discarded);
            let read = ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buf));
            if read.is_err() || buf.filled().is_empty() {
                return Poll::Ready(());
            }
        }
    }
}

impl Connected for Connection {
    type ConnectInfo = TcpConnectInfo;

    fn connect_info(&self) -> TcpConnectInfo {
        self.stream.socket().connect_info()
    }
}

impl AsyncRead for Connection {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        self.stream().poll_read(cx, buf)
    }
}

impl AsyncWrite for Connection {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.stream().poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream().poll_flush(cx)
    }

    /// Performs a lingering close, for the reason given in RFC 9112, section 9.6.
    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let connection = self.get_mut();
        if connection.linger_timeout.is_none() {
            ready!(Pin::new(&mut connection.stream).poll_shutdown(cx))?;
            connection.linger_timeout = Some(Box::pin(tokio::time::sleep(LINGER_TIMEOUT)));
        }
        if connection.poll_discard(cx).is_ready() {
            return Poll::Ready(Ok(()));
        }
        match &mut connection.linger_timeout {
            Some(timeout) => pin!(timeout).poll(cx).map(Ok),
            None => Poll::Ready(Ok(())),
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.stream().poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
