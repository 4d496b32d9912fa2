//! Slow start: how much a backend may be sent while it warms up.
//!
//! A backend in slow start has a token bucket of units. Its rate follows from what backends carry on average,
//! the capacity that a backend of its age surely has, and the multiple of that at which it would be
//! overloaded. As every gateway derives the budget from its own part of the load, the sum over all of them
//! stays under the multiple.
//!
//! Inputs: units sent, the age of the backend in seconds, the settings' slow-start figures.

use super::Gateway;
use super::token_bucket::{DecayingPeak, DecayingSum};
use super::tuning::{
    PEAK_MEMORY_SECONDS, RATE_MEMORY_SECONDS, SLOW_START_BURST_FRACTION, SLOW_START_FRACTION,
};
use crate::interface::{Settings, Time};

/// The recent load of this gateway, which the budgets of backends in slow start are derived from.
#[derive(Debug, Default)]
pub(super) struct FleetLoad {
    sent_units: DecayingSum,
    peak_rate: DecayingPeak,
    peak_running: DecayingPeak,
}

impl FleetLoad {
    /// Counts the units of an attempt.
    pub(super) fn record_sent(&mut self, now: Time, units: f64) {
        self.sent_units.add(now, units, RATE_MEMORY_SECONDS);
    }

    /// Units a second at the recent peak: when requests are rejected the rate falls, and budgets must not
    /// fall with it.
    fn peak_rate(&mut self, now: Time) -> f64 {
        self.peak_rate.observe(now, self.sent_units.sum / RATE_MEMORY_SECONDS, PEAK_MEMORY_SECONDS)
    }

    /// The running backends as a fraction of their recent peak. Guards against a list that shrinks while
    /// backends restart: those that remain carry more, and one in slow start can do no more than before.
    fn running_fraction(&mut self, now: Time, running: usize) -> f64 {
        let running = running as f64;
        running / self.peak_running.observe(now, running, PEAK_MEMORY_SECONDS)
    }
}

/// The fraction of its full capacity that a backend surely has `age` seconds after its start.
fn warm_up_fraction(settings: &Settings, age: f64) -> f64 {
    settings.slow_start_min_capacity
        + (1.0 - settings.slow_start_min_capacity) * (age / settings.slow_start_seconds).max(0.0)
}

/// The level of a bucket for single units that was refilled without a bound: one unit at most, which
/// expires `lifetime` seconds after it came due. Guards against units that all gateways save while their
/// traffic is low and spend together as it rises.
fn unexpired_level(level: f64, rate: f64, lifetime: f64) -> f64 {
    if level < 1.0 {
        return level;
    }
    let since_due = level.fract() / rate;
    level.fract() + if since_due <= lifetime { 1.0 } else { 0.0 }
}

impl Gateway {
    /// Units that the backend with this index may be sent now; infinity for one that is warmed up.
    /// `candidates` is the number of backends that this gateway's load is spread over.
    pub(super) fn slow_start_budget(&mut self, index: usize, candidates: usize) -> f64 {
        let running = self.backends.running.len();
        // The peaks are observed for warmed-up backends too, or they would fade while none is in slow start.
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
