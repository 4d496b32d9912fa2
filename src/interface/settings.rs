//! What a gateway is given at its start: classes of requests, plans of customers, limits.

use thiserror::Error;

/// Which backends recognize a repeat of a keyed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DedupScope {
    /// All backends.
    All,
    /// The backends of one zone.
    Zone,
    /// The backends of one cell.
    Cell,
}

/// What repeating a request may do.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Idempotency {
    /// It may be executed any number of times.
    Idempotent,
    /// It carries an idempotency key, by which backends discard repeats.
    Keyed {
        /// The backends that share the memory of keys.
        scope: DedupScope,
        /// Seconds after the first attempt for which the key is remembered.
        window: f64,
    },
    /// It may be executed once at most.
    NonIdempotent,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
#[non_exhaustive]
pub struct Class {
    /// Seconds after its arrival within which the response to a request has its full value.
    pub latency_objective: f64,
    /// Fraction of its value that a later response has.
    pub late_weight: f64,
    /// Seconds that a client waits at most, over all its attempts.
    pub deadline: f64,
    /// What a repeat may do.
    pub idempotency: Idempotency,
}

impl Default for Class {
    fn default() -> Self {
        Self { latency_objective: 1.0, late_weight: 0.0, deadline: 1.0, idempotency: Idempotency::Idempotent }
    }
}

/// A plan. Its figures hold for each customer over all gateways together.
#[derive(Debug, Clone, Default, PartialEq)]
#[non_exhaustive]
pub struct Plan {
    /// Units a second; 0: no quota.
    pub rate: f64,
    /// Units that may be used at once.
    pub burst: f64,
    /// Attempts that may be in flight at once; 0: any number.
    pub max_concurrent: u32,
    /// Priority of a unit, relative to other plans.
    pub priority_weight: f64,
    /// Fraction of its value that a request sent beyond the quota has.
    pub over_quota_weight: f64,
    /// Fraction of its value that a request sent beyond the quota costs.
    pub over_quota_cost: f64,
    /// Units a second that refill the hard ceiling; 0: no ceiling.
    pub ceiling_rate: f64,
    /// Units that the ceiling holds.
    pub ceiling_burst: f64,
}

/// The settings of a gateway. Build them from `Settings::default()` and set the fields.
#[derive(Debug, Clone, PartialEq)]
#[non_exhaustive]
pub struct Settings {
    /// The number of this gateway, from 0.
    pub instance: u32,
    /// The number of gateways.
    pub instances: u32,
    /// The zone of this gateway.
    pub zone: u32,
    /// Classes of requests, by index.
    pub classes: Vec<Class>,
    /// Plans, by index.
    pub plans: Vec<Plan>,
    /// There is a counter to call.
    pub has_counter: bool,
    /// Seconds until a call to the counter is given up.
    pub counter_timeout: f64,
    /// Seconds until a connection attempt to a backend has failed.
    pub connect_timeout: f64,
    /// Largest number of units of one request.
    pub max_request_units: f64,
    /// Two attempts of one request may be in flight at once.
    pub hedging: bool,
    /// Largest number of attempts of one request.
    pub max_attempts: u32,
    /// Largest number of open requests.
    pub max_open_requests: u32,
    /// Rejections carry a Retry-After.
    pub sends_retry_after: bool,
    /// Longest Retry-After that clients honour, in seconds.
    pub max_retry_after: f64,
    /// The endpoint list must be polled; it is not pushed.
    pub polls_endpoints: bool,
    /// Fraction of its capacity that a backend has at its start.
    pub slow_start_min_capacity: f64,
    /// Seconds until a backend has warmed up.
    pub slow_start_seconds: f64,
    /// Multiple of its present capacity that overloads a backend in slow start ...
    pub overload_multiple: f64,
    /// ... when it lasts this many seconds.
    pub overload_seconds: f64,
    /// Least seconds between two batches of events.
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

/// Settings that no gateway can work with.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum SettingsError {
    /// [`Settings::instances`] is 0.
    #[error("there are no gateways")]
    NoInstances,
    /// [`Settings::instance`] is not below [`Settings::instances`].
    #[error("this gateway's number is out of range")]
    InstanceOutOfRange,
    /// The figure with this configuration key is negative, infinite or not a number.
    #[error("{0} is not a usable number")]
    InvalidNumber(&'static str),
}
