//! One client's request as the load generator plays it, what goes wrong with it, and how it ended.

use crate::capture::ClientOutcome;

/// What a client or a proxy does wrong with one request. Times are in seconds.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct BehaviourProfile {
    /// The client closes this long after it sent its request.
    pub closes_after_seconds: Option<f64>,
    /// The client closes this long after an attempt was sent to the backend.
    pub closes_during_attempt_after_seconds: Option<f64>,
    /// Reports on attempts are lost.
    pub report_lost: bool,
    /// Reports are sent twice.
    pub report_duplicated: bool,
    /// Reports are this late.
    pub report_delay_seconds: f64,
    /// Reports go to the next gateway.
    pub report_misdirected: bool,
    /// The ticket is altered on its way to the backend.
    pub ticket_altered: bool,
    /// The ticket is used a second time.
    pub ticket_replayed: bool,
}

/// One client's request.
#[derive(Debug, Clone)]
pub struct ClientRequest {
    /// The customer that it counts for.
    pub customer: String,
    /// Index of its class.
    pub class: usize,
    /// Its path, by which gateways recognise the class.
    pub path: String,
    /// Its units.
    pub units: f64,
    /// Seconds until the client gives up.
    pub deadline_seconds: f64,
    /// Number of the gateway that is asked.
    pub gateway: usize,
    /// What goes wrong.
    pub behaviour: BehaviourProfile,
}

/// How an attempt at a backend ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// With a response of this status.
    Responded(u16),
    /// Rejected before execution.
    Rejected,
    /// No connection came up.
    NoConnection,
    /// The connection broke.
    ConnectionLost,
    /// There was no response in time.
    Timeout,
    /// The client closed.
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
