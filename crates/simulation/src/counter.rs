//! A model of the counter, and of a gateway's connection to it. Times are seconds.

use std::collections::HashMap;
use weirusher_core::{Backoff, EndedCall, Pipeline};

#[derive(Debug, Clone, Copy)]
struct Count {
    total: f64,
    expires_at: f64,
}

/// The counts that the counter holds, by name.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    counts: HashMap<u64, Count>,
}

impl Counts {
    /// Adds to a count, which starts at 0 if it is new or expired, and returns its total. A new count expires after
    /// `ttl`.
    pub fn add(&mut self, now: f64, name: u64, amount: f64, ttl: f64) -> f64 {
        let new = Count { total: 0.0, expires_at: now + ttl };
        let count = self.counts.entry(name).or_insert(new);
        if count.expires_at <= now {
            *count = new;
        }
        count.total += amount;
        count.total
    }

    pub fn clear(&mut self) {
        self.counts.clear();
    }
}

/// The state of the counter, as set by faults.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(crate) enum CounterHealth {
    #[default]
    Healthy,
    /// It counts calls, but never responds to them.
    Silent,
    /// Existing connections break immediately, and no new ones can be established.
    Unreachable,
    /// It counts a call, then closes the connection.
    Reset,
    /// It counts a call, then responds with an error.
    WrongType,
    /// It counts calls, and takes this many seconds for each response, one after the other.
    Slow(f64),
}

/// One gateway's connection to the counter.
pub(crate) struct CounterConnection {
    pub pipeline: Pipeline<u64>,
    pub backoff: Backoff,
    /// Incremented at each connect and disconnect. Events of an earlier generation are dropped, except calls that are on
    /// their way to the counter.
    pub generation: u64,
    pub connected: bool,
    /// The counter never responds on this connection again.
    pub silent: bool,
    /// When the latest scheduled response arrives at the gateway.
    pub last_response_at: f64,
    /// Whether any response arrived on this connection; if so, its end resets the backoff.
    pub any_response: bool,
    /// When the latest scheduled call arrives at the counter.
    pub last_call_at: f64,
}

impl CounterConnection {
    pub fn new(call_timeout: f64, seed: u64) -> Self {
        Self {
            pipeline: Pipeline::new(call_timeout),
            backoff: Backoff::new(seed),
            generation: 0,
            connected: true,
            silent: false,
            last_response_at: 0.0,
            any_response: false,
            last_call_at: 0.0,
        }
    }

    /// Opens a new connection.
    pub fn connect(&mut self, call_timeout: f64) {
        self.pipeline = Pipeline::new(call_timeout);
        (self.connected, self.silent, self.any_response) = (true, false, false);
        (self.last_response_at, self.last_call_at) = (0.0, 0.0);
        self.generation += 1;
    }

    /// Closes the connection. Returns the calls that were in flight, and the seconds until the gateway reconnects.
    pub fn disconnect(&mut self, now: f64) -> (Vec<EndedCall<u64>>, f64) {
        self.connected = false;
        self.generation += 1;
        if self.any_response {
            self.backoff.reset();
        }
        (self.pipeline.close(now), self.backoff.next_delay())
    }
}
