//! A model of the counter, and of one gateway's connection to it.

use std::collections::HashMap;
use weirusher_core::{Backoff, EndedCall, Pipeline};

/// The counts of a counter.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    names: HashMap<u64, (f64, f64)>,
}

impl Counts {
    /// Adds to a name, which begins at nothing where it is new or forgotten.
    pub fn add(&mut self, now: f64, name: u64, amount: f64, ttl: f64) -> f64 {
        let (total, until) = self.names.entry(name).or_insert((0.0, now + ttl));
        if *until <= now {
            (*total, *until) = (0.0, now + ttl);
        }
        *total += amount;
        *total
    }

    pub fn empty(&mut self) {
        self.names.clear();
    }
}

/// What is wrong with the counter.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(crate) enum State {
    #[default]
    Well,
    /// It takes calls, counts them and answers nothing.
    Silent,
    /// Connections break at once, and none is made.
    Gone,
    /// It counts, and closes the connection.
    Reset,
    /// It counts, and answers with an error.
    Wrong,
    /// It counts, and answers so many seconds late, one call after the other.
    Late(f64),
}

/// One gateway's connection.
pub(crate) struct Line {
    pub pipeline: Pipeline<u64>,
    pub backoff: Backoff,
    /// Which connection this is; what belongs to an earlier one is dropped.
    pub made: u64,
    pub up: bool,
    /// It will answer nothing more.
    pub mute: bool,
    /// Until when its answers are held up.
    pub busy: f64,
    pub answered: bool,
    /// When the last call sent arrives at the counter.
    pub sent: f64,
}

impl Line {
    pub fn new(limit: f64, seed: u64) -> Self {
        Self {
            pipeline: Pipeline::new(limit),
            backoff: Backoff::new(seed),
            made: 0,
            up: true,
            mute: false,
            busy: 0.0,
            answered: false,
            sent: 0.0,
        }
    }

    /// A new connection.
    pub fn connect(&mut self, limit: f64) {
        self.pipeline = Pipeline::new(limit);
        (self.up, self.mute, self.busy, self.answered, self.sent) = (true, false, 0.0, false, 0.0);
        self.made += 1;
    }

    /// The connection is gone; its calls that still waited, and the pause.
    pub fn drop_connection(&mut self, now: f64) -> (Vec<EndedCall<u64>>, f64) {
        self.up = false;
        self.made += 1;
        if self.answered {
            self.backoff.reset();
        }
        (self.pipeline.close(now), self.backoff.next_delay())
    }
}
