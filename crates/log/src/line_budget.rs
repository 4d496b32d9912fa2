//! A token bucket of log lines: what fails thousands of times a second must not fill a disk.

use std::time::Instant;

/// Log lines a second; further ones are dropped.
const LINES_PER_SECOND: f64 = 200.0;
/// Log lines that may be written at once.
const BURST_LINES: f64 = 1000.0;

/// The lines that may still be written.
pub struct LineBudget {
    pub(super) level: f64,
    pub(super) refilled: Instant,
}

impl LineBudget {
    /// A full budget.
    pub fn new() -> Self {
        Self { level: BURST_LINES, refilled: Instant::now() }
    }

    /// Takes a line from the budget; `false`: it has none.
    pub fn try_take(&mut self) -> bool {
        let now = Instant::now();
        let refill = now.duration_since(self.refilled).as_secs_f64() * LINES_PER_SECOND;
        self.level = (self.level + refill).min(BURST_LINES);
        self.refilled = now;
        let has_line = self.level >= 1.0;
        if has_line {
            self.level -= 1.0;
        }
        has_line
    }
}
