//! A bounded pool of connections to backends. It selects the idle connection that is used next and the
//! connections to be closed.
//!
//! The pool is generic over connections and endpoints: it stores values of any type by endpoint. All times
//! are in seconds.

use std::collections::HashMap;
use weirusher::Time;

/// Maximum number of idle connections to one endpoint: enough to reuse, after a pause, those that a burst of
/// requests has opened.
const MAX_IDLE_PER_ENDPOINT: usize = 32;
/// Seconds for which a connection is not reused after a response. A faulty backend may send a second response
/// a few milliseconds after the first, which would be taken for the response to the next request.
const REUSE_DELAY: f64 = 0.01;

/// An idle connection.
#[derive(Debug)]
struct Idle<T> {
    since: Time,
    connection: T,
}

/// Idle connections by endpoint, and the number of open connections, idle or in use.
///
/// A connection counts as open from [`ConnectionPool::reserve`] until [`ConnectionPool::release`], or until
/// the pool returns it to be closed.
#[derive(Debug)]
pub struct ConnectionPool<K, T> {
    /// By endpoint, longest idle first. No list is empty.
    idle: HashMap<K, Vec<Idle<T>>>,
    open: usize,
    max_open: usize,
    idle_timeout: f64,
}

/// Whether one more connection may be opened.
#[derive(Debug, PartialEq, Eq)]
pub enum Reservation<T> {
    /// It may be opened.
    Granted,
    /// It may be opened once this connection, which was idle for longest, is closed.
    Evicted(T),
    /// It may not: all connections are in use.
    Exhausted,
}

impl<K: std::hash::Hash + Eq + Clone, T> ConnectionPool<K, T> {
    /// Creates a pool of at most `max_open` connections, each kept idle for `idle_timeout` seconds.
    pub fn new(max_open: usize, idle_timeout: f64) -> Self {
        Self { idle: HashMap::new(), open: 0, max_open, idle_timeout }
    }

    /// Number of open connections, idle or in use.
    pub fn open(&self) -> usize {
        self.open
    }

    /// Takes an idle connection to an endpoint: the most recently used of those that may be reused already.
    /// `None` if there is none, or if that one has timed out; it is then dropped.
    pub fn take(&mut self, now: Time, endpoint: &K) -> Option<T> {
        let idle = self.idle.get_mut(endpoint)?;
        let reusable = idle.partition_point(|entry| now - entry.since >= REUSE_DELAY);
        let Idle { since, connection } = idle.remove(reusable.checked_sub(1)?);
        if idle.is_empty() {
            self.idle.remove(endpoint);
        }
        if now - since < self.idle_timeout {
            return Some(connection);
        }
        self.open -= 1;
        None
    }

    /// Reserves one more connection, which counts as open from now on unless the pool is exhausted.
    pub fn reserve(&mut self) -> Reservation<T> {
        if self.open < self.max_open {
            self.open += 1;
            return Reservation::Granted;
        }
        let idle_since =
            |(_, idle): &(&K, &Vec<Idle<T>>)| idle.first().map_or(f64::INFINITY, |entry| entry.since);
        let longest = self.idle.iter().min_by(|a, b| idle_since(a).total_cmp(&idle_since(b)));
        let Some(endpoint) = longest.map(|(endpoint, _)| endpoint.clone()) else {
            return Reservation::Exhausted;
        };
        let Some(idle) = self.idle.get_mut(&endpoint) else { return Reservation::Exhausted };
        let evicted = idle.remove(0);
        if idle.is_empty() {
            self.idle.remove(&endpoint);
        }
        Reservation::Evicted(evicted.connection)
    }

    /// Records that a connection in use was closed.
    pub fn release(&mut self) {
        self.open -= 1;
    }

    /// Puts back a connection that is idle again. If its endpoint then has too many idle connections, returns
    /// the one idle for longest, to be closed.
    pub fn put(&mut self, now: Time, endpoint: K, connection: T) -> Option<T> {
        let idle = self.idle.entry(endpoint).or_default();
        idle.push(Idle { since: now, connection });
        if idle.len() <= MAX_IDLE_PER_ENDPOINT {
            return None;
        }
        self.open -= 1;
        Some(idle.remove(0).connection)
    }

    /// Takes the connections to be closed: those that have timed out, and all idle ones of endpoints for
    /// which `keep` is false.
    pub fn evict(&mut self, now: Time, keep: impl Fn(&K) -> bool) -> Vec<T> {
        let mut evicted = Vec::new();
        let timeout = self.idle_timeout;
        self.idle.retain(|endpoint, idle| {
            let expired = if keep(endpoint) {
                idle.partition_point(|entry| now - entry.since >= timeout)
            } else {
                idle.len()
            };
            evicted.extend(idle.drain(..expired).map(|entry| entry.connection));
            !idle.is_empty()
        });
        self.open -= evicted.len();
        evicted
    }

    /// When the next idle connection times out.
    pub fn next_eviction(&self) -> Option<Time> {
        self.idle.values().filter_map(|idle| Some(idle.first()?.since + self.idle_timeout)).reduce(f64::min)
    }
}
