//! Clocks: a monotonic one, which also advances while the machine is suspended, for all protocol decisions,
//! and the wall clock, read once as the initial incarnation.

use nix::time::{ClockId, clock_gettime};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use weirusher_fleet::Millis;

const MILLIS_PER_SECOND: f64 = 1000.0;

/// Milliseconds since boot, including time in suspend, so that a process detects a suspend as a pause.
pub(crate) fn monotonic_now() -> Millis {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from);
    Millis::try_from(time.as_millis()).unwrap_or(Millis::MAX)
}

/// Milliseconds since the Unix epoch, by a wall clock that is `shift_seconds` ahead.
pub(crate) fn wall_clock_now(shift_seconds: f64) -> u64 {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    ((unix.as_secs_f64() + shift_seconds).max(0.0) * MILLIS_PER_SECOND) as u64
}
