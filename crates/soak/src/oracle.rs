//! The test oracle: checks the platform's rules against the records of a soak.
//!
//! It uses only what clients and backends observed on their sockets, how the gateway processes exited, and
//! what they logged.

mod ceilings;
mod evidence;
mod finding;
mod processes;
mod requests;
mod slow_start;

pub use finding::Finding;

use crate::record::Records;
use evidence::Evidence;
use std::path::PathBuf;

/// All violations in the records and in the logs (path and text) of the nodes. `backends` is the number of
/// backends in the soak.
pub fn check(records: &Records, logs: &[(PathBuf, String)], backends: usize) -> Vec<Finding> {
    let evidence = Evidence::new(records);
    let mut findings = requests::check(&evidence);
    findings.extend(ceilings::check(&evidence));
    findings.extend(slow_start::check(&evidence, backends));
    findings.extend(processes::check_exits(&evidence));
    findings.extend(processes::check_logs(logs));
    findings
}
