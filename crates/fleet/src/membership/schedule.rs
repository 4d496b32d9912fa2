//! The timer: a heartbeat interval is divided into one slot for each observer, and each slot sends one heartbeat. What
//! is decided once a heartbeat, and once a round of heartbeats, is done in the first slot.

use super::Membership;
use crate::links::is_within;
use crate::{HEARTBEAT_INTERVAL, Millis, OBSERVERS, SUSPECT_TIMEOUT};

/// Between two slots.
const SLOT_INTERVAL: Millis = HEARTBEAT_INTERVAL / OBSERVERS as Millis;
/// A slot that comes this much too late shows that this process is short of time, not that others are dead.
const LATE_TIMER: Millis = 100;
/// After a late slot, nobody's silence counts for this long: datagrams that arrived meanwhile are read first.
const LATE_TIMER_GRACE: Millis = 2 * HEARTBEAT_INTERVAL;
/// Heartbeats between two rounds of anti-entropy and of probes of absent members.
const HEARTBEATS_PER_ROUND: u32 = 4;
/// A subject is asked for heartbeats, or sent a confirmation that it is heard, when nothing passed for this long.
const QUIET_LINK: Millis = 2 * HEARTBEAT_INTERVAL;

/// When slots are due, and what is known of this process's own delays.
#[derive(Debug)]
pub(super) struct Schedule {
    pub next_slot_at: Millis,
    slot: usize,
    /// The last time that this process did anything.
    pub last_activity: Millis,
    /// Silence of others before this does not count: this process was late itself.
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
    /// Does what is due.
    pub fn handle_timeout(&mut self, now: Millis) {
        self.detect_pause(now);
        if now >= self.schedule.next_slot_at + LATE_TIMER {
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

    /// Distrusts this member's own judgement for a while (Lifeguard, Dadgar et al. 2017).
    fn handle_late_timer(&mut self, now: Millis) {
        let schedule = &mut self.schedule;
        let silence_from = (now + LATE_TIMER_GRACE).saturating_sub(SUSPECT_TIMEOUT);
        schedule.silence_counts_from = schedule.silence_counts_from.max(silence_from);
        self.table.defer_verdicts(now + LATE_TIMER_GRACE);
        // Heartbeats that were not sent are counted, so that the next one refutes suspicions by those who missed them.
        // It goes to all observers at once, as the next delay may be near.
        let missed = (now - schedule.next_slot_at) / HEARTBEAT_INTERVAL;
        self.own.heartbeat += u32::try_from(missed).unwrap_or(0);
        schedule.next_slot_at = now.saturating_sub((OBSERVERS as Millis - 1) * SLOT_INTERVAL);
    }

    /// Sends a heartbeat to one observer and to the subscribers of this slot, and attends to one subject.
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
            self.attend_to_subject(subject, now);
        }
        // The fewer members are alive, the more absent ones each of them has to probe.
        if 2 * self.alive < usize::from(self.table.size()) {
            self.probe_absent_member(now);
        }
    }

    /// Counts a heartbeat and decides what is decided once for each.
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

    /// Asks a subject for heartbeats that are missing, or confirms that it is heard.
    fn attend_to_subject(&mut self, subject: u16, now: Millis) {
        let link = self.links.get(subject);
        let missed = !is_within(link.last_received, QUIET_LINK, now);
        let quiet = !is_within(link.last_sent, QUIET_LINK, now);
        if missed {
            self.request_heartbeats(subject, now);
        } else if quiet {
            self.send(subject, Vec::new(), now);
        }
    }

    /// Sends a datagram to the next member that is dead or unknown: it may be there again.
    fn probe_absent_member(&mut self, now: Millis) {
        let size = self.table.size();
        let mut following = (1..=size).map(|step| (self.last_probed + step) % size);
        let Some(member) = following.find(|member| *member != self.me && !self.table.is_alive(*member))
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
