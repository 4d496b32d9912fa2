//! Which clients' connections are kept, and which gives way when descriptors are short.

use std::collections::{BTreeMap, BTreeSet};
use weirusher::Time;

/// Seconds within which a new connection must have brought its first whole request, or is let go.
pub const FIRST_REQUEST: f64 = 2.5;
/// Seconds after which a new connection that brought nothing whole may give way: its request may be on its way.
const FRESH_GRACE: f64 = 0.25;
/// Seconds after which a connection with no open request may give way, and after which it is let go.
const IDLE_GRACE: f64 = 2.0;
const IDLE_MOST: f64 = 20.0;
/// The part of all seats that is cleared at once when none is free.
const GIVE_WAY: usize = 8;

/// Names a connection.
pub type SeatId = u64;

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Use {
    /// Nothing whole has come yet.
    Fresh,
    /// No request is open.
    Idle,
    /// A request is open: it never gives way.
    Busy,
}

/// Clients' connections, in a bounded number.
#[derive(Debug)]
pub struct Seats {
    most: usize,
    seated: BTreeMap<SeatId, (Use, u64)>,
    /// Those that may give way, in the order in which they do.
    spare: BTreeSet<(Use, u64, SeatId)>,
}

/// A connection's moment, so that it can be ordered: microseconds.
fn micros(at: Time) -> u64 {
    (at * 1e6) as u64
}

impl Seats {
    /// At most `most` connections.
    pub fn new(most: usize) -> Self {
        Self { most, seated: BTreeMap::new(), spare: BTreeSet::new() }
    }

    /// How many are seated.
    pub fn len(&self) -> usize {
        self.seated.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.seated.is_empty()
    }

    /// Whether one more may be accepted.
    pub fn free(&self) -> bool {
        self.seated.len() < self.most
    }

    /// A connection was accepted.
    pub fn sit(&mut self, now: Time, id: SeatId) {
        self.place(now, id, Use::Fresh);
    }

    /// Its request is open.
    pub fn busy(&mut self, now: Time, id: SeatId) {
        self.place(now, id, Use::Busy);
    }

    /// Its request is answered.
    pub fn idle(&mut self, now: Time, id: SeatId) {
        self.place(now, id, Use::Idle);
    }

    /// It is closed.
    pub fn leave(&mut self, id: SeatId) {
        if let Some((kind, since)) = self.seated.remove(&id) {
            self.spare.remove(&(kind, since, id));
        }
    }

    /// The connections to let go: those that have overstayed, and where all seats are taken those that
    /// were of no use for longest. They stay seated until they leave, and are not named again.
    pub fn overdue(&mut self, now: Time) -> Vec<SeatId> {
        let mut gone = Vec::new();
        for (kind, most) in [(Use::Fresh, FIRST_REQUEST), (Use::Idle, IDLE_MOST)] {
            while let Some(id) = self.longest(kind, now - most) {
                gone.push(id);
            }
        }
        // Several at once: where hundreds wait that say nothing, those that ask must not wait behind each.
        while !self.free() && gone.len() < self.most.div_ceil(GIVE_WAY) {
            let fresh = self.longest(Use::Fresh, now - FRESH_GRACE);
            let Some(id) = fresh.or_else(|| self.longest(Use::Idle, now - IDLE_GRACE)) else { break };
            gone.push(id);
        }
        gone
    }

    /// All that had a request and have none now: at the end. One that is new, or has brought half a request, keeps
    /// its time: the rest is on its way.
    pub fn unused(&mut self) -> Vec<SeatId> {
        let idle = self.spare.split_off(&(Use::Idle, 0, 0));
        idle.into_iter().map(|(_, _, id)| id).collect()
    }

    /// When [`Seats::overdue`] next has something to say.
    pub fn next_overdue(&self) -> Option<Time> {
        let first = |kind, stay: f64| {
            let (_, since, _) = self.spare.range((kind, 0, 0)..).next().filter(|s| s.0 == kind)?;
            Some(*since as f64 / 1e6 + stay)
        };
        let (fresh, idle) = if self.free() { (FIRST_REQUEST, IDLE_MOST) } else { (FRESH_GRACE, IDLE_GRACE) };
        first(Use::Fresh, fresh).into_iter().chain(first(Use::Idle, idle)).reduce(f64::min)
    }

    fn place(&mut self, now: Time, id: SeatId, kind: Use) {
        self.leave(id);
        let since = micros(now);
        self.seated.insert(id, (kind, since));
        if kind != Use::Busy {
            self.spare.insert((kind, since, id));
        }
    }

    /// Takes the longest of a kind off those that may give way, if it is so since `before`.
    fn longest(&mut self, kind: Use, before: Time) -> Option<SeatId> {
        let found = *self.spare.range((kind, 0, 0)..).next()?;
        if found.0 != kind || found.1 > micros(before) {
            return None;
        }
        self.spare.remove(&found);
        Some(found.2)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_longest_useless_gives_way_and_an_open_request_never() {
        let mut seats = Seats::new(4);
        for (at, id) in [(9.0, 1), (9.1, 2), (9.2, 3), (9.3, 4)] {
            seats.sit(at, id);
        }
        seats.busy(9.3, 1);
        seats.idle(9.3, 2);
        assert!(!seats.free());
        assert_eq!(seats.overdue(9.44), [0u64; 0], "its request may be on its way");
        assert_eq!(seats.next_overdue(), Some(9.45));
        assert_eq!(seats.overdue(9.45), [3], "before an idle one");
        seats.leave(3);
        assert!(seats.free());
        seats.sit(9.5, 5);
        assert_eq!(seats.overdue(9.8), [4]);
        assert_eq!(seats.overdue(9.8), [5], "none is named twice");
        assert_eq!(seats.overdue(11.31), [2], "idle for two seconds");
        assert_eq!(seats.overdue(1e6), [0u64; 0], "the busy one stays");
    }

    #[test]
    fn at_the_end_the_idle_go_and_the_new_keep_their_time() {
        let mut seats = Seats::new(4);
        (1..=3).for_each(|id| seats.sit(1.0, id));
        seats.idle(1.5, 2);
        seats.busy(1.5, 3);
        assert_eq!(seats.unused(), [2]);
        assert_eq!(seats.unused(), [0u64; 0], "none is named twice");
        assert_eq!(seats.overdue(1.0 + FIRST_REQUEST), [1]);
    }

    #[test]
    fn one_that_says_nothing_is_let_go_though_seats_are_free() {
        let mut seats = Seats::new(4);
        seats.sit(1.0, 1);
        assert_eq!(seats.next_overdue(), Some(1.0 + FIRST_REQUEST));
        assert_eq!(seats.overdue(1.0 + FIRST_REQUEST), [1]);
        seats.leave(1);
        assert_eq!((seats.len(), seats.next_overdue()), (0, None));
    }

    #[test]
    fn where_hundreds_say_nothing_several_give_way_at_once() {
        let mut seats = Seats::new(80);
        (0..80).for_each(|id| seats.sit(100.0, id));
        assert_eq!(seats.overdue(101.0).len(), 10);
    }
}
