//! Validation of the settings that a gateway is given at its start.

use crate::interface::{Class, Plan, Settings, SettingsError};

/// A figure with its configuration key.
type Figure = (&'static str, f64);

/// Rejects settings that no gateway can work with.
///
/// # Errors
/// The first figure that is invalid.
pub(crate) fn validate(settings: &Settings) -> Result<(), SettingsError> {
    if settings.instances == 0 {
        return Err(SettingsError::NoInstances);
    }
    if settings.instance >= settings.instances {
        return Err(SettingsError::InstanceOutOfRange);
    }
    let figures = gateway_figures(settings)
        .into_iter()
        .chain(settings.classes.iter().flat_map(class_figures))
        .chain(settings.plans.iter().flat_map(plan_figures));
    for (key, value) in figures {
        if !value.is_finite() || value < 0.0 {
            return Err(SettingsError::InvalidNumber(key));
        }
    }
    Ok(())
}

fn gateway_figures(settings: &Settings) -> [Figure; 8] {
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

fn class_figures(class: &Class) -> [Figure; 3] {
    [("aim", class.latency_objective), ("late_worth", class.late_weight), ("deadline", class.deadline)]
}

fn plan_figures(plan: &Plan) -> [Figure; 7] {
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
