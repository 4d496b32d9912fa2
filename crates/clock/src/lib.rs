//! The clock of the process: Unix time that is read once, and then advanced by the monotonic clock, so that it never
//! jumps.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;
use weirusher_core::ClockAnchor;

/// A time that is too far ahead to be represented is replaced by the time this long after the start.
const FAR_FUTURE: Duration = Duration::from_secs(3600);

/// Unix time: that of the system clock at the start, advanced by the monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
    anchor: ClockAnchor,
}

impl Clock {
    /// Creates a clock that starts at the time of the system clock.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { origin: Instant::now(), anchor: ClockAnchor::new(unix) }
    }

    /// Seconds since the Unix epoch.
    pub fn now(&self) -> f64 {
        self.anchor.unix_time_after(self.origin.elapsed())
    }

    /// The Tokio instant at which this clock shows `unix_seconds`. A time before the start is mapped to the start, and
    /// one that cannot be represented to an hour after it.
    pub fn instant(&self, unix_seconds: f64) -> Instant {
        let ahead = unix_seconds - self.anchor.unix_time_after(Duration::ZERO);
        self.origin + Duration::try_from_secs_f64(ahead.max(0.0)).unwrap_or(FAR_FUTURE)
    }

    /// Waits until this clock shows `unix_seconds`; forever if that is `None`.
    pub async fn sleep_until(&self, unix_seconds: Option<f64>) {
        match unix_seconds {
            Some(at) => tokio::time::sleep_until(self.instant(at)).await,
            None => std::future::pending().await,
        }
    }
}
