//! How much of the fleet a member can reach, and the detection of its isolation.

use crate::{DEATH_KNOWN_WITHIN, Millis};
use serde::{Deserialize, Serialize};

/// A member that can reach less than this fraction of the fleet is isolated.
const ISOLATED_BELOW: f64 = 0.5;
/// An isolated member that can reach at least this fraction is reconnected. The gap to [`ISOLATED_BELOW`]
/// keeps a member whose fraction fluctuates around one threshold from being reported repeatedly.
const RECONNECTED_FROM: f64 = 0.75;

/// How much of the fleet receives datagrams from this member, and from how much of it this member receives
/// datagrams. The two differ if a link is broken in one direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Reachability {
    /// Number of other members in the fleet.
    pub others: u16,
    /// Other members that are alive, according to direct or relayed evidence.
    pub alive: u16,
    /// Subjects: members whose heartbeats this member expects directly.
    #[serde(rename = "expected")]
    pub subjects: u16,
    /// Subjects whose heartbeats arrive.
    #[serde(rename = "heard")]
    pub subjects_heard: u16,
    /// Observers: members that this member sends heartbeats to.
    #[serde(rename = "watchers")]
    pub observers: u16,
    /// Observers that have recently confirmed that they receive this member's datagrams.
    #[serde(rename = "confirmed")]
    pub observers_confirming: u16,
    /// Observers that report, directly or through other members, that they do not receive this member's
    /// heartbeats.
    #[serde(rename = "denied")]
    pub observers_denying: u16,
    /// Milliseconds since the last datagram from any member; `None` if none has arrived since the start or
    /// the last pause of this process.
    #[serde(rename = "age_ms")]
    pub last_received_ms: Option<Millis>,
    /// Whether another process has taken over this member's number, so that this process no longer takes
    /// part.
    pub superseded: bool,
}

impl Reachability {
    /// The fraction of the other members, from 0 to 1, with which communication works in both directions: the
    /// minimum of the fractions of members alive, of subjects heard, and of observers that confirm. An
    /// observer that confirms nothing does not count, as the path may be broken in either direction.
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

/// A change found by the isolation detector.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum IsolationChange {
    Isolated,
    Reconnected,
}

/// Detects when this member becomes isolated from the fleet, and when it is reconnected.
#[derive(Debug)]
pub(crate) struct IsolationDetector {
    isolated: bool,
    /// No isolation is reported before this time, because after a start nothing has been received yet.
    not_before: Millis,
    /// When the fraction was last too low to count as reconnected.
    last_low: Millis,
}

impl IsolationDetector {
    pub fn new(not_before: Millis, now: Millis) -> Self {
        Self { isolated: false, not_before, last_low: now }
    }

    /// Suspends detection until `until`, after a pause of this process.
    pub fn suspend(&mut self, until: Millis) {
        self.not_before = until;
    }

    /// Updates the detector with the current reachable fraction.
    pub fn update(&mut self, fraction: f64, now: Millis) -> Option<IsolationChange> {
        if !self.isolated && now >= self.not_before && fraction < ISOLATED_BELOW {
            self.isolated = true;
            return Some(IsolationChange::Isolated);
        }
        if !self.isolated || fraction < RECONNECTED_FROM {
            self.last_low = now;
            return None;
        }
        // Waits until members that came back only briefly, as when a partition moves, are known to be dead.
        if now < self.last_low + DEATH_KNOWN_WITHIN {
            return None;
        }
        self.isolated = false;
        Some(IsolationChange::Reconnected)
    }
}
