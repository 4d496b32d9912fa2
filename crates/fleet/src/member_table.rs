//! The state of each member as one member believes it: evidence of life against suspicions, as in SWIM (Das et al.
//! 2002). It knows no message and no ring, so that it can be model-checked on its own.

use crate::datagram::{AGE_UNIT, MAX_SUSPECTORS};
use crate::protocol::REFUTATION_TIMEOUT;
use crate::{HEARTBEAT_INTERVAL, Millis, forget_timeout};
use serde::{Deserialize, Serialize};

/// Suspecting observers that count as much as all observers would.
const ENOUGH_SUSPECTORS: usize = MAX_SUSPECTORS;
/// Milliseconds in which a suspicion can be refuted: with enough suspecting observers, with one fewer, with two fewer.
/// Few are as likely to have a bad link as to be right, so they wait longer (Lifeguard, Dadgar et al. 2017).
const REFUTATION_TIMEOUTS: [Millis; ENOUGH_SUSPECTORS] = [REFUTATION_TIMEOUT, 2_000, 4_000];
/// A suspicion and a known heartbeat that are this close do not contradict each other: the heartbeats of one round
/// leave one after another.
const SAME_ROUND_HEARTBEATS: u32 = 1;
/// Factor by which the heartbeats of a member may outrun the time that passed here.
const MAX_HEARTBEAT_SPEEDUP: Millis = 2;
/// Heartbeats by which paths of different length may set what two members know apart.
const PATH_SKEW_HEARTBEATS: Millis = 16;

/// What is believed of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// Nothing was ever heard of it.
    Unknown,
    /// There is recent evidence of its life.
    Alive,
    /// Suspected by one or more observers, and not refuted yet.
    Suspected,
    /// Confirmed dead, or not heard of for too long.
    #[serde(rename = "gone")]
    Dead,
}

impl MemberState {
    /// Its word on the page and in tables.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Alive => "alive",
            Self::Suspected => "suspected",
            Self::Dead => "gone",
        }
    }
}

/// A point in a member's life: its incarnation and a heartbeat of it. The greater one is the later one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Evidence {
    /// Its incarnation, 0 for none.
    pub incarnation: u64,
    /// Its heartbeat.
    pub heartbeat: u32,
}

impl Evidence {
    /// Whether this refutes that nothing came after `last`.
    pub(crate) fn refutes(self, last: Evidence) -> bool {
        self.incarnation > last.incarnation
            || (self.incarnation == last.incarnation
                && self.heartbeat > last.heartbeat.saturating_add(SAME_ROUND_HEARTBEATS))
    }
}

/// A change of a member's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
pub struct StateChange {
    /// Its number.
    pub member: u16,
    /// What was believed.
    pub from: MemberState,
    /// What is believed now.
    pub to: MemberState,
}

/// An observer that suspects a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct Suspector {
    pub number: u16,
    /// Since when this is known here.
    pub since: Millis,
}

/// What one believes of one member.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Record {
    pub state: MemberState,
    /// When the state began.
    pub state_since: Millis,
    /// The latest evidence of its life.
    pub latest: Evidence,
    /// When the latest heartbeat was sent, as far as is known.
    pub last_alive: Millis,
    /// Who says that nothing came after `suspected_after`.
    pub suspectors: Vec<Suspector>,
    suspected_after: Evidence,
}

/// What became of a suspicion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspicionOutcome {
    /// It was known, or is out of date.
    Stale,
    /// Evidence known here refutes it: the others should learn of that.
    Refuted,
    /// It is new and stands.
    Accepted,
}

/// What one member believes of all others.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct MemberTable {
    me: u16,
    records: Vec<Record>,
    /// No member is confirmed dead before this: what arrived while this process was late has to be read first.
    no_verdict_before: Millis,
    /// Silence before this does not count: this process was not running.
    running_since: Millis,
    changes: Vec<StateChange>,
}

impl MemberTable {
    /// The table of member `me` in a fleet of `size`, with nothing known of the others.
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
            no_verdict_before: now,
            running_since: now,
            changes: Vec::new(),
        }
    }

    /// Members of the fleet.
    pub fn size(&self) -> u16 {
        u16::try_from(self.records.len()).unwrap_or(u16::MAX)
    }

    /// What is believed of a member.
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

    /// The numbers of all others.
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

    /// Whether a member can have reached a heartbeat by now, judged by the time since its latest one.
    pub fn is_plausible(&self, member: u16, heartbeat: u32, now: Millis) -> bool {
        let record = self.record(member);
        let elapsed = now.saturating_sub(record.last_alive) / HEARTBEAT_INTERVAL;
        Millis::from(heartbeat)
            <= Millis::from(record.latest.heartbeat) + MAX_HEARTBEAT_SPEEDUP * elapsed + PATH_SKEW_HEARTBEATS
    }

    /// Tenths of a second since a member's latest heartbeat was sent, rounded up: it is relayed many times, and must not
    /// grow younger by that.
    pub fn age(&self, member: u16, now: Millis) -> u16 {
        let age = now.saturating_sub(self.record(member).last_alive).div_ceil(AGE_UNIT);
        u16::try_from(age).unwrap_or(u16::MAX)
    }

    /// The changes since the last call.
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

    /// Takes in that a member sent a heartbeat `age` milliseconds ago. `true` if that is news to all: it ends a
    /// suspicion or begins an incarnation.
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
        let unsuspected = record.suspectors.is_empty();
        let (state, sent_at) = (record.state, now.saturating_sub(age));
        // Old heartbeats of a dead member are relayed for a while: they are no evidence that it came back.
        let proves_life = match state {
            MemberState::Dead => sent_at > record.state_since,
            _ => age < forget_timeout(self.size()),
        };
        if unsuspected && proves_life {
            self.set_state(member, MemberState::Alive, now);
        }
        unsuspected && proves_life && (state != MemberState::Alive || new_incarnation)
    }

    /// Takes in that observers heard nothing of a member after `last`. Without any `suspectors` it is a question only.
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
        // It is evidence as well: the observers had received `last`, at a time that is not known.
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
            if !known && record.suspectors.len() < ENOUGH_SUSPECTORS {
                record.suspectors.push(Suspector { number: *number, since: now });
            }
        }
        if record.suspectors.len() == before {
            return SuspicionOutcome::Stale;
        }
        self.set_state(member, MemberState::Suspected, now);
        SuspicionOutcome::Accepted
    }

    /// The suspecting observers that are enough: [`ENOUGH_SUSPECTORS`], or as many as can observe a member in a fleet
    /// with so few alive.
    fn enough_suspectors(&self) -> usize {
        let others_alive = self.others().filter(|member| !self.is_dead(*member)).count();
        // The suspected member is counted and this one is not, so this is the number of its possible observers.
        others_alive.clamp(1, ENOUGH_SUSPECTORS)
    }

    /// When a suspected member is confirmed dead, as far as is known now.
    fn suspicion_deadline(&self, member: u16, enough: usize) -> Option<Millis> {
        let suspectors = self.record(member).suspectors.iter().take(enough);
        suspectors
            .enumerate()
            .map(|(i, suspector)| suspector.since + REFUTATION_TIMEOUTS[enough - 1 - i])
            .min()
    }

    /// Confirms no member dead before `until`.
    pub fn defer_verdicts(&mut self, until: Millis) {
        self.no_verdict_before = self.no_verdict_before.max(until);
    }

    /// Confirms the members dead whose suspicion was not refuted in time, and those that were not heard of by any path
    /// for [`forget_timeout`]. While this member hears nobody, suspicions confirm nothing: its own link is the likelier
    /// cause.
    pub fn confirm_deaths(&mut self, hears_nobody: bool, now: Millis) {
        if now < self.no_verdict_before {
            return;
        }
        let (enough, forget_after) = (self.enough_suspectors(), forget_timeout(self.size()));
        let confirmed = |member: &u16| {
            let record = self.record(*member);
            let suspected =
                !hears_nobody && self.suspicion_deadline(*member, enough).is_some_and(|end| end <= now);
            let forgotten = now.saturating_sub(record.last_alive.max(self.running_since)) >= forget_after;
            record.state != MemberState::Dead && (suspected || forgotten)
        };
        let dead: Vec<u16> = self.others().filter(confirmed).collect();
        for member in dead {
            self.set_state(member, MemberState::Dead, now);
            self.records[usize::from(member)].suspectors.clear();
        }
    }

    /// This process was paused: suspicions from before count for nothing, and silence counts from now on.
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
