//! Events: what has happened to a gateway.

use super::{BackendId, Endpoint, EndpointListKind, Request, RequestId};

/// How an attempt or a counter call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// Served.
    Ok,
    /// An error response; the request may have been executed.
    Error,
    /// Rejected by the backend before execution; the request was not executed.
    Rejected,
    /// No response in time; the request may have been executed.
    Timeout,
    /// No connection; the request was not executed.
    ConnectFailed,
    /// The connection broke; the request may have been executed.
    Reset,
    /// Cancelled by the gateway; the request may have been executed.
    Cancelled,
    /// Never sent; the request was not executed.
    NotSent,
}

/// A load report; what the backend did not report is `None`.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[non_exhaustive]
pub struct LoadReport {
    /// Requests in flight at the backend.
    pub inflight: Option<f64>,
    /// Fraction of its processor in use.
    pub util: Option<f64>,
}

/// What has happened.
#[derive(Debug, Clone, PartialEq)]
#[non_exhaustive]
pub enum Event {
    /// The endpoint list arrived, or a change of it.
    EndpointList {
        /// What it holds.
        kind: EndpointListKind,
        /// Its entries.
        endpoints: Vec<Endpoint>,
    },
    /// A request arrived. It gets one response, of a backend or of the gateway.
    Request(Request),
    /// A streamed response has begun.
    ResponseStarted {
        /// The request.
        request: RequestId,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The attempt, from 0.
        attempt: u32,
        /// Its backend.
        backend: BackendId,
        /// How it ended.
        status: Status,
        /// Seconds since it was sent.
        elapsed: f64,
        /// The client has its response, or is gone.
        request_ended: bool,
        /// The true units, where they are settled afterwards.
        settled_units: Option<f64>,
        /// The load report that came with the response.
        load: LoadReport,
    },
    /// The client closed its connection: no response is pending any more.
    ClientGone {
        /// The request.
        request: RequestId,
    },
    /// A timer is due.
    Timer {
        /// Its token.
        token: u64,
    },
    /// A counter call ended. The calls to one count end in the order in which they were made.
    CounterResponse {
        /// The name of the count.
        counter: u64,
        /// How it ended; with [`Status::Error`] it was added, but its total cannot be read.
        status: Status,
        /// The total after the call, valid with [`Status::Ok`].
        total: f64,
        /// Seconds since the call.
        elapsed: f64,
    },
}
