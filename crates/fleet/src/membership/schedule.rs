//! The timer: a heartbeat interval is divided into one slot per observer, and each slot sends one heartbeat.
//! Work that is due once per heartbeat or once per round of heartbeats is done in the first slot.

use super::Membership;
use crate::links::is_within;
use crate::{HEARTBEAT_INTERVAL, Millis, OBSERVERS, SUSPECT_TIMEOUT};

/// Time between two slots.
const SLOT_INTERVAL: Millis = HEARTBEAT_INTERVAL / OBSERVERS as Millis;
/// A slot that is late by this much shows that this process lacks CPU time, not that other members are dead.
const LATE_TIMER_THRESHOLD: Millis = 100;
/// Time after a late slot during which no member is suspected or declared dead, so that datagrams that
/// arrived meanwhile are read first.
const LATE_TIMER_GRACE: Millis = 2 * HEARTBEAT_INTERVAL;
/// Number of heartbeats per round. Each round sends digests of shared state and probes one absent (dead or
/// unknown) member.
const HEARTBEATS_PER_ROUND: u32 = 4;
/// A subject is asked for heartbeats if nothing was received from it for this long, and sent a confirmation
/// that it is heard if nothing was sent to it for this long.
const QUIET_LINK_TIMEOUT: Millis = 2 * HEARTBEAT_INTERVAL;

/// When slots are due, and how late this process itself has been.
#[derive(Debug)]
pub(super) struct Schedule {
    pub next_slot_at: Millis,
    slot: usize,
    /// When this process was last active.
    pub last_activity: Millis,
    /// Silence of other members before this time does not count, because this process was late itself.
    pub silence_counts_from: Millis,
}

impl Schedule {
    pub fn new(now: Millis) -> Self {
        Self { next_slot_at: now, slot: 0, last_activity: now, silence_counts_from: now }
    }

    pub fn reset_after_pause(&mut self, now: Millis) {
        (self.next_slot_at, self.silence_counts_from) = (now, now);
    }
}

impl Membership {
    /// Runs the slots that are due.
    pub fn handle_timeout(&mut self, now: Millis) {
        self.detect_pause(now);
        if now >= self.schedule.next_slot_at + LATE_TIMER_THRESHOLD {
            self.handle_late_timer(now);
        }
        while self.schedule.next_slot_at <= now {
            self.schedule.next_slot_at += SLOT_INTERVAL;
            if !self.own.superseded {
                self.run_slot(now);
            }
        }
        self.emit_state_changes();
    }

    /// Postpones suspicions and deaths after this process was late itself (local health awareness as in
    /// Lifeguard, Dadgar et al. 2017).
    fn handle_late_timer(&mut self, now: Millis) {
        let schedule = &mut self.schedule;
        let silence_from = (now + LATE_TIMER_GRACE).saturating_sub(SUSPECT_TIMEOUT);
        schedule.silence_counts_from = schedule.silence_counts_from.max(silence_from);
        self.table.defer_deaths(now + LATE_TIMER_GRACE);
        // Missed heartbeats are counted, so that the next heartbeat refutes suspicions by members that missed
        // them. It is sent to all observers at once, as the next delay may follow soon.
        let missed = (now - schedule.next_slot_at) / HEARTBEAT_INTERVAL;
        self.own.heartbeat += u32::try_from(missed).unwrap_or(0);
        schedule.next_slot_at = now.saturating_sub((OBSERVERS as Millis - 1) * SLOT_INTERVAL);
    }

    /// Sends a heartbeat to one observer and to the subscribers of this slot, and maintains the link to one
    /// subject.
    fn run_slot(&mut self, now: Millis) {
        let slot = self.schedule.slot;
        self.schedule.slot = (slot + 1) % OBSERVERS;
        if slot == 0 {
            self.begin_heartbeat(now);
        }
        if let Some(observer) = self.links.observers.get(slot).copied() {
            self.send(observer, Vec::new(), now);
        }
        for subscriber in self.links.subscribers_in_slot(slot, now) {
            self.send(subscriber, Vec::new(), now);
        }
        if let Some(subject) = self.links.subjects.get(slot).copied() {
            self.maintain_subject_link(subject, now);
        }
        // The fewer members are alive, the more absent ones each of them has to probe.
        if 2 * self.alive_count < usize::from(self.table.size()) {
            self.probe_absent_member(now);
        }
    }

    /// Counts a heartbeat and does the work that is due once per heartbeat or per round.
    fn begin_heartbeat(&mut self, now: Millis) {
        self.own.heartbeat += 1;
        if !std::mem::replace(&mut self.neighbours_current, true) {
            self.links.update_neighbours(&self.table, now);
        }
        self.check_subjects(now);
        self.table.confirm_deaths(self.links.hears_nobody(now), now);
        self.update_isolation(now);
        if self.own.heartbeat.is_multiple_of(HEARTBEATS_PER_ROUND) {
            self.write_self_report(now);
            self.probe_absent_member(now);
            self.send_digests(now);
        }
    }

    /// Asks a subject for missing heartbeats, or confirms that it is heard.
    fn maintain_subject_link(&mut self, subject: u16, now: Millis) {
        let link = self.links.get(subject);
        let missed = !is_within(link.last_received, QUIET_LINK_TIMEOUT, now);
        let quiet = !is_within(link.last_sent, QUIET_LINK_TIMEOUT, now);
        if missed {
            self.request_heartbeats(subject, now);
        } else if quiet {
            self.send(subject, Vec::new(), now);
        }
    }

    /// Sends a datagram to the next member that is dead or unknown, in case it is reachable again.
    fn probe_absent_member(&mut self, now: Millis) {
        let size = self.table.size();
        let mut candidates = (1..=size).map(|step| (self.last_probed + step) % size);
        let Some(member) = candidates.find(|member| *member != self.me && !self.table.is_alive(*member))
        else {
            return;
        };
        self.last_probed = member;
        if !self.send_budget.allows_heartbeat(now) {
            self.counters.deferred += 1;
            return;
        }
        self.transmit(member, self.table.latest(member).incarnation, false, Vec::new(), now);
    }
}
