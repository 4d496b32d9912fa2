//! The state machines between a gateway's sockets and its decisions, without I/O.
//!
//! [`Engine`] serves external authorisation: checks and reports go in, check outcomes and counter calls come
//! out. [`ProxyCore`] does the same for requests that the gateway forwards itself. Both keep a table of their
//! requests and drive the decisions ([`weirusher::Gateway`]). A [`Ticket`] binds a request to the backend
//! chosen for it. [`TimerWheel`] holds timers, [`Pipeline`] the counter calls of one connection, [`Backoff`]
//! the delays before a new one. Nothing here reads a clock: each call states the time.
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
