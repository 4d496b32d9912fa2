//! The socket of a client, shared by the task of its connection and the attempts of its request.

use bytes::Buf;
use socket2::SockRef;
use std::io::{self, Read};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{Interest, Ready};
use tokio::net::TcpStream;
use tokio::task::coop::consume_budget;
use weirusher_buffers::ReadBuffer;
use weirusher_net::{is_closed_by_peer, since_last_received};
use weirusher_wire::body::BodyReader;
use weirusher_wire::http1::HttpError;

/// The socket of a connected client.
#[derive(Debug, Clone)]
pub struct ClientSocket(Rc<TcpStream>);

impl ClientSocket {
    /// Wraps the accepted `stream`.
    pub fn new(stream: TcpStream) -> Self {
        Self(Rc::new(stream))
    }

    /// Reads received bytes into `buffer`. `Ok(0)` means that the client has closed its side.
    pub async fn read(&self, buffer: &mut ReadBuffer) -> io::Result<usize> {
        weirusher_net::read(&self.0, buffer).await
    }

    /// Reads received bytes that belong to a body. `Ok(Ok(0))` means that the client has closed its side.
    pub async fn read_body(&self, body: &mut BodyReader) -> io::Result<Result<usize, HttpError>> {
        let expected = body.expected();
        let append = |bytes: &[u8]| body.append(bytes).map(|()| bytes.len());
        weirusher_net::read_chunk(&self.0, expected, append).await
    }

    /// Reads and discards up to `limit` received bytes. `Ok(0)` means that the client has closed its side.
    pub async fn discard(&self, limit: usize) -> io::Result<usize> {
        weirusher_net::read_chunk(&self.0, limit, <[u8]>::len).await
    }

    /// How long ago the last bytes were received. This time counts towards the client's time budget.
    pub fn time_since_received(&self) -> Duration {
        since_last_received(&*self.0).unwrap_or_default()
    }

    /// Reads until `buffer` is full and cannot grow. `WouldBlock` means that no more bytes were received and the
    /// client has not closed.
    ///
    /// The socket is read directly. After a short read, the runtime does not read again before the next
    /// notification from the system, and there may be none for a client that closed before its connection was
    /// accepted.
    fn try_read_ahead(&self, buffer: &mut ReadBuffer) -> io::Result<()> {
        let socket = SockRef::from(&*self.0);
        while has_space(buffer) {
            match (&*socket).read(buffer.space()) {
                Ok(0) => return Err(io::ErrorKind::ConnectionAborted.into()),
                Ok(count) => buffer.add(count),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Reads ahead the received bytes, as far as `buffer` may grow.
    ///
    /// # Errors
    /// The client has closed or reset the connection.
    pub fn read_ahead(&self, buffer: &mut ReadBuffer) -> io::Result<()> {
        ignore_would_block(self.try_read_ahead(buffer))
    }

    /// Waits until the client closes or resets the connection, and returns the reason. Reads ahead in the
    /// meantime, as far as `buffer` may grow; beyond that a notification from the system reveals the close even
    /// behind unread bytes.
    pub async fn wait_disconnected(&self, buffer: &mut ReadBuffer) -> io::Error {
        loop {
            consume_budget().await;
            let reads = has_space(buffer);
            // With interest in urgent data only, the close is the only event that is notified.
            let interest = if reads { Interest::READABLE } else { Interest::PRIORITY };
            match self.0.ready(interest).await {
                Ok(ready) if ready.is_read_closed() => return io::ErrorKind::ConnectionAborted.into(),
                Ok(_) => {}
                Err(error) => return error,
            }
            // If urgent data does arrive, it stays unread.
            let read = self.0.try_io(interest, || match reads {
                true => self.try_read_ahead(buffer),
                false => Err(io::ErrorKind::WouldBlock.into()),
            });
            if let Err(error) = ignore_would_block(read) {
                return error;
            }
        }
    }

    /// Whether the client has closed or reset the connection, according to the system at this moment, behind
    /// unread bytes even.
    pub fn is_disconnected(&self) -> bool {
        is_closed_by_peer(&*self.0).unwrap_or_else(|| self.has_nothing_but_a_close_to_read())
    }

    /// Whether the next read would find that the client has closed or reset the connection.
    fn has_nothing_but_a_close_to_read(&self) -> bool {
        match SockRef::from(&*self.0).peek(&mut [MaybeUninit::uninit(); 1]) {
            Ok(count) => count == 0,
            Err(error) => !matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted),
        }
    }

    /// Writes all bytes.
    pub async fn write_all(&self, bytes: impl Buf) -> io::Result<()> {
        weirusher_net::write_all(&self.0, bytes).await
    }

    /// Closes the write half of the connection.
    pub fn shutdown_write(&self) -> io::Result<()> {
        SockRef::from(&*self.0).shutdown(Shutdown::Write)
    }

    /// Waits until the client has closed its side. Bytes that it sent before the close stay unread.
    pub async fn wait_closed(&self) {
        let is_open = |ready: Ready| !ready.is_read_closed();
        while self.0.ready(Interest::PRIORITY).await.is_ok_and(is_open) {
            let clear_readiness = || Err::<(), _>(io::ErrorKind::WouldBlock.into());
            let _ = self.0.try_io(Interest::PRIORITY, clear_readiness); // Urgent data stays unread.
            consume_budget().await;
        }
    }
}

/// Whether a byte can be added, if necessary after growing.
fn has_space(buffer: &mut ReadBuffer) -> bool {
    !buffer.is_full() || buffer.grow().is_ok()
}

/// Treats `WouldBlock` as success: it only means that there is nothing to read now.
fn ignore_would_block(read: io::Result<()>) -> io::Result<()> {
    match read {
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(()),
        read => read,
    }
}
