//! The module's interface: the settings it is given, the events it receives, the actions it returns.

use std::{fmt, sync::Arc};

/// Seconds on the caller's monotonic clock; the origin is the caller's affair.
pub type Time = f64;
/// A request, unique for the life of a gateway.
pub type RequestId = Arc<str>;
/// A server's address, opaque.
pub type BackendId = Arc<str>;
/// A customer, opaque.
pub type CustomerId = Arc<str>;

/// Which servers discard repeats of a keyed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DedupScope {
    /// Every server.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// What repeating a request may do.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Idempotency {
    /// May run any number of times.
    Idempotent,
    /// Repeats are discarded by the servers of `group` for `window` seconds after the first send.
    Keyed {
        /// The servers that remember the request.
        scope: DedupScope,
        /// For how long, in seconds.
        window: f64,
    },
    /// May run once at most.
    NonIdempotent,
}

/// One class of requests.
#[derive(Debug, Clone, PartialEq)]
#[non_exhaustive]
pub struct Class {
    /// The answer earns its full worth within this many seconds.
    pub latency_objective: f64,
    /// Share of the worth that a later answer earns.
    pub late_weight: f64,
    /// Seconds that a client waits at most, over all its tries.
    pub deadline: f64,
    /// What a repeat may do.
    pub idempotency: Idempotency,
    /// The answer streams.
    pub streamed: bool,
}

impl Default for Class {
    fn default() -> Self {
        Self {
            latency_objective: 1.0,
            late_weight: 0.0,
            deadline: 1.0,
            idempotency: Idempotency::Idempotent,
            streamed: false,
        }
    }
}

/// One plan; its figures hold for each customer over all gateways together.
#[derive(Debug, Clone, Default, PartialEq)]
#[non_exhaustive]
pub struct Plan {
    /// Units a second; 0: no rate.
    pub rate: f64,
    /// Units that may be used at once.
    pub burst: f64,
    /// Attempts that may be out at once; 0: no such limit.
    pub max_concurrent: u32,
    /// Worth of a unit, relative to other plans.
    pub priority_weight: f64,
    /// Share of its worth that a request sent beyond the quota earns.
    pub over_quota_weight: f64,
    /// Share of its worth that such a request costs.
    pub over_quota_cost: f64,
    /// Units a second that refill the hard ceiling; 0: none.
    pub ceiling_rate: f64,
    /// Units the ceiling holds.
    pub ceiling_burst: f64,
}

/// What a gateway is told at its start. Build one with `Settings::default()` and set the fields.
#[derive(Debug, Clone, PartialEq)]
#[non_exhaustive]
pub struct Settings {
    /// This gateway's number, from 0.
    pub instance: u32,
    /// How many gateways there are.
    pub instances: u32,
    /// The zone this gateway is in.
    pub zone: u32,
    /// Request classes, by index.
    pub classes: Vec<Class>,
    /// Plans, by index.
    pub plans: Vec<Plan>,
    /// The counter service may be called.
    pub has_counter: bool,
    /// A counter call is given up after this many seconds.
    pub counter_timeout: f64,
    /// Seconds within which a connection to a server comes up, or counts as failed.
    pub connect_timeout: f64,
    /// Most units that one request takes.
    pub max_request_units: f64,
    /// True units come with the answer; a request's own are a guess.
    pub post_paid: bool,
    /// Probes are allowed.
    pub may_probe: bool,
    /// Attempts may be called off.
    pub may_cancel: bool,
    /// Two attempts of one request may be out at once.
    pub hedging: bool,
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Requests a gateway may have open.
    pub max_open_requests: u32,
    /// Clients receive the advice to stay away.
    pub sends_retry_after: bool,
    /// The longest advice that clients honour, in seconds.
    pub max_retry_after: f64,
    /// The list of servers must be asked for.
    pub polls_endpoints: bool,
    /// The least share of its capacity that a server starts with.
    pub slow_start_min_capacity: f64,
    /// A server is warm after this many seconds at most.
    pub slow_start_seconds: f64,
    /// A cold server falls over when sent more than this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... for this many seconds.
    pub overload_seconds: f64,
    /// Least time between two batches of events, in seconds.
    pub event_interval: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            instance: 0,
            instances: 1,
            zone: 0,
            classes: Vec::new(),
            plans: Vec::new(),
            has_counter: false,
            counter_timeout: 0.05,
            connect_timeout: 0.25,
            max_request_units: 1.0,
            post_paid: false,
            may_probe: false,
            may_cancel: false,
            hedging: false,
            max_attempts: 1,
            max_open_requests: u32::MAX,
            sends_retry_after: true,
            max_retry_after: 1.0,
            polls_endpoints: false,
            slow_start_min_capacity: 1.0,
            slow_start_seconds: 0.0,
            overload_multiple: 1.0,
            overload_seconds: 1.0,
            event_interval: 0.001,
        }
    }
}

/// Settings that no gateway can work with.
#[derive(Debug, Clone, PartialEq, Eq)]
#[non_exhaustive]
pub enum SettingsError {
    /// There are no gateways.
    NoInstances,
    /// This gateway's number is not below the count of gateways.
    InstanceOutOfRange,
    /// The named figure is negative, infinite or not a number.
    InvalidNumber(&'static str),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoInstances => f.write_str("there are no gateways"),
            Self::InstanceOutOfRange => f.write_str("this gateway's number is out of range"),
            Self::InvalidNumber(name) => write!(f, "{name} is not a usable number"),
        }
    }
}

impl std::error::Error for SettingsError {}

/// A server's place in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lifecycle {
    /// Takes work.
    Running,
    /// Wraps up; is sent nothing new.
    Draining,
    /// Is gone.
    Removed,
}

/// One server as the list shows it.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// Its address.
    pub id: BackendId,
    /// Its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
    /// When it last started; 0: long ago.
    pub started: Time,
    /// Its place in its life.
    pub lifecycle: Lifecycle,
}

impl Endpoint {
    /// A server that has run for long, in the first zone and cell.
    pub fn warm(id: impl Into<BackendId>) -> Self {
        Self { id: id.into(), zone: 0, cell: 0, started: 0.0, lifecycle: Lifecycle::Running }
    }
}

/// What a list event holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointListKind {
    /// Changed entries only.
    Delta,
    /// The whole list.
    Snapshot,
    /// The whole list as last held, perhaps stale.
    StaleSnapshot,
    /// Asking failed; no entries.
    Failed,
}

/// How an attempt, a probe or a counter call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// Served.
    Ok,
    /// An error answer; it may have run.
    Error,
    /// Turned away unexamined.
    Rejected,
    /// No answer in time; it may have run.
    Timeout,
    /// No connection.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

/// Why a request is refused or failed without a server's response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum Reason {
    /// Its class, plan or units are not usable.
    Invalid,
    /// Too little of its time is left to decide in.
    TooLate,
    /// As many requests are open as [`Settings::max_open_requests`] allows.
    TooManyOpenRequests,
    /// The fleet's servers have no room for it.
    Overload,
    /// Its customer is beyond its quota.
    Quota,
    /// Its customer has as many attempts out as its plan allows.
    ConcurrencyLimit,
    /// No server may take it now.
    NoBackend,
    /// Its attempts ended without a response that may be passed on, and no retry is allowed.
    AttemptsFailed,
    /// Its deadline came before a decision.
    DeadlineExceeded,
    /// The gateway is stopping, and ends before it could be answered.
    Stopping,
}

impl Reason {
    /// Every reason, in the order of their indices.
    pub const ALL: [Self; 10] = [
        Self::Invalid,
        Self::TooLate,
        Self::TooManyOpenRequests,
        Self::Overload,
        Self::Quota,
        Self::ConcurrencyLimit,
        Self::NoBackend,
        Self::AttemptsFailed,
        Self::DeadlineExceeded,
        Self::Stopping,
    ];

    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Invalid => "invalid",
            Self::TooLate => "too_late",
            Self::TooManyOpenRequests => "too_many_open",
            Self::Overload => "overload",
            Self::Quota => "quota",
            Self::ConcurrencyLimit => "open_cap",
            Self::NoBackend => "no_server",
            Self::AttemptsFailed => "attempts_failed",
            Self::DeadlineExceeded => "deadline_exceeded",
            Self::Stopping => "stopping",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// A load report; values a server did not give are `None`.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[non_exhaustive]
pub struct LoadReport {
    /// Requests held.
    pub inflight: Option<f64>,
    /// Share of the processor in use.
    pub util: Option<f64>,
}

/// A client's request.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Units it takes from the quota.
    pub units: f64,
    /// When the client abandons it.
    pub deadline: Time,
    /// Index of its plan.
    pub plan: usize,
    /// How many gateways carry this customer's requests.
    pub customer_instances: u32,
    /// The number of the first of them; the rest follow in order, and 0 comes after the last.
    pub first_instance: u32,
    /// Index of its class.
    pub class: usize,
    /// Its customer.
    pub customer: CustomerId,
    /// It is a client's marked repeat.
    pub is_retry: bool,
}

/// What happens to a gateway.
#[derive(Debug, Clone, PartialEq)]
#[non_exhaustive]
pub enum Event {
    /// The list of servers.
    EndpointList {
        /// What it holds.
        kind: EndpointListKind,
        /// Its entries.
        endpoints: Vec<Endpoint>,
    },
    /// A request arrived; it is owed one final answer.
    Request(Request),
    /// A streamed answer began.
    ResponseStarted {
        /// The request.
        request: RequestId,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// Which attempt, from 0.
        attempt: u32,
        /// The server.
        backend: BackendId,
        /// How it ended.
        status: Status,
        /// Seconds since it was sent.
        elapsed: f64,
        /// The request is over.
        request_ended: bool,
        /// True units, where they are settled afterwards.
        settled_units: Option<f64>,
        /// The server's report, if one came.
        load: LoadReport,
    },
    /// The client left; nothing more is owed.
    ClientGone {
        /// The request.
        request: RequestId,
    },
    /// A timer is due.
    Timer {
        /// Its token.
        token: u64,
    },
    /// A probe ended.
    HealthChecked {
        /// The server.
        backend: BackendId,
        /// How it ended.
        status: Status,
        /// The server's report, if one came.
        load: LoadReport,
    },
    /// A counter call ended.
    CounterResponse {
        /// The count's name.
        counter: u64,
        /// How it ended; with [`Status::Error`] it was added, but its total cannot be read.
        status: Status,
        /// The count after the call, valid with [`Status::Ok`].
        total: f64,
        /// Seconds since the call.
        elapsed: f64,
    },
}

/// What a gateway wants done.
#[derive(Debug, Clone, PartialEq)]
#[non_exhaustive]
pub enum Action {
    /// Begin an attempt; a request's attempts are numbered from 0 in this order.
    Forward {
        /// The request.
        request: RequestId,
        /// The server.
        backend: BackendId,
        /// Seconds until it is given up.
        timeout: f64,
        /// Seconds within which its last byte must be on its way, or it must not begin: past that, the earlier
        /// attempt is forgotten and the effect would come twice. Infinity: no matter when.
        start_within: f64,
    },
    /// Final answer: refused; a retry does no harm.
    Reject {
        /// The request.
        request: RequestId,
        /// Seconds the client should stay away; 0: no advice.
        retry_after: f64,
        /// Why.
        reason: Reason,
    },
    /// Final answer: failed, with no promise.
    Fail {
        /// The request.
        request: RequestId,
        /// Why.
        reason: Reason,
    },
    /// Call off an attempt.
    CancelAttempt {
        /// The request.
        request: RequestId,
        /// Which attempt.
        attempt: u32,
    },
    /// Ask for an [`Event::Timer`].
    SetTimer {
        /// Its token.
        token: u64,
        /// When it is due.
        at: Time,
    },
    /// Check a server.
    HealthCheck {
        /// The server.
        backend: BackendId,
    },
    /// Add to a count and get the total.
    AddToCounter {
        /// The count's name, below 2^63.
        counter: u64,
        /// What to add; 0 only reads.
        amount: f64,
        /// Seconds until a new name is forgotten.
        ttl: f64,
    },
    /// Follow the list of servers from now on.
    WatchEndpoints,
    /// A line for the operators' log.
    Log(String),
}
