//! Servers: the list of them, and what attempts tell of each.

use super::bucket::TokenBucket;
use super::tuning::*;
use super::{Gateway, Timer};
use crate::interface::*;

/// A backend, and what attempts have told of it.
#[derive(Debug, Default)]
pub(super) struct Backend {
    pub(super) id: BackendId,
    pub(super) zone: u32,
    pub(super) cell: u32,
    /// It is listed and takes new requests.
    pub(super) running: bool,
    /// When it started, or may have restarted.
    pub(super) started: Time,
    /// Attempts of this gateway that are out.
    pub(super) inflight: f64,
    /// Mean latency of its attempts; older ones count less.
    pub(super) latency: f64,
    /// When the last of them ended.
    pub(super) last_observed: Time,
    /// Failed attempts in a row.
    pub(super) failures: u32,
    /// It could not be reached.
    pub(super) unreachable: bool,
    pub(super) ejected_until: Time,
    /// For how long it is ejected the next time.
    pub(super) ejection_seconds: f64,
    /// Units that it may be sent in its slow start.
    pub(super) slow_start: TokenBucket,
}

impl Gateway {
    pub(super) fn update_list(&mut self, kind: EndpointListKind, servers: Vec<Endpoint>) {
        if self.settings.polls_endpoints
            && matches!(kind, EndpointListKind::StaleSnapshot | EndpointListKind::Failed)
        {
            self.actions.push(Action::WatchEndpoints);
        }
        if kind == EndpointListKind::StaleSnapshot {
            self.set_timer(self.now + IDLE_CUSTOMER_SECONDS, Timer::Sweep);
        }
        if kind == EndpointListKind::Snapshot {
            self.backends.iter_mut().for_each(|h| h.running = false);
        }
        let latency = self.latency;
        for entry in servers {
            let phase = self.draw();
            let next = self.backends.len();
            let place = *self.backend_index.entry(entry.id.clone()).or_insert(next);
            if place == next {
                self.backends.push(Backend { id: entry.id, ..Backend::default() });
            }
            let backend = &mut self.backends[place];
            (backend.zone, backend.cell) = (entry.zone, entry.cell);
            if backend.ejection_seconds == 0.0 || entry.started > backend.started {
                // A new server or a new life: nothing learned of an old one holds. What is out stays out.
                let slow_start = TokenBucket { level: phase, at: self.now };
                let (inflight, started) = (backend.inflight, entry.started);
                let (id, zone, cell, ejection_seconds) =
                    (backend.id.clone(), backend.zone, backend.cell, EJECTION_SECONDS.0);
                let fresh = Backend::default();
                *backend = Backend {
                    id,
                    zone,
                    cell,
                    inflight,
                    started,
                    slow_start,
                    latency,
                    ejection_seconds,
                    ..fresh
                };
            }
            backend.running = entry.lifecycle == Lifecycle::Running;
        }
        self.running = (0..self.backends.len()).filter(|place| self.backends[*place].running).collect();
        self.running.sort_unstable_by(|a, b| self.backends[*a].id.cmp(&self.backends[*b].id));
    }

    /// Learns from an attempt's end. Slow, failing and vanished servers all show here, whatever the cause.
    pub(super) fn record_attempt(&mut self, server: &BackendId, status: Status, spent: f64) {
        let Some(&place) = self.backend_index.get(server) else { return };
        let backend = &mut self.backends[place];
        let beside = self.inflight;
        backend.inflight = (backend.inflight - 1.0).max(0.0);
        self.inflight = (self.inflight - 1.0).max(0.0);
        match status {
            Status::NotSent | Status::Cancelled => return,
            Status::Ok => {
                if backend.unreachable {
                    // It was unreachable and answers again: it may have restarted untold, so suspect it cold.
                    (backend.started, backend.unreachable) = (self.now, false);
                }
                (backend.failures, backend.ejection_seconds) = (0, EJECTION_SECONDS.0);
            }
            Status::Rejected => self.mean_inflight *= 1.0 - GAIN, // The bound shrinks with it.
            // One that did not come up in time may be late: it counts once, as other failures do.
            Status::ConnectFailed if spent < REFUSAL_SHARE * self.settings.connect_timeout => {
                backend.failures = EJECT_AFTER
            }
            Status::Timeout => {} // Its latency below says it: in overload all time out, and none is sick.
            _ => backend.failures += 1,
        }
        backend.unreachable |= status == Status::ConnectFailed && backend.failures >= EJECT_AFTER;
        if backend.failures >= EJECT_AFTER && self.now >= backend.ejected_until {
            self.eject(place);
        }
        if !matches!(status, Status::Ok | Status::Timeout) {
            return;
        }
        let backend = &mut self.backends[place];
        // Old news counts less: a gateway of many hears of a server rarely, and it has changed since.
        let fresh = (1.0 - GAIN) * (-(self.now - backend.last_observed) / OBSERVATION_MEMORY).exp();
        backend.latency = spent + (backend.latency - spent) * fresh;
        backend.last_observed = self.now;
        self.latency += if self.latency == 0.0 { spent } else { GAIN * (spent - self.latency) };
        // Over the same number of answers' times whether many are out or few.
        let gain = 2.0 * GAIN / (1.0 + self.mean_inflight);
        // Lost answers are no overload: in that most are late, and those that come are slow.
        self.timeout_share += GAIN * (f64::from(u8::from(status == Status::Timeout)) - self.timeout_share);
        if status == Status::Ok || self.timeout_share > TIMEOUT_SHARE_LIMIT {
            let typical = if self.median_latency == 0.0 { spent } else { self.median_latency };
            self.median_latency = typical * (spent.max(1e-3) / typical).powf(gain);
        }
        self.mean_inflight += gain * (beside - self.mean_inflight);
    }

    /// Puts a server out, unless many are: then its failures are no fault of its own.
    pub(super) fn eject(&mut self, place: usize) {
        let sick =
            self.running.iter().filter(|at| self.now < self.backends[**at].ejected_until).count() as f64;
        if sick < self.running.len() as f64 * EJECTED_SHARE_LIMIT {
            let backend = &mut self.backends[place];
            backend.ejected_until = self.now + backend.ejection_seconds;
            backend.ejection_seconds = (backend.ejection_seconds * 2.0).min(EJECTION_SECONDS.1);
        }
    }
}
