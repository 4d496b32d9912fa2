//! The capture of a run: the traffic on the sockets as lines of JSON, with times of one clock.
//!
//! The names in the JSON are those of the first version, so that stored captures stay readable. The attributes here map
//! them to the names in the code.

use crate::audit_parameters::AuditParameters;
use serde::{Deserialize, Serialize};

/// Outcome of an authorisation check, as the load generator saw it.
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
    /// The request was rejected and did not run, so a retry is safe.
    #[serde(rename = "refused")]
    Rejected {
        /// Seconds until the client may retry.
        #[serde(rename = "retry_after")]
        retry_after_seconds: f64,
    },
    /// The request failed and may have run.
    Failed,
    /// The gateway reported a malformed check, or its response was unreadable.
    #[serde(rename = "bad")]
    Invalid,
    /// The connection to the gateway broke.
    #[serde(rename = "broken")]
    ConnectionLost,
}

/// A backend's decision whether to admit a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Admission {
    /// The request is executed.
    #[serde(rename = "runs")]
    Admitted,
    /// The ticket is missing, forged or altered.
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
    /// The queue of the backend is full.
    #[serde(rename = "full")]
    QueueFull,
}

impl Admission {
    /// Returns its name in captures, in reports and in the `x-weirusher-turned-away` header.
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
    /// The client got the backend's response.
    Served,
    /// The request was rejected and did not run, so a retry is safe.
    #[serde(rename = "refused")]
    Rejected,
    /// The request failed and may have run.
    Failed,
    /// The connection to the gateway broke, so the client has to send the request again.
    #[serde(rename = "broken")]
    ConnectionLost,
    /// The client closed the connection before a response arrived.
    #[serde(rename = "left")]
    ClientClosed,
}

impl ClientOutcome {
    /// Returns its name in captures and reports.
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

/// A change of a backend's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendState {
    /// It started, and is in its slow start.
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
    /// A duplicate of it arrived.
    #[serde(rename = "doubled")]
    Duplicated,
    /// A copy of it arrived again later.
    Replayed,
    /// It was lost.
    Lost,
    /// It was dropped, as the network was partitioned between the two gateways or this direction was blocked.
    #[serde(rename = "cut")]
    Partitioned,
    /// It arrived although no gateway had sent it.
    Forged,
}

impl DatagramFate {
    /// Returns its name in captures and reports.
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

/// A gateway's view of the membership, as reported by its admin page.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MembershipReport {
    /// Incarnation of the gateway.
    pub incarnation: u64,
    /// Members that it reports as alive.
    pub alive: Vec<usize>,
    /// Members that it reports as dead.
    #[serde(rename = "gone")]
    pub dead: Vec<usize>,
    /// Share of the fleet that it can reach and that can reach it.
    #[serde(rename = "share")]
    pub reachable_share: f64,
    /// Number of members whose heartbeats it receives directly.
    #[serde(rename = "heard")]
    pub heard_directly: u16,
    /// Whether it reports that a newer process runs under its number.
    pub superseded: bool,
}

/// One event of a run. The fields `request`, `call` and `gateway` identify a client's request, an authorisation check
/// and a gateway by their numbers.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
#[allow(missing_docs)] // Their names and the comments of the variants describe the fields.
pub enum CaptureEvent {
    /// A run begins. This is the first line of a capture.
    #[serde(rename = "day")]
    RunStarted {
        name: String,
        #[serde(rename = "rules")]
        parameters: AuditParameters,
    },
    /// The load generator starts a client's request. `closes_early`: the client may close the connection before the
    /// deadline.
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
    /// The load generator sends an authorisation check. `retry`: the check has the ticket of an earlier attempt.
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
    /// The response of a gateway to a check arrives.
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
    /// A backend has received an attempt, and decided whether to admit it.
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
    /// A client's request ends.
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
    /// The counter adds an amount to a key, whose value is `total` afterwards.
    #[serde(rename = "added")]
    CounterAdded { key: String, amount: f64, total: f64 },
    /// The counter loses all counts.
    #[serde(rename = "emptied")]
    CounterCleared,
    /// An endpoint list is sent to a gateway, which may use it from now on. `stopped_backends` are draining or removed
    /// in it.
    #[serde(rename = "told")]
    ListSent {
        #[serde(rename = "gk")]
        gateway: usize,
        #[serde(rename = "stopped")]
        stopped_backends: Vec<String>,
    },
    /// A gateway acknowledges an endpoint list, and so knows that `stopped_backends` are draining or removed.
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
    /// A gateway's process starts, is killed or exits.
    #[serde(rename = "gatekeeper")]
    GatewayRunning {
        #[serde(rename = "gk")]
        gateway: usize,
        running: bool,
    },
    /// A gateway begins its graceful shutdown. Checks that are sent from now on may find its listener closed.
    #[serde(rename = "stopping")]
    GatewayStopping {
        #[serde(rename = "gk")]
        gateway: usize,
    },
    /// The network between the load generator and a gateway fails or recovers.
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
    /// All gateways of a fleet with membership have started. `outsiders` have another key or another fleet size, and
    /// are not members.
    #[serde(rename = "peers")]
    FleetStarted {
        size: usize,
        #[serde(rename = "strangers")]
        outsiders: Vec<usize>,
    },
    /// A datagram from one gateway to another was delivered, lost or dropped.
    Datagram { from: usize, to: usize, bytes: usize, fate: DatagramFate },
    /// The network between gateways is partitioned. `groups` holds the group of each gateway; gateways in different
    /// groups cannot reach each other.
    #[serde(rename = "groups")]
    NetworkPartitioned { groups: Vec<usize> },
    /// One direction between two gateways is blocked or unblocked.
    #[serde(rename = "blocked")]
    DirectionBlocked { from: usize, to: usize, blocked: bool },
    /// A gateway's process is suspended by `SIGSTOP`, or resumed.
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
    /// A gateway reports its view of the membership. `duplicate`: the report is from the second process under its
    /// number. `requested_at_seconds` is when the report was requested.
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
    /// What happened at that time.
    #[serde(flatten)]
    pub event: CaptureEvent,
}
