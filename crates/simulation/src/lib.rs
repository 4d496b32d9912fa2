//! Deterministic simulation of many gateways in virtual time: production engines, models of the counter and of each
//! gateway's connection to it, and random schedules of demand, faults and restarts.
//!
//! A run checks the bound on how much a customer is served beyond its token bucket (the overshoot), and that
//! customers still get the requests that they are entitled to. Nothing here reads a clock or a socket: a seed
//! determines the whole run. Times are seconds, except in [`membership`], which simulates the fleet protocol in
//! milliseconds.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod counter;
mod customer_monitor;
mod event_queue;
pub mod membership;
mod outcome;
mod report;
mod schedule;
mod simulator;

pub use event_queue::EventQueue;
pub use outcome::{CustomerOutcome, Outcome};
pub use report::{Fulfilment, Report, ScheduleResult, run_seed, run_seeds};
pub use schedule::{Demand, DemandPattern, Fault, FaultKind, Quota, Schedule};
pub use simulator::run;
