//! The capture of a run: what passed on the sockets, on one clock, as lines of JSON.
//!
//! The names in the JSON are those of the first version, so that stored captures stay readable; they are mapped here.

use crate::audit_parameters::AuditParameters;
use serde::{Deserialize, Serialize};

/// Answer to an authorisation check, as the load generator saw it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CheckOutcome {
    /// The request may be forwarded.
    Allowed {
        /// Address of the backend that was selected.
        #[serde(rename = "server")]
        backend: String,
        /// Seconds that the attempt may take.
        #[serde(rename = "timeout")]
        timeout_seconds: f64,
        /// Ticket that the backend admits the attempt with.
        ticket: String,
    },
    /// Rejected; a retry does no harm.
    #[serde(rename = "refused")]
    Rejected {
        /// Seconds until the client may retry.
        #[serde(rename = "retry_after")]
        retry_after_seconds: f64,
    },
    /// Failed; the request may have run.
    Failed,
    /// The gateway answered that the check is malformed, or its answer is unreadable.
    #[serde(rename = "bad")]
    Invalid,
    /// The connection to the gateway broke.
    #[serde(rename = "broken")]
    ConnectionLost,
}

/// What a backend's admission decided on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Admission {
    /// It runs.
    #[serde(rename = "runs")]
    Admitted,
    /// No ticket, or one that was forged or altered.
    #[serde(rename = "invalid")]
    InvalidTicket,
    /// The ticket has expired.
    #[serde(rename = "expired")]
    ExpiredTicket,
    /// The ticket was used before.
    #[serde(rename = "replayed")]
    ReplayedTicket,
    /// The ticket names another backend.
    #[serde(rename = "misdirected")]
    WrongBackend,
    /// The queue is full.
    #[serde(rename = "full")]
    QueueFull,
}

impl Admission {
    /// The word for it in captures, in reports and in the `x-weirusher-turned-away` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Admitted => "runs",
            Self::InvalidTicket => "invalid",
            Self::ExpiredTicket => "expired",
            Self::ReplayedTicket => "replayed",
            Self::WrongBackend => "misdirected",
            Self::QueueFull => "full",
        }
    }
}

/// How a client's request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClientOutcome {
    /// With the backend's response.
    Served,
    /// Rejected; a retry does no harm.
    #[serde(rename = "refused")]
    Rejected,
    /// Failed; the request may have run.
    Failed,
    /// The connection to the gateway broke: the client has to ask again.
    #[serde(rename = "broken")]
    ConnectionLost,
    /// The client closed before there was a response.
    #[serde(rename = "left")]
    ClientClosed,
}

impl ClientOutcome {
    /// The word for it in captures and reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Served => "served",
            Self::Rejected => "refused",
            Self::Failed => "failed",
            Self::ConnectionLost => "broken",
            Self::ClientClosed => "left",
        }
    }
}

/// What happened to a backend's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendState {
    /// It started, and is in slow start.
    Started,
    /// It was killed.
    Killed,
    /// It was overloaded during its slow start, and failed.
    #[serde(rename = "fell")]
    Overloaded,
}

/// What happened to a datagram between two gateways.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DatagramFate {
    /// It arrived.
    #[serde(rename = "passed")]
    Delivered,
    /// A duplicate of it arrived as well.
    #[serde(rename = "doubled")]
    Duplicated,
    /// A copy of it arrived once more, later.
    Replayed,
    /// It was lost.
    Lost,
    /// The network was partitioned between the two, or this direction was blocked.
    #[serde(rename = "cut")]
    Partitioned,
    /// No gateway sent it.
    Forged,
}

impl DatagramFate {
    /// The word for it in captures and reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Delivered => "passed",
            Self::Duplicated => "doubled",
            Self::Replayed => "replayed",
            Self::Lost => "lost",
            Self::Partitioned => "cut",
            Self::Forged => "forged",
        }
    }
}

/// A gateway's own view of the membership, as its admin page reports it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MembershipReport {
    /// Its incarnation.
    pub incarnation: u64,
    /// Members that it reports alive.
    pub alive: Vec<usize>,
    /// Members that it reports dead.
    #[serde(rename = "gone")]
    pub dead: Vec<usize>,
    /// Share of the fleet that it reaches and is reached by.
    #[serde(rename = "share")]
    pub reachable_share: f64,
    /// Members whose heartbeats it receives directly.
    #[serde(rename = "heard")]
    pub heard_directly: u16,
    /// It reports that a later process has its number.
    pub superseded: bool,
}

/// One event of a run. `request`, `call` and `gateway` are the numbers of a client's request, of an authorisation check
/// and of a gateway.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
#[allow(missing_docs)] // The variants say what happened, the fields what it carried.
pub enum CaptureEvent {
    /// The run begins; the first line of a capture.
    #[serde(rename = "day")]
    RunStarted {
        name: String,
        #[serde(rename = "rules")]
        parameters: AuditParameters,
    },
    /// A client's request reaches the load generator. `closes_early`: its client closes before its deadline.
    #[serde(rename = "begin")]
    RequestStarted {
        #[serde(rename = "req")]
        request: u64,
        customer: String,
        class: usize,
        units: f64,
        #[serde(rename = "patience")]
        deadline_seconds: f64,
        #[serde(rename = "leaves")]
        closes_early: bool,
    },
    /// The load generator sends an authorisation check; `retry`: with the ticket of an earlier attempt.
    #[serde(rename = "ask")]
    CheckSent {
        #[serde(rename = "req")]
        request: u64,
        call: u64,
        #[serde(rename = "gk")]
        gateway: usize,
        #[serde(rename = "further")]
        retry: bool,
    },
    /// The gateway's answer to a check arrives.
    #[serde(rename = "answer")]
    CheckCompleted {
        #[serde(rename = "req")]
        request: u64,
        call: u64,
        #[serde(rename = "gk")]
        gateway: usize,
        #[serde(rename = "verdict")]
        outcome: CheckOutcome,
    },
    /// The load generator cancels a check.
    #[serde(rename = "reset")]
    CheckCancelled {
        #[serde(rename = "req")]
        request: u64,
        call: u64,
        #[serde(rename = "gk")]
        gateway: usize,
    },
    /// The load generator sends an attempt to a backend.
    #[serde(rename = "sent")]
    AttemptSent {
        #[serde(rename = "req")]
        request: u64,
        #[serde(rename = "server")]
        backend: String,
        ticket: String,
    },
    /// A backend received an attempt, and admitted it or not.
    #[serde(rename = "got")]
    AttemptReceived {
        #[serde(rename = "req")]
        request: u64,
        #[serde(rename = "server")]
        backend: String,
        ticket: String,
        #[serde(rename = "door")]
        admission: Admission,
    },
    /// A backend has executed an attempt.
    #[serde(rename = "ran")]
    AttemptExecuted {
        #[serde(rename = "req")]
        request: u64,
        #[serde(rename = "server")]
        backend: String,
    },
    /// The client's request ends.
    #[serde(rename = "final")]
    RequestFinished {
        #[serde(rename = "req")]
        request: u64,
        #[serde(rename = "end")]
        outcome: ClientOutcome,
    },
    /// The load generator reports the end of an attempt to a gateway.
    #[serde(rename = "report")]
    ReportSent {
        #[serde(rename = "req")]
        request: u64,
        #[serde(rename = "gk")]
        gateway: usize,
        ticket: String,
    },
    /// The counter adds.
    #[serde(rename = "added")]
    CounterAdded { key: String, amount: f64, total: f64 },
    /// The counter loses all its counts.
    #[serde(rename = "emptied")]
    CounterCleared,
    /// An endpoint list is sent to a gateway, with these backends as draining or removed: it may be used from now on.
    #[serde(rename = "told")]
    ListSent {
        #[serde(rename = "gk")]
        gateway: usize,
        #[serde(rename = "stopped")]
        stopped_backends: Vec<String>,
    },
    /// A gateway acknowledges an endpoint list: it knows that these backends are draining or removed.
    #[serde(rename = "knows")]
    ListAcknowledged {
        #[serde(rename = "gk")]
        gateway: usize,
        #[serde(rename = "stopped")]
        stopped_backends: Vec<String>,
    },
    /// A backend's process starts, is killed or fails.
    #[serde(rename = "server")]
    BackendChanged {
        #[serde(rename = "server")]
        backend: String,
        state: BackendState,
    },
    /// A gateway's process starts, is killed or ends.
    #[serde(rename = "gatekeeper")]
    GatewayRunning {
        #[serde(rename = "gk")]
        gateway: usize,
        running: bool,
    },
    /// A gateway begins its graceful shutdown: a check that is sent from now on may find it closed.
    #[serde(rename = "stopping")]
    GatewayStopping {
        #[serde(rename = "gk")]
        gateway: usize,
    },
    /// The network between the load generator and a gateway works, or does not.
    #[serde(rename = "way")]
    GatewayReachable {
        #[serde(rename = "gk")]
        gateway: usize,
        #[serde(rename = "open")]
        reachable: bool,
    },
    /// A scheduled fault begins or ends.
    Fault {
        #[serde(rename = "text")]
        description: String,
    },
    /// All gateways of a fleet with membership were started; `outsiders` have another key or another fleet size, and
    /// are no members.
    #[serde(rename = "peers")]
    FleetStarted {
        size: usize,
        #[serde(rename = "strangers")]
        outsiders: Vec<usize>,
    },
    /// A datagram was sent from one gateway to another.
    Datagram { from: usize, to: usize, bytes: usize, fate: DatagramFate },
    /// The network between gateways is partitioned: the group of each gateway. Groups do not reach each other.
    #[serde(rename = "groups")]
    NetworkPartitioned { groups: Vec<usize> },
    /// One direction between two gateways is blocked or unblocked.
    #[serde(rename = "blocked")]
    DirectionBlocked { from: usize, to: usize, blocked: bool },
    /// A gateway's process is suspended by SIGSTOP, or continues.
    #[serde(rename = "paused")]
    GatewayPaused {
        #[serde(rename = "gk")]
        gateway: usize,
        paused: bool,
    },
    /// A second process is started under a gateway's number.
    #[serde(rename = "twin")]
    DuplicateStarted {
        #[serde(rename = "gk")]
        gateway: usize,
    },
    /// A gateway reports its view of the membership; `duplicate`: the second process under its number. The report was
    /// requested at `requested_at_seconds`.
    #[serde(rename = "states")]
    MembershipReported {
        #[serde(rename = "gk")]
        gateway: usize,
        #[serde(rename = "twin")]
        duplicate: bool,
        #[serde(rename = "asked")]
        requested_at_seconds: f64,
        #[serde(rename = "belief")]
        report: MembershipReport,
    },
}

/// One line of a capture.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CaptureRecord {
    /// Seconds since the run began.
    #[serde(rename = "t")]
    pub time_seconds: f64,
    /// What happened.
    #[serde(flatten)]
    pub event: CaptureEvent,
}
