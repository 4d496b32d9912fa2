//! The backends that the endpoint list has named, with statistics of their attempts. Times are in seconds.

use super::token_bucket::TokenBucket;
use super::tuning::{EWMA_GAIN, INITIAL_EJECTION_SECONDS, OBSERVATION_MEMORY_SECONDS};
use crate::interface::{BackendId, Endpoint, Lifecycle, Location, Time};
use std::collections::HashMap;

/// A backend as this gateway knows it.
#[derive(Debug, Default)]
pub(super) struct Backend {
    pub(super) id: BackendId,
    /// Where it runs, according to its last entry that takes new requests.
    pub(super) location: Location,
    /// It has been in the list.
    listed: bool,
    /// The list shows it as running, so it takes new requests.
    pub(super) running: bool,
    /// When it started, or may have restarted.
    pub(super) started: Time,
    /// Attempts of this gateway that are in flight.
    pub(super) in_flight: f64,
    /// Moving average of the latency of its attempts.
    pub(super) latency: f64,
    /// When the latency was last updated.
    pub(super) last_observed: Time,
    /// Consecutive failed attempts.
    pub(super) failures: u32,
    /// It refused a connection, or connecting failed as often as an ejection requires: it may have restarted.
    pub(super) unreachable: bool,
    pub(super) ejected_until: Time,
    /// Duration of its next ejection.
    pub(super) next_ejection_seconds: f64,
    /// Units that it may be sent during its slow start.
    pub(super) slow_start: TokenBucket,
}

impl Backend {
    /// Applies an entry of the endpoint list, and returns whether the backend is at another location than
    /// before. A backend that is new, has restarted or has moved is reset to `initial`, as earlier
    /// observations no longer hold; only its attempts in flight are kept.
    pub(super) fn update(&mut self, entry: &Endpoint, initial: InitialState) -> bool {
        self.running = entry.lifecycle == Lifecycle::Running;
        // An entry that takes no new requests may state no location.
        let states_location = self.running || !self.listed;
        let location = if states_location { entry.location } else { self.location };
        let moved = self.listed && location != self.location;
        if !self.listed || moved || entry.started > self.started {
            *self = Self {
                id: self.id.clone(),
                location,
                running: self.running,
                listed: true,
                in_flight: self.in_flight,
                started: entry.started,
                latency: initial.latency,
                slow_start: initial.slow_start,
                next_ejection_seconds: INITIAL_EJECTION_SECONDS,
                ..Self::default()
            };
        }
        moved
    }

    /// Adds the latency of an attempt that was served or timed out to the moving average.
    pub(super) fn observe_latency(&mut self, now: Time, elapsed: f64) {
        // In a large fleet a gateway observes each backend rarely, and the backend may have changed since the
        // last observation. So old values lose weight with time.
        let old_weight = (1.0 - EWMA_GAIN) * (-(now - self.last_observed) / OBSERVATION_MEMORY_SECONDS).exp();
        self.latency = elapsed + (self.latency - elapsed) * old_weight;
        self.last_observed = now;
    }
}

/// State of a new or restarted backend.
#[derive(Debug, Clone, Copy)]
pub(super) struct InitialState {
    /// The mean latency of all backends, in seconds.
    pub(super) latency: f64,
    /// Its level is random, from 0 to 1, so that not all gateways send their first attempt at the same time.
    pub(super) slow_start: TokenBucket,
}

/// All backends, accessible by index and by id, with a sorted list of the running ones.
#[derive(Debug, Default)]
pub(super) struct BackendTable {
    /// All backends ever listed. None is removed, so an index stays valid.
    pub(super) all: Vec<Backend>,
    index: HashMap<BackendId, usize>,
    /// Indices of the running backends, sorted by id.
    pub(super) running: Vec<usize>,
}

impl BackendTable {
    /// Returns the index of a backend, or `None` if it was never listed.
    pub(super) fn find(&self, id: &BackendId) -> Option<usize> {
        self.index.get(id).copied()
    }

    /// Returns the backend with this id; a new one is added.
    pub(super) fn find_or_add(&mut self, id: &BackendId) -> &mut Backend {
        let next = self.all.len();
        let index = *self.index.entry(id.clone()).or_insert(next);
        if index == next {
            self.all.push(Backend { id: id.clone(), ..Backend::default() });
        }
        &mut self.all[index]
    }

    /// Rebuilds the sorted list of running backends after a change of the endpoint list.
    pub(super) fn refresh_running(&mut self) {
        self.running = (0..self.all.len()).filter(|index| self.all[*index].running).collect();
        self.running.sort_unstable_by(|a, b| self.all[*a].id.cmp(&self.all[*b].id));
    }
}
