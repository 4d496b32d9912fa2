//! Requests, attempts and process events, as clients, backends and the test driver observed them on one clock.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use tokio::time::Instant;

/// A request class, by how often its requests may be executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Class {
    /// Any number of times.
    Idempotent,
    /// Several times within the window in which backends recognize repeats.
    Deduplicated,
    /// At most once.
    AtMostOnce,
}

impl Class {
    /// All classes, in the order of the gateway's settings.
    pub const ALL: [Self; 3] = [Self::Idempotent, Self::Deduplicated, Self::AtMostOnce];

    /// The name of the class in the gateway's settings.
    pub fn name(self) -> &'static str {
        match self {
            Self::Idempotent => "read",
            Self::Deduplicated => "mark",
            Self::AtMostOnce => "write",
        }
    }
}

/// Identifies one of the successive processes of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Incarnation {
    /// The number of the node.
    pub node: usize,
    /// The number of the process among those of its node, from 0.
    pub number: usize,
}

/// The end of a request, as its client observed it.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// A complete response.
    Response {
        /// The status code.
        status: u16,
        /// The body.
        body: String,
    },
    /// The connection was reset, which means that the gateway had not read the request.
    ResetUnread,
    /// The connection was closed after the gateway had read the request, without a complete response.
    ClosedUnanswered,
    /// The client gave up well after the deadline, without a complete response.
    TimedOut,
    /// The client closed its connection before it had a response.
    ClientClosed,
}

/// A request that was written completely to an open connection, or a part of one that a stalled client left
/// incomplete.
#[derive(Debug, Clone)]
pub struct Request {
    /// The id that the client gave it.
    pub id: String,
    /// The gateway process that it was sent to.
    pub incarnation: Incarnation,
    /// The request class, which determines how often the request may be executed.
    pub class: Class,
    /// The number of the customer, if that has a ceiling.
    pub limited_customer: Option<usize>,
    /// When the last byte was written; for a pipelined request, when the request before it had ended.
    pub sent_at: Instant,
    /// The client's deadline, in seconds after `sent_at`.
    pub time_budget: f64,
    /// How the request ended.
    pub outcome: Outcome,
    /// When the request ended.
    pub ended_at: Instant,
    /// The name of the client's behaviour on this connection.
    pub behaviour: &'static str,
}

/// An attempt: a request as a backend received it.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// The id of the request.
    pub id: String,
    /// The number of the backend.
    pub backend: usize,
    /// When the first byte was received.
    pub first_byte_at: Instant,
    /// When the last byte was received.
    pub received_at: Instant,
    /// The timeout that the gateway passed with the attempt, in seconds; infinite if it passed none.
    pub timeout: f64,
    /// Whether the backend rejected the attempt before it executed the request.
    pub not_executed: bool,
    /// When the response was written completely or the connection ended; `None` before that.
    pub ended_at: Option<Instant>,
}

/// A change of a backend's status, as discovery sent it to a node.
#[derive(Debug, Clone, Copy)]
pub struct BackendUpdate {
    /// When discovery sent it. The node counts as notified from then on, unless a [`Deferral`] covers this time.
    pub at: Instant,
    /// The number of the backend.
    pub backend: usize,
    /// Whether the backend accepts new requests.
    pub serving: bool,
}

/// A SIGKILL that a process was sent.
#[derive(Debug, Clone, Copy)]
pub struct Kill {
    /// When the signal was sent.
    pub at: Instant,
    /// Whether this was an injected crash rather than the end of a graceful shutdown that took too long.
    pub is_crash: bool,
}

/// How a process exited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitKind {
    /// With status 0, or by SIGKILL.
    Expected,
    /// By SIGTERM's default action: the process had not installed its signal handler yet.
    Terminated,
    /// In any other way, such as a panic or an error status.
    Failed,
}

/// The exit of a process.
#[derive(Debug, Clone, Copy)]
pub struct Exit {
    /// When the exit was observed.
    pub at: Instant,
    /// How the process exited.
    pub how: ExitKind,
}

/// A time span in which updates may reach a node late: the node counts as notified of them at its end.
#[derive(Debug, Clone, Copy)]
pub struct Deferral {
    /// The start of the span.
    pub from: Instant,
    /// The end of the span.
    pub until: Instant,
}

/// What was observed of one process of a node.
#[derive(Debug, Clone)]
pub struct Process {
    /// When the process was started.
    pub started_at: Instant,
    /// Whether it passed a readiness check.
    pub was_ready: bool,
    /// When it was sent SIGTERM, if it was.
    pub terminated_at: Option<Instant>,
    /// The SIGKILL that it was sent, if any.
    pub kill: Option<Kill>,
    /// Its exit, once that was observed.
    pub exit: Option<Exit>,
    /// The status of each backend at its start, and the changes that it was sent later.
    pub backend_updates: Vec<BackendUpdate>,
    /// Reloads and outages, which delay updates.
    pub deferrals: Vec<Deferral>,
}

impl Process {
    /// The time from which the process counts as notified of an update that was sent at `at`.
    pub fn notified_at(&self, at: Instant) -> Instant {
        let deferrals = self.deferrals.iter().filter(|span| span.from <= at && at <= span.until);
        deferrals.map(|span| span.until).max().unwrap_or(at)
    }
}

/// The restart of a backend, which is listed again and in slow start from then on.
#[derive(Debug, Clone, Copy)]
pub struct BackendRestart {
    /// The number of the backend.
    pub backend: usize,
    /// When it was listed again.
    pub at: Instant,
}

/// Everything that was recorded during a soak.
#[derive(Debug, Default)]
pub struct Records {
    /// Requests, in the order in which they ended.
    pub requests: Vec<Request>,
    /// Attempts, in the order in which backends received them.
    pub attempts: Vec<Attempt>,
    /// The processes of all nodes.
    pub processes: HashMap<Incarnation, Process>,
    /// Restarts of backends.
    pub backend_restarts: Vec<BackendRestart>,
    /// The number of injected faults, by the name of their kind.
    pub faults: HashMap<&'static str, u64>,
    /// The largest delay of this program's own timers, in seconds. Every recorded time may be wrong by as much.
    pub timer_lag: f64,
}

/// Shared access to the records for the tasks of a running soak.
#[derive(Debug, Clone, Default)]
pub struct Recorder(Arc<Mutex<Records>>);

impl Recorder {
    /// Calls `change` with the records locked.
    pub fn with<T>(&self, change: impl FnOnce(&mut Records) -> T) -> T {
        change(&mut self.0.lock().expect("no task panics while holding the lock"))
    }

    /// Takes the records, and leaves empty ones.
    pub fn take(&self) -> Records {
        self.with(std::mem::take)
    }

    /// Counts an injected fault.
    pub fn count_fault(&self, name: &'static str) {
        self.with(|records| *records.faults.entry(name).or_default() += 1);
    }

    /// Changes the record of a process, if there is one.
    pub fn update_process(&self, incarnation: Incarnation, change: impl FnOnce(&mut Process)) {
        self.with(|records| {
            if let Some(process) = records.processes.get_mut(&incarnation) {
                change(process);
            }
        });
    }
}
