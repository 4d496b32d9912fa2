//! Interpretation of the total of a count: how much of the quota remained before the call, and whether the
//! counter has lost its data.
//!
//! A count starts at 0 in each window and only grows, except for small corrections. If it falls by more than
//! that within a window, the counter has lost it, and one gateway has to restore it.
//!
//! Inputs: the total and the units that the call added, the plan, the previous total.

use super::counter::Call;
use super::tuning::{COUNT_RESET_FRACTION, UNIT_TOLERANCE};
use super::window::{Window, window_seconds};
use crate::interface::{Plan, Time};

/// The last total of a customer's count, and whether the counter is known to have lost it.
#[derive(Debug, Default)]
pub(super) struct CountHistory {
    /// The window of the last total.
    window: u64,
    /// The last total, including the correction that followed it.
    total: f64,
    /// Units missing from the burst when the window began, as determined at the first call in it.
    pub(super) carryover: f64,
    /// When the loss of the counter's data was first noticed; 0 if there is none.
    reset_since: Time,
}

impl CountHistory {
    /// Decides whether this gateway restores a count that the counter has lost. The first gateway that calls
    /// after the loss does; any other only if the count is still lost `grace_seconds` after it noticed the
    /// loss.
    pub(super) fn decide_restore(&mut self, reading: &CountReading, now: Time, grace_seconds: f64) -> bool {
        let since = if self.reset_since > 0.0 { self.reset_since } else { now };
        let restores = reading.reset && (reading.first || now - since > grace_seconds);
        self.reset_since = if reading.reset && !restores { since } else { 0.0 };
        restores
    }

    /// Stores the last total of a window.
    pub(super) fn record(&mut self, window: u64, total: f64) {
        (self.window, self.total) = (window, total);
    }
}

/// The state of the quota before a call, derived from the total that the call returned.
#[derive(Debug, Clone, Copy)]
pub(super) struct CountReading {
    /// Seconds since the current window began.
    pub(super) window_age: f64,
    /// Units that remain of the window's limit. This exceeds the burst if the bucket was full for some time:
    /// the excess has expired and has yet to be added to the count.
    pub(super) remaining: f64,
    /// The count was 0 before the call.
    pub(super) first: bool,
    /// Units by which the count has fallen since the last total in the same window.
    pub(super) lost: f64,
    /// The counter has lost its data.
    pub(super) reset: bool,
}

impl CountReading {
    /// Interprets the total that `call` has returned.
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
