//! The summary of a soak.

use crate::oracle::Finding;
use crate::plan::Plan;
use crate::record::{Outcome, Records};
use std::collections::BTreeMap;
use std::fmt;

/// A summary of a soak: what was run, which faults were injected, and what the oracle found.
#[derive(Debug)]
pub struct Report {
    /// The plan that was run.
    pub plan: Plan,
    /// The number of requests by outcome: the status of the response, or a name if there was no complete response.
    pub outcomes: BTreeMap<String, u64>,
    /// The number of attempts that backends received.
    pub attempts: usize,
    /// The number of gateway processes that were started.
    pub processes: usize,
    /// The number of processes that were sent SIGKILL because their shutdown took too long.
    pub killed: usize,
    /// The number of injected faults by kind.
    pub faults: BTreeMap<&'static str, u64>,
    /// The number of system calls and clock readings that the fault shim altered.
    pub injected: u64,
    /// The largest delay of this program's own timers, in seconds.
    pub timer_lag: f64,
    /// The violations of the rules.
    pub findings: Vec<Finding>,
}

impl Report {
    /// Summarizes the records.
    pub(crate) fn new(plan: Plan, records: &Records, injected: u64, findings: Vec<Finding>) -> Self {
        let mut outcomes = BTreeMap::new();
        for request in &records.requests {
            *outcomes.entry(outcome_name(&request.outcome)).or_default() += 1;
        }
        let kills = records.processes.values().filter_map(|process| process.kill);
        Self {
            plan,
            outcomes,
            attempts: records.attempts.len(),
            processes: records.processes.len(),
            killed: kills.filter(|kill| !kill.is_crash).count(),
            faults: records.faults.iter().map(|(name, count)| (*name, *count)).collect(),
            injected,
            timer_lag: records.timer_lag,
            findings,
        }
    }
}

fn outcome_name(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Response { status, .. } => status.to_string(),
        Outcome::ResetUnread => "reset unread".into(),
        Outcome::ClosedUnanswered => "closed unanswered".into(),
        Outcome::TimedOut => "timed out".into(),
        Outcome::ClientClosed => "client closed".into(),
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Plan { seed, nodes, deadline, .. } = &self.plan;
        writeln!(f, "seed {seed}: {nodes} nodes, deadline {deadline:.2} s; outcomes {:?}", self.outcomes)?;
        writeln!(
            f,
            "  {} attempts; {} processes, {} killed at the end of a shutdown; faults {:?}; {} calls changed; \
             longest timer lag {:.0} ms",
            self.attempts,
            self.processes,
            self.killed,
            self.faults,
            self.injected,
            self.timer_lag * 1e3
        )?;
        for finding in &self.findings {
            writeln!(f, "  {finding}")?;
        }
        write!(f, "  {} findings", self.findings.len())
    }
}
