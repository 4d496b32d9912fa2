//! State machines of an API gateway, without I/O.
//!
//! [`Engine`] implements external authorisation: it takes checks and reports and produces check outcomes and
//! counter calls. [`ProxyCore`] does the same for requests that the gateway forwards itself. Both keep a
//! table of open requests and drive the policy ([`weirusher::Gateway`]), which decides how each request
//! proceeds. A [`Ticket`] binds an attempt to the backend selected for it. [`TimerWheel`] holds timers,
//! [`Pipeline`] tracks the counter calls on one connection, and [`Backoff`] computes reconnect delays.
//! Nothing here reads a clock: the caller passes the current time.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod backoff;
mod clock_anchor;
mod counter_connections;
mod driver;
mod engine;
mod guard;
mod overshoot_bound;
mod pipeline;
mod pool;
mod proxy;
mod response_order;
mod shutdown;
mod slots;
mod stall;
mod start_times;
mod ticket;
mod ticket_validator;
mod timer_wheel;
mod watch;

pub use backoff::Backoff;
pub use clock_anchor::ClockAnchor;
pub use counter_connections::{CounterConnections, Route};
pub use driver::Command;
pub use engine::{
    AttemptId, CallerId, Check, CheckFailure, CheckOutcome, Completion, DeliveryId, Engine, EngineError,
    EngineMetrics, EngineOutput, Grant, InstanceRange, Report, ReportOutcome,
};
pub use guard::{
    Execution, Guard, PriorAttempt, SendConditions, SendError, SendLimits, Violation, Violations,
};
pub use overshoot_bound::OvershootBound;
pub use pipeline::{EndedCall, Pipeline, UNRESPONSIVE_TIMEOUTS, UnexpectedResponse};
pub use pool::{ConnectionPool, Reservation};
pub use proxy::{
    IncomingRequest, NewAttempt, Outcome, ProxyCore, ProxyMetrics, ProxyOutput, ReasonCounts, RequestStatus,
};
pub use shutdown::{Shutdown, longest_deadline};
pub use slots::{ConnectionSlots, REQUEST_READ_TIMEOUT, SlotCounts, SlotId};
pub use ticket::{Key, Keyring, Ticket, TicketError};
pub use ticket_validator::{TicketRejection, TicketValidator};
pub use timer_wheel::{TimerKey, TimerWheel};
pub use watch::{EndpointWatch, PollTiming, WatchConnection, WatchOutput};
