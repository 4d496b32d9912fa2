//! This member's own incarnation: when a new one begins, and what happens when another process has the same
//! member number.

use super::Membership;
use crate::datagram::MAX_INCARNATION;
use crate::event::Event;
use crate::member_table::Evidence;
use crate::{Millis, PAUSE_THRESHOLD};

/// A process younger than this that learns of a later incarnation of its member number takes the next one,
/// assuming that the later incarnation belongs to an earlier process whose wall clock was ahead. An older
/// process stops taking part instead.
pub(super) const STARTUP_PERIOD: Millis = 3_000;

/// This member's incarnation, and the counters within it.
#[derive(Debug)]
pub(super) struct OwnIncarnation {
    pub number: u64,
    /// Number of datagrams sent in this incarnation.
    pub sequence: u64,
    /// Number of heartbeats sent in this incarnation.
    pub heartbeat: u32,
    /// Until then, a later incarnation of this member number is attributed to an earlier process.
    startup_until: Millis,
    /// Whether another process has taken this member number; if so, this process sends and accepts nothing.
    pub superseded: bool,
}

impl OwnIncarnation {
    /// The first incarnation of a process. It is clamped to leave room for later ones below
    /// [`MAX_INCARNATION`].
    pub fn new(number: u64, now: Millis) -> Self {
        Self {
            number: number.clamp(1, MAX_INCARNATION / 2),
            sequence: 0,
            heartbeat: 0,
            startup_until: now + STARTUP_PERIOD,
            superseded: false,
        }
    }

    pub fn evidence(&self) -> Evidence {
        Evidence { incarnation: self.number, heartbeat: self.heartbeat }
    }

    fn begin(&mut self, number: u64) {
        (self.number, self.sequence, self.heartbeat) = (number, 0, 0);
    }
}

impl Membership {
    /// Detects, before anything else is done, whether this process was paused. If so, it takes the next
    /// incarnation: datagrams still waiting in the socket are addressed to the previous one, and are not
    /// accepted.
    pub(super) fn detect_pause(&mut self, now: Millis) {
        let idle = now.saturating_sub(self.schedule.last_activity);
        self.schedule.last_activity = self.schedule.last_activity.max(now);
        if idle < PAUSE_THRESHOLD || self.own.superseded {
            return;
        }
        self.own.begin(self.own.number + 1);
        self.table.reset_after_pause(now);
        self.links.reset_after_pause();
        self.neighbours_current = false;
        self.gossip.clear();
        self.schedule.reset_after_pause(now);
        self.isolation.suspend(now + STARTUP_PERIOD);
        self.counters.pauses += 1;
        self.emit(Event::Paused(idle));
    }

    /// Handles a later incarnation of this member's number, which belongs to another running process or to an
    /// earlier one. The process that was started last keeps the number.
    pub(super) fn handle_later_incarnation(&mut self, later: u64, now: Millis) {
        if now < self.own.startup_until {
            self.own.begin(later + 1);
            self.emit(Event::IncarnationRaised(later));
        } else if !self.own.superseded {
            self.own.superseded = true;
            self.emit(Event::Superseded(later));
        }
    }
}
