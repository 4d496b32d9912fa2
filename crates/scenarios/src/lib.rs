//! Fault-injection scenarios. A run starts a fleet of gateway processes with a fake load generator, counter, discovery
//! and backends, generates load, injects faults and records the traffic on the sockets in a capture. The auditor then
//! checks the rules against the capture alone.
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
