//! Idle connections to servers, whatever a connection is: which is used next, which gives way, which is too old.

use std::collections::HashMap;
use weirusher::Time;

/// Connections kept idle for one server: a pause after a rush must not cost a new one each.
const MOST_IDLE: usize = 32;

/// Idle connections by place, the most recently used first, and how many connections are open in all.
///
/// A connection counts from [`Pool::opening`] until [`Pool::closed`], or until it is handed out to be dropped.
#[derive(Debug)]
pub struct Pool<K, T> {
    idle: HashMap<K, Vec<(Time, T)>>,
    open: usize,
    most: usize,
    limit: f64,
}

/// Whether one more connection may be opened.
#[derive(Debug, PartialEq, Eq)]
pub enum Room<T> {
    /// There is room.
    Free,
    /// There is room once this idle one is dropped: it was of no use for longest.
    Instead(T),
    /// All are in use.
    Full,
}

impl<K: std::hash::Hash + Eq + Clone, T> Pool<K, T> {
    /// At most `most` connections, each kept idle for `limit` seconds.
    pub fn new(most: usize, limit: f64) -> Self {
        Self { idle: HashMap::new(), open: 0, most, limit }
    }

    /// Connections open, idle or in use.
    pub fn open(&self) -> usize {
        self.open
    }

    /// The most recently used idle connection to a place, unless it is too old by now.
    pub fn take(&mut self, now: Time, place: &K) -> Option<T> {
        let idle = self.idle.get_mut(place)?;
        let (since, connection) = idle.pop()?;
        if idle.is_empty() {
            self.idle.remove(place);
        }
        if now - since < self.limit {
            return Some(connection);
        }
        self.open -= 1;
        None
    }

    /// One more connection is to be opened; it counts from now on, but where all are in use.
    pub fn opening(&mut self) -> Room<T> {
        if self.open < self.most {
            self.open += 1;
            return Room::Free;
        }
        let oldest =
            |(_, idle): &(&K, &Vec<(Time, T)>)| idle.first().map_or(f64::INFINITY, |(since, _)| *since);
        let longest = self.idle.iter().min_by(|a, b| oldest(a).total_cmp(&oldest(b)));
        let Some(place) = longest.map(|(place, _)| place.clone()) else { return Room::Full };
        let idle = self.idle.get_mut(&place).expect("found above");
        let (_, connection) = idle.remove(0);
        if idle.is_empty() {
            self.idle.remove(&place);
        }
        Room::Instead(connection)
    }

    /// A connection that was in use is closed.
    pub fn closed(&mut self) {
        self.open -= 1;
    }

    /// A connection is idle again; where a place has enough of them, its oldest comes back to be dropped.
    pub fn put(&mut self, now: Time, place: K, connection: T) -> Option<T> {
        let idle = self.idle.entry(place).or_default();
        idle.push((now, connection));
        if idle.len() <= MOST_IDLE {
            return None;
        }
        self.open -= 1;
        Some(idle.remove(0).1)
    }

    /// Takes out what is idle for too long, and all of the places that are not to be kept.
    pub fn prune(&mut self, now: Time, keep: impl Fn(&K) -> bool) -> Vec<T> {
        let mut out = Vec::new();
        let limit = self.limit;
        self.idle.retain(|place, idle| {
            let young = if keep(place) {
                idle.partition_point(|(since, _)| now - since >= limit)
            } else {
                idle.len()
            };
            out.extend(idle.drain(..young).map(|(_, connection)| connection));
            !idle.is_empty()
        });
        self.open -= out.len();
        out
    }

    /// When [`Pool::prune`] next finds something that is too old.
    pub fn next_prune(&self) -> Option<Time> {
        self.idle.values().filter_map(|idle| Some(idle.first()?.0 + self.limit)).reduce(f64::min)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_most_recently_used_goes_first_and_the_old_are_dropped() {
        let mut pool = Pool::new(8, 10.0);
        for connection in 1..=3 {
            assert_eq!(pool.opening(), Room::Free);
            assert_eq!(pool.put(f64::from(connection), "a", connection), None);
        }
        assert_eq!(pool.take(4.0, &"a"), Some(3));
        assert_eq!(pool.next_prune(), Some(11.0));
        assert_eq!(pool.prune(11.5, |_| true), [1]);
        assert_eq!((pool.take(12.5, &"a"), pool.open()), (None, 1), "the second is too old by now");
    }

    #[test]
    fn at_the_bound_the_longest_idle_gives_way_to_a_new_one() {
        let mut pool = Pool::new(2, 10.0);
        assert_eq!((pool.opening(), pool.opening()), (Room::Free, Room::Free));
        assert_eq!(pool.opening(), Room::Full);
        assert!(pool.put(1.0, "b", 2).is_none() && pool.put(0.5, "a", 1).is_none());
        assert_eq!(pool.opening(), Room::Instead(1));
        assert_eq!(pool.open(), 2);
        pool.closed();
        assert_eq!((pool.opening(), pool.open()), (Room::Free, 2));
    }

    #[test]
    fn a_place_that_is_left_loses_its_connections() {
        let mut pool = Pool::new(8, 10.0);
        for place in ["a", "b"] {
            pool.opening();
            pool.put(0.0, place, place);
        }
        assert_eq!(pool.prune(0.0, |place| *place == "b"), ["a"]);
        assert_eq!((pool.open(), pool.take(0.0, &"a"), pool.take(0.0, &"b")), (1, None, Some("b")));
    }

    #[test]
    fn a_place_keeps_so_many_and_no_more() {
        let mut pool = Pool::new(1000, 10.0);
        (0..MOST_IDLE).for_each(|n| assert_eq!((pool.opening(), pool.put(0.0, "a", n)), (Room::Free, None)));
        pool.opening();
        assert_eq!((pool.put(0.0, "a", 999), pool.open()), (Some(0), MOST_IDLE));
    }
}
