//! What a running gateway does between the sockets and the decisions, without I/O.
//!
//! [`Engine`] turns Checks, reports, counter answers and lists into the decision module's events and its
//! actions into answers, tickets and calls; it keeps the ledger of requests and attempts. [`Ticket`]s bind a
//! request to the backend chosen for it. [`Wheel`] holds the timers, [`Pipeline`] the counter calls on one
//! connection, [`Backoff`] the pauses before a new one. Nothing here reads a clock: time comes in.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod calls;
mod clock;
mod driver;
mod engine;
mod guard;
mod overshoot;
mod pool;
mod proxy;
mod shutdown;
mod slots;
mod stall;
mod starts;
mod ticket;
mod watch;
mod wheel;

pub use calls::{Backoff, CallEnd, CallOrder, GIVE_UP_CONNECTION, Lines, Pipeline, Route, Unasked};
pub use clock::Anchor;
pub use driver::Command;
pub use engine::{
    Allowed, Answer, Caller, Check, Delivery, Ending, Engine, EngineError, Failure, Output, Report, Tally,
    Verdict,
};
pub use guard::{
    Execution, Guard, PriorAttempt, SendConditions, SendError, SendLimits, Violation, Violations,
};
pub use overshoot::Overshoot;
pub use pool::{ConnectionPool, Reservation};
pub use proxy::{
    IncomingRequest, Outcome, ProxyCore, ProxyMetrics, ProxyOutput, ReasonCounts, RequestStatus,
};
pub use shutdown::{Shutdown, longest_deadline};
pub use slots::{ConnectionSlots, REQUEST_READ_TIMEOUT, SlotCounts, SlotId};
pub use ticket::{Gate, Key, Keyring, Ticket, TicketError, TurnedAway};
pub use watch::{EndpointWatch, PollTiming, WatchConnection, WatchOutput};
pub use wheel::{TimerKey, Wheel};
