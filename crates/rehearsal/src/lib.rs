//! Rehearsed days: a fleet of real gatekeepers and stand-ins, load, faults, a capture of what passed on the
//! sockets, and the auditor that judges the five rules from the capture alone.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod audit;
mod beliefs;
mod day;
mod faults;
mod fleet;
mod load;
mod peers;
mod rehearse;

pub use audit::{Audit, Break, CaptureError, Rule, audit};
pub use beliefs::{Claim, Figures};
pub use day::{Day, DayError};
pub use fleet::{Addresses, FleetError};
pub use rehearse::{Options, Rehearsal, RehearseError, hold, rehearse};
