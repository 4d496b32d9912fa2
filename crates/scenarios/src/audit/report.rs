//! What an audit found. The names in its JSON are those of the first version.

use super::membership::{MembershipFigures, MembershipRule};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use weirusher_fakes::ClientOutcome;

/// Violations that a report lists; further ones are only counted.
const MAX_LISTED_VIOLATIONS: usize = 50;

/// The five rules of the specification, and three claims of this project beside them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Rule 1: each request gets one response, in time, and nothing is sent after it.
    NoRequestLost,
    /// Rule 2: no effect happens twice.
    #[serde(rename = "no-effect-twice")]
    NoDuplicateEffect,
    /// Rule 3: nothing is sent to a backend after the grace of its drain.
    #[serde(rename = "drains-kept")]
    DrainsRespected,
    /// Rule 4: backends are not overloaded during their slow start.
    #[serde(rename = "not-pushed-over")]
    ColdBackendsNotOverloaded,
    /// Rule 5: no customer exceeds its ceiling.
    #[serde(rename = "ceilings-kept")]
    CeilingsRespected,
    /// No customer exceeds its quota by more than the bound on overshoot.
    #[serde(rename = "quotas-kept")]
    QuotasRespected,
    /// What is admitted is counted at the counter, but for one burst a customer.
    #[serde(rename = "counted")]
    AdmittedIsCounted,
    /// What gateways report of each other is true.
    #[serde(rename = "beliefs")]
    Membership(MembershipRule),
}

/// A violation of a rule.
#[derive(Debug, Clone, Serialize)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// Number of the request, where one shows it.
    #[serde(rename = "req")]
    pub request: Option<u64>,
    /// When, in seconds since the run began.
    #[serde(rename = "t")]
    pub time_seconds: f64,
    /// Lines of the capture that show it, from 1.
    pub lines: Vec<usize>,
    /// What happened.
    #[serde(rename = "text")]
    pub description: String,
}

/// What an audit found.
#[derive(Debug, Clone, Default, Serialize)]
pub struct AuditReport {
    /// Name of the scenario.
    #[serde(rename = "day")]
    pub scenario: String,
    /// Lines read.
    pub lines: usize,
    /// Clients' requests.
    #[serde(rename = "tries")]
    pub requests: usize,
    /// Clients' requests by how they ended.
    #[serde(rename = "finals")]
    pub outcomes: BTreeMap<ClientOutcome, usize>,
    /// Attempts by what the backends' admission decided.
    #[serde(rename = "doors")]
    pub admissions: BTreeMap<String, usize>,
    /// Authorisation checks.
    pub checks: CheckCounts,
    /// Calls that the counter executed.
    #[serde(rename = "adds")]
    pub counter_calls: usize,
    /// Units admitted and counted.
    pub units: UnitCounts,
    /// The furthest that a customer exceeded its quota.
    #[serde(rename = "beyond")]
    pub overrun: Overrun,
    /// What gateways reported of each other, where they have a membership.
    #[serde(rename = "fleet", skip_serializing_if = "Option::is_none")]
    pub membership: Option<MembershipFigures>,
    /// The first violations, by rule and line.
    #[serde(rename = "breaks")]
    pub violations: Vec<Violation>,
    /// Violations in all.
    #[serde(rename = "broken")]
    pub violation_count: usize,
}

/// Authorisation checks; in JSON a pair.
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

/// Units of a run; in JSON a pair.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
#[serde(into = "(f64, f64)")]
pub struct UnitCounts {
    /// Units of first attempts that were allowed.
    pub admitted: f64,
    /// Units added at the counter, less those given back.
    pub counted: f64,
}

impl From<UnitCounts> for (f64, f64) {
    fn from(counts: UnitCounts) -> Self {
        (counts.admitted, counts.counted)
    }
}

/// Units beyond a quota; in JSON a pair.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
#[serde(into = "(f64, f64)")]
pub struct Overrun {
    /// Units beyond the bucket.
    pub units: f64,
    /// Units that the bound allowed at that moment.
    pub allowed_units: f64,
}

impl From<Overrun> for (f64, f64) {
    fn from(overrun: Overrun) -> Self {
        (overrun.units, overrun.allowed_units)
    }
}

impl AuditReport {
    /// Adds a violation.
    pub(super) fn violation(
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

    /// The result of the audit for people: that all rules were kept, or the violations.
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
