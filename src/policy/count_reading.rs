//! What the total of a count says: how much of the quota remained before the call, and whether the counter
//! has lost its data.
//!
//! A count begins at nothing in each window and only grows, but for small corrections. One that has fallen
//! much within a window was lost, and has to be restored by one gateway.
//!
//! Inputs: the total and the units that the call added, the plan, the totals before.

use super::counter::Call;
use super::tuning::{COUNT_RESET_FRACTION, UNIT_TOLERANCE};
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
    pub(super) carryover: f64,
    /// When the counter was first seen to have lost its data; 0: it has not.
    reset_since: Time,
}

impl CountHistory {
    /// Decides whether this gateway restores a count that the counter has lost. The first gateway that
    /// finds it lost does; another only if it is still lost `grace_seconds` after that one first saw it so.
    pub(super) fn decide_restore(&mut self, reading: &CountReading, now: Time, grace_seconds: f64) -> bool {
        let since = if self.reset_since > 0.0 { self.reset_since } else { now };
        let restores = reading.reset && (reading.first || now - since > grace_seconds);
        self.reset_since = if reading.reset && !restores { since } else { 0.0 };
        restores
    }

    /// Remembers the total of a window.
    pub(super) fn record(&mut self, window: u64, total: f64) {
        (self.window, self.total) = (window, total);
    }
}

/// A total, read as the quota before the call.
#[derive(Debug, Clone, Copy)]
pub(super) struct CountReading {
    /// Seconds since the present window began.
    pub(super) window_age: f64,
    /// Units that remain of the window's limit. More than the burst if the bucket was full for a while: the
    /// excess has expired and is still to be added to the count.
    pub(super) remaining: f64,
    /// Nothing had been counted before.
    pub(super) first: bool,
    /// Units by which the count has fallen since the last total in the same window.
    pub(super) lost: f64,
    /// The counter has lost its data.
    pub(super) reset: bool,
}

impl CountReading {
    /// Reads the total that `call` has returned.
    pub(super) fn new(call: &Call, total: f64, plan: &Plan, now: Time, history: &CountHistory) -> Self {
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
