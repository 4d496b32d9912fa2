//! The concurrency limit: how many attempts of this gateway may be in flight at all backends together.
//!
//! The limit is the recent mean number in flight, scaled by the ratio of the target latency to the median
//! latency. The target is a fraction of the latency objective. By Little's law this number keeps responses
//! within the target, whoever else loads the backends. Headroom for random arrivals is added. It shrinks as
//! responses slow down, and does so later if few attempts are in flight.
//!
//! Inputs: attempts that begin and end, their latency in seconds, the number of running backends and of
//! gateways.

use super::Gateway;
use super::tuning::{
    CONCURRENCY_DEVIATIONS, EWMA_GAIN, IN_FLIGHT_GAIN, LATENCY_TARGET_FRACTION, MAX_LIMIT_GROWTH,
    MIN_ATTEMPTS_PER_BACKEND, MIN_LATENCY_SECONDS,
};

/// The attempts of this gateway in flight, from which the limit is computed.
#[derive(Debug, Default)]
pub(super) struct ConcurrencyLimit {
    in_flight: f64,
    /// Moving average of `in_flight`, sampled as attempts end.
    mean_in_flight: f64,
}

impl ConcurrencyLimit {
    pub(super) fn attempt_started(&mut self) {
        self.in_flight += 1.0;
    }

    /// Records the end of an attempt and returns the number in flight before it ended.
    pub(super) fn attempt_ended(&mut self) -> f64 {
        let before = self.in_flight;
        self.in_flight = (self.in_flight - 1.0).max(0.0);
        before
    }

    /// Lowers the limit after a backend rejected an attempt before execution.
    pub(super) fn observe_rejection(&mut self) {
        self.mean_in_flight *= 1.0 - EWMA_GAIN;
    }

    /// Returns the weight of one response in a moving average. It decreases with the number of attempts in
    /// flight, so that an average always spans the same number of response times.
    pub(super) fn response_gain(&self) -> f64 {
        IN_FLIGHT_GAIN / (1.0 + self.mean_in_flight)
    }

    /// Updates the mean with an attempt that ended while `in_flight` were in flight; its weight is `gain`.
    pub(super) fn observe(&mut self, in_flight: f64, gain: f64) {
        self.mean_in_flight += gain * (in_flight - self.mean_in_flight);
    }

    /// Returns whether one more attempt fits into `fraction` of the limit. `minimum` is added to the mean
    /// number in flight; `target_ratio` is the target latency divided by the median latency. `random`, from 0
    /// to 1, rounds a fractional limit up or down at random, so that many gateways of little load keep the
    /// limit together.
    fn allows(&self, fraction: f64, minimum: f64, target_ratio: f64, random: f64) -> bool {
        let growth = target_ratio.min(MAX_LIMIT_GROWTH);
        let mean = (self.mean_in_flight + minimum) * growth;
        let slack = (1.0 - 1.0 / growth + (1.0 + mean).powi(-2)).clamp(0.0, 1.0);
        let limit = mean + slack * (1.0 + CONCURRENCY_DEVIATIONS * mean.sqrt());
        self.in_flight + random <= fraction * limit
    }
}

impl Gateway {
    /// Returns whether one more attempt may be sent within `fraction` of the concurrency limit.
    pub(super) fn has_capacity(&mut self, fraction: f64) -> bool {
        let backends = self.backends.running.len() as f64;
        let minimum = MIN_ATTEMPTS_PER_BACKEND * backends / f64::from(self.settings.instances);
        let target_ratio =
            LATENCY_TARGET_FRACTION * self.latency_objective() / self.latency.median.max(MIN_LATENCY_SECONDS);
        let random = self.random_fraction();
        self.concurrency.allows(fraction, minimum, target_ratio, random)
    }

    /// Returns the strictest latency objective of all classes, in seconds.
    fn latency_objective(&self) -> f64 {
        let objectives = self.settings.classes.iter().map(|class| class.latency_objective);
        objectives.reduce(f64::min).unwrap_or(1.0).max(MIN_LATENCY_SECONDS)
    }
}
