//! Slow start: how many units a backend may be sent while it warms up.
//!
//! A backend in slow start has a token bucket of units. The rate of the bucket is a fraction of the load that
//! would overload the backend. That load follows from the mean load per backend, the capacity that a backend
//! of its age is guaranteed to have, and the multiple of it at which the backend is overloaded
//! (`overload_multiple`). As each gateway derives the budget from its own part of the load, the sum over all
//! gateways stays below that multiple.
//!
//! Inputs: units sent, the age of the backend in seconds, the slow-start parameters in the settings.

use super::Gateway;
use super::token_bucket::{DecayingPeak, DecayingSum};
use super::tuning::{
    PEAK_MEMORY_SECONDS, RATE_MEMORY_SECONDS, SLOW_START_BURST_FRACTION, SLOW_START_FRACTION,
};
use crate::interface::{Settings, Time};

/// The recent load of this gateway, from which the budgets of backends in slow start are derived.
#[derive(Debug, Default)]
pub(super) struct RecentLoad {
    sent_units: DecayingSum,
    peak_rate: DecayingPeak,
    peak_running: DecayingPeak,
}

impl RecentLoad {
    /// Adds the units of an attempt to the recent load.
    pub(super) fn record_sent(&mut self, now: Time, units: f64) {
        self.sent_units.add(now, units, RATE_MEMORY_SECONDS);
    }

    /// Returns the units per second at the recent peak. The peak is used because the rate falls when requests
    /// are rejected, and budgets must not fall with it.
    fn peak_rate(&mut self, now: Time) -> f64 {
        self.peak_rate.observe(now, self.sent_units.sum / RATE_MEMORY_SECONDS, PEAK_MEMORY_SECONDS)
    }

    /// Returns the number of running backends as a fraction of its recent peak. When the list shrinks while
    /// backends restart, each remaining one carries more load. Multiplying the mean load by this fraction
    /// undoes that rise: a backend in slow start has no more capacity because others are missing.
    fn running_fraction(&mut self, now: Time, running: usize) -> f64 {
        let running = running as f64;
        running / self.peak_running.observe(now, running, PEAK_MEMORY_SECONDS)
    }
}

/// Returns the fraction of its full capacity that a backend is guaranteed to have `age` seconds after its
/// start.
fn warm_up_fraction(settings: &Settings, age: f64) -> f64 {
    settings.slow_start_min_capacity
        + (1.0 - settings.slow_start_min_capacity) * (age / settings.slow_start_seconds).max(0.0)
}

/// Returns the units that may be spent from a bucket too small for more than one unit, whose `level` was
/// refilled without a bound: the fraction of a unit, and at most one whole unit, which expires `lifetime`
/// seconds after it became available. Without the expiry all gateways would save units while their traffic
/// is low and spend them together as it rises.
fn unexpired_level(level: f64, rate: f64, lifetime: f64) -> f64 {
    if level < 1.0 {
        return level;
    }
    let since_due = level.fract() / rate;
    level.fract() + if since_due <= lifetime { 1.0 } else { 0.0 }
}

impl Gateway {
    /// Returns the units that the backend with this index may be sent now, or infinity if it is warmed up.
    /// `candidates` is the number of backends over which this gateway's load is spread.
    pub(super) fn slow_start_budget(&mut self, index: usize, candidates: usize) -> f64 {
        let running = self.backends.running.len();
        // The peaks are updated for warmed-up backends too; otherwise they would decay while no backend is in
        // slow start.
        let mean_rate =
            self.load.peak_rate(self.now) / candidates as f64 * self.load.running_fraction(self.now, running);
        let settings = &self.settings;
        let backend = &mut self.backends.all[index];
        let age = self.now - backend.started;
        if backend.started <= 0.0 || age >= settings.slow_start_seconds {
            return f64::INFINITY;
        }
        let rate =
            warm_up_fraction(settings, age) * settings.overload_multiple * SLOW_START_FRACTION * mean_rate;
        let burst = rate * settings.overload_seconds * SLOW_START_BURST_FRACTION;
        if burst > 1.0 {
            return backend.slow_start.refill(self.now, rate, burst);
        }
        let level = backend.slow_start.refill(self.now, rate, f64::INFINITY);
        backend.slow_start.level = unexpired_level(level, rate, settings.overload_seconds);
        backend.slow_start.level
    }
}
