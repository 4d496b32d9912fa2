//! The links of a member to all others, and which of them are in use: those to its observers, its subjects,
//! and subscribers that asked for its heartbeats.

use crate::link::Link;
use crate::member_table::MemberTable;
use crate::{HEARTBEAT_INTERVAL, Millis, OBSERVERS, Rings, SUSPECT_TIMEOUT};

/// Maximum number of subscribers. The one that subscribed longest ago is dropped first; it will subscribe
/// again.
const MAX_SUBSCRIBERS: usize = 16;
/// How long a subscriber receives heartbeats after it last asked for them.
const SUBSCRIPTION_DURATION: Millis = 4 * HEARTBEAT_INTERVAL;
/// A link to a live member on which nothing arrives for this long is considered broken.
const BROKEN_LINK_TIMEOUT: Millis = 2 * SUSPECT_TIMEOUT;
/// If nothing arrives from any member for this long, this member's own connectivity is the likely cause.
const HEARS_NOBODY_TIMEOUT: Millis = SUSPECT_TIMEOUT + 2 * HEARTBEAT_INTERVAL;

/// Whether `at` lies less than `span` before `now`.
pub(crate) fn is_within(at: Option<Millis>, span: Millis, now: Millis) -> bool {
    at.is_some_and(|at| now.saturating_sub(at) < span)
}

/// A member that asked for heartbeats.
#[derive(Debug, Clone, Copy)]
struct Subscriber {
    member: u16,
    since: Millis,
}

/// The links of one member to all others.
#[derive(Debug, Clone)]
pub(crate) struct Links {
    me: u16,
    rings: Rings,
    links: Vec<Link>,
    /// The members that this member sends heartbeats to.
    pub observers: Vec<u16>,
    /// The members from which this member expects heartbeats.
    pub subjects: Vec<u16>,
    subscribers: Vec<Subscriber>,
    /// When the last datagram arrived from any member. Datagrams older than the evidence already known do not
    /// count.
    pub last_received: Option<Millis>,
}

impl Links {
    pub fn new(size: u16, me: u16, now: Millis) -> Self {
        Self {
            me,
            rings: Rings::new(size),
            links: vec![Link::new(now); usize::from(size)],
            observers: Vec::new(),
            subjects: Vec::new(),
            subscribers: Vec::new(),
            last_received: None,
        }
    }

    pub fn get(&self, member: u16) -> &Link {
        &self.links[usize::from(member)]
    }

    pub fn get_mut(&mut self, member: u16) -> &mut Link {
        &mut self.links[usize::from(member)]
    }

    /// Recomputes observers and subjects after members have died or come back.
    pub fn update_neighbours(&mut self, table: &MemberTable, now: Millis) {
        self.observers = self.rings.observers(self.me, |member| table.is_dead(member));
        self.subjects = self.rings.subjects(self.me, |member| table.is_dead(member));
        for (member, link) in (0u16..).zip(&mut self.links) {
            match (self.subjects.contains(&member), link.observed_since) {
                (true, None) => link.observed_since = Some(now),
                (false, Some(_)) => {
                    (link.observed_since, link.queried, link.suspected_at) = (None, false, None);
                }
                _ => {}
            }
        }
    }

    /// The other observers of a member, according to the states known here.
    pub fn other_observers(&self, of: u16, table: &MemberTable) -> Vec<u16> {
        let mut observers = self.rings.observers(of, |member| table.is_dead(member));
        observers.retain(|observer| *observer != self.me);
        observers
    }

    /// Records that a member asked for heartbeats.
    pub fn subscribe(&mut self, member: u16, now: Millis) {
        self.subscribers.retain(|subscriber| subscriber.member != member);
        if self.subscribers.len() >= MAX_SUBSCRIBERS {
            self.subscribers.remove(0);
        }
        self.subscribers.push(Subscriber { member, since: now });
    }

    /// The subscribers that are sent a heartbeat in the given slot of the heartbeat interval. Observers are
    /// left out, as they receive heartbeats anyway.
    pub fn subscribers_in_slot(&mut self, slot: usize, now: Millis) -> Vec<u16> {
        self.subscribers.retain(|subscriber| now.saturating_sub(subscriber.since) < SUBSCRIPTION_DURATION);
        let in_slot = |(at, member): (usize, u16)| {
            (at % OBSERVERS == slot && !self.observers.contains(&member)).then_some(member)
        };
        let members = self.subscribers.iter().map(|subscriber| subscriber.member);
        members.enumerate().filter_map(in_slot).collect()
    }

    /// Whether datagrams arrive from a member.
    pub fn hears(&self, member: u16, now: Millis) -> bool {
        is_within(self.get(member).last_received, SUSPECT_TIMEOUT, now)
    }

    /// Whether a member has recently confirmed that it receives this member's datagrams.
    pub fn is_heard_by(&self, member: u16, now: Millis) -> bool {
        is_within(self.get(member).last_confirmed, BROKEN_LINK_TIMEOUT, now)
    }

    /// Whether nothing has arrived from any member for longer than random loss explains.
    pub fn hears_nobody(&self, now: Millis) -> bool {
        !is_within(self.last_received, HEARS_NOBODY_TIMEOUT, now)
    }

    /// The subjects that are alive but whose heartbeats do not arrive.
    pub fn unheard_subjects(&self, table: &MemberTable, now: Millis) -> Vec<u16> {
        let unheard = |member: &u16| {
            let link = self.get(*member);
            let since = link.last_received.max(link.observed_since);
            !table.is_dead(*member)
                && table.latest(*member).incarnation > 0
                && !is_within(since, BROKEN_LINK_TIMEOUT, now)
        };
        self.subjects.iter().copied().filter(unheard).collect()
    }

    /// Discards what was recorded before a pause of this process, which says nothing about the links now.
    pub fn reset_after_pause(&mut self) {
        self.last_received = None;
        self.subscribers.clear();
        self.links.iter_mut().for_each(Link::reset_after_pause);
    }
}
