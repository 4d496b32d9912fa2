//! Which server an attempt goes to, and whether a retry may go out.

use super::Gateway;
use super::backend::Backend;
use super::request::{OpenRequest, Progress};
use super::tuning::*;
use crate::interface::*;

impl Gateway {
    /// The server that should answer first, among those this job may go to; `None`: all are full.
    pub(super) fn choose_backend(&mut self, job: &OpenRequest) -> Option<(usize, f64)> {
        let (within, group, zone, cell) = self.retry_scope(job)?;
        let (mut best, count): (Option<(f64, usize)>, _) = (None, self.running.len());
        let near = self.subset_size();
        let (start, turn) =
            ((self.subset_start * count as f64) as usize, (self.draw() * near as f64) as usize);
        for i in 0..count {
            // No score is under one, nor under one more than is out: most servers are passed over by that.
            let least = best.map_or(f64::INFINITY, |(score, _)| score);
            if least <= 1.0 || i >= near && best.is_some() {
                break;
            }
            let place = if i >= near { i } else { (turn + i) % near };
            let at = self.running[(start + place) % count];
            let backend = &self.backends[at];
            if 1.0 + backend.inflight >= least {
                continue;
            }
            let in_group = match group {
                DedupScope::All => true,
                DedupScope::Zone => backend.zone == zone,
                DedupScope::Cell => backend.cell == cell && backend.zone == zone,
            };
            if self.now < backend.ejected_until || !in_group || job.attempts.iter().any(|a| a.backend == at) {
                continue;
            }
            let score = self.score(backend, least);
            if score < least && self.slow_start_budget(at, if i < near { near } else { count }) >= 1.0 {
                best = Some((score, at));
            }
        }
        best.map(|(_, at)| (at, within))
    }

    /// How full a server is: slower ones are sent less, by news that fades; those known as quick are not told
    /// apart. What surely is `least` or more is not worked out.
    pub(super) fn score(&self, backend: &Backend, least: f64) -> f64 {
        let (out, excess) =
            (1.0 + backend.inflight, backend.latency / self.latency.max(1e-3) * SLOW_SERVER_FACTOR - 1.0);
        if excess <= 0.0 {
            return out;
        }
        let age = (self.now - backend.last_observed) / OBSERVATION_MEMORY;
        if out * (excess * (1.0 - age) + 1.0) > least * (1.0 + 1e-9) {
            return f64::INFINITY; // exp(-age) is no less than 1 - age.
        }
        out * (excess * (-age).exp() + 1.0)
    }

    /// Rule 2: `None`: no retry may go out; else within how long, and in which group.
    pub(super) fn retry_scope(&self, job: &OpenRequest) -> Option<(f64, DedupScope, u32, u32)> {
        let anywhere = Some((f64::INFINITY, DedupScope::All, 0, 0));
        if job.pending_attempts() > 0 && !self.settings.hedging {
            return None;
        }
        let Some(first) = job.attempts.iter().find(|a| a.progress != Progress::NeverRan) else {
            return anywhere;
        };
        match self.settings.classes[job.request.class].idempotency {
            Idempotency::Idempotent => anywhere,
            Idempotency::NonIdempotent => None,
            Idempotency::Keyed { scope: group, window } => {
                let (backend, within) = (&self.backends[first.backend], first.sent + window - self.now);
                (within > 0.0).then_some((within, group, backend.zone, backend.cell))
            }
        }
    }
}
