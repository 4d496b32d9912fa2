//! Fault-injection runs by scenario: a fleet of gateway processes with fakes around it, load, faults, a capture of what
//! passed on the sockets, and the auditor that checks the rules against the capture alone.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod audit;
mod clients;
mod faults;
mod fleet;
mod peers;
mod run;
mod scenario;

pub use audit::{
    AuditReport, CaptureError, CheckCounts, MembershipFigures, MembershipRule, Overrun, Rule, UnitCounts,
    Violation, audit,
};
pub use fleet::{Addresses, FleetError};
pub use run::{Progress, RunError, RunOptions, ScenarioRun, run, run_without_load};
pub use scenario::{Scenario, ScenarioError, ScenarioProblem};
