//! How much of the fleet a member can reach, and when it counts as isolated.

use crate::{DEATH_KNOWN_WITHIN, Millis};
use serde::{Deserialize, Serialize};

/// A member that reaches less than this fraction of the fleet is isolated.
const ISOLATED_BELOW: f64 = 0.5;
/// An isolated member that reaches at least this fraction is reconnected. The distance to [`ISOLATED_BELOW`] keeps a
/// fraction between them from being reported again and again.
const RECONNECTED_FROM: f64 = 0.75;

/// How much of the fleet one member hears and is heard by. The two differ where a link is broken in one direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Reachability {
    /// Members besides this one.
    pub others: u16,
    /// Those that are alive, as far as is known by any path.
    pub alive: u16,
    /// Subjects: members whose heartbeats should arrive here directly.
    #[serde(rename = "expected")]
    pub subjects: u16,
    /// Subjects whose heartbeats arrived in time.
    #[serde(rename = "heard")]
    pub subjects_heard: u16,
    /// Observers: members that this one sends heartbeats to.
    #[serde(rename = "watchers")]
    pub observers: u16,
    /// Observers that said lately that they hear this one.
    #[serde(rename = "confirmed")]
    pub observers_confirming: u16,
    /// Observers that report, by any path, that they do not.
    #[serde(rename = "denied")]
    pub observers_denying: u16,
    /// Milliseconds since the last datagram from anybody; `None` since the start or a pause of this process.
    #[serde(rename = "age_ms")]
    pub last_received_ms: Option<Millis>,
    /// Another process took over this one's number; this one takes no part any more.
    pub superseded: bool,
}

impl Reachability {
    /// The fraction of the others, from 0 to 1, that can be counted on to hear this member and be heard: the least of
    /// those alive, of the subjects that are heard, and of the observers that confirm. An observer that confirms
    /// nothing does not count: the path may be broken in either direction.
    pub fn fraction(&self) -> f64 {
        if self.others == 0 || self.superseded {
            return 0.0;
        }
        let ratio = |part: u16, whole: u16| f64::from(part) / f64::from(whole.max(1));
        let links =
            ratio(self.subjects_heard, self.subjects).min(ratio(self.observers_confirming, self.observers));
        ratio(self.alive, self.others).min(links)
    }
}

/// What an update of the isolation detector found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum IsolationChange {
    Isolated,
    Reconnected,
}

/// Decides when this member is isolated from the fleet, and when it is no longer.
#[derive(Debug)]
pub(crate) struct IsolationDetector {
    isolated: bool,
    /// After a start nobody is heard yet: nothing is decided before this.
    not_before: Millis,
    /// The last time at which the fraction was too low to be reconnected.
    last_low: Millis,
}

impl IsolationDetector {
    pub fn new(not_before: Millis, now: Millis) -> Self {
        Self { isolated: false, not_before, last_low: now }
    }

    /// This process was paused: nothing is decided before `until`.
    pub fn suspend(&mut self, until: Millis) {
        self.not_before = until;
    }

    /// Looks at the present reachable fraction.
    pub fn update(&mut self, fraction: f64, now: Millis) -> Option<IsolationChange> {
        if !self.isolated && now >= self.not_before && fraction < ISOLATED_BELOW {
            self.isolated = true;
            return Some(IsolationChange::Isolated);
        }
        if !self.isolated || fraction < RECONNECTED_FROM {
            self.last_low = now;
            return None;
        }
        // By then it is known if some of those that came back are dead, as when a partition moves.
        if now < self.last_low + DEATH_KNOWN_WITHIN {
            return None;
        }
        self.isolated = false;
        Some(IsolationChange::Reconnected)
    }
}
