//! What one knows of the direct way to each other member, in both directions.

use crate::budget::Bucket;
use crate::replay::Window;
use crate::table::{Evidence, Table};
use crate::{ASK, BEAT, Millis, Rings, SILENCE, WATCHERS};

/// Datagrams a second that are read of one member, and at once: several times what one sends in need.
const READ: (u32, u32) = (64, 128);
/// Members that asked for beats without being watchers, at most. The longest served is dropped first: it asks again.
const GUESTS: usize = 16;
/// A guest is served for so long after it asked.
const GUEST: Millis = 4 * BEAT;
/// A watcher that was contradicted waits twice as long the next time, up to this power of two: its link is bad.
const MOST_DOUBT: u32 = 3;
/// A member whose beats are missed for so long, while it lives, is one that this one is deaf to.
const DEAF: Millis = 2 * SILENCE;

/// The direct way to one member.
#[derive(Debug, Clone)]
pub(crate) struct Link {
    /// Its last datagram that told anything new.
    pub heard: Option<Millis>,
    /// Its last datagram that said it hears this one.
    pub confirmed: Option<Millis>,
    /// The last datagram to it.
    pub sent: Option<Millis>,
    /// The last answer to something that was not believed.
    pub greeted: Option<Millis>,
    /// The evidence by which accusations of it were contradicted from here last.
    pub rebutted: Evidence,
    /// Its incarnation that `window` is of.
    pub proven: u64,
    pub window: Window,
    pub read: Bucket,
    /// Since when its beats are expected.
    pub watched: Option<Millis>,
    /// Other watchers were asked about it, and it was not heard of since.
    pub asked: bool,
    /// When this one last accused it, until it is heard of again.
    pub accused: Option<Millis>,
    doubt: u32,
}

impl Link {
    fn new(now: Millis) -> Self {
        Self {
            heard: None,
            confirmed: None,
            sent: None,
            greeted: None,
            rebutted: Evidence::default(),
            proven: 0,
            window: Window::default(),
            read: Bucket::new(READ.0, READ.1, now),
            watched: None,
            asked: false,
            accused: None,
            doubt: 0,
        }
    }

    /// There is newer evidence of the member's life, directly or told by another.
    pub fn lives(&mut self, direct: bool) {
        if direct {
            self.doubt = 0;
        } else if self.asked {
            self.doubt = (self.doubt + 1).min(MOST_DOUBT);
        }
        (self.asked, self.accused) = (false, None);
    }

    /// Silence after which the other watchers are asked, and after which the member is accused.
    pub fn patience(&self) -> (Millis, Millis) {
        (ASK << self.doubt, SILENCE << self.doubt)
    }
}

/// Whether something was at most so long ago.
pub(crate) fn within(at: Option<Millis>, time: Millis, now: Millis) -> bool {
    at.is_some_and(|at| now.saturating_sub(at) < time)
}

/// The links of one member, and who watches whom.
#[derive(Debug, Clone)]
pub(crate) struct Links {
    me: u16,
    rings: Rings,
    links: Vec<Link>,
    pub watchers: Vec<u16>,
    pub subjects: Vec<u16>,
    guests: Vec<(u16, Millis)>,
    /// The last datagram from anybody.
    pub last: Option<Millis>,
}

impl Links {
    pub fn new(size: u16, me: u16, now: Millis) -> Self {
        let links = vec![Link::new(now); usize::from(size)];
        let rings = Rings::new(size);
        Self { me, rings, links, watchers: Vec::new(), subjects: Vec::new(), guests: Vec::new(), last: None }
    }

    pub fn of(&mut self, member: u16) -> &mut Link {
        &mut self.links[usize::from(member)]
    }

    pub fn get(&self, member: u16) -> &Link {
        &self.links[usize::from(member)]
    }

    /// Finds out anew who watches whom, as some are out or back.
    pub fn relate(&mut self, table: &Table, now: Millis) {
        self.watchers = self.rings.watchers(self.me, |member| table.out(member));
        self.subjects = self.rings.subjects(self.me, |member| table.out(member));
        for (member, link) in (0u16..).zip(&mut self.links) {
            match (self.subjects.contains(&member), link.watched) {
                (true, None) => link.watched = Some(now),
                (false, Some(_)) => (link.watched, link.asked, link.accused) = (None, false, None),
                _ => {}
            }
        }
    }

    /// Who else watches a member, as far as is known here.
    pub fn fellows(&self, of: u16, table: &Table) -> Vec<u16> {
        let mut fellows = self.rings.watchers(of, |member| table.out(member));
        fellows.retain(|fellow| *fellow != self.me);
        fellows
    }

    /// A member asks for beats.
    pub fn invite(&mut self, member: u16, now: Millis) {
        self.guests.retain(|(guest, _)| *guest != member);
        if self.guests.len() >= GUESTS {
            self.guests.remove(0);
        }
        self.guests.push((member, now));
    }

    /// Guests that are served in one of the turns that make a beat.
    pub fn guests(&mut self, turn: usize, now: Millis) -> Vec<u16> {
        self.guests.retain(|(_, since)| now.saturating_sub(*since) < GUEST);
        let mine = |(at, guest): (usize, u16)| {
            (at % WATCHERS == turn && !self.watchers.contains(&guest)).then_some(guest)
        };
        self.guests.iter().map(|(guest, _)| *guest).enumerate().filter_map(mine).collect()
    }

    /// Whether a member's beats come.
    pub fn hears(&self, member: u16, now: Millis) -> bool {
        within(self.get(member).heard, SILENCE, now)
    }

    /// Whether a member said lately that it hears this one.
    pub fn confirmed(&self, member: u16, now: Millis) -> bool {
        within(self.get(member).confirmed, DEAF, now)
    }

    /// Whether nobody was heard for longer than chance explains.
    pub fn deaf(&self, now: Millis) -> bool {
        !within(self.last, SILENCE + 2 * BEAT, now)
    }

    /// Members whose beats should come here and did not for long, though they live.
    pub fn deaf_to(&self, table: &Table, now: Millis) -> Vec<u16> {
        let missed = |member: &u16| {
            let link = self.get(*member);
            let since = link.heard.max(link.watched);
            !table.out(*member) && table.newest(*member).incarnation > 0 && !within(since, DEAF, now)
        };
        self.subjects.iter().copied().filter(missed).collect()
    }

    /// This process was away: nothing that it heard tells of now.
    pub fn woke(&mut self) {
        self.last = None;
        self.guests.clear();
        for link in &mut self.links {
            (link.heard, link.confirmed, link.watched) = (None, None, None);
            (link.asked, link.accused) = (false, None);
        }
    }
}
