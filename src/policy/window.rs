//! The windows of a customer's count, and the names of counts.
//!
//! Each window has a count of its own, which starts at 0. A window is a few times as long as the rate takes
//! to refill the burst. The windows of each customer have a phase of their own, so that the calls of the
//! fleet at the start of a window do not coincide.

use super::stable_hash::{hash_fraction, stable_hash};
use super::tuning::{
    COUNT_TTL_WINDOWS, MAX_COUNT_TTL_SECONDS, MAX_WINDOW_SECONDS, MIN_WINDOW_SECONDS, WINDOW_REFILLS,
};
use crate::interface::{CustomerId, Plan, Time};

/// The window of a customer's count that contains a given time.
#[derive(Debug, Clone, Copy)]
pub(super) struct Window {
    /// Its number, counted from time 0.
    pub(super) index: u64,
    /// Seconds since it began.
    pub(super) age: f64,
}

impl Window {
    /// Returns the window of a customer at `now`.
    pub(super) fn at(now: Time, customer: &CustomerId, plan: &Plan) -> Self {
        let length = window_seconds(plan);
        let windows = (now / length + phase(customer)).max(0.0);
        Self { index: windows as u64, age: windows.fract() * length }
    }
}

/// Returns the length of a plan's windows, in seconds.
pub(super) fn window_seconds(plan: &Plan) -> f64 {
    (WINDOW_REFILLS * plan.burst / plan.rate).clamp(MIN_WINDOW_SECONDS, MAX_WINDOW_SECONDS)
}

/// Returns the time to live of a count, in seconds after its first call.
pub(super) fn count_ttl(plan: &Plan) -> f64 {
    (COUNT_TTL_WINDOWS * window_seconds(plan)).min(MAX_COUNT_TTL_SECONDS)
}

/// Returns the phase of a customer, from 0 to 1; it is the same at every gateway.
pub(super) fn phase(customer: &CustomerId) -> f64 {
    hash_fraction(&[customer.as_bytes()])
}

/// Returns the name, below 2^63, of a customer's count in a window.
pub(super) fn counter_name(customer: &CustomerId, plan: usize, window: u64) -> u64 {
    stable_hash(&[customer.as_bytes(), &(plan as u64).to_le_bytes(), &window.to_le_bytes()])
}
