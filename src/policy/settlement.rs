//! Settlement: what the total of a count grants, and what is corrected on the count.
//!
//! In each window the count may grow to the burst plus what the rate has refilled since the window began.
//! Four rules apply to the total of a call for a lease, in this order:
//! 1. *Reset*: the gateway that finds a count at nothing is the first in its window, or the counter has lost
//!    its data. What was known of the level before then bounds what remains.
//! 2. *Grant*: whole units, as far as they remain; what was requested beyond that is taken back.
//! 3. *Fallback*: the fallback limit is set to this gateway's share of what is left.
//! 4. *Correction*: what was not granted comes off the count; what expires, as the bucket is full, is added
//!    to it.
//!
//! The first call in a window is followed by a read of the previous window's count, whose total shows exactly
//! what the new window has to carry over. Quantities are quota units, times are in seconds.

use super::Gateway;
use super::counter::{Call, Purpose};
use super::customer::Customer;
use super::fractional_share::is_fractional;
use super::lease::LeaseRequest;
use super::token_bucket::TokenBucket;
use super::tuning::{
    CARRYOVER_SLACK_FRACTION, COUNT_RESET_FRACTION, EXPIRY_SLACK_FRACTION, LEVEL_REFRESH_SECONDS,
    RESTORE_AFTER_TIMEOUTS, UNIT_TOLERANCE,
};
use super::window::{Window, window_seconds};
use crate::interface::{Plan, Time};

/// What a customer's count has shown to this gateway.
#[derive(Debug, Default)]
pub(super) struct CountHistory {
    /// The window of the last total.
    window: u64,
    /// That total, with the correction that followed.
    total: f64,
    /// Units missing from the burst when the window began, as the first call in it found.
    carryover: f64,
    /// When the counter was first seen to have lost its data; 0: it has not.
    reset_since: Time,
}

/// What a total says of the quota as it was before the call.
#[derive(Debug, Clone, Copy)]
struct CountReading {
    /// Seconds since the present window began.
    window_age: f64,
    /// Units that remain of the window's limit, more than the burst where some have expired.
    remaining: f64,
    /// Nothing had been counted before.
    first: bool,
    /// Units by which the count has fallen since the last total in the same window.
    lost: f64,
    /// The counter has lost its data: a count only grows, but for small corrections.
    reset: bool,
}

impl CountReading {
    fn new(call: &Call, total: f64, plan: &Plan, now: Time, history: &CountHistory) -> Self {
        let window = Window::at(now, &call.customer, plan);
        let limit = plan.burst + plan.rate * window.age;
        let windows_passed = (window.index - call.window.min(window.index)) as f64;
        let refilled_since = windows_passed * plan.rate * window_seconds(plan);
        let before = total - call.amount;
        let first = before.abs() < UNIT_TOLERANCE;
        let lost = if history.window == call.window { history.total - before } else { 0.0 };
        Self {
            window_age: window.age,
            remaining: limit + refilled_since - before,
            first,
            lost,
            reset: lost > COUNT_RESET_FRACTION * plan.burst || first && lost > 0.0,
        }
    }
}

/// How a call for a lease is settled.
#[derive(Debug, Clone, Copy)]
struct Grant {
    /// Units leased.
    granted: f64,
    /// Units that remain on the count.
    level: f64,
    /// Units to add to the count, mostly negative: what was requested and not granted.
    correction: f64,
}

impl Grant {
    fn new(call: &Call, lease: LeaseRequest, remaining: f64, plan: &Plan) -> Self {
        let LeaseRequest { requested, uncounted } = lease;
        let granted = requested.min((remaining - uncounted + UNIT_TOLERANCE).floor().max(0.0));
        // The rest is the estimate for fractional shares. It may take the level below nothing, by a burst at
        // most, so that the lease which reports it does not pay for it.
        let estimate = call.amount - requested - uncounted;
        let room = remaining - uncounted - granted + plan.burst;
        let counted = estimate.min(room.max(0.0));
        Self {
            granted,
            level: remaining - uncounted - granted - counted,
            correction: granted - requested + counted - estimate,
        }
    }
}

impl Customer {
    /// Rule 1: units that remain, of which the count shows `remaining`. Where the count began anew they are
    /// bounded by the level known before. `unavailable`: what others spent in an outage is not on the count
    /// yet.
    fn reconcile(
        &mut self,
        reading: &CountReading,
        remaining: f64,
        unavailable: bool,
        now: Time,
        plan: &Plan,
    ) -> f64 {
        let max_age = reading.window_age.max(LEVEL_REFRESH_SECONDS);
        let known = self.level.filter(|level| now - level.at < max_age);
        let Some(mut known) = known.filter(|_| reading.first || reading.reset) else { return remaining };
        let at_last_call = known.level;
        let refilled = known.refill(now, plan.rate, plan.burst);
        let bound = if reading.reset {
            // Others have used what was refilled since; after an outage they will report it.
            let level = if unavailable { refilled } else { at_last_call };
            level.min(reading.remaining - reading.lost)
        } else {
            refilled
        };
        let reconciled = remaining.min(bound);
        self.count.carryover = reading.remaining.min(plan.burst) - reconciled;
        reconciled
    }

    /// Whether this gateway restores a count that was lost: the first one to find it so does, others only
    /// where it stays so for `grace_seconds`.
    fn restores_count(&mut self, reading: &CountReading, now: Time, grace_seconds: f64) -> bool {
        let since = if self.count.reset_since > 0.0 { self.count.reset_since } else { now };
        let restores = reading.reset && (reading.first || now - since > grace_seconds);
        self.count.reset_since = if reading.reset && !restores { since } else { 0.0 };
        restores
    }
}

impl Gateway {
    /// Settles the total that a call has returned.
    pub(super) fn apply_total(&mut self, call: &Call, total: f64, plan: &Plan) {
        match call.purpose {
            Purpose::Lease(lease) => self.settle_lease(call, lease, total, plan),
            Purpose::ReadPrevious => self.carry_over(call, total, plan),
            Purpose::Correct => {}
        }
    }

    fn settle_lease(&mut self, call: &Call, lease: LeaseRequest, total: f64, plan: &Plan) {
        let (now, unavailable) = (self.now, self.counter_unavailable());
        let grace_seconds = RESTORE_AFTER_TIMEOUTS * self.settings.counter_timeout;
        let max_request_units = self.settings.max_request_units.max(1.0);
        let customer = self.customers.get_mut(&call.customer).expect("looked up by the caller");
        let reading = CountReading::new(call, total, plan, now, &customer.count);
        // The gateway's own debt comes off before anything expires; others report theirs after that.
        let debt = if unavailable { lease.uncounted + customer.uncounted.units.max(0.0) } else { 0.0 };
        let unexpired = reading.remaining.min(plan.burst + debt);
        let remaining = customer.reconcile(&reading, unexpired, unavailable, now, plan);
        let restores = customer.restores_count(&reading, now, grace_seconds);
        let expired = reading.remaining - if restores { remaining } else { unexpired };

        let grant = Grant::new(call, lease, remaining, plan);
        customer.lease += grant.granted;
        customer.partly_granted = grant.granted < lease.requested;
        customer.level = Some(TokenBucket { level: grant.level, at: now });

        customer.refill_fallback(now, plan);
        if unavailable {
            customer.cap_fallback(grant.level + lease.uncounted - debt);
        } else if !is_fractional(plan, customer.instances, max_request_units) {
            customer.set_fallback(grant.level);
        }

        // Exact where others rely on it: at the start of a window, and while debts are still to come off.
        let slack = if reading.first || unavailable { 0.0 } else { EXPIRY_SLACK_FRACTION * plan.burst };
        let mut correction = grant.correction;
        if expired > slack || restores {
            correction += expired;
        }
        let unrestored = if reading.reset && !restores { reading.lost } else { 0.0 };
        (customer.count.window, customer.count.total) = (call.window, total + correction + unrestored);
        if correction.abs() > UNIT_TOLERANCE {
            self.add_to_count(&call.customer, call.window, correction, Purpose::Correct, plan);
        }
        if reading.first && !reading.reset && call.window > 0 {
            self.add_to_count(&call.customer, call.window - 1, 0.0, Purpose::ReadPrevious, plan);
        }
    }

    /// Carries over to the present window what the previous one has used up of the burst.
    fn carry_over(&mut self, call: &Call, total: f64, plan: &Plan) {
        let window = Window::at(self.now, &call.customer, plan);
        if call.window + 1 != window.index {
            return;
        }
        let customer = self.customers.get_mut(&call.customer).expect("looked up by the caller");
        let carryover = if total - call.amount > UNIT_TOLERANCE {
            let remaining_at_turn = plan.burst + plan.rate * window_seconds(plan) - total;
            plan.burst - (remaining_at_turn + plan.rate * window.age).min(plan.burst)
        } else {
            // The counter has lost the previous count: what this gateway knows is all there is.
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
