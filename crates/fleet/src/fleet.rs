//! One member's part in the fleet: what it does with each datagram, and at each turn of its timer.

use crate::budget::Bucket;
use crate::carrier::Shared;
use crate::hearing::{Brief, Counters, Hearing, MemberView, View};
use crate::links::{Links, within};
use crate::message::{Copy, GONE, Header, MOST_BYTES, MOST_INCARNATION, Packet, Part};
use crate::registers::{Fact, Registers};
use crate::rumors::Rumors;
use crate::seal::Seal;
use crate::table::{Change, Evidence, Heard, State, Table};
use crate::{AWAY, BEAT, DEATH_KNOWN, LEAST_KEY, Millis, SILENCE, WATCHERS, forgotten_after};
use fastrand::Rng;
use serde::Serialize;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

/// Between two turns: a beat goes to one watcher a turn.
const TURN: Millis = BEAT / WATCHERS as Millis;
/// Bytes a second that are sent, and at once. It does not grow with the fleet.
const BYTES: (u32, u32) = (8_000, 4_000);
/// Beats and answers may overdraw the bytes by so much: what proves life goes before all that can wait.
const OVERDRAFT: i64 = 2_000;
/// Bytes that introductions leave for what is more urgent.
const RESERVE: i64 = 1_000;
/// Datagrams a second that are opened, and at once, whoever they are from: the budget of CPU.
const OPENED: (u32, u32) = (1_000, 1_000);
/// A turn that comes so much too late says that this process is short of time, not that others are dead.
const LATE: Millis = 100;
/// A new process that hears of a later life of its own number goes above it; later on it gives way instead.
const STARTING: Millis = 3_000;
/// Shares of the fleet below which one is cut off, and from which it is not any more: apart, so that a share between
/// them is told once.
const CUT: (f64, f64) = (0.5, 0.75);
/// Between two answers to a member that is not believed yet, or that asks for beats.
const ANSWER: Millis = 200;
/// Accusers that make it likely enough that all have to know.
const SPREAD: usize = 2;
/// An accusation that nobody shares and nobody contradicts is told to all after so long, and again.
const ACCUSE_AGAIN: Millis = 2_000;
/// Beats between two looks for those who are out, two digests, and two writings of what this one says of itself.
const ROUND: u32 = 4;
/// Members whose newest beats ride on each datagram: at fifty a second all of a thousand go around in three seconds.
const COPIES: u16 = 8;
/// Bytes of a datagram kept for header, code, and the frames of parts.
const FRAME: usize = 96;
/// Bytes that copies take at most.
const COPIES_ROOM: usize = 112;
/// Bytes of a digest with its frame.
const DIGEST: usize = 330;
/// Pieces of a shared state that answer one digest.
const PIECES: usize = 3;
/// Bytes of a member's own register.
const FACT: usize = 48;
/// The kind of the members' own registers.
const FACTS: u8 = 0;
/// Kinds of shared state at most.
const KINDS: usize = 8;
/// Datagrams that wait to be sent. The shell sends all after each call, so that this is never reached.
const OUTBOX: usize = 512;
/// Events that wait to be read; beyond that the oldest are dropped.
const EVENTS: usize = 4096;

/// Members of a fleet at most.
pub const MOST_MEMBERS: usize = 10_000;

/// What a member is told at its start.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Its number, from 0.
    pub instance: u16,
    /// Where each member can be reached and sends from, this one included, by number.
    pub members: Vec<SocketAddr>,
    /// The fleet's key.
    pub key: Vec<u8>,
}

/// Why a member cannot start.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum FleetError {
    /// There is nobody else, or too many.
    #[error("a fleet has 2 to 10,000 members, not {0}")]
    Size(usize),
    /// Its number is none of the fleet's.
    #[error("member {0} of {1}: numbers run from 0")]
    Number(u16, usize),
    /// Two members have one address.
    #[error("members {0} and {1} have the same address")]
    Twice(usize, usize),
    /// The key can be guessed.
    #[error("a key of {0} bytes can be guessed: {LEAST_KEY} or more, at random")]
    Key(usize),
}

/// Something that an operator wants to know.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Event {
    /// A member's state became another.
    Changed(Change),
    /// This process stood still for so many milliseconds, and began anew.
    Away(Millis),
    /// An earlier life under this number had a later incarnation; this one went above it.
    Above(u64),
    /// Another process has this number since; this one takes no part any more.
    Superseded(u64),
    /// A member was told another size of the fleet.
    OtherSize(u16, u16),
    /// Less than half of the fleet can be counted on to hear this one and be heard.
    Cut(Hearing),
    /// Three quarters can again.
    Whole(Hearing),
}

/// One member.
pub struct Fleet {
    me: u16,
    members: Vec<SocketAddr>,
    numbers: HashMap<SocketAddr, u16>,
    seal: Seal,
    rng: Rng,
    incarnation: u64,
    sequence: u64,
    beat: u32,
    /// Till when a later life of this number is taken for an earlier process's.
    starting: Millis,
    superseded: bool,
    /// Whether it is cut off, and from when on that is looked at: nobody is heard at first.
    cut: bool,
    notice: Millis,
    /// Since when it could be told that it is not any more.
    mending: Millis,
    table: Table,
    links: Links,
    rumors: Rumors,
    facts: Registers<Fact>,
    carried: Vec<Box<dyn Shared + Send>>,
    /// The next turn, and which of a beat's turns it is.
    due: Millis,
    turn: usize,
    /// The last time that this process did anything.
    stirred: Millis,
    /// Silence before this counts for nothing: this process was late itself.
    floor: Millis,
    /// Members that live, this one included, and the one that was last looked for.
    living: usize,
    knocked: u16,
    /// The kind whose digest is next.
    digested: usize,
    /// Where the rotating copies of all members' beats are.
    next_copy: u16,
    /// The beat by which this one contradicted accusations of itself last.
    defended: Evidence,
    bytes: Bucket,
    opened: Bucket,
    counters: Counters,
    outbox: VecDeque<(SocketAddr, Vec<u8>)>,
    events: VecDeque<Event>,
    related: bool,
}

impl Fleet {
    /// A member that knows nobody yet. `incarnation` is the wall clock in milliseconds, as a first guess that mostly
    /// lies above that of any earlier life; where it does not, the others say so.
    ///
    /// # Errors
    /// The settings cannot work.
    pub fn new(settings: Settings, incarnation: u64, seed: u64, now: Millis) -> Result<Self, FleetError> {
        let Settings { instance: me, members, key } = settings;
        let count = members.len();
        let size = u16::try_from(count).ok().filter(|size| (2..=MOST_MEMBERS).contains(&usize::from(*size)));
        let size = size.ok_or(FleetError::Size(count))?;
        if me >= size {
            return Err(FleetError::Number(me, count));
        }
        let mut numbers = HashMap::with_capacity(count);
        for (number, address) in (0u16..).zip(&members) {
            if let Some(first) = numbers.insert(*address, number) {
                return Err(FleetError::Twice(first.into(), number.into()));
            }
        }
        let mut rng = Rng::with_seed(seed);
        Ok(Self {
            me,
            members,
            numbers,
            seal: Seal::new(&key).ok_or(FleetError::Key(key.len()))?,
            living: 1,
            knocked: rng.u16(0..size),
            rng,
            incarnation: incarnation.clamp(1, MOST_INCARNATION / 2),
            sequence: 0,
            beat: 0,
            starting: now + STARTING,
            superseded: false,
            cut: false,
            notice: now + STARTING,
            mending: now,
            table: Table::new(size, me, now),
            links: Links::new(size, me, now),
            rumors: Rumors::new(size),
            facts: Registers::new(size, FACT),
            carried: Vec::new(),
            due: now,
            turn: 0,
            stirred: now,
            floor: now,
            digested: 0,
            next_copy: 0,
            defended: Evidence::default(),
            bytes: Bucket::new(BYTES.0, BYTES.1, now),
            opened: Bucket::new(OPENED.0, OPENED.1, now),
            counters: Counters::default(),
            outbox: VecDeque::new(),
            events: VecDeque::new(),
            related: false,
        })
    }

    /// Carries one more shared state, less urgent than those before. Tells its kind; `None` where there are too many.
    pub fn carry(&mut self, state: Box<dyn Shared + Send>) -> Option<u8> {
        if self.carried.len() + 1 >= KINDS {
            return None;
        }
        self.carried.push(state);
        u8::try_from(self.carried.len()).ok()
    }

    /// A shared state by its kind.
    pub fn shared(&mut self, kind: u8) -> Option<&mut (dyn Shared + Send)> {
        match kind {
            FACTS => Some(&mut self.facts),
            _ => self.carried.get_mut(usize::from(kind) - 1).map(|state| &mut **state as _),
        }
    }

    /// What is believed of the others.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// This one's incarnation.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// What was sent, received, refused.
    pub fn counters(&self) -> Counters {
        Counters { rumors_dropped: self.rumors.dropped(), ..self.counters }
    }

    /// The next datagram to send.
    pub fn transmit(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.outbox.pop_front()
    }

    /// The next event.
    pub fn event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// When [`Fleet::advance`] is due.
    pub fn next_deadline(&self) -> Millis {
        self.due
    }

    /// How much of the fleet this one hears and is heard by. Whoever acts on it passes the present time, so that a
    /// process that was away learns it here at the latest.
    pub fn hearing(&mut self, now: Millis) -> Hearing {
        self.stir(now);
        let count = |members: &[u16], is: &dyn Fn(u16) -> bool| {
            u16::try_from(members.iter().filter(|member| is(**member)).count()).unwrap_or(u16::MAX)
        };
        let Links { watchers, subjects, .. } = &self.links;
        let all: Vec<u16> = self.table.others().collect();
        Hearing {
            others: self.table.size() - 1,
            alive: count(&all, &|member| self.lives_here(member)),
            expected: count(subjects, &|_| true),
            heard: count(subjects, &|member| self.links.hears(member, now)),
            watchers: count(watchers, &|_| true),
            confirmed: count(watchers, &|member| self.links.confirmed(member, now)),
            denied: count(watchers, &|member| self.denies(member)),
            age_ms: self.links.last.map(|last| now.saturating_sub(last)),
            superseded: self.superseded,
        }
    }

    fn denies(&self, member: u16) -> bool {
        self.facts.read(member).is_some_and(|fact| fact.deaf.contains(&self.me))
    }

    /// All that this one believes.
    pub fn view(&mut self, now: Millis) -> View {
        let hearing = self.hearing(now);
        let member = |number: u16| {
            let record = self.table.record(number);
            let ever = record.newest.incarnation > 0;
            MemberView {
                number,
                state: record.state,
                for_ms: now.saturating_sub(record.since),
                incarnation: record.newest.incarnation,
                age_ms: ever.then(|| now.saturating_sub(record.lived)),
                direct_ms: self.links.get(number).heard.map(|at| now.saturating_sub(at)),
                denies: self.denies(number),
            }
        };
        View {
            number: self.me,
            incarnation: self.incarnation,
            hearing,
            members: self.table.others().map(member).collect(),
            counters: self.counters(),
            rumors: self.rumors.len(),
        }
    }

    /// What this one believes, in brief.
    pub fn brief(&mut self, now: Millis) -> Brief {
        let hearing = self.hearing(now);
        let others = || self.table.others();
        Brief {
            number: self.me,
            incarnation: self.incarnation,
            hearing,
            alive: others().filter(|member| self.lives_here(*member)).collect(),
            gone: others().filter(|member| self.table.out(*member)).collect(),
        }
    }

    /// Does what is due.
    pub fn advance(&mut self, now: Millis) {
        self.stir(now);
        if now >= self.due + LATE {
            // What came in meanwhile is not read yet.
            self.floor = self.floor.max((now + 2 * BEAT).saturating_sub(SILENCE));
            self.table.hold(now + 2 * BEAT);
            // Beats that were not sent are counted, so that the next one contradicts who missed them; and it goes to all
            // watchers at once, as the next standstill may be near.
            self.beat += u32::try_from((now - self.due) / BEAT).unwrap_or(0);
            self.due = now.saturating_sub((WATCHERS as Millis - 1) * TURN);
        }
        while self.due <= now {
            self.due += TURN;
            if !self.superseded {
                self.take_turn(now);
            }
        }
        self.report();
    }

    /// Finds out whether this process was away, before anything is done.
    fn stir(&mut self, now: Millis) {
        let away = now.saturating_sub(self.stirred);
        self.stirred = self.stirred.max(now);
        if away < AWAY || self.superseded {
            return;
        }
        // Under another incarnation, what still waits in the socket is known for what it is: from before.
        self.begin(self.incarnation + 1);
        self.table.woke(now);
        self.links.woke();
        self.rumors.clear();
        self.related = false;
        (self.due, self.floor, self.notice) = (now, now, now + STARTING);
        self.counters.away += 1;
        self.tell(Event::Away(away));
    }

    fn begin(&mut self, incarnation: u64) {
        (self.incarnation, self.sequence, self.beat) = (incarnation, 0, 0);
    }

    fn tell(&mut self, event: Event) {
        if self.events.len() >= EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(event);
    }

    fn report(&mut self) {
        for change in self.table.changes() {
            let was_out = change.from == State::Gone || change.to == State::Gone;
            self.related &= !was_out;
            self.tell(Event::Changed(change));
        }
    }

    /// One turn: a beat to one watcher, an answer to one subject; once a beat, what is decided.
    fn take_turn(&mut self, now: Millis) {
        if self.turn == 0 {
            self.beat += 1;
            if !std::mem::replace(&mut self.related, true) {
                self.links.relate(&self.table, now);
            }
            self.look_after_subjects(now);
            self.table.judge(self.links.deaf(now), now);
            self.notice(now);
            if self.beat.is_multiple_of(ROUND) {
                self.look_around(now);
            }
        }
        let turn = self.turn;
        self.turn = (turn + 1) % WATCHERS;
        if let Some(watcher) = self.links.watchers.get(turn).copied() {
            self.send(watcher, false, Vec::new(), now);
        }
        for guest in self.links.guests(turn, now) {
            self.send(guest, false, Vec::new(), now);
        }
        if let Some(subject) = self.links.subjects.get(turn).copied() {
            self.attend(subject, now);
        }
        // The fewer are left, the more each has to look for.
        if 2 * self.living < usize::from(self.table.size()) {
            self.knock(now);
        }
    }

    /// Counts who lives, and tells when this one is cut off, and when it is not any more.
    fn notice(&mut self, now: Millis) {
        let hearing = self.hearing(now);
        self.living = 1 + usize::from(hearing.alive);
        let (below, from) = CUT;
        if !self.cut && now >= self.notice && hearing.share() < below {
            self.cut = true;
            self.tell(Event::Cut(hearing));
        } else if !self.cut || hearing.share() < from {
            self.mending = now;
        } else if now >= self.mending + DEATH_KNOWN {
            // By then it would be known if some of those that came back had gone at once, as when a cut moves.
            self.cut = false;
            self.tell(Event::Whole(hearing));
        }
    }

    /// Tells a subject that it is heard, or asks for its beats.
    fn attend(&mut self, subject: u16, now: Millis) {
        let link = self.links.get(subject);
        let missed = !within(link.heard, 2 * BEAT, now);
        let quiet = !within(link.sent, 2 * BEAT, now);
        if missed || quiet {
            self.send(subject, missed, Vec::new(), now);
        }
    }

    /// Asks about the subjects that are silent, and accuses them when nobody knows better.
    fn look_after_subjects(&mut self, now: Millis) {
        for member in self.links.subjects.clone() {
            let (link, record) = (self.links.get(member), self.table.record(member));
            if record.state == State::Gone {
                continue;
            }
            let since = record.lived.max(self.floor).max(link.watched.unwrap_or(now));
            let (silent, (ask, accuse)) = (now.saturating_sub(since), link.patience());
            let again = !within(link.accused, ACCUSE_AGAIN, now);
            if silent >= accuse && again {
                self.accuse(member, now);
            } else if silent >= ask && !link.asked {
                self.links.of(member).asked = true;
                let Evidence { incarnation, beat } = self.table.newest(member);
                let question = Part::Silent { member, incarnation, beat, by: Vec::new(), news: false };
                self.ask_fellows(member, &question, now);
            }
        }
    }

    fn accuse(&mut self, member: u16, now: Millis) {
        let first = self.links.of(member).accused.replace(now).is_none();
        let last = self.table.newest(member);
        self.table.accused(member, &[self.me], last, now);
        if first && self.table.record(member).accusers.len() < SPREAD {
            self.ask_fellows(member, &self.silent(member, false), now);
        } else {
            self.spread(member);
        }
    }

    /// Asks the other watchers of a silent member: with a lossy link most doubts end here.
    fn ask_fellows(&mut self, member: u16, question: &Part, now: Millis) {
        for fellow in self.links.fellows(member, &self.table) {
            self.send(fellow, false, vec![question.clone()], now);
        }
    }

    fn silent(&self, member: u16, news: bool) -> Part {
        let Evidence { incarnation, beat } = self.table.newest(member);
        let by = self.table.record(member).accusers.iter().map(|(by, _)| *by).collect();
        Part::Silent { member, incarnation, beat, by, news }
    }

    /// Passes on who accuses a member.
    fn spread(&mut self, member: u16) {
        let accusation = self.silent(member, true);
        self.rumors.tell(accusation);
    }

    /// Looks for the next one that is out or unknown.
    fn knock(&mut self, now: Millis) {
        let size = self.table.size();
        let next = (1..=size).map(|step| (self.knocked + step) % size);
        let away = next.into_iter().find(|member| *member != self.me && !self.lives_here(*member));
        let Some(member) = away else { return };
        self.knocked = member;
        if self.bytes.level(now) < -OVERDRAFT {
            self.counters.put_off += 1;
            return;
        }
        self.post(member, self.table.newest(member).incarnation, false, Vec::new(), now);
    }

    /// Looks for one that is out or unknown, writes what this one says of itself, and compares shared state with one
    /// that lives.
    fn look_around(&mut self, now: Millis) {
        let fact = Fact { deaf: self.links.deaf_to(&self.table, now) };
        if self.facts.read(self.me).unwrap_or_default() != fact {
            // Eight numbers fit, and there are no more subjects.
            let written = self.facts.write(self.me, self.incarnation, &fact);
            debug_assert!(written.is_ok());
        }
        self.knock(now);
        let there = self.table.others().filter(|member| self.table.state(*member) == State::Alive);
        let there: Vec<u16> = there.collect();
        if let Some(member) = self.rng.choice(there) {
            let digests = self.digests();
            self.send(member, false, digests, now);
        }
    }

    /// Digests of as many kinds as a datagram holds, from where the last ones ended: none has to wait for another.
    fn digests(&mut self) -> Vec<Part> {
        let kinds = self.carried.len() + 1;
        let mut digests = Vec::new();
        for _ in 0..kinds.min((MOST_BYTES - FRAME - COPIES_ROOM) / DIGEST) {
            let kind = u8::try_from(self.digested).unwrap_or(u8::MAX);
            self.digested = (self.digested + 1) % kinds;
            let digest = self.shared(kind).map(|state| state.digest(DIGEST - 8)).unwrap_or_default();
            digests.push(Part::Digest { kind, digest });
        }
        digests
    }

    /// Sends a datagram: what it is for, and what else there is to tell as far as bytes allow.
    fn send(&mut self, to: u16, watch: bool, mut parts: Vec<Part>, now: Millis) {
        let level = self.bytes.level(now);
        if level < -OVERDRAFT || self.outbox.len() >= OUTBOX {
            self.counters.put_off += 1;
            return;
        }
        parts.push(self.copies(now));
        let taken: usize = parts.iter().map(Part::bytes).sum();
        let room = usize::try_from(level).unwrap_or(0).min(MOST_BYTES - FRAME).saturating_sub(taken);
        parts.extend(self.fill(room));
        let knows = self.table.newest(to).incarnation;
        self.post(to, knows, watch, parts, now);
    }

    /// The next members' newest beats. They are no matter of room: they are what keeps members from being forgotten.
    fn copies(&mut self, now: Millis) -> Part {
        let from = self.next_copy;
        let upto = (from + COPIES).min(self.table.size());
        self.next_copy = upto % self.table.size();
        let copy = |member: u16| {
            let Evidence { incarnation, beat } = self.table.newest(member);
            let age = if self.lives_here(member) { self.table.age(member, now).min(GONE - 1) } else { GONE };
            Copy { incarnation: incarnation as u16, beat, age }
        };
        Part::Copies { from, beats: (from..upto).map(copy).collect() }
    }

    /// Rumours, then news of shared state by urgency.
    fn fill(&mut self, mut room: usize) -> Vec<Part> {
        let mut parts = self.rumors.next(room);
        room -= parts.iter().map(Part::bytes).sum::<usize>().min(room);
        for kind in 0..=u8::try_from(self.carried.len()).unwrap_or(0) {
            let piece = self.shared(kind).and_then(|state| state.news(room.saturating_sub(4)));
            if let Some(piece) = piece {
                let part = Part::Piece { kind, piece, news: true };
                room = room.saturating_sub(part.bytes());
                parts.push(part);
            }
        }
        parts
    }

    /// What is known of a member's life, or of one's own.
    fn life(&self, member: u16, news: bool, now: Millis) -> Part {
        if member == self.me {
            return Part::Life { member, incarnation: self.incarnation, beat: self.beat, age: 0, news };
        }
        let Evidence { incarnation, beat } = self.table.newest(member);
        Part::Life { member, incarnation, beat, age: self.table.age(member, now), news }
    }

    fn post(&mut self, to: u16, knows: u64, watch: bool, parts: Vec<Part>, now: Millis) {
        self.sequence += 1;
        let header = Header {
            size: self.table.size(),
            from: self.me,
            to,
            incarnation: self.incarnation,
            knows,
            sequence: self.sequence,
            beat: self.beat,
            hears: self.links.hears(to, now),
            watch,
        };
        let Ok(bytes) = postcard::to_allocvec(&Packet { header, parts }) else { return };
        let bytes = self.seal.close(bytes);
        debug_assert!(bytes.len() <= MOST_BYTES);
        self.bytes.draw(bytes.len());
        self.links.of(to).sent = Some(now);
        self.counters.sent += 1;
        self.counters.sent_bytes += bytes.len() as u64;
        self.outbox.push_back((self.members[usize::from(to)], bytes));
    }

    /// Takes in a datagram.
    pub fn receive(&mut self, from: SocketAddr, bytes: &[u8], now: Millis) {
        self.stir(now);
        self.counters.received_bytes += bytes.len() as u64;
        if self.superseded {
            return;
        }
        if let Some(packet) = self.open(from, bytes, now) {
            self.weigh(packet, now);
        }
        self.report();
    }

    /// Checks a datagram, the cheapest first, and counts what is refused.
    fn open(&mut self, from: SocketAddr, bytes: &[u8], now: Millis) -> Option<Packet> {
        let Some(member) = self.numbers.get(&from).copied().filter(|member| *member != self.me) else {
            self.counters.misplaced += 1;
            return None;
        };
        if bytes.len() > MOST_BYTES {
            self.counters.oversized += 1;
            return None;
        }
        if !self.links.of(member).read.take(now) || !self.opened.take(now) {
            self.counters.flooded += 1;
            return None;
        }
        let Some(content) = self.seal.open(bytes) else {
            self.counters.forged += 1;
            return None;
        };
        let Ok((packet, [])) = postcard::take_from_bytes::<Packet>(content) else {
            self.counters.malformed += 1;
            return None;
        };
        if packet.header.size != self.table.size() {
            self.counters.other_size += 1;
            self.tell(Event::OtherSize(member, packet.header.size));
            return None;
        }
        if !packet.fits(self.table.size()) {
            self.counters.malformed += 1;
            return None;
        }
        if packet.header.from != member {
            self.counters.misplaced += 1;
            return None;
        }
        if packet.header.to != self.me {
            self.counters.misdelivered += 1;
            return None;
        }
        Some(packet)
    }

    /// Believes a datagram that was sent to this incarnation by the sender's newest one, once. Others are answered,
    /// so that their sender learns what it lacks.
    fn weigh(&mut self, Packet { header, parts }: Packet, now: Millis) {
        let from = header.from;
        if header.knows > self.incarnation {
            self.another(header.knows, now);
        }
        let known = self.table.newest(from).incarnation;
        if header.incarnation < known {
            self.counters.stale += 1;
            return self.greet(from, known, now);
        }
        if header.knows != self.incarnation {
            self.counters.unproven += 1;
            return self.greet(from, header.incarnation, now);
        }
        let link = self.links.of(from);
        if header.incarnation > link.proven {
            (link.proven, link.window) = (header.incarnation, Default::default());
        }
        if header.incarnation < link.proven || !link.window.take(header.sequence) {
            self.counters.replayed += 1;
            return;
        }
        self.counters.received += 1;
        self.heard(&header, now);
        for part in parts {
            self.learn(from, part, now);
        }
    }

    /// Answers one that does not know this incarnation, or its own number's newest.
    fn greet(&mut self, to: u16, knows: u64, now: Millis) {
        let link = self.links.of(to);
        let lately = within(link.greeted, ANSWER, now);
        if lately || self.superseded || self.bytes.level(now) < -OVERDRAFT {
            return;
        }
        link.greeted = Some(now);
        self.post(to, knows, false, Vec::new(), now);
    }

    /// There is, or was, a later life of this number.
    fn another(&mut self, incarnation: u64, now: Millis) {
        if now < self.starting {
            self.begin(incarnation + 1);
            self.tell(Event::Above(incarnation));
        } else if !self.superseded {
            self.superseded = true;
            self.tell(Event::Superseded(incarnation));
        }
    }

    /// The sender itself is heard.
    fn heard(&mut self, header: &Header, now: Millis) {
        let evidence = Evidence { incarnation: header.incarnation, beat: header.beat };
        // A datagram that was overtaken by far says nothing of now.
        if evidence >= self.table.newest(header.from) {
            self.links.last = Some(now);
            let link = self.links.of(header.from);
            link.heard = Some(now);
            if header.hears {
                link.confirmed = Some(now);
            }
        }
        self.lives(header.from, evidence, 0, true, now);
        if header.watch {
            self.links.invite(header.from, now);
            let lately = within(self.links.get(header.from).sent, ANSWER, now);
            if !lately {
                self.send(header.from, false, Vec::new(), now);
            }
        }
    }

    fn lives(&mut self, member: u16, evidence: Evidence, age: Millis, tell: bool, now: Millis) {
        if evidence > self.table.newest(member) {
            self.links.of(member).lives(age == 0);
        }
        let unknown = self.table.state(member) == State::Unknown;
        if self.table.alive(member, evidence, age, now) {
            self.rumors.acquit(member);
            // At a start all are new to all: copies tell that sooner than as many rumours.
            if tell && !unknown {
                self.rumors.tell(self.life(member, true, now));
            }
        }
    }

    fn learn(&mut self, from: u16, part: Part, now: Millis) {
        match part {
            Part::Life { member, incarnation, beat, age, news } if member != self.me => {
                let (evidence, age) = (Evidence { incarnation, beat }, 100 * Millis::from(age).max(1));
                self.lives(member, evidence, age, news, now);
            }
            Part::Life { incarnation, .. } if incarnation > self.incarnation => {
                self.another(incarnation, now)
            }
            Part::Life { .. } => {}
            Part::Copies { from: first, beats } => {
                let lacking: Vec<u16> = (first..)
                    .zip(beats)
                    .filter_map(|(member, copy)| self.copied(from, member, &copy, now).then_some(member))
                    .collect();
                self.introduce(from, &lacking, now);
            }
            Part::Silent { member, incarnation, beat, by, news } => {
                let asked = (!news).then_some(from);
                self.accusation(member, &by, Evidence { incarnation, beat }, asked, now);
            }
            Part::Digest { kind, digest } => self.compare(from, kind, &digest, now),
            Part::Piece { kind, piece, news } => {
                let merged = self.shared(kind).map(|state| state.merge(&piece, news));
                if !matches!(merged, Some(Ok(_))) {
                    self.counters.unreadable += 1;
                }
            }
        }
    }

    /// A copy of a member's newest beat came around. Tells whether its sender lacks something that is known here.
    fn copied(&mut self, from: u16, member: u16, copy: &Copy, now: Millis) -> bool {
        let known = self.table.newest(member).incarnation;
        if member == self.me || known == 0 {
            return false;
        }
        if copy.incarnation != known as u16 {
            return self.lives_here(member);
        }
        let evidence = Evidence { incarnation: known, beat: copy.beat };
        if copy.age == GONE {
            return self.told_gone(from, member, evidence, now);
        }
        // The few bits may be another incarnation's.
        if self.table.plausible(member, copy.beat, now) {
            self.lives(member, evidence, 100 * Millis::from(copy.age).max(1), false, now);
        }
        false
    }

    /// One says that a member is gone which lives here. A rumour missed one of the two: this one contradicts, or hears
    /// it as an accusation, but only where copies of a later beat would have come around since: while a cut heals,
    /// those that know less say so for longer.
    fn told_gone(&mut self, from: u16, member: u16, last: Evidence, now: Millis) -> bool {
        if !self.lives_here(member) {
            return false;
        }
        let newest = self.table.newest(member);
        let old = Millis::from(self.table.age(member, now)) * 100 >= forgotten_after(self.table.size()) / 4;
        if !old || newest.contradicts(last) {
            return newest.contradicts(last);
        }
        self.table.accused(member, &[from], last, now);
        false
    }

    fn lives_here(&self, member: u16) -> bool {
        matches!(self.table.state(member), State::Alive | State::Suspected)
    }

    /// Tells one of members that it does not know, as far as bytes allow: it comes back.
    fn introduce(&mut self, to: u16, members: &[u16], now: Millis) {
        if members.is_empty() || self.bytes.level(now) < RESERVE {
            return;
        }
        let lives = members.iter().map(|member| self.life(*member, false, now)).collect();
        self.send(to, false, lives, now);
    }

    /// Watchers say that a member is silent; `asked` is the one that wants to know what is heard here.
    fn accusation(&mut self, member: u16, by: &[u16], last: Evidence, asked: Option<u16>, now: Millis) {
        if member == self.me {
            return self.defend();
        }
        match self.table.accused(member, by, last, now) {
            Heard::Old => {}
            Heard::Stands => {
                if asked.is_none() || self.table.record(member).accusers.len() >= SPREAD {
                    self.spread(member);
                }
            }
            Heard::Contradicted => match asked {
                Some(asker) => {
                    let life = self.life(member, false, now);
                    self.send(asker, false, vec![life], now);
                }
                None => self.contradict(member, now),
            },
        }
    }

    /// Tells all that this one lives, once a beat.
    fn defend(&mut self) {
        let now = Evidence { incarnation: self.incarnation, beat: self.beat };
        if std::mem::replace(&mut self.defended, now) != now {
            self.rumors.tell(self.life(self.me, true, self.stirred));
        }
    }

    /// Tells all that a member lived later than its accusers know, once for each beat of it.
    fn contradict(&mut self, member: u16, now: Millis) {
        let newest = self.table.newest(member);
        if std::mem::replace(&mut self.links.of(member).rebutted, newest) != newest {
            self.rumors.tell(self.life(member, true, now));
        }
    }

    /// Gives what the sender of a digest lacks, as far as bytes allow; it asks again.
    fn compare(&mut self, from: u16, kind: u8, digest: &[u8], now: Millis) {
        let delta = self.shared(kind).map(|state| state.delta(digest, MOST_BYTES - FRAME, PIECES));
        let Some(Ok(pieces)) = delta else {
            self.counters.unreadable += 1;
            return;
        };
        for piece in pieces {
            if self.bytes.level(now) < i64::try_from(piece.len()).unwrap_or(i64::MAX) {
                self.counters.put_off += 1;
                return;
            }
            let knows = self.table.newest(from).incarnation;
            self.post(from, knows, false, vec![Part::Piece { kind, piece, news: false }], now);
        }
    }
}
