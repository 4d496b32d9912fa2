//! When backends started, on the gateway's own clock.
//!
//! An endpoint list states each start on another host's wall clock, which may be wrong or stepped. The order
//! of the lists is sure: a backend that appears in a list started no earlier than the last list without it
//! was current, and no later than the list that names it arrived. The first bound gets a tolerance, as lists
//! arrive late. Times are Unix seconds.

use std::collections::HashMap;
use weirusher::{BackendId, Endpoint, EndpointListKind, Time};

/// Backends whose start times are remembered, listed or not: one that is listed again has not started again.
const MAX_BACKENDS: usize = 8192;
/// By what factor the capacity of a backend in slow start may be overestimated, where its start time arrives
/// late or from another clock. The decisions plan with 0.4 of the capacity of a backend that just started;
/// with this error they use 0.6 of it.
const MAX_CAPACITY_ERROR: f64 = 1.5;
/// Seconds by which a restart is later than the start before it, at least.
const MIN_RESTART_SECONDS: f64 = 1e-3;

#[derive(Debug)]
struct StartTime {
    /// As the endpoint list states it.
    reported: f64,
    /// On the gateway's clock.
    local: Time,
    /// When a list last named the backend.
    last_listed: Time,
}

/// The start times of all backends.
#[derive(Debug, Default)]
pub(crate) struct StartTimes {
    known: HashMap<BackendId, StartTime>,
    /// When the present list was last known to be current.
    list_current_at: Option<Time>,
    /// Seconds by which a start may lie before the list that named it was current.
    tolerance: f64,
}

impl StartTimes {
    /// For backends that start at `min_capacity` of their capacity and reach all of it after
    /// `slow_start_seconds`.
    ///
    /// A list that names a start is some seconds late even if all clocks agree. A reported time is accepted
    /// as far as the error in capacity stays within [`MAX_CAPACITY_ERROR`]: a start taken to be `a` seconds
    /// too early adds `(1 - min_capacity) * a / slow_start_seconds` to the capacity, which is `min_capacity`
    /// at the least.
    pub fn new(min_capacity: f64, slow_start_seconds: f64) -> Self {
        let tolerance = (MAX_CAPACITY_ERROR - 1.0) * min_capacity * slow_start_seconds
            / (1.0 - min_capacity).max(f64::MIN_POSITIVE);
        Self { tolerance, ..Self::default() }
    }

    /// Discovery confirmed that the present list is unchanged.
    pub fn confirm(&mut self, now: Time) {
        if self.list_current_at.is_some() {
            self.list_current_at = Some(now);
        }
    }

    /// Replaces the start times in an endpoint list by times on the gateway's clock. 0 stays 0, "long ago".
    pub fn localize(&mut self, now: Time, kind: EndpointListKind, endpoints: &mut [Endpoint]) {
        for endpoint in endpoints {
            if endpoint.started > 0.0 {
                endpoint.started = self.local_start(now, &endpoint.id, endpoint.started);
            }
        }
        // A list that may be stale, or is missing, says nothing about backends that are not in it.
        if matches!(kind, EndpointListKind::Snapshot | EndpointListKind::Delta) {
            self.list_current_at = Some(now);
        }
        self.forget_oldest();
    }

    fn local_start(&mut self, now: Time, id: &BackendId, reported: f64) -> Time {
        let previous = match self.known.get_mut(id) {
            Some(known) if known.reported == reported => {
                known.last_listed = now;
                return known.local;
            }
            known => known.map(|known| known.local),
        };
        let earliest = self.list_current_at.unwrap_or(f64::NEG_INFINITY) - self.tolerance;
        // A start in the future comes from a clock that is ahead: it was now at the latest.
        let mut local = reported.max(earliest).min(now);
        if let Some(previous) = previous {
            local = local.max(previous + MIN_RESTART_SECONDS);
        }
        self.known.insert(id.clone(), StartTime { reported, local, last_listed: now });
        local
    }

    /// Forgets the backends that were listed the longest ago, once there are too many.
    fn forget_oldest(&mut self) {
        if self.known.len() <= MAX_BACKENDS {
            return;
        }
        let mut listed: Vec<Time> = self.known.values().map(|start| start.last_listed).collect();
        listed.sort_unstable_by(f64::total_cmp);
        let keep_from = listed[listed.len() - MAX_BACKENDS / 2];
        self.known.retain(|_, start| start.last_listed >= keep_from);
    }
}

#[cfg(test)]
mod tests;
