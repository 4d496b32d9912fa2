//! Quantities that change with time: token buckets and exponentially decaying sums and peaks.
//!
//! Times are seconds on the caller's clock; rates are per second.

use crate::interface::Time;

/// A token bucket that held `level` tokens at the time `at`.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct TokenBucket {
    pub(super) level: f64,
    pub(super) at: Time,
}

impl TokenBucket {
    /// Refills the bucket at `rate` since the last call, up to `burst`, and returns the level at `now`.
    pub(super) fn refill(&mut self, now: Time, rate: f64, burst: f64) -> f64 {
        self.level = (self.level + rate * (now - self.at)).min(burst);
        self.at = now;
        self.level
    }

    /// Takes `units` from the bucket, but does not lower its level below 0.
    pub(super) fn take(&mut self, units: f64) {
        self.level = (self.level - units).max(0.0);
    }
}

/// An exponentially decaying sum. Divided by its time constant it is the recent rate per second.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct DecayingSum {
    pub(super) sum: f64,
    at: Time,
}

impl DecayingSum {
    /// Adds `units` at `now`. `memory` is the time constant in seconds, after which 1/e of a term is left.
    pub(super) fn add(&mut self, now: Time, units: f64, memory: f64) {
        self.sum = self.sum * (-(now - self.at) / memory).exp() + units;
        self.at = now;
    }
}

/// An exponentially decaying maximum.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct DecayingPeak {
    peak: f64,
    at: Time,
}

impl DecayingPeak {
    /// Updates the peak with `value` and returns the peak at `now`. `memory` is the time constant in seconds,
    /// after which 1/e of an old peak is left.
    pub(super) fn observe(&mut self, now: Time, value: f64, memory: f64) -> f64 {
        self.peak = (self.peak * (-(now - self.at) / memory).exp()).max(value);
        self.at = now;
        self.peak
    }
}
