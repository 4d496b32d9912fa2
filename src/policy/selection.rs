//! Backend selection: which backend an attempt goes to.
//!
//! The backend with the lowest score wins: attempts in flight there, weighted by how much slower it is than
//! the mean. The gateway's subset comes first, from a random place in it; other backends only where none of
//! the subset may be sent to. Ejected backends, those outside the retry scope, those tried before and those
//! whose slow-start budget is spent are passed over.
//!
//! Inputs: for each backend the attempts in flight, the mean latency (seconds) and the time since it was
//! observed.

use super::Gateway;
use super::backend::Backend;
use super::request::OpenRequest;
use super::retry_scope::RetryScope;
use super::tuning::{MIN_LATENCY_SECONDS, OBSERVATION_MEMORY_SECONDS, SLOW_BACKEND_FACTOR};

/// Where an attempt goes.
#[derive(Debug, Clone, Copy)]
pub(super) struct Placement {
    /// Index of the backend.
    pub(super) backend: usize,
    /// Seconds within which the attempt must have been sent; infinity: no matter when.
    pub(super) start_within: f64,
}

/// The best candidate so far.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    score: f64,
    backend: usize,
}

/// The least score: no attempt in flight at a backend that is not slow.
const LEAST_SCORE: f64 = 1.0;
/// Relative error of a score by rounding.
const SCORE_TOLERANCE: f64 = 1e-9;

impl Gateway {
    /// The backend for the next attempt of a request; `None`: no attempt is allowed, or no backend may be
    /// sent to.
    pub(super) fn choose_backend(&mut self, open: &OpenRequest) -> Option<Placement> {
        let scope = self.retry_scope(open)?;
        let order = self.search_order();
        let mut best: Option<Candidate> = None;
        for step in 0..order.running {
            let in_subset = step < order.subset;
            let best_score = best.map_or(f64::INFINITY, |candidate| candidate.score);
            if best_score <= LEAST_SCORE || !in_subset && best.is_some() {
                break;
            }
            let index = self.backends.running[order.place(step)];
            let backend = &self.backends.all[index];
            // A score is no less than this: most backends are passed over here.
            if LEAST_SCORE + backend.in_flight >= best_score || !self.is_eligible(index, open, &scope) {
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

    /// Whether the backend with this index is not ejected, is in the retry scope, and was not tried before.
    fn is_eligible(&self, index: usize, open: &OpenRequest, scope: &RetryScope) -> bool {
        let backend = &self.backends.all[index];
        self.now >= backend.ejected_until
            && scope.includes(backend)
            && open.attempts.iter().all(|attempt| attempt.backend != index)
    }

    /// How loaded a backend is. Slow ones score higher, by observations that fade with time; fast ones are
    /// not told apart. Infinity may stand for a score that is not below `best_score`.
    fn score(&self, backend: &Backend, best_score: f64) -> f64 {
        let attempts = LEAST_SCORE + backend.in_flight;
        let slowness =
            backend.latency / self.latency.mean.max(MIN_LATENCY_SECONDS) * SLOW_BACKEND_FACTOR - 1.0;
        if slowness <= 0.0 {
            return attempts;
        }
        let age = (self.now - backend.last_observed) / OBSERVATION_MEMORY_SECONDS;
        // exp(-age) is no less than 1 - age, which saves the exponential for most backends.
        if attempts * (slowness * (1.0 - age) + 1.0) > best_score * (1.0 + SCORE_TOLERANCE) {
            return f64::INFINITY;
        }
        attempts * (slowness * (-age).exp() + 1.0)
    }
}
