//! What an audit has to know of a run beside its traffic: the limits that the run was configured with.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The limits that a run's traffic is audited against.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct AuditParameters {
    /// Seconds after a gateway knows of a drain within which it may still send new work to the backend.
    #[serde(rename = "drain_grace")]
    pub drain_grace_seconds: f64,
    /// Limits of each plan.
    pub plans: Vec<PlanLimits>,
    /// Plan of each customer, as an index into `plans`.
    pub customers: BTreeMap<String, usize>,
    /// How each class of requests may be repeated: `safe`, `keyed` or `unsafe`.
    pub effects: Vec<String>,
    /// Share of a ceiling's burst by which the ceiling may be exceeded; the largest request at least.
    #[serde(rename = "slack")]
    pub ceiling_slack: f64,
    /// Gateways of the fleet; each of them carries every customer.
    #[serde(rename = "gatekeepers")]
    pub gateways: usize,
    /// The counter is available during the whole run: what is admitted must be counted, but for one burst a customer.
    #[serde(rename = "counted")]
    pub counter_available: bool,
    /// Largest request, in units.
    #[serde(rename = "max_units")]
    pub largest_request_units: f64,
    /// Seconds for which a backend remembers the idempotency key of a request.
    #[serde(rename = "window")]
    pub idempotency_window_seconds: f64,
    /// Load that a backend in slow start bears; absent where no backend starts slowly.
    #[serde(default, rename = "cold")]
    pub slow_start: Option<SlowStartLimits>,
}

/// Token buckets of a plan. Captures store it as an array: quota rate, quota burst, ceiling rate, ceiling burst.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "[f64; 4]", into = "[f64; 4]")]
pub struct PlanLimits {
    /// The quota.
    pub quota: RateLimit,
    /// The hard ceiling; a rate of 0 means that there is none.
    pub ceiling: RateLimit,
}

/// A token bucket.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RateLimit {
    /// Units a second.
    pub units_per_second: f64,
    /// Units that the full bucket holds.
    pub burst_units: f64,
}

impl From<[f64; 4]> for PlanLimits {
    fn from([quota_rate, quota_burst, ceiling_rate, ceiling_burst]: [f64; 4]) -> Self {
        Self {
            quota: RateLimit { units_per_second: quota_rate, burst_units: quota_burst },
            ceiling: RateLimit { units_per_second: ceiling_rate, burst_units: ceiling_burst },
        }
    }
}

impl From<PlanLimits> for [f64; 4] {
    fn from(PlanLimits { quota, ceiling }: PlanLimits) -> Self {
        [quota.units_per_second, quota.burst_units, ceiling.units_per_second, ceiling.burst_units]
    }
}

/// Load that a backend in slow start bears, in units of work.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct SlowStartLimits {
    /// Units a second of a warmed-up backend.
    #[serde(rename = "capacity")]
    pub capacity_units_per_second: f64,
    /// Share of its full capacity that a backend starts with.
    #[serde(rename = "from")]
    pub initial_share: f64,
    /// Seconds until it has warmed up.
    #[serde(rename = "seconds")]
    pub duration_seconds: f64,
    /// Multiple of its present capacity that it bears ...
    #[serde(rename = "multiple")]
    pub overload_multiple: f64,
    /// ... over a window of this many seconds.
    #[serde(rename = "fall")]
    pub overload_window_seconds: f64,
    /// Units that it bears beside that: random arrivals come in bunches.
    #[serde(rename = "chance")]
    pub allowance_units: f64,
}
