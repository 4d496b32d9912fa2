//! Validation of the settings of a gateway.

use crate::interface::{Class, Plan, Settings, SettingsError};

/// A configuration key and its numeric value.
type NumericSetting = (&'static str, f64);

/// Checks that settings are valid.
///
/// # Errors
/// Returns an error for the first invalid value.
pub(crate) fn validate(settings: &Settings) -> Result<(), SettingsError> {
    if settings.instances == 0 {
        return Err(SettingsError::NoInstances);
    }
    if settings.instance >= settings.instances {
        return Err(SettingsError::InstanceOutOfRange);
    }
    let numbers = gateway_numbers(settings)
        .into_iter()
        .chain(settings.classes.iter().flat_map(class_numbers))
        .chain(settings.plans.iter().flat_map(plan_numbers));
    for (key, value) in numbers {
        if !value.is_finite() || value < 0.0 {
            return Err(SettingsError::InvalidNumber(key));
        }
    }
    Ok(())
}

fn gateway_numbers(settings: &Settings) -> [NumericSetting; 8] {
    [
        ("count_limit", settings.counter_timeout),
        ("max_retry_after", settings.max_retry_after),
        ("cold_from", settings.slow_start_min_capacity),
        ("cold", settings.slow_start_seconds),
        ("step", settings.event_interval),
        ("fall", settings.overload_seconds),
        ("fall_multiple", settings.overload_multiple),
        ("connect_limit", settings.connect_timeout),
    ]
}

fn class_numbers(class: &Class) -> [NumericSetting; 3] {
    [("aim", class.latency_objective), ("late_worth", class.late_weight), ("deadline", class.deadline)]
}

fn plan_numbers(plan: &Plan) -> [NumericSetting; 7] {
    [
        ("rate", plan.rate),
        ("burst", plan.burst),
        ("excess_worth", plan.over_quota_weight),
        ("overrun_cost", plan.over_quota_cost),
        ("ceiling_rate", plan.ceiling_rate),
        ("ceiling_burst", plan.ceiling_burst),
        ("pays", plan.priority_weight),
    ]
}
