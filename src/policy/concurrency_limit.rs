//! The concurrency limit: how many attempts of this gateway may be in flight at all backends together.
//!
//! By Little's law the recent mean number in flight, scaled by the ratio of the wanted latency to the median
//! latency, is the number that keeps responses within a fraction of the latency objective, whoever else loads
//! the backends. Room for random arrivals is added, and fades as responses slow down, later where few
//! attempts are in flight.
//!
//! Inputs: attempts that begin and end, their latency in seconds, the number of running backends and of
//! gateways.

use super::Gateway;
use super::tuning::{
    CONCURRENCY_DEVIATIONS, EWMA_GAIN, IN_FLIGHT_GAIN, LATENCY_TARGET_FRACTION, MAX_LIMIT_GROWTH,
    MIN_ATTEMPTS_PER_BACKEND, MIN_LATENCY_SECONDS,
};

/// Attempts of this gateway that are in flight.
#[derive(Debug, Default)]
pub(super) struct ConcurrencyLimit {
    in_flight: f64,
    /// Their recent mean number, as an attempt that ended found it.
    mean_in_flight: f64,
}

impl ConcurrencyLimit {
    pub(super) fn attempt_started(&mut self) {
        self.in_flight += 1.0;
    }

    /// Returns the number in flight before this attempt ended.
    pub(super) fn attempt_ended(&mut self) -> f64 {
        let before = self.in_flight;
        self.in_flight = (self.in_flight - 1.0).max(0.0);
        before
    }

    /// Lowers the limit: a backend rejected an attempt before execution.
    pub(super) fn observe_rejection(&mut self) {
        self.mean_in_flight *= 1.0 - EWMA_GAIN;
    }

    /// The weight of one response: an average spans the same number of response times whether many attempts
    /// are in flight or few.
    pub(super) fn response_gain(&self) -> f64 {
        IN_FLIGHT_GAIN / (1.0 + self.mean_in_flight)
    }

    /// Learns from an attempt that ended while `in_flight` were, with the weight `gain`.
    pub(super) fn observe(&mut self, in_flight: f64, gain: f64) {
        self.mean_in_flight += gain * (in_flight - self.mean_in_flight);
    }

    /// Whether one more attempt fits into `fraction` of the limit. `minimum` attempts always count as the
    /// mean at least; `target_ratio` is the wanted latency over the median latency; `draw`, from 0 to 1,
    /// admits by chance what is a fraction of one attempt, so that many gateways of little load keep the
    /// limit together.
    fn allows(&self, fraction: f64, minimum: f64, target_ratio: f64, draw: f64) -> bool {
        let growth = target_ratio.min(MAX_LIMIT_GROWTH);
        let mean = (self.mean_in_flight + minimum) * growth;
        let slack = (1.0 - 1.0 / growth + (1.0 + mean).powi(-2)).clamp(0.0, 1.0);
        let limit = mean + slack * (1.0 + CONCURRENCY_DEVIATIONS * mean.sqrt());
        self.in_flight + draw <= fraction * limit
    }
}

impl Gateway {
    /// Whether one more attempt may be sent within `fraction` of the concurrency limit.
    pub(super) fn has_capacity(&mut self, fraction: f64) -> bool {
        let backends = self.backends.running.len() as f64;
        let minimum = MIN_ATTEMPTS_PER_BACKEND * backends / f64::from(self.settings.instances);
        let target_ratio =
            LATENCY_TARGET_FRACTION * self.latency_objective() / self.latency.median.max(MIN_LATENCY_SECONDS);
        let draw = self.draw();
        self.concurrency.allows(fraction, minimum, target_ratio, draw)
    }

    /// The strictest latency objective of all classes, in seconds.
    fn latency_objective(&self) -> f64 {
        let objectives = self.settings.classes.iter().map(|class| class.latency_objective);
        objectives.reduce(f64::min).unwrap_or(1.0).max(MIN_LATENCY_SECONDS)
    }
}
