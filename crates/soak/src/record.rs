//! What passed on the sockets, as clients and backends observed it on one clock.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use tokio::time::Instant;

/// How often requests of a class may be executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Class {
    /// Idempotent: any number of times.
    Idempotent,
    /// Backends recognize repeats within a window.
    Deduplicated,
    /// At most once.
    AtMostOnce,
}

impl Class {
    /// All classes, in the order of the settings.
    pub const ALL: [Self; 3] = [Self::Idempotent, Self::Deduplicated, Self::AtMostOnce];

    /// The name of the class in the settings.
    pub fn name(self) -> &'static str {
        match self {
            Self::Idempotent => "read",
            Self::Deduplicated => "mark",
            Self::AtMostOnce => "write",
        }
    }
}

/// One process of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Incarnation {
    /// The node.
    pub node: usize,
    /// The node's processes are numbered from 0.
    pub number: usize,
}

/// How a request ended for its client.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// A complete response.
    Response {
        /// Its status code.
        status: u16,
        /// Its body.
        body: String,
    },
    /// The connection was reset: the gateway had not read the request.
    ResetUnread,
    /// The connection was closed after the gateway had read the request, without a complete response.
    ClosedUnanswered,
    /// No complete response came until well after the deadline.
    TimedOut,
    /// The client closed its connection first.
    ClientClosed,
}

/// A request that was written completely to an open connection.
#[derive(Debug, Clone)]
pub struct Request {
    /// Its id.
    pub id: String,
    /// The process that it was sent to.
    pub incarnation: Incarnation,
    /// Its class.
    pub class: Class,
    /// The number of its customer, where that has a ceiling.
    pub limited_customer: Option<usize>,
    /// When its last byte was written.
    pub sent_at: Instant,
    /// How long its client waits, in seconds.
    pub time_budget: f64,
    /// How it ended.
    pub outcome: Outcome,
    /// When it ended.
    pub ended_at: Instant,
    /// The name of its client's behaviour.
    pub behaviour: &'static str,
}

/// A request as a backend received it.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// The request's id.
    pub id: String,
    /// The backend's number.
    pub backend: usize,
    /// When the first byte was received.
    pub first_byte_at: Instant,
    /// When the last byte was received.
    pub received_at: Instant,
    /// The timeout that the gateway passed with the attempt, in seconds.
    pub timeout: f64,
    /// The backend rejected the attempt before execution.
    pub not_executed: bool,
    /// When the response was written, or the connection ended.
    pub ended_at: Option<Instant>,
}

/// A change of a backend's status, as discovery sends it to a node.
#[derive(Debug, Clone, Copy)]
pub struct BackendUpdate {
    /// From when on the node counts as notified.
    pub at: Instant,
    /// The backend.
    pub backend: usize,
    /// Whether the backend accepts new requests.
    pub serving: bool,
}

/// The SIGKILL that a process got.
#[derive(Debug, Clone, Copy)]
pub struct Kill {
    /// When it was sent.
    pub at: Instant,
    /// Whether it was an injected crash; otherwise it ended a graceful shutdown that took too long.
    pub is_crash: bool,
}

/// How a process ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitKind {
    /// With status 0, or by SIGKILL.
    Expected,
    /// By SIGTERM itself: it had not begun to watch for it.
    Terminated,
    /// In any other way.
    Failed,
}

/// The end of a process.
#[derive(Debug, Clone, Copy)]
pub struct Exit {
    /// When it was observed.
    pub at: Instant,
    /// How it ended.
    pub how: ExitKind,
}

/// A span in which updates may reach a node late: those within it count as notified at its end.
#[derive(Debug, Clone, Copy)]
pub struct Deferral {
    /// Its begin.
    pub from: Instant,
    /// Its end.
    pub until: Instant,
}

/// A process of a node.
#[derive(Debug, Clone)]
pub struct Process {
    /// When it was started.
    pub started_at: Instant,
    /// It answered the readiness check.
    pub was_ready: bool,
    /// When it was sent SIGTERM.
    pub terminated_at: Option<Instant>,
    /// The SIGKILL that it was sent.
    pub kill: Option<Kill>,
    /// How it ended.
    pub exit: Option<Exit>,
    /// The updates that it was sent.
    pub backend_updates: Vec<BackendUpdate>,
    /// Reloads and outages of discovery, which defer updates.
    pub deferrals: Vec<Deferral>,
}

impl Process {
    /// From when on the process counts as notified of an update that was sent at `at`.
    pub fn notified_at(&self, at: Instant) -> Instant {
        let deferrals = self.deferrals.iter().filter(|span| span.from <= at && at <= span.until);
        deferrals.map(|span| span.until).max().unwrap_or(at)
    }
}

/// A backend that was restarted: it is listed again and in slow start.
#[derive(Debug, Clone, Copy)]
pub struct BackendRestart {
    /// The backend.
    pub backend: usize,
    /// When it was listed again.
    pub at: Instant,
}

/// All that was recorded.
#[derive(Debug, Default)]
pub struct Records {
    /// Requests in the order of their ends.
    pub requests: Vec<Request>,
    /// Attempts in the order of their arrival.
    pub attempts: Vec<Attempt>,
    /// Processes.
    pub processes: HashMap<Incarnation, Process>,
    /// Restarts of backends during the soak.
    pub backend_restarts: Vec<BackendRestart>,
    /// How often each fault was injected.
    pub faults: HashMap<&'static str, u64>,
    /// The largest delay of this program's own timers, in seconds: all times are uncertain by as much.
    pub timer_lag: f64,
}

/// The records while a soak runs, shared by its tasks.
#[derive(Debug, Clone, Default)]
pub struct Recorder(Arc<Mutex<Records>>);

impl Recorder {
    /// Reads or changes the records.
    pub fn with<T>(&self, change: impl FnOnce(&mut Records) -> T) -> T {
        change(&mut self.0.lock().expect("no task panics while it has the lock"))
    }

    /// Takes the records out.
    pub fn take(&self) -> Records {
        self.with(std::mem::take)
    }

    /// Counts an injected fault.
    pub fn count_fault(&self, name: &'static str) {
        self.with(|records| *records.faults.entry(name).or_default() += 1);
    }

    /// Changes the record of a process, where there is one.
    pub fn update_process(&self, incarnation: Incarnation, change: impl FnOnce(&mut Process)) {
        self.with(|records| {
            if let Some(process) = records.processes.get_mut(&incarnation) {
                change(process);
            }
        });
    }
}
