//! Listening sockets that keep working when a call fails.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// How long binding an address is retried: the previous process may still use it, and the system may lack a resource for a
/// moment.
const BIND_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between two attempts to bind.
const BIND_PAUSE: Duration = Duration::from_millis(50);
/// Aborted connections in a row after which each costs a pause.
const MAX_ABORTED_WITHOUT_PAUSE: u32 = 16;
/// The pause after an aborted connection.
const ABORTED_PAUSE: Duration = Duration::from_millis(1);
/// Pause after an accept that failed because the system lacks a resource.
const ACCEPT_FAILURE_PAUSE: Duration = Duration::from_millis(20);

/// Listens on an address. Failures are retried for some seconds.
///
/// # Errors
/// The last failure, if none of the attempts succeeded.
pub async fn bind(address: SocketAddr) -> io::Result<Listener> {
    let deadline = Instant::now() + BIND_TIMEOUT;
    let mut is_logged = false;
    loop {
        let error = match TcpListener::bind(address).await {
            Ok(listener) => return Ok(Listener { listener, failed: 0, aborted: 0 }),
            Err(error) if Instant::now() >= deadline => return Err(error),
            Err(error) => error,
        };
        if !std::mem::replace(&mut is_logged, true) {
            tracing::warn!(%error, %address, "cannot listen yet, will retry");
        }
        tokio::time::sleep(BIND_PAUSE).await;
    }
}

/// Whether an accept failed because of one connection that was aborted, and not because the system lacks a resource.
fn is_aborted_connection(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted)
}

/// A listening socket that no failed call ends.
#[derive(Debug)]
pub struct Listener {
    listener: TcpListener,
    /// Accepts that failed since the last connection.
    failed: u64,
    /// Aborted connections in a row.
    aborted: u32,
}

impl Listener {
    /// The address on which it listens.
    ///
    /// # Errors
    /// The system does not provide it.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Accepts the next connection. Logs when none can be accepted and when they can again. Cancel safe.
    pub async fn accept(&mut self) -> TcpStream {
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) => {
                    self.count_accepted();
                    let _ = stream.set_nodelay(true); // Without it small writes are merely delayed.
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

    /// One aborted connection must not delay others; many in a row must not keep the process busy.
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
            tracing::warn!(%error, "no connection can be accepted");
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
