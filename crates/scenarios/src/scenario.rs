//! Scenario files (`days/*.toml`): fleet, plans, load and faults. The keys are those of the first version, so that
//! existing files stay valid, and are mapped to field names here; `docs/days.md` lists them with their units.

mod check;
mod fault;

pub use check::ScenarioProblem;
pub use fault::{CounterFaultKind, Fault, FaultKind, LinkEnds};

use serde::Deserialize;

/// A scenario file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(missing_docs)] // docs/days.md documents every key.
pub struct Scenario {
    pub name: String,
    #[serde(default)]
    pub about: String,
    #[serde(default)]
    pub seed: u64,
    /// How long load is generated.
    #[serde(rename = "seconds")]
    pub duration_seconds: f64,
    #[serde(default)]
    pub fleet: FleetSpec,
    #[serde(default)]
    pub rules: RuleSpec,
    #[serde(default, rename = "cold")]
    pub slow_start: SlowStartSpec,
    #[serde(rename = "plan")]
    pub plans: Vec<PlanSpec>,
    #[serde(rename = "class")]
    pub classes: Vec<ClassSpec>,
    #[serde(default)]
    pub clients: ClientSpec,
    #[serde(default, rename = "edge")]
    pub proxy_faults: ProxyFaults,
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
    /// Present if the gateways run the membership protocol.
    pub peers: Option<PeerSpec>,
}

/// Membership between the gateways.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
#[allow(missing_docs)]
pub struct PeerSpec {
    /// Milliseconds between requests for a gateway's membership report.
    #[serde(rename = "ask_ms")]
    pub poll_interval_ms: u64,
    /// Gateways configured with a different fleet key.
    #[serde(rename = "strangers")]
    pub other_key: Vec<usize>,
    /// Gateways configured with one member more than the others.
    #[serde(rename = "misled")]
    pub other_size: Vec<usize>,
}

impl Default for PeerSpec {
    fn default() -> Self {
        Self { poll_interval_ms: 250, other_key: Vec::new(), other_size: Vec::new() }
    }
}

/// Subcommand of `weirusher` that the gateway processes run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[allow(missing_docs)]
pub enum GatewayProgram {
    #[default]
    Run,
    Node,
}

/// Size and limits of the fleet, and capacity of its backends.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
#[allow(missing_docs)]
pub struct FleetSpec {
    pub program: GatewayProgram,
    #[serde(rename = "gatekeepers")]
    pub gateways: usize,
    #[serde(rename = "checkers")]
    pub backends: usize,
    pub cores: usize,
    pub service_ms: f64,
    #[serde(rename = "queue")]
    pub queue_limit: usize,
    pub list_lag_ms: u64,
    pub counter_limit_ms: f64,
    #[serde(rename = "open")]
    pub max_pending_requests: u32,
    pub attempts: u32,
    pub retry_after_seconds: f64,
}

impl Default for FleetSpec {
    fn default() -> Self {
        Self {
            program: GatewayProgram::Run,
            gateways: 3,
            backends: 6,
            cores: 3,
            service_ms: 40.0,
            queue_limit: 200,
            list_lag_ms: 200,
            counter_limit_ms: 50.0,
            max_pending_requests: 10_000,
            attempts: 3,
            retry_after_seconds: 2.0,
        }
    }
}

/// Limits that the audit applies to the run.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
#[allow(missing_docs)]
pub struct RuleSpec {
    pub drain_grace_ms: f64,
    /// Fraction of a ceiling's burst by which the ceiling may be exceeded.
    #[serde(rename = "slack")]
    pub ceiling_slack: f64,
    /// The counter is available for the whole run, so the audit requires admitted units to be counted.
    #[serde(rename = "counted")]
    pub counter_available: bool,
}

impl Default for RuleSpec {
    fn default() -> Self {
        Self { drain_grace_ms: 500.0, ceiling_slack: 0.1, counter_available: false }
    }
}

/// Slow start of backends, and the load at which they fail during it.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields, default)]
#[allow(missing_docs)]
pub struct SlowStartSpec {
    #[serde(rename = "from")]
    pub initial_share: f64,
    #[serde(rename = "seconds")]
    pub duration_seconds: f64,
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    #[serde(rename = "fall_seconds")]
    pub overload_window_seconds: f64,
}

impl Default for SlowStartSpec {
    fn default() -> Self {
        Self {
            initial_share: 0.25,
            duration_seconds: 6.0,
            overload_multiple: 4.0,
            overload_window_seconds: 1.0,
        }
    }
}

/// A plan and its customers.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(missing_docs)]
pub struct PlanSpec {
    pub name: String,
    pub customers: usize,
    pub rate: f64,
    pub burst: f64,
    /// Demand of each customer, as a multiple of its rate.
    #[serde(rename = "asks")]
    pub demand_share: f64,
    #[serde(default)]
    pub ceiling_rate: f64,
    #[serde(default)]
    pub ceiling_burst: f64,
    #[serde(default = "default_weight", rename = "pays")]
    pub priority_weight: f64,
    #[serde(default, rename = "excess_worth")]
    pub excess_weight: f64,
}

impl PlanSpec {
    /// Name of the plan's customer with this number.
    pub(crate) fn customer(&self, number: usize) -> String {
        format!("{}-{number}", self.name)
    }
}

/// A class of requests.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(missing_docs)]
pub struct ClassSpec {
    pub name: String,
    #[serde(rename = "aim_ms")]
    pub latency_objective_ms: f64,
    #[serde(rename = "patience_ms")]
    pub deadline_ms: f64,
    /// Idempotency of the requests: `safe` (idempotent), `keyed` (idempotent for `window_seconds`, by key) or `unsafe`.
    #[serde(default = "default_effect")]
    pub effect: String,
    #[serde(default)]
    pub window_seconds: f64,
    /// Share of the requests, relative to the other classes.
    #[serde(default = "default_weight", rename = "share")]
    pub weight: f64,
}

/// Retries of clients, and how often they close their requests early.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
#[allow(missing_docs)]
pub struct ClientSpec {
    /// Retries of a request that was not served.
    pub retries: u32,
    /// Fraction of retries that honour `Retry-After`.
    #[serde(rename = "heed")]
    pub honour_retry_after: f64,
    /// Fraction of requests closed within the first milliseconds, before or just after the gateway's decision.
    #[serde(rename = "leave_early")]
    pub close_early: f64,
    /// Fraction of requests closed during an attempt.
    #[serde(rename = "leave_work")]
    pub close_during_attempt: f64,
}

impl Default for ClientSpec {
    fn default() -> Self {
        Self { retries: 1, honour_retry_after: 1.0, close_early: 0.0, close_during_attempt: 0.0 }
    }
}

/// Faults of the proxy, each as the fraction of requests that it affects.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
#[allow(missing_docs)]
pub struct ProxyFaults {
    #[serde(rename = "lost")]
    pub report_lost: f64,
    #[serde(rename = "doubled")]
    pub report_duplicated: f64,
    #[serde(rename = "late")]
    pub report_delayed: f64,
    /// Delay of the reports selected by `report_delayed`.
    #[serde(rename = "late_seconds")]
    pub report_delay_seconds: f64,
    #[serde(rename = "elsewhere")]
    pub report_misdirected: f64,
    #[serde(rename = "altered")]
    pub ticket_altered: f64,
    #[serde(rename = "replayed")]
    pub ticket_replayed: f64,
}

fn default_weight() -> f64 {
    1.0
}

fn default_effect() -> String {
    "safe".into()
}

/// Why a scenario file is rejected.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ScenarioError {
    /// The file is not TOML, or its keys or types are wrong; the message gives line and column.
    #[error("{0}")]
    Syntax(#[from] toml::de::Error),
    /// The file can be parsed, but describes a scenario that cannot be run.
    #[error("invalid scenario: {}", join(.0))]
    Invalid(Vec<ScenarioProblem>),
}

fn join(problems: &[ScenarioProblem]) -> String {
    problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}

impl Scenario {
    /// Parses and validates a scenario file.
    ///
    /// # Errors
    /// The text cannot be parsed, or describes a scenario that cannot be run.
    pub fn parse(text: &str) -> Result<Self, ScenarioError> {
        let scenario: Self = toml::from_str(text)?;
        let problems = scenario.check();
        if problems.is_empty() { Ok(scenario) } else { Err(ScenarioError::Invalid(problems)) }
    }
}

#[cfg(test)]
mod tests;
