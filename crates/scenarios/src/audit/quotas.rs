//! Rule 5: no customer exceeds its ceiling. In addition, no quota is exceeded by more than the overshoot bound, which
//! grows with gateway restarts and losses of the counter; and if the counter is available throughout, admitted units
//! are counted.

use super::CapturePosition;
use super::report::{AuditReport, Overrun, Rule};
use std::collections::HashMap;
use weirusher_core::OvershootBound;
use weirusher_fakes::{AuditParameters, PlanLimits, RateLimit};

/// Tolerance for rounding errors, in units.
const ROUNDING_UNITS: f64 = 1e-6;

/// Number of events so far in which the fleet lost state about admitted units.
#[derive(Clone, Copy, Default)]
struct StateLosses {
    gateway_restarts: u32,
    counter_losses: u32,
}

/// The limit of a plan that a bucket enforces.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum Limit {
    Quota,
    Ceiling,
}

/// The auditor's own token bucket for a customer. A negative level is the excess over the limit.
struct Bucket {
    level_units: f64,
    at_seconds: f64,
    /// Losses at the time the bucket was last full: earlier losses no longer matter, since all excess was made up by
    /// then.
    losses_when_full: StateLosses,
}

/// Token buckets of all customers.
#[derive(Default)]
pub(super) struct Quotas {
    buckets: HashMap<(String, Limit), Bucket>,
    losses: StateLosses,
}

impl Quotas {
    pub fn gateway_restarted(&mut self) {
        self.losses.gateway_restarts += 1;
    }

    pub fn counter_lost(&mut self) {
        self.losses.counter_losses += 1;
    }

    /// Takes the units of an admitted request from the customer's quota and ceiling, and checks both. Not called for
    /// retries, which take no units.
    pub fn audit_admission(
        &mut self,
        at: CapturePosition,
        request: u64,
        customer: &str,
        units: f64,
        parameters: &AuditParameters,
        report: &mut AuditReport,
    ) {
        let plan = parameters.customers.get(customer).and_then(|plan| parameters.plans.get(*plan));
        let Some(PlanLimits { quota, ceiling }) = plan.copied() else { return };
        report.units.admitted += units;
        let largest_units = parameters.largest_request_units;
        if let Some((excess, losses)) = self.take_units(at, customer, Limit::Quota, quota, units) {
            let bound = OvershootBound {
                burst: quota.burst_units,
                instances: parameters.gateways as f64,
                largest_request: largest_units,
            };
            let allowed_units = bound.max_excess(losses.gateway_restarts, losses.counter_losses);
            if excess > report.overrun.units {
                report.overrun = Overrun { units: excess, allowed_units };
            }
            check_excess(Rule::QuotasRespected, at, request, customer, excess, allowed_units, report);
        }
        if let Some((excess, _)) = self.take_units(at, customer, Limit::Ceiling, ceiling, units) {
            let allowed_units = (parameters.ceiling_slack * ceiling.burst_units).max(largest_units);
            check_excess(Rule::CeilingsRespected, at, request, customer, excess, allowed_units, report);
        }
    }

    /// Takes units from a bucket. Returns the excess over the limit (negative while units are left) and the losses
    /// since the bucket was last full; `None` if the plan does not have this limit.
    fn take_units(
        &mut self,
        at: CapturePosition,
        customer: &str,
        which: Limit,
        limit: RateLimit,
        units: f64,
    ) -> Option<(f64, StateLosses)> {
        if limit.units_per_second <= 0.0 {
            return None;
        }
        let (now, losses, burst) = (at.time_seconds, self.losses, limit.burst_units);
        let full = Bucket { level_units: burst, at_seconds: now, losses_when_full: losses };
        let bucket = self.buckets.entry((customer.to_string(), which)).or_insert(full);
        let refilled = bucket.level_units + limit.units_per_second * (now - bucket.at_seconds);
        bucket.level_units = refilled.min(burst);
        if bucket.level_units >= burst {
            bucket.losses_when_full = losses;
        }
        (bucket.level_units, bucket.at_seconds) = (bucket.level_units - units, now);
        let since_full = StateLosses {
            gateway_restarts: losses.gateway_restarts - bucket.losses_when_full.gateway_restarts,
            counter_losses: losses.counter_losses - bucket.losses_when_full.counter_losses,
        };
        Some((-bucket.level_units, since_full))
    }
}

fn check_excess(
    rule: Rule,
    at: CapturePosition,
    request: u64,
    customer: &str,
    excess: f64,
    allowed: f64,
    report: &mut AuditReport,
) {
    if excess > allowed + ROUNDING_UNITS {
        let description = format!("{customer} is {excess:.2} units over its limit, {allowed:.2} allowed");
        report.add_violation(rule, Some(request), at.time_seconds, vec![at.line], description);
    }
}

/// Checks on the complete capture that admitted units were counted. One burst per customer may be missing: units are
/// counted in leases, and the last lease may not be counted yet.
pub(super) fn audit_counts(parameters: &AuditParameters, report: &mut AuditReport) {
    let (admitted, counted) = (report.units.admitted, report.units.counted);
    let plans = parameters.customers.values().filter_map(|plan| parameters.plans.get(*plan));
    let bursts: f64 = plans.map(|plan| plan.quota.burst_units).sum();
    if admitted > counted + bursts {
        let description = format!(
            "{admitted} units were admitted, but only {counted:.1} counted; at most {bursts} may be missing"
        );
        report.add_violation(Rule::AdmittedIsCounted, None, 0.0, vec![1], description);
    }
}
