//! The platform's settings object, as JSON: read by this one function wherever it arrives.

use crate::interface::*;
use serde_json::Value;
use std::fmt;

/// What a settings object tells: the module's settings, and what a front and its pools need beside them.
#[derive(Debug, Clone, PartialEq)]
#[non_exhaustive]
pub struct PlatformSettings {
    /// The module's own settings.
    pub settings: Settings,
    /// Names of the classes, by index.
    pub classes: Vec<String>,
    /// Names of the plans, by index.
    pub plans: Vec<String>,
    /// Names of the zones, by index.
    pub zones: Vec<String>,
    /// Seconds of idleness after which a server's machine closes a connection.
    pub connection_idle_timeout: f64,
    /// Answers carry load reports.
    pub load_reports: bool,
    /// Seconds within which nothing new may begin at a server that is told to leave.
    pub drain_grace: f64,
}

/// A settings object that cannot be used: where, and what is wrong there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformSettingsError(String);

impl fmt::Display for PlatformSettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings: {}", self.0)
    }
}

impl std::error::Error for PlatformSettingsError {}

/// An object, read by key; unknown keys are ignored.
struct Keys<'a>(&'a Value);

impl<'a> Keys<'a> {
    fn sub(&self, key: &str) -> Keys<'a> {
        Keys(self.0.get(key).unwrap_or(&Value::Null))
    }
    fn list(&self, key: &str) -> &'a [Value] {
        self.0.get(key).and_then(Value::as_array).map_or(&[], Vec::as_slice)
    }
    fn num(&self, key: &str, default: f64) -> Result<f64, PlatformSettingsError> {
        match self.0.get(key) {
            None | Some(Value::Null) => Ok(default),
            Some(v) => v.as_f64().ok_or_else(|| PlatformSettingsError(format!("{key} is not a number"))),
        }
    }
    fn flag(&self, key: &str) -> bool {
        self.0.get(key).and_then(Value::as_bool).unwrap_or(false)
    }
    fn text(&self, key: &str) -> &'a str {
        self.0.get(key).and_then(Value::as_str).unwrap_or("")
    }
}

fn class(value: &Value) -> Result<Class, PlatformSettingsError> {
    let keys = Keys(value);
    let group = match keys.text("Group") {
        "zone" => DedupScope::Zone,
        "cell" => DedupScope::Cell,
        _ => DedupScope::All,
    };
    let aim = keys.num("Slo", Class::default().latency_objective)?;
    Ok(Class {
        latency_objective: aim,
        late_weight: keys.num("LateWorth", 0.0)?,
        // The shortest that it may be where it is not told: a shutdown then counts on the earliest kill.
        deadline: keys.num("Deadline", aim)?,
        streamed: keys.flag("Streamed"),
        idempotency: match keys.text("Effect") {
            "idempotent" => Idempotency::Idempotent,
            "deduplicated" => Idempotency::Keyed { scope: group, window: keys.num("Window", 0.0)? },
            "at_most_once" => Idempotency::NonIdempotent,
            _ => return Err(PlatformSettingsError("Classes.Effect is unknown".into())),
        },
    })
}

fn plan(value: &Value) -> Result<Plan, PlatformSettingsError> {
    let keys = Keys(value);
    Ok(Plan {
        rate: keys.num("QuotaRate", 0.0)?,
        burst: keys.num("Depth", 0.0)?,
        max_concurrent: keys.num("Open", 0.0)? as u32,
        priority_weight: keys.num("Pays", 1.0)?,
        over_quota_weight: keys.num("ExcessWorth", 0.0)?,
        over_quota_cost: keys.num("OverrunCost", 0.0)?,
        ceiling_rate: keys.num("CeilingRate", 0.0)?,
        ceiling_burst: keys.num("CeilingBurst", 0.0)?,
    })
}

fn settings(keys: &Keys<'_>) -> Result<Settings, PlatformSettingsError> {
    let (limits, domain, rules) = (keys.sub("Limits"), keys.sub("Domain"), keys.sub("Rules"));
    let plain = Settings::default();
    Ok(Settings {
        instance: keys.num("Me", 0.0)? as u32,
        instances: keys.num("PeersTotal", 1.0)? as u32,
        zone: keys.num("Locality", 0.0)? as u32,
        event_interval: keys.num("Step", plain.event_interval)?,
        classes: keys.list("Classes").iter().map(class).collect::<Result<_, _>>()?,
        plans: keys.list("Plans").iter().map(plan).collect::<Result<_, _>>()?,
        polls_endpoints: keys.text("Discovery") == "ask",
        has_counter: domain.flag("HasCounter"),
        connect_timeout: limits.num("ConnectTimeout", plain.connect_timeout)?,
        counter_timeout: domain.num("CountLimit", plain.counter_timeout)?,
        max_request_units: domain.num("MaxUnits", plain.max_request_units)?,
        post_paid: domain.flag("PostPaid"),
        may_probe: limits.flag("MayProbe"),
        may_cancel: limits.flag("Cancelling"),
        hedging: limits.flag("SecondCopies"),
        max_attempts: limits.num("SendCap", 1.0)? as u32,
        max_open_requests: limits.num("OpenCap", f64::from(u32::MAX))? as u32,
        sends_retry_after: limits.flag("RetryAfter"),
        max_retry_after: limits.num("MaxRetryAfter", plain.max_retry_after)?,
        slow_start_min_capacity: rules.num("ColdFrom", plain.slow_start_min_capacity)?,
        slow_start_seconds: rules.num("Cold", plain.slow_start_seconds)?,
        overload_multiple: rules.num("FallMultiple", plain.overload_multiple)?,
        overload_seconds: rules.num("Fall", plain.overload_seconds)?,
    })
}

impl PlatformSettings {
    /// Reads a settings object; unknown keys are ignored, missing ones take their defaults.
    ///
    /// # Errors
    /// A figure that is no number, or a class whose effect is unknown.
    pub fn read(value: &Value) -> Result<Self, PlatformSettingsError> {
        let keys = Keys(value);
        let (limits, report) = (keys.sub("Limits"), keys.sub("Report"));
        let names = |key: &str| keys.list(key).iter().map(|v| Keys(v).text("Name").to_string()).collect();
        let zone = |v: &Value| v.as_str().unwrap_or("").to_string();
        Ok(Self {
            settings: settings(&keys)?,
            classes: names("Classes"),
            plans: names("Plans"),
            zones: keys.list("Dcs").iter().map(zone).collect(),
            connection_idle_timeout: limits.num("ConnIdle", 10.0)?,
            load_reports: report.text("Source") == "answers",
            drain_grace: keys.sub("Rules").num("StopSendingWithin", 0.5)?,
        })
    }
}
