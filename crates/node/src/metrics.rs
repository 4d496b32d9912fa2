//! Counts of client connections, and the reasons why they were closed.

use std::cell::Cell;
use std::fmt;

/// Why a client's connection was closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// The client closed or reset it while no request was pending.
    ClientClosed,
    /// The client closed or reset it while its request was pending.
    ClientGone,
    /// The client requested the close (`Connection: close`).
    ClientRequestedClose,
    /// The client did not read its response in time.
    ResponseUnread,
    /// It was idle for too long, or was evicted for another.
    Idle,
    /// No complete request arrived in time.
    NoRequest,
    /// Its request was invalid and was answered with an error.
    InvalidRequest,
    /// This gateway is shutting down.
    Shutdown,
    /// Its task panicked.
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

    /// The name in log lines.
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

/// How many client connections were accepted, and closed by reason. Each count grows only.
#[derive(Default)]
pub struct ConnectionMetrics {
    accepted: Cell<u64>,
    closed: [Cell<u64>; CloseReason::ALL.len()],
}

impl ConnectionMetrics {
    /// A connection was accepted.
    pub fn accepted(&self) {
        self.accepted.set(self.accepted.get() + 1);
    }

    /// A connection was closed.
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
