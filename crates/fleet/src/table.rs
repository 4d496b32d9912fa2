//! What is believed of each member: evidence of life against accusations of silence. No message, no ring: who
//! sends what to whom is decided elsewhere, so that this can be checked on its own.

use crate::message::MOST_ACCUSERS;
use crate::{BEAT, Millis, forgotten_after};
use serde::{Deserialize, Serialize};

/// Accusers that are as good as all watchers.
const ENOUGH: usize = MOST_ACCUSERS;
/// Time for an accused member, or anybody who hears it, to contradict: with enough accusers, with one fewer, with
/// two fewer. Few accusers are as likely to have a bad link as to be right. The first is what a rumour takes to
/// reach a thousand members and an answer to come back.
const GRACE: [Millis; ENOUGH] = [500, 2_000, 4_000];
/// An accusation and a known beat this close tell of the same moment: beats of one round leave one after another.
const SAME: u32 = 1;

/// Beats by which ways of different length may set what is known apart.
const AHEAD: Millis = 16;

/// What is believed of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Nothing was ever heard of it.
    Unknown,
    /// There is recent evidence of its life.
    Alive,
    /// Accused of silence, and not contradicted yet.
    Suspected,
    /// Taken for dead.
    Gone,
}

/// A moment in a member's life: its incarnation and a beat of it. The greater one is the later one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Evidence {
    /// Its incarnation, 0 for none.
    pub incarnation: u64,
    /// Its beat.
    pub beat: u32,
}

impl Evidence {
    /// Whether this contradicts that nothing came after `last`.
    pub(crate) fn contradicts(self, last: Evidence) -> bool {
        self.incarnation > last.incarnation
            || (self.incarnation == last.incarnation && self.beat > last.beat.saturating_add(SAME))
    }
}

/// A member's state became another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
pub struct Change {
    /// Its number.
    pub member: u16,
    /// What was believed.
    pub from: State,
    /// What is believed now.
    pub to: State,
}

/// What one believes of one member.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Record {
    pub state: State,
    /// When the state began.
    pub since: Millis,
    /// The newest evidence.
    pub newest: Evidence,
    /// When the newest beat was sent, as far as can be told.
    pub lived: Millis,
    /// Who says that nothing came after `accused`, and since when that is known here.
    pub accusers: Vec<(u16, Millis)>,
    accused: Evidence,
}

/// What an accusation came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Heard {
    /// It was known, or is out of date.
    Old,
    /// It is contradicted by evidence that is held here: that should be told.
    Contradicted,
    /// It is new and stands.
    Stands,
}

/// What one member believes of all others.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Table {
    me: u16,
    records: Vec<Record>,
    /// No verdict before this: what came in while this process stood still has to be read first.
    hold: Millis,
    /// Silence before this counts for nothing: this process was not there.
    begun: Millis,
    changes: Vec<Change>,
}

impl Table {
    /// Nothing is known of `size` members but that `me` is this one.
    pub fn new(size: u16, me: u16, now: Millis) -> Self {
        let record = Record {
            state: State::Unknown,
            since: now,
            newest: Evidence::default(),
            lived: 0,
            accusers: Vec::new(),
            accused: Evidence::default(),
        };
        Self { me, records: vec![record; usize::from(size)], hold: now, begun: now, changes: Vec::new() }
    }

    /// Members of the fleet.
    pub fn size(&self) -> u16 {
        u16::try_from(self.records.len()).unwrap_or(u16::MAX)
    }

    /// What is believed of a member.
    pub fn state(&self, member: u16) -> State {
        self.record(member).state
    }

    /// The newest evidence of a member's life.
    pub fn newest(&self, member: u16) -> Evidence {
        self.record(member).newest
    }

    pub(crate) fn record(&self, member: u16) -> &Record {
        &self.records[usize::from(member)]
    }

    /// The numbers of all others.
    pub fn others(&self) -> impl Iterator<Item = u16> + use<> {
        let me = self.me;
        (0..self.size()).filter(move |member| *member != me)
    }

    /// Whether a member is taken for dead.
    pub fn out(&self, member: u16) -> bool {
        self.state(member) == State::Gone
    }

    /// Whether a member can have come to a beat by now: about as many as there was time for since the newest known.
    pub fn plausible(&self, member: u16, beat: u32, now: Millis) -> bool {
        let record = self.record(member);
        let passed = now.saturating_sub(record.lived) / BEAT;
        Millis::from(beat) <= Millis::from(record.newest.beat) + 2 * passed + AHEAD
    }

    /// Tenths of a second since a member's newest beat was sent, rounded up: it is passed on many times, and must not
    /// grow younger by that.
    pub fn age(&self, member: u16, now: Millis) -> u16 {
        u16::try_from(now.saturating_sub(self.record(member).lived).div_ceil(100)).unwrap_or(u16::MAX)
    }

    /// What changed since this was last asked.
    pub fn changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    fn turn(&mut self, member: u16, to: State, now: Millis) {
        let record = &mut self.records[usize::from(member)];
        if record.state != to {
            self.changes.push(Change { member, from: record.state, to });
            record.state = to;
            record.since = now;
        }
    }

    /// A member was alive at a beat sent `age` ago. `true` if that is news: newer evidence that ends a doubt, or
    /// begins an incarnation.
    pub fn alive(&mut self, member: u16, evidence: Evidence, age: Millis, now: Millis) -> bool {
        let record = &mut self.records[usize::from(member)];
        if member == self.me || evidence <= record.newest {
            return false;
        }
        let another = evidence.incarnation > record.newest.incarnation;
        record.newest = evidence;
        record.lived = record.lived.max(now.saturating_sub(age));
        if evidence.contradicts(record.accused) {
            record.accusers.clear();
        }
        let cleared = record.accusers.is_empty();
        // Old beats of a dead member still come around for a while: they raise what is known, and prove nothing.
        let (state, sent) = (record.state, now.saturating_sub(age));
        let proves = match state {
            State::Gone => sent > record.since,
            _ => age < forgotten_after(self.size()),
        };
        if cleared && proves {
            self.turn(member, State::Alive, now);
        }
        cleared && proves && (state != State::Alive || another)
    }

    /// Watchers say that nothing came after `last`; nobody does, who only wants to know.
    pub fn accused(&mut self, member: u16, by: &[u16], last: Evidence, now: Millis) -> Heard {
        let record = &mut self.records[usize::from(member)];
        if member == self.me {
            return Heard::Contradicted;
        }
        if record.newest.contradicts(last) {
            return if record.state == State::Gone { Heard::Old } else { Heard::Contradicted };
        }
        // It is evidence itself: the watchers had heard `last`. How long ago is not told.
        record.newest = record.newest.max(last);
        if record.state == State::Gone {
            return Heard::Old;
        }
        if last.contradicts(record.accused) {
            record.accusers.clear();
        }
        if record.accusers.is_empty() {
            record.accused = last;
        }
        let before = record.accusers.len();
        for by in by {
            let known = record.accusers.iter().any(|(known, _)| known == by);
            if !known && record.accusers.len() < ENOUGH {
                record.accusers.push((*by, now));
            }
        }
        if record.accusers.len() == before {
            return Heard::Old;
        }
        self.turn(member, State::Suspected, now);
        Heard::Stands
    }

    /// Accusers that a fleet with so many alive can have at most, or [`ENOUGH`].
    fn enough(&self) -> usize {
        let live = self.others().filter(|member| !self.out(*member)).count();
        live.clamp(1, ENOUGH) // The accused is counted and this one is not: so many can watch it.
    }

    /// When an accused member's time to contradict ends, with what is known now.
    fn verdict(&self, member: u16, enough: usize) -> Option<Millis> {
        let accusers = self.record(member).accusers.iter().take(enough);
        accusers.enumerate().map(|(i, (_, at))| at + GRACE[enough - 1 - i]).min()
    }

    /// No verdict before `until`.
    pub fn hold(&mut self, until: Millis) {
        self.hold = self.hold.max(until);
    }

    /// Ends the doubts whose time is over. While nobody is heard, `deaf`, nobody is taken for dead by accusations:
    /// one's own link is the likelier cause.
    pub fn judge(&mut self, deaf: bool, now: Millis) {
        if now < self.hold {
            return;
        }
        let (enough, forgotten) = (self.enough(), forgotten_after(self.size()));
        let over = |member: &u16| {
            let record = self.record(*member);
            let accused = !deaf && self.verdict(*member, enough).is_some_and(|end| end <= now);
            let forgotten = now.saturating_sub(record.lived.max(self.begun)) >= forgotten;
            record.state != State::Gone && (accused || forgotten)
        };
        let over: Vec<u16> = self.others().filter(over).collect();
        for member in over {
            self.turn(member, State::Gone, now);
            self.records[usize::from(member)].accusers.clear();
        }
    }

    /// This process was away: what it believes is from before. Nobody is accused, nobody's silence counts yet.
    pub fn woke(&mut self, now: Millis) {
        self.begun = now;
        for member in self.others() {
            let record = &mut self.records[usize::from(member)];
            record.accusers.clear();
            if record.state == State::Suspected {
                self.turn(member, State::Alive, now);
            }
        }
    }
}
