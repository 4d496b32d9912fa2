//! Rule 5: no customer exceeds its ceiling; and no quota is exceeded by more than the bound on overshoot, which grows
//! with restarts of gateways and losses of the counter. Where the counter is available throughout, what is admitted is
//! counted.

use super::Moment;
use super::report::{AuditReport, Overrun, Rule};
use std::collections::HashMap;
use weirusher_core::OvershootBound;
use weirusher_fakes::{AuditParameters, PlanLimits, RateLimit};

/// Rounding that a bound allows for, in units.
const ROUNDING_UNITS: f64 = 1e-6;

/// Events so far by which the fleet lost knowledge of what was admitted.
#[derive(Clone, Copy, Default)]
struct LossesOfState {
    gateway_restarts: u32,
    counter_losses: u32,
}

/// Which limit of a plan a bucket is for.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum Limit {
    Quota,
    Ceiling,
}

/// A customer's token bucket as the auditor keeps it; its level is negative beyond the limit.
struct Bucket {
    level_units: f64,
    at_seconds: f64,
    /// The losses when it was last full: what was admitted before was repaid by then.
    losses_when_full: LossesOfState,
}

/// The buckets of all customers.
#[derive(Default)]
pub(super) struct Quotas {
    buckets: HashMap<(String, Limit), Bucket>,
    losses: LossesOfState,
}

impl Quotas {
    pub fn gateway_restarted(&mut self) {
        self.losses.gateway_restarts += 1;
    }

    pub fn counter_lost(&mut self) {
        self.losses.counter_losses += 1;
    }

    /// A first attempt takes its units from the customer's quota and ceiling; both are checked.
    pub fn audit_admission(
        &mut self,
        at: Moment,
        request: u64,
        customer: &str,
        units: f64,
        parameters: &AuditParameters,
        report: &mut AuditReport,
    ) {
        let plan = parameters.customers.get(customer).and_then(|plan| parameters.plans.get(*plan));
        let Some(PlanLimits { quota, ceiling }) = plan.copied() else { return };
        report.units.admitted += units;
        let largest = parameters.largest_request_units;
        if let Some((excess, losses)) = self.draw(at, customer, Limit::Quota, quota, units) {
            let bound = OvershootBound {
                burst: quota.burst_units,
                instances: parameters.gateways as f64,
                largest_request: largest,
            };
            let allowed_units = bound.max_excess(losses.gateway_restarts, losses.counter_losses);
            if excess > report.overrun.units {
                report.overrun = Overrun { units: excess, allowed_units };
            }
            check_excess(Rule::QuotasRespected, at, request, customer, excess, allowed_units, report);
        }
        if let Some((excess, _)) = self.draw(at, customer, Limit::Ceiling, ceiling, units) {
            let allowed_units = (parameters.ceiling_slack * ceiling.burst_units).max(largest);
            check_excess(Rule::CeilingsRespected, at, request, customer, excess, allowed_units, report);
        }
    }

    /// Takes units from a bucket: the units beyond it, and the losses since it was full. `None` without such a limit.
    fn draw(
        &mut self,
        at: Moment,
        customer: &str,
        which: Limit,
        limit: RateLimit,
        units: f64,
    ) -> Option<(f64, LossesOfState)> {
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
        let since_full = LossesOfState {
            gateway_restarts: losses.gateway_restarts - bucket.losses_when_full.gateway_restarts,
            counter_losses: losses.counter_losses - bucket.losses_when_full.counter_losses,
        };
        Some((-bucket.level_units, since_full))
    }
}

fn check_excess(
    rule: Rule,
    at: Moment,
    request: u64,
    customer: &str,
    excess: f64,
    allowed: f64,
    report: &mut AuditReport,
) {
    if excess > allowed + ROUNDING_UNITS {
        let description = format!("{customer} is {excess:.2} units beyond, {allowed:.2} are allowed");
        report.violation(rule, Some(request), at.time_seconds, vec![at.line], description);
    }
}

/// Checks that what was admitted is counted, once the capture is complete. One burst a customer may be missing: units
/// are counted in leases, and the last one may be uncounted.
pub(super) fn audit_counts(parameters: &AuditParameters, report: &mut AuditReport) {
    let (admitted, counted) = (report.units.admitted, report.units.counted);
    let plans = parameters.customers.values().filter_map(|plan| parameters.plans.get(*plan));
    let bursts: f64 = plans.map(|plan| plan.quota.burst_units).sum();
    if admitted > counted + bursts {
        let description =
            format!("{admitted} units were admitted, {counted:.1} counted, {bursts} may be missing");
        report.violation(Rule::AdmittedIsCounted, None, 0.0, vec![1], description);
    }
}
