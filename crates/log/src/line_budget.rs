//! A rate limit of log lines: an error that recurs thousands of times a second must not fill the disk.

use std::time::Instant;

/// Sustained rate of log lines a second; further ones are dropped.
const LINES_PER_SECOND: f64 = 200.0;
/// Number of log lines that may be written in a burst.
const BURST_LINES: f64 = 1000.0;

/// A token bucket with one token for each line that may be written.
pub struct LineBudget {
    pub(super) level: f64,
    pub(super) refilled_at: Instant,
}

impl LineBudget {
    /// Creates a full bucket.
    pub fn new() -> Self {
        Self { level: BURST_LINES, refilled_at: Instant::now() }
    }

    /// Takes the token of one line; `false` if there is none.
    pub fn try_take(&mut self) -> bool {
        let now = Instant::now();
        let refill = now.duration_since(self.refilled_at).as_secs_f64() * LINES_PER_SECOND;
        self.level = (self.level + refill).min(BURST_LINES);
        self.refilled_at = now;
        let has_line = self.level >= 1.0;
        if has_line {
            self.level -= 1.0;
        }
        has_line
    }
}
