//! Exponential backoff with jitter, for reconnecting.

/// Seconds of the first delay, before jitter.
pub(crate) const INITIAL_DELAY_SECONDS: f64 = 0.02;
/// Seconds of the longest delay. It is below the decisions' refresh interval, so that all gateways return to
/// a recovered counter at about the same time and none settles its units long after the others.
const MAX_DELAY_SECONDS: f64 = 0.25;
/// Doublings after which the delay no longer grows; it keeps the shift in range.
const MAX_DOUBLINGS: u32 = 16;

/// Delays that double with each failure. Each is drawn between half and the whole of it, so that a fleet does
/// not reconnect all at once.
#[derive(Debug)]
pub struct Backoff {
    failures: u32,
    rng: fastrand::Rng,
}

impl Backoff {
    /// A backoff without failures so far; `seed` feeds the jitter.
    pub fn new(seed: u64) -> Self {
        Self { failures: 0, rng: fastrand::Rng::with_seed(seed) }
    }

    /// Counts a failure; the seconds to wait before the next attempt.
    pub fn next_delay(&mut self) -> f64 {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let longest = (INITIAL_DELAY_SECONDS * f64::from(1u32 << doublings)).min(MAX_DELAY_SECONDS);
        self.failures += 1;
        longest * (0.5 + 0.5 * self.rng.f64())
    }

    /// An attempt succeeded: the next delay is an initial one again.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}

#[cfg(test)]
mod tests;
