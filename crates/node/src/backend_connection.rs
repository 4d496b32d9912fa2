//! Connections to backends, taken from the pool or opened.

use crate::context::{BackendEndpoint, NodeContext};
use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use weirusher::Status;
use weirusher_core::Reservation;

/// Longest timeout that is passed to a timer, in seconds.
const MAX_TIMEOUT: f64 = 86_400.0;

/// A connection in use, or being opened. Dropping it closes it and releases its place in the pool.
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
    /// The end of the attempt. [`Status::NotSent`] if the reason is the attempt's own time limit or an exhausted pool,
    /// which says nothing about the backend.
    pub async fn acquire(
        node: &Rc<NodeContext>,
        endpoint: &BackendEndpoint,
        timeout: f64,
    ) -> Result<Self, Status> {
        loop {
            let pooled = node.state.borrow_mut().pool.take(node.now(), endpoint);
            let Some(stream) = pooled else { break };
            let connection = Self::new(node, Some(stream));
            // Bytes or a close on an idle connection do not belong to a request of ours.
            if connection.stream.as_ref().is_some_and(has_nothing_to_read) {
                return Ok(connection);
            }
        }
        // An evicted connection is closed by being dropped here.
        if matches!(node.state.borrow_mut().pool.reserve(), Reservation::Exhausted) {
            return Err(Status::NotSent);
        }
        let mut connection = Self::new(node, None);
        let limit = timeout_duration(timeout.min(node.connect_timeout));
        let stream = match tokio::time::timeout(limit, weirusher_net::connect(endpoint.address)).await {
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

    /// The socket; `None` while it is being opened.
    pub fn stream(&self) -> Option<&TcpStream> {
        self.stream.as_ref()
    }

    /// Returns the connection to the pool, to be reused.
    pub fn return_to_pool(mut self, endpoint: BackendEndpoint) {
        let Some(stream) = self.stream.take() else { return };
        self.returned_to_pool = true;
        let state = &mut *self.node.state.borrow_mut();
        state.pool.put(self.node.now(), endpoint, stream); // A connection that it evicts is closed by being dropped.
        self.node.eviction_wakeup.set(state.pool.next_eviction());
    }
}

/// Seconds as a duration that a timer accepts.
pub fn timeout_duration(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.0, MAX_TIMEOUT))
}

/// Whether neither bytes nor a close were received on a connection. The socket is checked directly, because the runtime
/// knows only what the system last notified it of.
fn has_nothing_to_read(stream: &TcpStream) -> bool {
    let read = SockRef::from(stream).peek(&mut [MaybeUninit::uninit(); 1]);
    matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
}

#[cfg(test)]
mod tests;
