//! Derives the limits that the capture is audited against from the scenario.

use crate::scenario::Scenario;
use weirusher_fakes::{ARRIVAL_BURST_ALLOWANCE, AuditParameters, PlanLimits, RateLimit, SlowStartLimits};

/// Milliseconds in a second.
const MS_PER_SECOND: f64 = 1000.0;
/// Units of the largest request that clients send.
const LARGEST_REQUEST_UNITS: f64 = 1.0;

pub(super) fn from_scenario(scenario: &Scenario) -> AuditParameters {
    let plans = scenario.plans.iter().map(|plan| PlanLimits {
        quota: RateLimit { units_per_second: plan.rate, burst_units: plan.burst },
        ceiling: RateLimit { units_per_second: plan.ceiling_rate, burst_units: plan.ceiling_burst },
    });
    let customers = scenario
        .plans
        .iter()
        .enumerate()
        .flat_map(|(index, plan)| (0..plan.customers).map(move |number| (plan.customer(number), index)));
    let windows = scenario.classes.iter().map(|class| class.window_seconds);
    AuditParameters {
        drain_grace_seconds: scenario.rules.drain_grace_ms / MS_PER_SECOND,
        plans: plans.collect(),
        customers: customers.collect(),
        effects: scenario.classes.iter().map(|class| class.effect.clone()).collect(),
        ceiling_slack: scenario.rules.ceiling_slack,
        gateways: scenario.fleet.gateways,
        counter_available: scenario.rules.counter_available,
        largest_request_units: LARGEST_REQUEST_UNITS,
        idempotency_window_seconds: windows.fold(0.0, f64::max),
        slow_start: Some(slow_start_limits(scenario)),
    }
}

fn slow_start_limits(scenario: &Scenario) -> SlowStartLimits {
    let (fleet, slow_start) = (&scenario.fleet, &scenario.slow_start);
    SlowStartLimits {
        capacity_units_per_second: fleet.cores as f64 / (fleet.service_ms / MS_PER_SECOND),
        initial_share: slow_start.initial_share,
        duration_seconds: slow_start.duration_seconds,
        overload_multiple: slow_start.overload_multiple,
        overload_window_seconds: slow_start.overload_window_seconds,
        allowance_units: ARRIVAL_BURST_ALLOWANCE,
    }
}
