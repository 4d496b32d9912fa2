//! Events: what the caller reports to a gateway.

use super::{BackendId, Endpoint, EndpointListKind, Request, RequestId};

/// How an attempt or a counter call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// It was served.
    Ok,
    /// An error response arrived; the request may have been executed.
    Error,
    /// The backend rejected the request before execution; the request was not executed.
    Rejected,
    /// No response arrived in time; the request may have been executed.
    Timeout,
    /// No connection could be made; the request was not executed.
    ConnectFailed,
    /// The connection broke; the request may have been executed.
    Reset,
    /// The gateway cancelled it; the request may have been executed.
    Cancelled,
    /// It was never sent; the request was not executed.
    NotSent,
}

/// A load report of a backend; values that it did not report are `None`.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[non_exhaustive]
pub struct LoadReport {
    /// Requests in flight at the backend.
    pub in_flight: Option<f64>,
    /// Fraction of the backend's processor time in use.
    pub cpu_utilization: Option<f64>,
}

/// An event that a gateway handles.
#[derive(Debug, Clone, PartialEq)]
#[non_exhaustive]
pub enum Event {
    /// The endpoint list or a change of it arrived.
    EndpointList {
        /// What the entries are.
        kind: EndpointListKind,
        /// The entries of the list or of the change.
        endpoints: Vec<Endpoint>,
    },
    /// A request arrived. It gets exactly one response, from a backend or from the gateway.
    Request(Request),
    /// A streamed response has begun.
    ResponseStarted {
        /// Id of the request that the response belongs to.
        request: RequestId,
    },
    /// An attempt ended.
    AttemptEnded {
        /// Id of the request that the attempt belongs to.
        request: RequestId,
        /// Number of the attempt within the request, from 0.
        attempt: u32,
        /// The backend that it was sent to.
        backend: BackendId,
        /// How the attempt ended.
        status: Status,
        /// Seconds since the attempt was sent.
        elapsed: f64,
        /// The client has its response or has disconnected.
        request_ended: bool,
        /// Units actually used, if they are known only after the response.
        settled_units: Option<f64>,
        /// The load report that came with the response.
        load: LoadReport,
    },
    /// The client closed its connection, so no response is pending any more.
    ClientGone {
        /// Id of the request that needs no response any more.
        request: RequestId,
    },
    /// A timer is due.
    Timer {
        /// The token that the timer was set with.
        token: u64,
    },
    /// A call to the counter ended. The calls to one count end in the order in which they were made.
    CounterResponse {
        /// The name of the count.
        counter: u64,
        /// How the call ended; with [`Status::Error`] the units were added, but the total cannot be read.
        status: Status,
        /// The total after the call; valid only with [`Status::Ok`].
        total: f64,
        /// Seconds since the call was made.
        elapsed: f64,
    },
}
