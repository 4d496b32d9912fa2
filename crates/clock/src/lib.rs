//! The process's one clock: Unix time that does not jump.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;
use weirusher_core::ClockAnchor;

/// What stands for a time too far ahead to be represented.
const FAR_FUTURE: Duration = Duration::from_secs(3600);

/// Unix time: the system clock's at the start, advanced by the monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
    anchor: ClockAnchor,
}

impl Clock {
    /// A clock that starts at the system clock's time.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { origin: Instant::now(), anchor: ClockAnchor::new(unix) }
    }

    /// Seconds since the Unix epoch.
    pub fn now(&self) -> f64 {
        self.anchor.unix_time_after(self.origin.elapsed())
    }

    /// The runtime's instant at which this clock shows `unix_seconds`. A time before the start is the start;
    /// one that cannot be represented is an hour after it.
    pub fn instant(&self, unix_seconds: f64) -> Instant {
        let ahead = unix_seconds - self.anchor.unix_time_after(Duration::ZERO);
        self.origin + Duration::try_from_secs_f64(ahead.max(0.0)).unwrap_or(FAR_FUTURE)
    }

    /// Waits until this clock shows `unix_seconds`; without a time, forever.
    pub async fn sleep_until(&self, unix_seconds: Option<f64>) {
        match unix_seconds {
            Some(at) => tokio::time::sleep_until(self.instant(at)).await,
            None => std::future::pending().await,
        }
    }
}
