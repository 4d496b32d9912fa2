//! Unix time by the monotonic clock, from one reading of the system clock.

use std::time::Duration;

/// The Unix time at one monotonic instant, the origin.
///
/// Counter windows need a time that all gateways share, so the system clock is read once at the start. After
/// that only the monotonic clock counts: a system clock that is set back neither revives expired tickets nor
/// repeats a window.
#[derive(Debug, Clone, Copy)]
pub struct ClockAnchor {
    /// Seconds since the Unix epoch at the origin.
    origin_unix_seconds: f64,
}

impl ClockAnchor {
    /// An anchor for the origin, at which the system clock showed `unix` since the Unix epoch.
    pub fn new(unix: Duration) -> Self {
        Self { origin_unix_seconds: unix.as_secs_f64() }
    }

    /// Seconds since the Unix epoch, `elapsed` after the origin.
    pub fn unix_time_after(&self, elapsed: Duration) -> f64 {
        self.origin_unix_seconds + elapsed.as_secs_f64()
    }
}
