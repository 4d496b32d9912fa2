//! Settlement: how much of a requested lease the total of a count grants, and how the count is corrected.
//!
//! In each window the count may grow to the burst plus what the rate has refilled since the window began.
//! Four rules apply to the total that a call for a lease returns, in this order:
//! 1. *Reset*: if the count was 0 before the call, either the window is new or the counter has lost its data.
//!    In both cases the level that this gateway last knew bounds what remains.
//! 2. *Grant*: whole units are granted, as far as they remain; units requested beyond that are taken back.
//! 3. *Fallback*: the fallback limit is set to this gateway's share of what is left.
//! 4. *Correction*: units that were not granted are subtracted from the count; units that expire because the
//!    bucket is full are added to it.
//!
//! The first call in a window is followed by a read of the previous window's count, whose total shows exactly
//! how many used units the new window has to carry over. Quantities are quota units, times are in seconds.

use super::Gateway;
use super::count_reading::CountReading;
use super::counter::{Call, Purpose};
use super::customer::Customer;
use super::fractional_share::is_fractional;
use super::lease::LeaseRequest;
use super::token_bucket::TokenBucket;
use super::tuning::{
    CARRYOVER_SLACK_FRACTION, EXPIRY_SLACK_FRACTION, LEVEL_REFRESH_SECONDS, RESTORE_AFTER_TIMEOUTS,
    UNIT_TOLERANCE,
};
use super::window::{Window, window_seconds};
use crate::interface::{Plan, Time};

/// What a settlement depends on besides the call and its total.
#[derive(Debug, Clone, Copy)]
struct SettlementContext<'a> {
    now: Time,
    plan: &'a Plan,
    /// The counter is or was recently unavailable: units that other gateways spent meanwhile are not on the
    /// count yet.
    unavailable: bool,
    /// Seconds after which this gateway restores a lost count that no gateway has restored yet.
    restore_after_seconds: f64,
    /// Largest number of units of a request.
    max_request_units: f64,
}

/// The calls to make after a settlement.
#[derive(Debug, Clone, Copy)]
struct FollowUp {
    /// Change to make to the count, in units: negative if units are given back, positive if units expired.
    correction: f64,
    /// The previous window's count has to be read.
    reads_previous: bool,
}

/// How much of a call for a lease is granted.
#[derive(Debug, Clone, Copy)]
struct Grant {
    /// Units leased.
    granted: f64,
    /// Units that remain of the quota.
    level: f64,
    /// Change to make to the count, in units: not positive, as units that were not granted are subtracted.
    correction: f64,
}

impl Grant {
    /// Grants the units that `call` has requested, as far as they are covered by the `remaining` ones.
    fn new(call: &Call, lease: LeaseRequest, remaining: f64, plan: &Plan) -> Self {
        let LeaseRequest { requested, uncounted } = lease;
        let granted = requested.min((remaining - uncounted + UNIT_TOLERANCE).floor().max(0.0));
        // The rest of the call is an estimate of the units spent from fractional shares. They reduce the
        // level, to no less than minus one burst, instead of the units granted by this call.
        let estimate = call.amount - requested - uncounted;
        let available = remaining - uncounted - granted + plan.burst;
        let counted = estimate.min(available.max(0.0));
        Self {
            granted,
            level: remaining - uncounted - granted - counted,
            correction: granted - requested + counted - estimate,
        }
    }
}

impl Customer {
    /// Settles a call for a lease by the four rules.
    fn settle(
        &mut self,
        call: &Call,
        lease: LeaseRequest,
        total: f64,
        context: &SettlementContext<'_>,
    ) -> FollowUp {
        let SettlementContext { now, plan, unavailable, .. } = *context;
        let reading = CountReading::new(call, total, plan, now, &self.count);
        // After an outage the count lacks units that were spent. This gateway's own are subtracted before any
        // units expire; those of other gateways are not known here until they are reported.
        let own_uncounted = if unavailable { lease.uncounted + self.uncounted.units.max(0.0) } else { 0.0 };
        let unexpired = reading.remaining.min(plan.burst + own_uncounted);
        let remaining = self.reconcile(&reading, unexpired, context);
        let restores = self.count.decide_restore(&reading, now, context.restore_after_seconds);

        let grant = Grant::new(call, lease, remaining, plan);
        self.lease += grant.granted;
        self.not_fully_granted = grant.granted < lease.requested;
        self.level = Some(TokenBucket { level: grant.level, at: now });

        self.refill_fallback(now, plan);
        if unavailable {
            self.cap_fallback(grant.level + lease.uncounted - own_uncounted);
        } else if !is_fractional(plan, self.instances, context.max_request_units) {
            self.set_fallback(grant.level);
        }

        let mut correction = grant.correction;
        let expired = reading.remaining - if restores { remaining } else { unexpired };
        // Up to `slack` expired units are left uncorrected. There is no slack where other gateways rely on
        // the exact count: at the start of a window, and while uncounted units are still to be subtracted.
        let slack = if reading.first || unavailable { 0.0 } else { EXPIRY_SLACK_FRACTION * plan.burst };
        if expired > slack || restores {
            correction += expired;
        }
        let unrestored = if reading.reset && !restores { reading.lost } else { 0.0 };
        self.count.record(call.window, total + correction + unrestored);
        FollowUp { correction, reads_previous: reading.first && !reading.reset && call.window > 0 }
    }

    /// Applies rule 1 and returns the units that remain. These are the `remaining` units that the count
    /// shows, bounded by the previously known level if the count is new or was reset.
    fn reconcile(&mut self, reading: &CountReading, remaining: f64, context: &SettlementContext<'_>) -> f64 {
        let SettlementContext { now, plan, unavailable, .. } = *context;
        let max_age = reading.window_age.max(LEVEL_REFRESH_SECONDS);
        let known = self.level.filter(|level| now - level.at < max_age);
        let Some(mut known) = known.filter(|_| reading.first || reading.reset) else { return remaining };
        let at_last_call = known.level;
        let refilled = known.refill(now, plan.rate, plan.burst);
        let bound = if reading.reset {
            // Units refilled since the last call are assumed to be used by other gateways. After an outage
            // those gateways will report what they used.
            let level = if unavailable { refilled } else { at_last_call };
            level.min(reading.remaining - reading.lost)
        } else {
            refilled
        };
        let reconciled = remaining.min(bound);
        self.count.carryover = reading.remaining.min(plan.burst) - reconciled;
        reconciled
    }
}

impl Gateway {
    /// Applies the total that a call has returned, according to the purpose of the call.
    pub(super) fn apply_total(&mut self, call: &Call, total: f64, plan: &Plan) {
        match call.purpose {
            Purpose::Lease(lease) => self.settle_lease(call, lease, total, plan),
            Purpose::ReadPrevious => self.carry_over(call, total, plan),
            Purpose::Correct => {}
        }
    }

    fn settle_lease(&mut self, call: &Call, lease: LeaseRequest, total: f64, plan: &Plan) {
        let context = SettlementContext {
            now: self.now,
            plan,
            unavailable: self.counter_unavailable(),
            restore_after_seconds: RESTORE_AFTER_TIMEOUTS * self.settings.counter_timeout,
            max_request_units: self.settings.max_request_units.max(1.0),
        };
        let follow_up = self.customers.existing(&call.customer).settle(call, lease, total, &context);
        if follow_up.correction.abs() > UNIT_TOLERANCE {
            self.add_to_count(&call.customer, call.window, follow_up.correction, Purpose::Correct, plan);
        }
        if follow_up.reads_previous {
            self.add_to_count(&call.customer, call.window - 1, 0.0, Purpose::ReadPrevious, plan);
        }
    }

    /// Carries over to the current window the part of the burst that was used up in the previous one.
    fn carry_over(&mut self, call: &Call, total: f64, plan: &Plan) {
        let window = Window::at(self.now, &call.customer, plan);
        if call.window + 1 != window.index {
            return;
        }
        let customer = self.customers.existing(&call.customer);
        let carryover = if total - call.amount > UNIT_TOLERANCE {
            let remaining_at_start = plan.burst + plan.rate * window_seconds(plan) - total;
            plan.burst - (remaining_at_start + plan.rate * window.age).min(plan.burst)
        } else {
            // The counter has lost the previous count; only this gateway's own estimate is left.
            customer.count.carryover
        };
        if let Some(level) = &mut customer.level {
            level.level = level.level.min(plan.burst - carryover);
        }
        if carryover > CARRYOVER_SLACK_FRACTION * plan.burst {
            self.add_to_count(&call.customer, window.index, carryover, Purpose::Correct, plan);
        }
    }
}
