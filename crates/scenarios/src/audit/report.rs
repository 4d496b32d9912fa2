//! The audit report. Its JSON keeps the names of the first version, so that existing readers work.

use super::membership::{MembershipFigures, MembershipRule};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use weirusher_fakes::ClientOutcome;

/// Maximum violations that a report lists; further ones are only counted.
const MAX_LISTED_VIOLATIONS: usize = 50;

/// The rules that are audited: the five of the specification, followed by three further guarantees of this project.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Rule 1: each request gets exactly one response within its deadline, and no attempt is sent after it.
    NoRequestLost,
    /// Rule 2: no request takes effect twice.
    #[serde(rename = "no-effect-twice")]
    NoDuplicateEffect,
    /// Rule 3: no attempt is sent to a draining backend after the grace period.
    #[serde(rename = "drains-kept")]
    DrainsRespected,
    /// Rule 4: backends are not overloaded during their slow start.
    #[serde(rename = "not-pushed-over")]
    ColdBackendsNotOverloaded,
    /// Rule 5: no customer exceeds its ceiling.
    #[serde(rename = "ceilings-kept")]
    CeilingsRespected,
    /// No customer exceeds its quota by more than the overshoot bound.
    #[serde(rename = "quotas-kept")]
    QuotasRespected,
    /// All admitted units are counted at the counter, except for at most one burst per customer.
    #[serde(rename = "counted")]
    AdmittedIsCounted,
    /// The membership reports of the gateways are correct.
    #[serde(rename = "beliefs")]
    Membership(MembershipRule),
}

/// A violation of a rule.
#[derive(Debug, Clone, Serialize)]
pub struct Violation {
    /// The rule that was violated.
    pub rule: Rule,
    /// Number of the request, if the violation concerns one.
    #[serde(rename = "req")]
    pub request: Option<u64>,
    /// Time of the violation, in seconds since the start of the run.
    #[serde(rename = "t")]
    pub time_seconds: f64,
    /// Lines of the capture that show the violation, counted from 1.
    pub lines: Vec<usize>,
    /// Description of what happened.
    #[serde(rename = "text")]
    pub description: String,
}

/// Result of an audit.
#[derive(Debug, Clone, Default, Serialize)]
pub struct AuditReport {
    /// Name of the scenario.
    #[serde(rename = "day")]
    pub scenario: String,
    /// Lines of the capture.
    pub lines: usize,
    /// Client requests.
    #[serde(rename = "tries")]
    pub requests: usize,
    /// Client requests, by outcome.
    #[serde(rename = "finals")]
    pub outcomes: BTreeMap<ClientOutcome, usize>,
    /// Attempts, by the backend's admission decision.
    #[serde(rename = "doors")]
    pub admissions: BTreeMap<String, usize>,
    /// Authorisation checks.
    pub checks: CheckCounts,
    /// Calls that the counter executed.
    #[serde(rename = "adds")]
    pub counter_calls: usize,
    /// Units admitted and counted.
    pub units: UnitCounts,
    /// The largest overrun of a quota by any customer.
    #[serde(rename = "beyond")]
    pub overrun: Overrun,
    /// Statistics of the membership, if the run had one.
    #[serde(rename = "fleet", skip_serializing_if = "Option::is_none")]
    pub membership: Option<MembershipFigures>,
    /// The first violations, ordered by rule and line.
    #[serde(rename = "breaks")]
    pub violations: Vec<Violation>,
    /// Total number of violations.
    #[serde(rename = "broken")]
    pub violation_count: usize,
}

/// Authorisation checks; serialized as a pair.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
#[serde(into = "(usize, usize)")]
pub struct CheckCounts {
    /// Checks sent.
    pub sent: usize,
    /// Checks that were allowed.
    pub allowed: usize,
}

impl From<CheckCounts> for (usize, usize) {
    fn from(counts: CheckCounts) -> Self {
        (counts.sent, counts.allowed)
    }
}

/// Units of a run; serialized as a pair.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
#[serde(into = "(f64, f64)")]
pub struct UnitCounts {
    /// Units of requests that were admitted, without retries.
    pub admitted: f64,
    /// Units added at the counter, minus those returned.
    pub counted: f64,
}

impl From<UnitCounts> for (f64, f64) {
    fn from(counts: UnitCounts) -> Self {
        (counts.admitted, counts.counted)
    }
}

/// Units over a quota; serialized as a pair.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
#[serde(into = "(f64, f64)")]
pub struct Overrun {
    /// Units over the quota's token bucket.
    pub units: f64,
    /// Overrun that the overshoot bound allowed at that time, in units.
    pub allowed_units: f64,
}

impl From<Overrun> for (f64, f64) {
    fn from(overrun: Overrun) -> Self {
        (overrun.units, overrun.allowed_units)
    }
}

impl AuditReport {
    /// Counts a violation, and lists it if there is room.
    pub(super) fn add_violation(
        &mut self,
        rule: Rule,
        request: Option<u64>,
        time_seconds: f64,
        lines: Vec<usize>,
        description: impl Into<String>,
    ) {
        self.violation_count += 1;
        if self.violations.len() < MAX_LISTED_VIOLATIONS {
            let description = description.into();
            self.violations.push(Violation { rule, request, time_seconds, lines, description });
        }
    }

    /// The result as human-readable text: that all rules were kept, or the violations.
    pub fn summary(&self) -> String {
        if self.violation_count == 0 {
            return format!("  rules      all kept, over {} lines\n", self.lines);
        }
        let mut text = format!("  rules      {} violations\n", self.violation_count);
        for violation in &self.violations {
            let Violation { rule, request, time_seconds, lines, description } = violation;
            let request = request.map_or_else(String::new, |request| format!(" request {request}"));
            let _ = writeln!(
                text,
                "    {rule:?}{request} at {time_seconds:.3} s, lines {lines:?}: {description}"
            );
        }
        text
    }
}
