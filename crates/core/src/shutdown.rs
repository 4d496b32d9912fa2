//! The schedule of a graceful shutdown, from the signal to the earliest time at which the platform may kill
//! the process.
//!
//! The platform kills a process no earlier than 0.7 s plus the deployment's longest deadline, counted as at
//! most 3 s, after the signal. Every accepted request must have its response before that. All times are in
//! seconds.

use crate::stall::MAX_STALL;
use weirusher::{Class, Time};

/// Maximum that the platform counts for the longest deadline when it determines the time of the kill, in
/// seconds.
const MAX_KILL_DEADLINE: f64 = 3.0;
/// Seconds that the platform allows in addition to the longest deadline.
const KILL_MARGIN: f64 = 0.7;
/// Seconds before the kill by which the last response must be written: time for one stall before the signal
/// is noticed, and for one before the response is written.
const KILL_LEAD: f64 = 2.0 * MAX_STALL;
/// Seconds after the signal for which new connections are accepted: the platform's front end continues to
/// open connections for 0.4 s.
const ACCEPT_PERIOD: f64 = 0.5;

/// The times of one shutdown, on the caller's clock.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Shutdown {
    /// When the signal was noticed.
    pub started_at: Time,
    /// When the process may be killed, at the earliest.
    pub kill_at: Time,
}

impl Shutdown {
    /// The schedule of a shutdown that begins at `now`, in a deployment with this longest deadline in
    /// seconds.
    pub fn new(now: Time, longest_deadline: f64) -> Self {
        Self { started_at: now, kill_at: now + longest_deadline.min(MAX_KILL_DEADLINE) + KILL_MARGIN }
    }

    /// Until when new connections are accepted, whether or not any are waiting.
    pub fn accept_until(&self) -> Time {
        (self.started_at + ACCEPT_PERIOD).min(self.respond_by())
    }

    /// By when the last response must be written.
    pub fn respond_by(&self) -> Time {
        self.kill_at - KILL_LEAD
    }
}

/// The longest deadline of the classes in seconds, 0 without classes. A latency objective beyond the deadline
/// counts as the deadline.
pub fn longest_deadline(classes: &[Class]) -> f64 {
    classes.iter().map(|class| class.deadline.max(class.latency_objective)).fold(0.0, f64::max)
}
