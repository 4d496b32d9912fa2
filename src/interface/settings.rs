//! Settings of a gateway: classes of requests, plans of customers, limits.

use thiserror::Error;

/// Which backends recognize a repeated request by its idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DedupScope {
    /// All backends.
    All,
    /// The backends of one zone.
    Zone,
    /// The backends of one cell.
    Cell,
}

/// Whether and where a request may be repeated.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Idempotency {
    /// The request may be executed any number of times.
    Idempotent,
    /// The request carries an idempotency key, by which backends discard repeats.
    Keyed {
        /// The backends that share the store of keys.
        scope: DedupScope,
        /// Seconds after the first attempt for which the key is kept.
        window: f64,
    },
    /// The request may be executed at most once.
    NonIdempotent,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
#[non_exhaustive]
pub struct Class {
    /// Seconds after the arrival of a request within which its response has its full value.
    pub latency_objective: f64,
    /// Fraction of that value that a later response has.
    pub late_weight: f64,
    /// Maximum seconds that a client waits for a response, over all its attempts.
    pub deadline: f64,
    /// Whether and where requests may be repeated.
    pub idempotency: Idempotency,
}

impl Default for Class {
    fn default() -> Self {
        Self { latency_objective: 1.0, late_weight: 0.0, deadline: 1.0, idempotency: Idempotency::Idempotent }
    }
}

/// A plan of customers. Its limits apply to each customer, over all gateways together.
#[derive(Debug, Clone, Default, PartialEq)]
#[non_exhaustive]
pub struct Plan {
    /// Quota in units per second; 0 means no quota.
    pub rate: f64,
    /// Units that may be used at once.
    pub burst: f64,
    /// Maximum number of attempts in flight; 0 means no limit.
    pub max_concurrent: u32,
    /// Priority of a unit, relative to other plans.
    pub priority_weight: f64,
    /// Fraction of the value of a request that it still has when it is sent beyond the quota.
    pub over_quota_weight: f64,
    /// Cost of sending a request beyond the quota, as a fraction of its value.
    pub over_quota_cost: f64,
    /// Refill of the hard ceiling in units per second; 0 means no ceiling.
    pub ceiling_rate: f64,
    /// Burst of the ceiling in units.
    pub ceiling_burst: f64,
}

/// The settings of a gateway. To construct them, start from `Settings::default()` and set the fields.
#[derive(Debug, Clone, PartialEq)]
#[non_exhaustive]
pub struct Settings {
    /// Index of this gateway in the fleet, from 0.
    pub instance: u32,
    /// Number of gateways in the fleet.
    pub instances: u32,
    /// Index of the zone of this gateway.
    pub zone: u32,
    /// The classes of requests; a [`Request`](super::Request) refers to one by index.
    pub classes: Vec<Class>,
    /// The plans of customers; a [`Request`](super::Request) refers to one by index.
    pub plans: Vec<Plan>,
    /// There is a counter to call.
    pub has_counter: bool,
    /// Seconds after which a call to the counter times out.
    pub counter_timeout: f64,
    /// Seconds after which connecting to a backend times out.
    pub connect_timeout: f64,
    /// Maximum number of units of one request.
    pub max_request_units: f64,
    /// Two attempts of one request may be in flight at once.
    pub hedging: bool,
    /// Maximum number of attempts of one request.
    pub max_attempts: u32,
    /// Maximum number of open requests.
    pub max_open_requests: u32,
    /// Maximum number of customers whose state is kept.
    pub max_customers: u32,
    /// Rejections carry a Retry-After.
    pub sends_retry_after: bool,
    /// Longest Retry-After that clients honour, in seconds.
    pub max_retry_after: f64,
    /// The endpoint list must be polled, as it is not pushed.
    pub polls_endpoints: bool,
    /// Fraction of its full capacity that a backend has when it starts.
    pub slow_start_min_capacity: f64,
    /// Seconds that a backend takes to warm up.
    pub slow_start_seconds: f64,
    /// Multiple of its current capacity at which a backend in slow start is overloaded, if the load lasts for
    /// [`overload_seconds`](Self::overload_seconds).
    pub overload_multiple: f64,
    /// Seconds for which such a load must last to be an overload.
    pub overload_seconds: f64,
    /// Minimum seconds between two batches of events.
    pub event_interval: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            instance: 0,
            instances: 1,
            zone: 0,
            classes: Vec::new(),
            plans: Vec::new(),
            has_counter: false,
            counter_timeout: 0.05,
            connect_timeout: 0.25,
            max_request_units: 1.0,
            hedging: false,
            max_attempts: 1,
            max_open_requests: u32::MAX,
            max_customers: u32::MAX,
            sends_retry_after: true,
            max_retry_after: 1.0,
            polls_endpoints: false,
            slow_start_min_capacity: 1.0,
            slow_start_seconds: 0.0,
            overload_multiple: 1.0,
            overload_seconds: 1.0,
            event_interval: 0.001,
        }
    }
}

/// Why settings are invalid.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum SettingsError {
    /// [`Settings::instances`] is 0.
    #[error("number of gateways is 0")]
    NoInstances,
    /// [`Settings::instance`] is not less than [`Settings::instances`].
    #[error("the index of this gateway must be less than the number of gateways")]
    InstanceOutOfRange,
    /// The number with this configuration key is negative, infinite or NaN.
    #[error("{0} must be a finite number that is not negative")]
    InvalidNumber(&'static str),
}
