//! The backends that the endpoint list has named, and what attempts have shown of each. Times are in seconds.

use super::token_bucket::TokenBucket;
use super::tuning::{EWMA_GAIN, INITIAL_EJECTION_SECONDS, OBSERVATION_MEMORY_SECONDS};
use crate::interface::{BackendId, Endpoint, Time};
use std::collections::HashMap;

/// A backend as this gateway knows it.
#[derive(Debug, Default)]
pub(super) struct Backend {
    pub(super) id: BackendId,
    pub(super) zone: u32,
    pub(super) cell: u32,
    /// It has been in the list.
    listed: bool,
    /// The list shows it as running: it takes new requests.
    pub(super) running: bool,
    /// When it started, or may have restarted.
    pub(super) started: Time,
    /// Attempts of this gateway that are in flight.
    pub(super) in_flight: f64,
    /// Mean latency of its attempts; older ones count less.
    pub(super) latency: f64,
    /// When the last of them ended.
    pub(super) last_observed: Time,
    /// Failed attempts in a row.
    pub(super) failures: u32,
    /// It could not be connected to.
    pub(super) unreachable: bool,
    pub(super) ejected_until: Time,
    /// How long its next ejection lasts.
    pub(super) next_ejection_seconds: f64,
    /// Units that it may be sent in its slow start.
    pub(super) slow_start: TokenBucket,
}

impl Backend {
    /// Takes over an entry of the endpoint list. `initial` is what a backend starts with that is new or has
    /// restarted: nothing learned before holds, but the attempts in flight remain.
    pub(super) fn update(&mut self, entry: &Endpoint, initial: Initial) {
        (self.zone, self.cell) = (entry.zone, entry.cell);
        if !self.listed || entry.started > self.started {
            *self = Self {
                id: self.id.clone(),
                zone: self.zone,
                cell: self.cell,
                listed: true,
                in_flight: self.in_flight,
                started: entry.started,
                latency: initial.latency,
                slow_start: initial.slow_start,
                next_ejection_seconds: INITIAL_EJECTION_SECONDS,
                ..Self::default()
            };
        }
    }

    /// Learns from the latency of an attempt that was served or timed out.
    pub(super) fn observe_latency(&mut self, now: Time, elapsed: f64) {
        // A gateway of many observes a backend rarely, and it may have changed since: old values count less.
        let old_weight = (1.0 - EWMA_GAIN) * (-(now - self.last_observed) / OBSERVATION_MEMORY_SECONDS).exp();
        self.latency = elapsed + (self.latency - elapsed) * old_weight;
        self.last_observed = now;
    }
}

/// What a new or restarted backend starts with.
#[derive(Debug, Clone, Copy)]
pub(super) struct Initial {
    /// Seconds; the mean of all backends.
    pub(super) latency: f64,
    /// Its level, from 0 to 1, is random, so that gateways do not send their first attempts at one instant.
    pub(super) slow_start: TokenBucket,
}

/// All backends, found by index, by name or in the order of the running ones.
#[derive(Debug, Default)]
pub(super) struct BackendTable {
    /// All backends ever listed; an index stays valid.
    pub(super) all: Vec<Backend>,
    index: HashMap<BackendId, usize>,
    /// Indices of the running ones, in the order of their names.
    pub(super) running: Vec<usize>,
}

impl BackendTable {
    /// The index of a backend that has been listed.
    pub(super) fn find(&self, id: &BackendId) -> Option<usize> {
        self.index.get(id).copied()
    }

    /// The backend of this name, which is added where it is new.
    pub(super) fn find_or_add(&mut self, id: &BackendId) -> &mut Backend {
        let next = self.all.len();
        let index = *self.index.entry(id.clone()).or_insert(next);
        if index == next {
            self.all.push(Backend { id: id.clone(), ..Backend::default() });
        }
        &mut self.all[index]
    }

    /// Finds the running backends again after a change of the list.
    pub(super) fn refresh_running(&mut self) {
        self.running = (0..self.all.len()).filter(|index| self.all[*index].running).collect();
        self.running.sort_unstable_by(|a, b| self.all[*a].id.cmp(&self.all[*b].id));
    }
}
