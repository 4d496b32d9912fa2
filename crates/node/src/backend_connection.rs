//! Connections to backends, taken from the pool or newly opened.

use crate::backends::BackendEndpoint;
use crate::context::NodeContext;
use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use weirusher::Status;
use weirusher_core::Reservation;

/// Longest timeout for a timer, in seconds.
const MAX_TIMEOUT: f64 = 86_400.0;

/// A connection that is in use or being opened. Dropping it closes the connection and releases its place in
/// the pool.
pub struct BackendConnection {
    node: Rc<NodeContext>,
    /// `None` while it is being opened.
    stream: Option<TcpStream>,
    returned_to_pool: bool,
}

impl Drop for BackendConnection {
    fn drop(&mut self) {
        if !self.returned_to_pool {
            self.node.state.borrow_mut().pool.release();
        }
    }
}

impl BackendConnection {
    /// Takes a connection to `endpoint` from the pool, or opens one within `timeout` seconds.
    ///
    /// # Errors
    /// The status of the attempt. It is [`Status::NotSent`] if the attempt's own time limit expired or the
    /// pool is exhausted, neither of which indicates a fault of the backend.
    pub async fn acquire(
        node: &Rc<NodeContext>,
        endpoint: &BackendEndpoint,
        timeout: f64,
    ) -> Result<Self, Status> {
        loop {
            let pooled = node.state.borrow_mut().pool.take(node.now(), endpoint);
            let Some(stream) = pooled else { break };
            let connection = Self::new(node, Some(stream));
            // Bytes or a close on an idle connection do not belong to any request, so the connection is
            // discarded.
            if connection.stream.as_ref().is_some_and(has_nothing_to_read) {
                return Ok(connection);
            }
        }
        // If another connection is evicted, dropping it here closes it.
        if matches!(node.state.borrow_mut().pool.reserve(), Reservation::Exhausted) {
            return Err(Status::NotSent);
        }
        let mut connection = Self::new(node, None);
        let limit = timeout_duration(timeout.min(node.connect_timeout));
        let stream =
            match tokio::time::timeout(limit, weirusher_net::connect(endpoint.instance.address)).await {
                Ok(Ok(stream)) => stream,
                Err(_) if timeout < node.connect_timeout => return Err(Status::NotSent),
                _ => return Err(Status::ConnectFailed),
            };
        connection.stream = Some(stream);
        Ok(connection)
    }

    fn new(node: &Rc<NodeContext>, stream: Option<TcpStream>) -> Self {
        Self { node: node.clone(), stream, returned_to_pool: false }
    }

    /// The socket, or `None` while the connection is being opened.
    pub fn stream(&self) -> Option<&TcpStream> {
        self.stream.as_ref()
    }

    /// Returns the connection to the pool for reuse.
    pub fn return_to_pool(mut self, endpoint: BackendEndpoint) {
        let Some(stream) = self.stream.take() else { return };
        self.returned_to_pool = true;
        let state = &mut *self.node.state.borrow_mut();
        state.pool.put(self.node.now(), endpoint, stream); // Dropping an evicted connection closes it.
        self.node.eviction_wakeup.set(state.pool.next_eviction());
    }
}

/// Converts seconds to a duration in the range that timers accept.
pub fn timeout_duration(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.0, MAX_TIMEOUT))
}

/// Whether neither bytes nor a close were received on a connection. The socket is checked with a system call,
/// because the runtime only knows the state of the last notification.
fn has_nothing_to_read(stream: &TcpStream) -> bool {
    let read = SockRef::from(stream).peek(&mut [MaybeUninit::uninit(); 1]);
    matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
}

#[cfg(test)]
mod tests;
