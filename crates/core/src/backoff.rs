//! Exponential backoff with jitter, for reconnecting.

/// The first delay in seconds, before jitter.
pub(crate) const INITIAL_DELAY_SECONDS: f64 = 0.02;
/// The longest delay in seconds. It is shorter than the policy's refresh interval, so that all gateways
/// reconnect to a recovered counter at about the same time and none settles its units long after the others.
const MAX_DELAY_SECONDS: f64 = 0.25;
/// Maximum number of doublings of the delay; keeps the shift from overflowing.
const MAX_DOUBLINGS: u32 = 16;

/// Delays that double with each failure, up to a maximum. Each is drawn at random between half of its nominal
/// value and all of it, so that the gateways of a fleet do not reconnect all at once.
#[derive(Debug)]
pub struct Backoff {
    failures: u32,
    rng: fastrand::Rng,
}

impl Backoff {
    /// Creates a backoff without failures. `seed` seeds the jitter.
    pub fn new(seed: u64) -> Self {
        Self { failures: 0, rng: fastrand::Rng::with_seed(seed) }
    }

    /// Counts a failure and returns the seconds to wait before the next attempt.
    pub fn next_delay(&mut self) -> f64 {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let longest = (INITIAL_DELAY_SECONDS * f64::from(1u32 << doublings)).min(MAX_DELAY_SECONDS);
        self.failures += 1;
        longest * (0.5 + 0.5 * self.rng.f64())
    }

    /// Records a success: the next delay is the initial one again.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}

#[cfg(test)]
mod tests;
