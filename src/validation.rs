//! Checks of the settings that a gateway is given at its start.

use crate::interface::{Settings, SettingsError};

/// Rejects settings that no gateway can work with.
///
/// # Errors
/// The first figure that cannot be used.
pub(crate) fn validate(s: &Settings) -> Result<(), SettingsError> {
    if s.instance >= s.instances {
        return Err(if s.instances == 0 {
            SettingsError::NoInstances
        } else {
            SettingsError::InstanceOutOfRange
        });
    }
    let mut figures = vec![("count_limit", s.counter_timeout), ("max_retry_after", s.max_retry_after)];
    figures.extend([
        ("cold_from", s.slow_start_min_capacity),
        ("cold", s.slow_start_seconds),
        ("step", s.event_interval),
        ("fall", s.overload_seconds),
    ]);
    figures.extend([("fall_multiple", s.overload_multiple), ("connect_limit", s.connect_timeout)]);
    figures.extend(s.classes.iter().flat_map(|c| {
        [("aim", c.latency_objective), ("late_worth", c.late_weight), ("deadline", c.deadline)]
    }));
    for p in &s.plans {
        figures.extend([("rate", p.rate), ("burst", p.burst), ("excess_worth", p.over_quota_weight)]);
        figures.extend([("overrun_cost", p.over_quota_cost), ("ceiling_rate", p.ceiling_rate)]);
        figures.extend([("ceiling_burst", p.ceiling_burst), ("pays", p.priority_weight)]);
    }
    let bad = figures.into_iter().find(|(_, v)| !v.is_finite() || *v < 0.0);
    bad.map_or(Ok(()), |(name, _)| Err(SettingsError::InvalidNumber(name)))
}
