//! A client's request as the load generator sends it, the faults that are injected into it, and its outcome.

use crate::capture::ClientOutcome;

/// What a client or a proxy does wrong with one request; the default is nothing.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct BehaviourProfile {
    /// The client closes the connection this many seconds after it sent the request.
    pub closes_after_seconds: Option<f64>,
    /// The client closes the connection this many seconds after an attempt was sent to the backend.
    pub closes_during_attempt_after_seconds: Option<f64>,
    /// Reports on attempts are not sent.
    pub report_lost: bool,
    /// Reports are sent twice.
    pub report_duplicated: bool,
    /// Reports are sent this many seconds late.
    pub report_delay_seconds: f64,
    /// Reports are sent to the next gateway by index, not to the one that allowed the attempt.
    pub report_misdirected: bool,
    /// The ticket that is sent to the backend is altered.
    pub ticket_altered: bool,
    /// The ticket is sent to the backend a second time.
    pub ticket_replayed: bool,
}

/// One client's request.
#[derive(Debug, Clone)]
pub struct ClientRequest {
    /// The customer whose quota it counts against.
    pub customer: String,
    /// Index of its class.
    pub class: usize,
    /// Path of the request, by which gateways classify it.
    pub path: String,
    /// The units that it costs.
    pub units: f64,
    /// Seconds until the client gives up.
    pub deadline_seconds: f64,
    /// Index of the gateway that its checks are sent to.
    pub gateway: usize,
    /// What the client or the proxy does wrong.
    pub behaviour: BehaviourProfile,
}

/// How an attempt at a backend ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The backend responded with this status.
    Responded(u16),
    /// The backend rejected it before execution.
    Rejected,
    /// No connection to the backend could be opened.
    NoConnection,
    /// The connection broke.
    ConnectionLost,
    /// No response arrived in time.
    Timeout,
    /// The client closed the connection first.
    ClientClosed,
}

/// How a client's request ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestOutcome {
    /// Number of the request in the capture.
    pub request: u64,
    /// How it ended.
    pub outcome: ClientOutcome,
    /// Seconds that a rejected client was advised to wait; 0 without advice.
    pub retry_after_seconds: f64,
    /// Seconds from the request to its end.
    pub latency_seconds: f64,
}
