//! The settings object of the platform: JSON whose keys are the platform's. Only this module maps them to the
//! terms of this crate.

use crate::interface::{Class, DedupScope, Idempotency, Plan, Settings};
use serde_json::Value;
use thiserror::Error;

/// Default for the seconds after which backends close an idle connection.
const DEFAULT_IDLE_TIMEOUT_SECONDS: f64 = 10.0;
/// Default for the seconds after which a draining backend must get no new requests.
const DEFAULT_DRAIN_GRACE_SECONDS: f64 = 0.5;

/// A settings object: the settings of the policy, and further settings of the proxy.
#[derive(Debug, Clone, PartialEq)]
#[non_exhaustive]
pub struct PlatformSettings {
    /// The settings of the policy.
    pub settings: Settings,
    /// Names of the classes, by index.
    pub classes: Vec<String>,
    /// Names of the plans, by index.
    pub plans: Vec<String>,
    /// Names of the zones, by index.
    pub zones: Vec<String>,
    /// Seconds after which a backend closes an idle connection.
    pub connection_idle_timeout: f64,
    /// Seconds from the start of a backend's drain until it must get no new requests.
    pub drain_grace: f64,
}

/// Why a settings object cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum PlatformSettingsError {
    /// The value of this key is not a number.
    #[error("settings: {0} is not a number")]
    NotANumber(&'static str),
    /// The effect of a class is none of `idempotent`, `deduplicated` and `at_most_once`.
    #[error("settings: Classes.Effect is not one of idempotent, deduplicated and at_most_once")]
    UnknownEffect,
}

impl PlatformSettings {
    /// Reads a settings object. Unknown keys are ignored; missing keys take their default values.
    ///
    /// # Errors
    /// Returns an error if a numeric setting is not a number, or if the effect of a class is unknown.
    pub fn read(value: &Value) -> Result<Self, PlatformSettingsError> {
        let object = Object(value);
        let limits = object.child("Limits");
        let rules = object.child("Rules");
        let names = |key| object.list(key).iter().map(|item| Object(item).text("Name").to_string()).collect();
        let zone = |item: &Value| item.as_str().unwrap_or("").to_string();
        Ok(Self {
            settings: settings(&object)?,
            classes: names("Classes"),
            plans: names("Plans"),
            zones: object.list("Dcs").iter().map(zone).collect(),
            connection_idle_timeout: limits.number("ConnIdle", DEFAULT_IDLE_TIMEOUT_SECONDS)?,
            drain_grace: rules.number("StopSendingWithin", DEFAULT_DRAIN_GRACE_SECONDS)?,
        })
    }
}

/// Reads a JSON object key by key. Any other JSON value is treated as an empty object.
struct Object<'a>(&'a Value);

impl<'a> Object<'a> {
    fn child(&self, key: &str) -> Object<'a> {
        Object(self.0.get(key).unwrap_or(&Value::Null))
    }
    fn list(&self, key: &str) -> &'a [Value] {
        self.0.get(key).and_then(Value::as_array).map_or(&[], Vec::as_slice)
    }
    fn number(&self, key: &'static str, default: f64) -> Result<f64, PlatformSettingsError> {
        match self.0.get(key) {
            None | Some(Value::Null) => Ok(default),
            Some(value) => value.as_f64().ok_or(PlatformSettingsError::NotANumber(key)),
        }
    }
    fn flag(&self, key: &str) -> bool {
        self.0.get(key).and_then(Value::as_bool).unwrap_or(false)
    }
    fn text(&self, key: &str) -> &'a str {
        self.0.get(key).and_then(Value::as_str).unwrap_or("")
    }
}

fn settings(object: &Object<'_>) -> Result<Settings, PlatformSettingsError> {
    let (limits, domain, rules) = (object.child("Limits"), object.child("Domain"), object.child("Rules"));
    let default = Settings::default();
    Ok(Settings {
        instance: object.number("Me", 0.0)? as u32,
        instances: object.number("PeersTotal", 1.0)? as u32,
        zone: object.number("Locality", 0.0)? as u32,
        event_interval: object.number("Step", default.event_interval)?,
        classes: object.list("Classes").iter().map(class).collect::<Result<_, _>>()?,
        plans: object.list("Plans").iter().map(plan).collect::<Result<_, _>>()?,
        polls_endpoints: object.text("Discovery") == "ask",
        has_counter: domain.flag("HasCounter"),
        connect_timeout: limits.number("ConnectTimeout", default.connect_timeout)?,
        counter_timeout: domain.number("CountLimit", default.counter_timeout)?,
        max_request_units: domain.number("MaxUnits", default.max_request_units)?,
        hedging: limits.flag("SecondCopies"),
        max_attempts: limits.number("SendCap", 1.0)? as u32,
        max_open_requests: limits.number("OpenCap", f64::from(u32::MAX))? as u32,
        max_customers: default.max_customers,
        sends_retry_after: limits.flag("RetryAfter"),
        max_retry_after: limits.number("MaxRetryAfter", default.max_retry_after)?,
        slow_start_min_capacity: rules.number("ColdFrom", default.slow_start_min_capacity)?,
        slow_start_seconds: rules.number("Cold", default.slow_start_seconds)?,
        overload_multiple: rules.number("FallMultiple", default.overload_multiple)?,
        overload_seconds: rules.number("Fall", default.overload_seconds)?,
    })
}

fn class(value: &Value) -> Result<Class, PlatformSettingsError> {
    let object = Object(value);
    let latency_objective = object.number("Slo", Class::default().latency_objective)?;
    Ok(Class {
        latency_objective,
        late_weight: object.number("LateWorth", 0.0)?,
        // A missing deadline defaults to its shortest possible value, so that a graceful shutdown plans for
        // the earliest time at which the process may be killed.
        deadline: object.number("Deadline", latency_objective)?,
        idempotency: idempotency(&object)?,
    })
}

fn idempotency(class: &Object<'_>) -> Result<Idempotency, PlatformSettingsError> {
    match class.text("Effect") {
        "idempotent" => Ok(Idempotency::Idempotent),
        "deduplicated" => {
            let scope = match class.text("Group") {
                "zone" => DedupScope::Zone,
                "cell" => DedupScope::Cell,
                _ => DedupScope::All,
            };
            Ok(Idempotency::Keyed { scope, window: class.number("Window", 0.0)? })
        }
        "at_most_once" => Ok(Idempotency::NonIdempotent),
        _ => Err(PlatformSettingsError::UnknownEffect),
    }
}

fn plan(value: &Value) -> Result<Plan, PlatformSettingsError> {
    let object = Object(value);
    Ok(Plan {
        rate: object.number("QuotaRate", 0.0)?,
        burst: object.number("Depth", 0.0)?,
        max_concurrent: object.number("Open", 0.0)? as u32,
        priority_weight: object.number("Pays", 1.0)?,
        over_quota_weight: object.number("ExcessWorth", 0.0)?,
        over_quota_cost: object.number("OverrunCost", 0.0)?,
        ceiling_rate: object.number("CeilingRate", 0.0)?,
        ceiling_burst: object.number("CeilingBurst", 0.0)?,
    })
}
