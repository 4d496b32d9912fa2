//! Quantities that change by themselves as time passes: token buckets and decaying measures.
//!
//! Times are seconds on the caller's clock; rates are per second.

use crate::interface::Time;

/// A token bucket: `level` tokens at the time `at`.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct TokenBucket {
    pub(super) level: f64,
    pub(super) at: Time,
}

impl TokenBucket {
    /// Adds what `rate` has refilled since the last call, up to `burst`, and returns the level at `now`.
    pub(super) fn refill(&mut self, now: Time, rate: f64, burst: f64) -> f64 {
        self.level = (self.level + rate * (now - self.at)).min(burst);
        self.at = now;
        self.level
    }

    /// Takes `units` out of the bucket; its level does not fall below 0.
    pub(super) fn take(&mut self, units: f64) {
        self.level = (self.level - units).max(0.0);
    }
}

/// A sum whose terms fade exponentially; divided by its memory it is the recent rate per second.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct DecayingSum {
    pub(super) sum: f64,
    at: Time,
}

impl DecayingSum {
    /// Adds `units` at `now`; after `memory` seconds a fraction 1/e of a term is left.
    pub(super) fn add(&mut self, now: Time, units: f64, memory: f64) {
        self.sum = self.sum * (-(now - self.at) / memory).exp() + units;
        self.at = now;
    }
}

/// The largest recent value, fading exponentially.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct DecayingPeak {
    peak: f64,
    at: Time,
}

impl DecayingPeak {
    /// Takes a value into account and returns the peak at `now`; after `memory` seconds 1/e of an old peak is
    /// left.
    pub(super) fn observe(&mut self, now: Time, value: f64, memory: f64) -> f64 {
        self.peak = (self.peak * (-(now - self.at) / memory).exp()).max(value);
        self.at = now;
        self.peak
    }
}
