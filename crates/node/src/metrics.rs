//! Counters of client connections and of the reasons why they were closed.

use std::cell::Cell;
use std::fmt;

/// Why a client connection was closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// The client closed or reset the connection while no request was pending.
    ClientClosed,
    /// The client closed or reset the connection while its request was pending.
    ClientGone,
    /// The client requested the close (`Connection: close`).
    ClientRequestedClose,
    /// The client did not read its response in time.
    ResponseUnread,
    /// The connection was idle for too long after a request, or was evicted to free its slot.
    Idle,
    /// The connection timed out, or was evicted to free its slot, before its first request.
    NoRequest,
    /// A request was invalid or incomplete, and was answered with an error.
    InvalidRequest,
    /// The gateway is shutting down.
    Shutdown,
    /// The task of the connection panicked.
    Panicked,
}

impl CloseReason {
    const ALL: [Self; 9] = [
        Self::ClientClosed,
        Self::ClientGone,
        Self::ClientRequestedClose,
        Self::ResponseUnread,
        Self::Idle,
        Self::NoRequest,
        Self::InvalidRequest,
        Self::Shutdown,
        Self::Panicked,
    ];

    /// The name in the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::ClientClosed => "client_closed",
            Self::ClientGone => "client_gone",
            Self::ClientRequestedClose => "client_requested_close",
            Self::ResponseUnread => "response_unread",
            Self::Idle => "idle",
            Self::NoRequest => "no_request",
            Self::InvalidRequest => "invalid_request",
            Self::Shutdown => "shutdown",
            Self::Panicked => "panicked",
        }
    }
}

impl fmt::Display for CloseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// The number of client connections accepted, and closed by reason. The counts never decrease.
#[derive(Default)]
pub struct ConnectionMetrics {
    accepted: Cell<u64>,
    closed: [Cell<u64>; CloseReason::ALL.len()],
}

impl ConnectionMetrics {
    /// Counts an accepted connection.
    pub fn accepted(&self) {
        self.accepted.set(self.accepted.get() + 1);
    }

    /// Counts a closed connection.
    pub fn closed(&self, reason: CloseReason) {
        let count = &self.closed[reason as usize];
        count.set(count.get() + 1);
    }
}

impl fmt::Debug for ConnectionMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts =
            CloseReason::ALL.into_iter().map(|reason| (reason.name(), self.closed[reason as usize].get()));
        f.debug_map()
            .entry(&"accepted", &self.accepted.get())
            .entries(counts.filter(|(_, count)| *count > 0))
            .finish()
    }
}
