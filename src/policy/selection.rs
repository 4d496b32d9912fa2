//! Backend selection: which backend an attempt is sent to.
//!
//! The backend with the lowest score is chosen. The score is the number of attempts in flight there,
//! weighted by how much slower the backend is than the mean. The search covers the gateway's subset first,
//! from a random position in it; other backends are considered only if none of the subset is available.
//! Backends are skipped if they are ejected, outside the retry scope, already tried, or have used up their
//! slow-start budget.
//!
//! Inputs: for each backend the attempts in flight, the mean latency (seconds) and the time since its latency
//! was last observed.

use super::Gateway;
use super::backend::Backend;
use super::request::OpenRequest;
use super::retry_scope::RetryScope;
use super::tuning::{MIN_LATENCY_SECONDS, OBSERVATION_MEMORY_SECONDS, SLOW_BACKEND_FACTOR};

/// The backend that an attempt is sent to.
#[derive(Debug, Clone, Copy)]
pub(super) struct Placement {
    /// Index of the backend.
    pub(super) backend: usize,
    /// Seconds within which the attempt must have been sent; infinity means no limit.
    pub(super) start_within: f64,
}

/// The best candidate so far.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    score: f64,
    backend: usize,
}

/// Minimum score: that of a backend that is not slow and has no attempt in flight.
const MIN_SCORE: f64 = 1.0;
/// Relative rounding error of a score.
const SCORE_TOLERANCE: f64 = 1e-9;

impl Gateway {
    /// Returns the backend for the next attempt of a request, or `None` if no attempt is allowed or no
    /// backend is available.
    pub(super) fn choose_backend(&mut self, open: &OpenRequest) -> Option<Placement> {
        let scope = self.retry_scope(open)?;
        let order = self.search_order();
        let mut best: Option<Candidate> = None;
        for step in 0..order.running {
            let in_subset = step < order.subset;
            let best_score = best.map_or(f64::INFINITY, |candidate| candidate.score);
            if best_score <= MIN_SCORE || !in_subset && best.is_some() {
                break;
            }
            let index = self.backends.running[order.position(step)];
            let backend = &self.backends.all[index];
            // Lower bound of the score; it skips most backends without computing their score.
            if MIN_SCORE + backend.in_flight >= best_score || !self.is_eligible(index, open, &scope) {
                continue;
            }
            let score = self.score(backend, best_score);
            let candidates = if in_subset { order.subset } else { order.running };
            if score < best_score && self.slow_start_budget(index, candidates) >= 1.0 {
                best = Some(Candidate { score, backend: index });
            }
        }
        best.map(|candidate| Placement { backend: candidate.backend, start_within: scope.start_within })
    }

    /// Returns whether the backend with this index is not ejected, is in the retry scope, and was not tried
    /// before.
    fn is_eligible(&self, index: usize, open: &OpenRequest, scope: &RetryScope) -> bool {
        let backend = &self.backends.all[index];
        self.now >= backend.ejected_until
            && scope.includes(backend)
            && open.attempts.iter().all(|attempt| attempt.backend != index)
    }

    /// Returns the load score of a backend. Slow backends score higher, by an amount that fades as the
    /// observation of their latency ages; fast backends are not distinguished. The result may be infinity if
    /// the score is not below `best_score`.
    fn score(&self, backend: &Backend, best_score: f64) -> f64 {
        let attempts = MIN_SCORE + backend.in_flight;
        let slowness =
            backend.latency / self.latency.mean.max(MIN_LATENCY_SECONDS) * SLOW_BACKEND_FACTOR - 1.0;
        if slowness <= 0.0 {
            return attempts;
        }
        let age = (self.now - backend.last_observed) / OBSERVATION_MEMORY_SECONDS;
        // As exp(-age) >= 1 - age, this bound avoids computing the exponential for most backends.
        if attempts * (slowness * (1.0 - age) + 1.0) > best_score * (1.0 + SCORE_TOLERANCE) {
            return f64::INFINITY;
        }
        attempts * (slowness * (-age).exp() + 1.0)
    }
}
