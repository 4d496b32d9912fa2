//! Listening sockets that recover from failed calls.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// How long binding an address is retried: the previous process may still use it, or the system may be short of a
/// resource for a moment.
const BIND_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between two attempts to bind.
const BIND_PAUSE: Duration = Duration::from_millis(50);
/// Number of consecutive aborted connections after which each further one causes a pause.
const MAX_ABORTED_WITHOUT_PAUSE: u32 = 16;
/// Pause after an aborted connection.
const ABORTED_PAUSE: Duration = Duration::from_millis(1);
/// Pause after an accept that failed because the system is short of a resource, such as file descriptors.
const ACCEPT_FAILURE_PAUSE: Duration = Duration::from_millis(20);

/// Listens on an address. Failures are retried for 5 s.
///
/// # Errors
/// The last error, if no attempt succeeded.
pub async fn bind(address: SocketAddr) -> io::Result<Listener> {
    let deadline = Instant::now() + BIND_TIMEOUT;
    let mut warned = false;
    loop {
        let error = match TcpListener::bind(address).await {
            Ok(listener) => return Ok(Listener { listener, failed: 0, aborted: 0 }),
            Err(error) if Instant::now() >= deadline => return Err(error),
            Err(error) => error,
        };
        if !std::mem::replace(&mut warned, true) {
            tracing::warn!(%error, %address, "cannot bind the listening address; retrying");
        }
        tokio::time::sleep(BIND_PAUSE).await;
    }
}

/// Whether an accept failed because its connection was aborted or the call was interrupted, as opposed to a shortage of
/// a system resource.
fn is_aborted_connection(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted)
}

/// A listening socket that stays open when calls fail.
#[derive(Debug)]
pub struct Listener {
    listener: TcpListener,
    /// Number of failed accepts since the last accepted connection, not counting aborted connections.
    failed: u64,
    /// Number of consecutive aborted connections.
    aborted: u32,
}

impl Listener {
    /// The address on which the socket listens.
    ///
    /// # Errors
    /// The system call failed.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Accepts the next connection. Logs the first failure, and when connections are accepted again. Cancel safe.
    pub async fn accept(&mut self) -> TcpStream {
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) => {
                    self.count_accepted();
                    let _ = stream.set_nodelay(true); // A failure is harmless: it only delays small writes.
                    return stream;
                }
                Err(error) if is_aborted_connection(&error) => self.pause_after_aborted().await,
                Err(error) => {
                    self.count_failed(&error);
                    tokio::time::sleep(ACCEPT_FAILURE_PAUSE).await;
                }
            }
        }
    }

    /// A single aborted connection must not delay the next one, and many in a row must not become a busy loop.
    async fn pause_after_aborted(&mut self) {
        self.aborted += 1;
        if self.aborted <= MAX_ABORTED_WITHOUT_PAUSE {
            tokio::task::yield_now().await;
        } else {
            tokio::time::sleep(ABORTED_PAUSE).await;
        }
    }

    fn count_failed(&mut self, error: &io::Error) {
        if self.failed == 0 {
            tracing::warn!(%error, "cannot accept connections; retrying until it succeeds");
        }
        self.failed += 1;
    }

    fn count_accepted(&mut self) {
        self.aborted = 0;
        if self.failed > 0 {
            tracing::info!(failed = self.failed, "connections are accepted again");
            self.failed = 0;
        }
    }
}
