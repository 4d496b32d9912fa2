//! The state of each member as one member believes it, from evidence of life and suspicions, as in SWIM (Das
//! et al. 2002). The table is independent of messages and rings, so that it can be model-checked by itself.

use crate::datagram::{AGE_UNIT, MAX_SUSPECTORS};
use crate::protocol::REFUTATION_TIMEOUT;
use crate::{HEARTBEAT_INTERVAL, Millis, forget_timeout};
use serde::{Deserialize, Serialize};

/// Number of observers that must suspect a member before the shortest refutation timeout applies.
const REQUIRED_SUSPECTORS: usize = MAX_SUSPECTORS;
/// Time to refute a suspicion, in milliseconds: with all required suspectors, with one fewer, and with two
/// fewer. A few observers are as likely to have a bad link as to be right, so their suspicions wait longer
/// (Lifeguard, Dadgar et al. 2017).
const REFUTATION_TIMEOUTS: [Millis; REQUIRED_SUSPECTORS] = [REFUTATION_TIMEOUT, 2_000, 4_000];
/// A known heartbeat refutes a suspicion only if it is later by more than this: the heartbeats of one round
/// are sent to the observers one after another.
const SAME_ROUND_HEARTBEATS: u32 = 1;
/// Factor by which a member's heartbeats may run ahead of the time that passed locally.
const MAX_HEARTBEAT_SPEEDUP: Millis = 2;
/// Number of heartbeats by which relayed evidence may be ahead of what this member knows, because it came by
/// a faster path.
const PATH_SKEW_HEARTBEATS: Millis = 16;

/// The state of a member, as another member believes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// Nothing is known of the member.
    Unknown,
    /// There is recent evidence of the member's life.
    Alive,
    /// One or more observers suspect the member, and the suspicion has not been refuted.
    Suspected,
    /// Confirmed dead, or without any evidence of life for too long.
    #[serde(rename = "gone")]
    Dead,
}

impl MemberState {
    /// The name of the state on the admin page and in tables.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Alive => "alive",
            Self::Suspected => "suspected",
            Self::Dead => "gone",
        }
    }
}

/// A point in a member's life: an incarnation and a heartbeat within it. Later points compare greater.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Evidence {
    /// The member's incarnation; 0 if none is known.
    pub incarnation: u64,
    /// The heartbeat within that incarnation.
    pub heartbeat: u32,
}

impl Evidence {
    /// Whether this refutes a suspicion by observers that received nothing after `last`.
    pub(crate) fn refutes(self, last: Evidence) -> bool {
        self.incarnation > last.incarnation
            || (self.incarnation == last.incarnation
                && self.heartbeat > last.heartbeat.saturating_add(SAME_ROUND_HEARTBEATS))
    }
}

/// A change of a member's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
pub struct StateChange {
    /// The member's number.
    pub member: u16,
    /// The state before the change.
    pub from: MemberState,
    /// The state after the change.
    pub to: MemberState,
}

/// An observer that suspects a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct Suspector {
    pub number: u16,
    /// When this member learned of the suspicion.
    pub since: Millis,
}

/// What is known of one member.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Record {
    pub state: MemberState,
    pub state_since: Millis,
    /// The latest evidence of the member's life.
    pub latest: Evidence,
    /// When the latest heartbeat was sent; an estimate where it was relayed.
    pub last_alive: Millis,
    /// The observers that received nothing after `suspected_after`.
    pub suspectors: Vec<Suspector>,
    suspected_after: Evidence,
}

/// The outcome of a suspicion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspicionOutcome {
    /// It changes nothing: it adds no suspector, or the member is already declared dead.
    Stale,
    /// Evidence known here refutes it, and should be passed on to other members.
    Refuted,
    /// It is new and not refuted.
    Accepted,
}

/// What one member believes about all others.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct MemberTable {
    me: u16,
    records: Vec<Record>,
    /// No death is confirmed before this time: after this process was delayed, the datagrams that wait in its
    /// socket are read first.
    no_deaths_before: Millis,
    /// Silence before this time does not count, because this process was not running.
    running_since: Millis,
    changes: Vec<StateChange>,
}

impl MemberTable {
    /// The table of member `me` in a fleet of `size`, with all other members unknown.
    pub fn new(size: u16, me: u16, now: Millis) -> Self {
        let record = Record {
            state: MemberState::Unknown,
            state_since: now,
            latest: Evidence::default(),
            last_alive: 0,
            suspectors: Vec::new(),
            suspected_after: Evidence::default(),
        };
        Self {
            me,
            records: vec![record; usize::from(size)],
            no_deaths_before: now,
            running_since: now,
            changes: Vec::new(),
        }
    }

    /// The number of members in the fleet, this one included.
    pub fn size(&self) -> u16 {
        u16::try_from(self.records.len()).unwrap_or(u16::MAX)
    }

    /// The state of a member.
    pub fn state(&self, member: u16) -> MemberState {
        self.record(member).state
    }

    /// The latest evidence of a member's life.
    pub fn latest(&self, member: u16) -> Evidence {
        self.record(member).latest
    }

    pub(crate) fn record(&self, member: u16) -> &Record {
        &self.records[usize::from(member)]
    }

    /// The numbers of all other members.
    pub fn others(&self) -> impl Iterator<Item = u16> + use<> {
        let me = self.me;
        (0..self.size()).filter(move |member| *member != me)
    }

    /// Whether a member is alive, suspected or not.
    pub fn is_alive(&self, member: u16) -> bool {
        matches!(self.state(member), MemberState::Alive | MemberState::Suspected)
    }

    /// Whether a member is dead.
    pub fn is_dead(&self, member: u16) -> bool {
        self.state(member) == MemberState::Dead
    }

    /// Whether a member can have reached a heartbeat by now, given its latest one and the time since.
    pub fn is_plausible(&self, member: u16, heartbeat: u32, now: Millis) -> bool {
        let record = self.record(member);
        let elapsed = now.saturating_sub(record.last_alive) / HEARTBEAT_INTERVAL;
        Millis::from(heartbeat)
            <= Millis::from(record.latest.heartbeat) + MAX_HEARTBEAT_SPEEDUP * elapsed + PATH_SKEW_HEARTBEATS
    }

    /// Age of a member's latest heartbeat in tenths of a second. It is rounded up, because heartbeats are
    /// relayed many times and rounding down would make them appear younger each time.
    pub fn age(&self, member: u16, now: Millis) -> u16 {
        let age = now.saturating_sub(self.record(member).last_alive).div_ceil(AGE_UNIT);
        u16::try_from(age).unwrap_or(u16::MAX)
    }

    /// Returns the state changes since the last call.
    pub fn take_changes(&mut self) -> Vec<StateChange> {
        std::mem::take(&mut self.changes)
    }

    fn set_state(&mut self, member: u16, to: MemberState, now: Millis) {
        let record = &mut self.records[usize::from(member)];
        if record.state != to {
            self.changes.push(StateChange { member, from: record.state, to });
            record.state = to;
            record.state_since = now;
        }
    }

    /// Handles evidence that a member sent a heartbeat `age` milliseconds ago. Returns `true` if the evidence
    /// should be disseminated: it shows that a member is alive that was unknown, suspected or dead, or that it
    /// has begun an incarnation.
    pub fn handle_alive(&mut self, member: u16, evidence: Evidence, age: Millis, now: Millis) -> bool {
        let record = &mut self.records[usize::from(member)];
        if member == self.me || evidence <= record.latest {
            return false;
        }
        let new_incarnation = evidence.incarnation > record.latest.incarnation;
        record.latest = evidence;
        record.last_alive = record.last_alive.max(now.saturating_sub(age));
        if evidence.refutes(record.suspected_after) {
            record.suspectors.clear();
        }
        let is_unsuspected = record.suspectors.is_empty();
        let (state, sent_at) = (record.state, now.saturating_sub(age));
        // Old heartbeats of a dead member are relayed for a while; they do not show that it came back.
        let proves_life = match state {
            MemberState::Dead => sent_at > record.state_since,
            _ => age < forget_timeout(self.size()),
        };
        if is_unsuspected && proves_life {
            self.set_state(member, MemberState::Alive, now);
        }
        is_unsuspected && proves_life && (state != MemberState::Alive || new_incarnation)
    }

    /// Handles a suspicion by observers that received nothing after `last`. Without `suspectors` it is only a
    /// query.
    pub fn handle_suspicion(
        &mut self,
        member: u16,
        suspectors: &[u16],
        last: Evidence,
        now: Millis,
    ) -> SuspicionOutcome {
        let record = &mut self.records[usize::from(member)];
        if member == self.me {
            return SuspicionOutcome::Refuted;
        }
        let dead = record.state == MemberState::Dead;
        if record.latest.refutes(last) {
            return if dead { SuspicionOutcome::Stale } else { SuspicionOutcome::Refuted };
        }
        // A suspicion also proves that its observers received the heartbeat `last`. When they received it is
        // not known, so `last_alive` does not change.
        record.latest = record.latest.max(last);
        if dead {
            return SuspicionOutcome::Stale;
        }
        if last.refutes(record.suspected_after) {
            record.suspectors.clear();
        }
        if record.suspectors.is_empty() {
            record.suspected_after = last;
        }
        let before = record.suspectors.len();
        for number in suspectors {
            let known = record.suspectors.iter().any(|suspector| suspector.number == *number);
            if !known && record.suspectors.len() < REQUIRED_SUSPECTORS {
                record.suspectors.push(Suspector { number: *number, since: now });
            }
        }
        if record.suspectors.len() == before {
            return SuspicionOutcome::Stale;
        }
        self.set_state(member, MemberState::Suspected, now);
        SuspicionOutcome::Accepted
    }

    /// How many members must suspect another before the shortest refutation timeout applies:
    /// [`REQUIRED_SUSPECTORS`], or fewer if fewer members are alive to observe the suspected one.
    fn required_suspectors(&self) -> usize {
        let others_alive = self.others().filter(|member| !self.is_dead(*member)).count();
        // This count includes the suspected member and excludes this one, so it equals the number of members
        // that can observe the suspected one.
        others_alive.clamp(1, REQUIRED_SUSPECTORS)
    }

    /// When a suspected member will be confirmed dead, according to the suspicions known now.
    fn suspicion_deadline(&self, member: u16, required: usize) -> Option<Millis> {
        let suspectors = self.record(member).suspectors.iter().take(required);
        suspectors
            .enumerate()
            .map(|(i, suspector)| suspector.since + REFUTATION_TIMEOUTS[required - 1 - i])
            .min()
    }

    /// Postpones the confirmation of any death until `until`.
    pub fn defer_deaths(&mut self, until: Millis) {
        self.no_deaths_before = self.no_deaths_before.max(until);
    }

    /// Declares members dead whose suspicion was not refuted in time, or of which there was no evidence by
    /// any path for [`forget_timeout`]. While this member receives nothing from any other, suspicions confirm
    /// no death: its own connectivity is the likelier cause.
    pub fn confirm_deaths(&mut self, hears_nobody: bool, now: Millis) {
        if now < self.no_deaths_before {
            return;
        }
        let (required, forget_after) = (self.required_suspectors(), forget_timeout(self.size()));
        let confirmed = |member: &u16| {
            let record = self.record(*member);
            let suspected = !hears_nobody
                && self.suspicion_deadline(*member, required).is_some_and(|deadline| deadline <= now);
            let forgotten = now.saturating_sub(record.last_alive.max(self.running_since)) >= forget_after;
            record.state != MemberState::Dead && (suspected || forgotten)
        };
        let dead: Vec<u16> = self.others().filter(confirmed).collect();
        for member in dead {
            self.set_state(member, MemberState::Dead, now);
            self.records[usize::from(member)].suspectors.clear();
        }
    }

    /// Discards suspicions from before a pause of this process; silence counts from `now` on.
    pub fn reset_after_pause(&mut self, now: Millis) {
        self.running_since = now;
        for member in self.others() {
            let record = &mut self.records[usize::from(member)];
            record.suspectors.clear();
            if record.state == MemberState::Suspected {
                self.set_state(member, MemberState::Alive, now);
            }
        }
    }
}
