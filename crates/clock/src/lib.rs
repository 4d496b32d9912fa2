//! The process's one clock.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;
use weirusher_core::ClockAnchor;

/// Unix time from the system clock at the start, and the monotonic clock since.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
    anchor: ClockAnchor,
}

impl Clock {
    /// A clock that begins at the system's time.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { origin: Instant::now(), anchor: ClockAnchor::new(unix) }
    }

    /// Seconds since the Unix epoch.
    pub fn now(&self) -> f64 {
        self.anchor.unix_time_after(self.origin.elapsed())
    }

    /// The runtime's instant at which this clock shows `at`; an hour ahead at most.
    pub fn instant(&self, at: f64) -> Instant {
        let ahead = at - self.anchor.unix_time_after(Duration::ZERO);
        self.origin + Duration::try_from_secs_f64(ahead.max(0.0)).unwrap_or(Duration::from_secs(3600))
    }
}
