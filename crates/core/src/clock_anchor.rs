//! Unix time derived from the monotonic clock and a single reading of the system clock.

use std::time::Duration;

/// The Unix time at an instant of the monotonic clock, the origin.
///
/// Counter windows need a time that all gateways share, so the system clock is read once at startup. After
/// that only the monotonic clock is used, so that setting the system clock back neither revives expired
/// tickets nor repeats a window.
#[derive(Debug, Clone, Copy)]
pub struct ClockAnchor {
    /// Seconds since the Unix epoch at the origin.
    origin_unix_seconds: f64,
}

impl ClockAnchor {
    /// Creates an anchor for an origin at which the system clock read `unix`, the time since the Unix epoch.
    pub fn new(unix: Duration) -> Self {
        Self { origin_unix_seconds: unix.as_secs_f64() }
    }

    /// Seconds since the Unix epoch, `elapsed` after the origin.
    pub fn unix_time_after(&self, elapsed: Duration) -> f64 {
        self.origin_unix_seconds + elapsed.as_secs_f64()
    }
}
