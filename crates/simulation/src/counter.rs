//! A model of the counter, and of one gateway's connection to it. Times are seconds.

use std::collections::HashMap;
use weirusher_core::{Backoff, EndedCall, Pipeline};

#[derive(Debug, Clone, Copy)]
struct Count {
    total: f64,
    expires_at: f64,
}

/// The counts of a counter, by name.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    counts: HashMap<u64, Count>,
}

impl Counts {
    /// Adds to a count, which begins at 0 where it is new or expired, and returns its total.
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

/// The condition of the counter.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(crate) enum CounterHealth {
    #[default]
    Healthy,
    /// It takes calls, counts them and answers nothing.
    Silent,
    /// Connections break at once, and none can be made.
    Unreachable,
    /// It counts, and closes the connection.
    Reset,
    /// It counts, and answers with an error.
    WrongType,
    /// It counts, and answers so many seconds late, one call after the other.
    Slow(f64),
}

/// One gateway's connection to the counter.
pub(crate) struct CounterConnection {
    pub pipeline: Pipeline<u64>,
    pub backoff: Backoff,
    /// Counts connections and their ends: an event of an earlier one is dropped.
    pub generation: u64,
    pub connected: bool,
    /// No response will come any more.
    pub silent: bool,
    /// When the last response so far arrives.
    pub last_response_at: f64,
    pub any_response: bool,
    /// When the last call so far arrives at the counter.
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

    /// Closes the connection. Returns the calls that were in flight, and the seconds until a reconnect.
    pub fn disconnect(&mut self, now: f64) -> (Vec<EndedCall<u64>>, f64) {
        self.connected = false;
        self.generation += 1;
        if self.any_response {
            self.backoff.reset();
        }
        (self.pipeline.close(now), self.backoff.next_delay())
    }
}
