//! Slots for client connections: which connections are kept, and which are closed when file descriptors run
//! short.
//!
//! Each connection takes a slot from when it is accepted until it is closed. One without an open request is
//! closed when it has stayed in its state for too long, and sooner when all slots are taken. All times are in
//! seconds.

use crate::shutdown::Shutdown;
use std::collections::{BTreeMap, BTreeSet};
use weirusher::Time;

/// Seconds within which a new connection must send its first byte, and a client that has sent part of a
/// request must send the rest.
pub const REQUEST_READ_TIMEOUT: f64 = 2.5;
/// Seconds for which a connection without an open request is kept while all slots are taken, because its next
/// request may be in transit. A longer time would keep new clients waiting to be accepted.
const EVICTION_GRACE: f64 = 0.25;
/// Seconds after which an idle connection is closed.
const IDLE_TIMEOUT: f64 = 20.0;
/// Replaces [`EVICTION_GRACE`] for a new connection during a shutdown while all slots are taken: its request
/// has had time to arrive while the connection waited to be accepted.
const SHUTDOWN_EVICTION_GRACE: f64 = 0.02;
/// When no slot is free, the capacity divided by this (rounded up) is the number of connections evicted at
/// once.
const EVICTION_DIVISOR: usize = 8;

/// Identifies a client connection within the process.
pub type SlotId = u64;

/// What a connection is doing. The variants are in the order of eviction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ConnectionState {
    /// Nothing was received on the connection.
    New,
    /// Part of a request was received.
    Reading,
    /// No request is open.
    Idle,
    /// A request is open: the connection is never evicted.
    Active,
}

/// The states in which a connection may be evicted, in the order of eviction.
const EVICTABLE: [ConnectionState; 3] =
    [ConnectionState::New, ConnectionState::Reading, ConnectionState::Idle];

/// Number of connections in each state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SlotCounts {
    /// Nothing was received.
    pub new: usize,
    /// Part of a request was received.
    pub reading: usize,
    /// No request is open.
    pub idle: usize,
    /// A request is open.
    pub active: usize,
}

/// A connection and its state, ordered by state and then by the time spent in it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SlotEntry {
    state: ConnectionState,
    /// When it entered the state, in microseconds.
    since_micros: u64,
    id: SlotId,
}

impl SlotEntry {
    fn since(&self) -> Time {
        self.since_micros as f64 / 1e6
    }
}

/// The client connections of a gateway, bounded in number.
#[derive(Debug)]
pub struct ConnectionSlots {
    capacity: usize,
    connections: BTreeMap<SlotId, SlotEntry>,
    /// Connections without an open request that [`ConnectionSlots::take_evicted`] has not returned yet.
    evictable: BTreeSet<SlotEntry>,
    shutdown: Option<Shutdown>,
}

/// Converts a time to whole microseconds, which can be ordered.
fn micros(at: Time) -> u64 {
    (at * 1e6) as u64
}

impl ConnectionSlots {
    /// Creates slots for at most `capacity` connections.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, connections: BTreeMap::new(), evictable: BTreeSet::new(), shutdown: None }
    }

    /// Number of slots taken.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether no slot is taken.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Number of connections in each state.
    pub fn counts(&self) -> SlotCounts {
        let mut counts = SlotCounts::default();
        for connection in self.connections.values() {
            match connection.state {
                ConnectionState::New => counts.new += 1,
                ConnectionState::Reading => counts.reading += 1,
                ConnectionState::Idle => counts.idle += 1,
                ConnectionState::Active => counts.active += 1,
            }
        }
        counts
    }

    /// Whether one more connection may be accepted.
    pub fn has_free(&self) -> bool {
        self.connections.len() < self.capacity
    }

    /// Adds a connection that was accepted.
    pub fn insert(&mut self, now: Time, id: SlotId) {
        self.set_state(now, id, ConnectionState::New);
    }

    /// Records that part of a request was received. The rest must arrive within [`REQUEST_READ_TIMEOUT`].
    pub fn set_reading(&mut self, now: Time, id: SlotId) {
        self.set_state(now, id, ConnectionState::Reading);
    }

    /// Records that a request was read and is open.
    pub fn set_active(&mut self, now: Time, id: SlotId) {
        self.set_state(now, id, ConnectionState::Active);
    }

    /// Records that the request was answered and nothing more was received.
    pub fn set_idle(&mut self, now: Time, id: SlotId) {
        self.set_state(now, id, ConnectionState::Idle);
    }

    /// Removes a connection that was closed.
    pub fn remove(&mut self, id: SlotId) {
        if let Some(connection) = self.connections.remove(&id) {
            self.evictable.remove(&connection);
        }
    }

    /// Records that a shutdown began: idle connections are to be closed at once, new ones after a short grace
    /// period, and those with part of a request once its response could no longer be written in time.
    pub fn begin_shutdown(&mut self, shutdown: Shutdown) {
        self.shutdown = Some(shutdown);
    }

    /// Returns the connections to be closed now: those past the timeout of their state and, while all slots
    /// are taken, those that have been without an open request for longest. They keep their slots until
    /// [`Self::remove`] and are not returned again.
    pub fn take_evicted(&mut self, now: Time) -> Vec<SlotId> {
        let mut evicted = Vec::new();
        for state in EVICTABLE {
            while let Some(id) = self.evict_longest(state, now, self.timeout(state)) {
                evicted.push(id);
            }
        }
        // Several are evicted at once, so that with hundreds of silent connections not every new client has
        // to wait for an eviction.
        while !self.has_free() && evicted.len() < self.capacity.div_ceil(EVICTION_DIVISOR) {
            let next = EVICTABLE.into_iter().find_map(|state| self.evict_longest(state, now, EVICTION_GRACE));
            let Some(id) = next else { break };
            evicted.push(id);
        }
        evicted
    }

    /// When [`ConnectionSlots::take_evicted`] must be called next.
    pub fn next_eviction(&self) -> Option<Time> {
        let full = !self.has_free();
        let due = |state| {
            let longest = self.longest(state)?;
            let timeout = self.timeout(state);
            Some(self.due(&longest, if full { EVICTION_GRACE.min(timeout) } else { timeout }))
        };
        EVICTABLE.into_iter().filter_map(due).reduce(f64::min)
    }

    /// Seconds that a connection may stay in a state, even while slots are free.
    fn timeout(&self, state: ConnectionState) -> f64 {
        match (state, self.shutdown) {
            (ConnectionState::New, None) | (ConnectionState::Reading, _) => REQUEST_READ_TIMEOUT,
            (ConnectionState::New, Some(_)) if self.has_free() => EVICTION_GRACE,
            (ConnectionState::New, Some(_)) => SHUTDOWN_EVICTION_GRACE,
            (ConnectionState::Idle, None) => IDLE_TIMEOUT,
            (ConnectionState::Idle, Some(_)) => 0.0,
            (ConnectionState::Active, _) => f64::INFINITY,
        }
    }

    /// When a connection has been in its state for `timeout` seconds. During a shutdown the timeout of a
    /// connection that was already waiting for its first byte starts with the shutdown. No timeout then
    /// extends past the time for the last response.
    fn due(&self, connection: &SlotEntry, timeout: f64) -> Time {
        let since = connection.since();
        match self.shutdown {
            None => since + timeout,
            Some(shutdown) if connection.state == ConnectionState::New => {
                (since.max(shutdown.started_at) + timeout).min(shutdown.respond_by())
            }
            Some(shutdown) => (since + timeout).min(shutdown.respond_by()),
        }
    }

    /// The evictable connection that has been in a state for longest.
    fn longest(&self, state: ConnectionState) -> Option<SlotEntry> {
        let first = SlotEntry { state, since_micros: 0, id: 0 };
        self.evictable.range(first..).next().copied().filter(|found| found.state == state)
    }

    fn set_state(&mut self, now: Time, id: SlotId, state: ConnectionState) {
        self.remove(id);
        let connection = SlotEntry { state, since_micros: micros(now), id };
        self.connections.insert(id, connection);
        if state != ConnectionState::Active {
            self.evictable.insert(connection);
        }
    }

    /// Evicts the connection that has been in a state for longest, if that is `timeout` seconds.
    fn evict_longest(&mut self, state: ConnectionState, now: Time, timeout: f64) -> Option<SlotId> {
        let longest = self.longest(state)?;
        // Compared in microseconds, the precision of the times that are stored.
        if micros(self.due(&longest, timeout)) > micros(now) {
            return None;
        }
        self.evictable.remove(&longest);
        Some(longest.id)
    }
}
