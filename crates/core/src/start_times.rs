//! Start times of backends, on the gateway's own clock.
//!
//! An endpoint list states each start by another host's wall clock, which may be wrong or stepped. The order
//! of the lists is reliable, and gives two bounds for a backend that appears in a list: it started no earlier
//! than the last time at which a list without it was current, and no later than the arrival of the list that
//! names it. The first bound has a tolerance, because lists arrive late. Times are Unix seconds.

use std::collections::HashMap;
use weirusher::{BackendId, Endpoint, EndpointListKind, Time};

/// Maximum number of stored start times. Backends that are no longer listed are included: a backend that
/// reappears in the list has not necessarily restarted.
const MAX_BACKENDS: usize = 8192;
/// Largest factor by which the capacity of a backend in slow start may be overestimated because its start
/// time arrives late or comes from another clock. The policy assumes 0.4 of the capacity of a backend that
/// has just started; with this error it uses 0.6 of it.
const MAX_CAPACITY_ERROR: f64 = 1.5;
/// Minimum time in seconds between the start times of a backend before and after a restart.
const MIN_RESTART_SECONDS: f64 = 1e-3;

#[derive(Debug)]
struct StartTime {
    /// As stated by the endpoint list.
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
    /// Seconds by which a start may precede the time at which the previous list was last known to be current.
    tolerance: f64,
}

impl StartTimes {
    /// Creates an empty table for backends that start at the fraction `min_capacity` of their capacity and
    /// reach all of it after `slow_start_seconds`.
    ///
    /// A list arrives some seconds late even if all clocks agree. A reported start is accepted as long as the
    /// error in capacity stays within [`MAX_CAPACITY_ERROR`]: a start that is assumed `a` seconds too early
    /// adds `(1 - min_capacity) * a / slow_start_seconds` to the capacity, which is at least `min_capacity`.
    pub fn new(min_capacity: f64, slow_start_seconds: f64) -> Self {
        let tolerance = (MAX_CAPACITY_ERROR - 1.0) * min_capacity * slow_start_seconds
            / (1.0 - min_capacity).max(f64::MIN_POSITIVE);
        Self { tolerance, ..Self::default() }
    }

    /// Records that discovery confirmed the present list as unchanged.
    pub fn confirm(&mut self, now: Time) {
        if self.list_current_at.is_some() {
            self.list_current_at = Some(now);
        }
    }

    /// Replaces the start times in an endpoint list by times on the gateway's clock. A start of 0, which
    /// means "long ago", is kept.
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
        // A start in the future comes from a clock that is ahead: the backend started no later than now.
        let mut local = reported.max(earliest).min(now);
        if let Some(previous) = previous {
            local = local.max(previous + MIN_RESTART_SECONDS);
        }
        self.known.insert(id.clone(), StartTime { reported, local, last_listed: now });
        local
    }

    /// Removes the backends that were last listed longest ago, once there are too many.
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
