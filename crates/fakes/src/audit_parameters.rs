//! What an audit needs in addition to the traffic of a run: the limits that the run was configured with.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The limits that a run's traffic is audited against.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct AuditParameters {
    /// Seconds after a gateway has learned of a drain during which it may still send new requests to the backend.
    #[serde(rename = "drain_grace")]
    pub drain_grace_seconds: f64,
    /// Limits of each plan.
    pub plans: Vec<PlanLimits>,
    /// Plan of each customer, as an index into `plans`.
    pub customers: BTreeMap<String, usize>,
    /// Whether requests of each class may be repeated: `safe`, `keyed` (with an idempotency key) or `unsafe`.
    pub effects: Vec<String>,
    /// Share of a ceiling's burst by which the ceiling may be exceeded; at least the units of the largest request.
    #[serde(rename = "slack")]
    pub ceiling_slack: f64,
    /// Number of gateways in the fleet. Each of them serves every customer.
    #[serde(rename = "gatekeepers")]
    pub gateways: usize,
    /// Whether the counter is available during the whole run. If so, the units admitted must be counted, except for one
    /// burst per customer.
    #[serde(rename = "counted")]
    pub counter_available: bool,
    /// Largest request, in units.
    #[serde(rename = "max_units")]
    pub largest_request_units: f64,
    /// Seconds for which a backend stores the idempotency key of a request.
    #[serde(rename = "window")]
    pub idempotency_window_seconds: f64,
    /// Load that a backend in slow start can take; absent if no backend has a slow start.
    #[serde(default, rename = "cold")]
    pub slow_start: Option<SlowStartLimits>,
}

/// Token buckets of a plan. Captures store it as an array: quota rate, quota burst, ceiling rate, ceiling burst.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "[f64; 4]", into = "[f64; 4]")]
pub struct PlanLimits {
    /// The token bucket of the quota.
    pub quota: RateLimit,
    /// The hard ceiling; a rate of 0 means that there is none.
    pub ceiling: RateLimit,
}

/// Refill rate and capacity of a token bucket.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RateLimit {
    /// Units per second.
    pub units_per_second: f64,
    /// Capacity of the bucket in units.
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

/// Load that a backend in slow start can take, in units of work.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct SlowStartLimits {
    /// Units per second that a backend executes after its slow start.
    #[serde(rename = "capacity")]
    pub capacity_units_per_second: f64,
    /// Share of its full capacity that a backend starts with.
    #[serde(rename = "from")]
    pub initial_share: f64,
    /// Seconds until the slow start ends.
    #[serde(rename = "seconds")]
    pub duration_seconds: f64,
    /// Multiple of its current capacity that it can take over `overload_window_seconds`.
    #[serde(rename = "multiple")]
    pub overload_multiple: f64,
    /// Length in seconds of the window over which its load is measured.
    #[serde(rename = "fall")]
    pub overload_window_seconds: f64,
    /// Units that it can take in addition, since random arrivals come in bursts.
    #[serde(rename = "chance")]
    pub allowance_units: f64,
}
