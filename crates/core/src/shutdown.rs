//! What a shutdown leaves time for: from the signal to the earliest moment at which the process may be killed.
//!
//! The platform kills a process no sooner than the longest deadline of the deployment, counted as 3 s where it is
//! longer, and 0.7 s more after it told it to stop. It may kill it then, so everything that is accepted has to have its
//! response before.

use crate::guard::HELD_UP;
use weirusher::{Class, Time};

/// Most seconds of the longest deadline that the platform waits for.
const LONGEST_COUNTED: f64 = 3.0;
/// Seconds that the platform waits beyond that.
const KILL_MARGIN: f64 = 0.7;
/// Seconds before the kill by which the last response is on its way. A process may be held up between reading its clock
/// and writing, and as long before it notices the signal.
const RESPONSE_LEAD: f64 = 2.0 * HELD_UP;
/// Seconds after the signal for which new connections are accepted: the front opens some for 0.4 s.
const ACCEPT: f64 = 0.5;

/// The times of one shutdown, on the caller's clock.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Shutdown {
    /// When the signal was noticed.
    pub since: Time,
    /// When the process may be killed, at the earliest.
    pub kill: Time,
}

impl Shutdown {
    /// A shutdown that begins at `now`, in a deployment whose longest deadline this is, in seconds.
    pub fn new(now: Time, longest_deadline: f64) -> Self {
        Self { since: now, kill: now + longest_deadline.min(LONGEST_COUNTED) + KILL_MARGIN }
    }

    /// Until when new connections are accepted, whether or not any wait.
    pub fn accept_until(&self) -> Time {
        (self.since + ACCEPT).min(self.respond_by())
    }

    /// By when the last response has to be on its way.
    pub fn respond_by(&self) -> Time {
        self.kill - RESPONSE_LEAD
    }
}

/// The longest deadline of the classes, in seconds; without classes there is none to wait for.
pub fn longest_deadline(classes: &[Class]) -> f64 {
    classes.iter().map(|class| class.deadline.max(class.latency_objective)).fold(0.0, f64::max)
}
