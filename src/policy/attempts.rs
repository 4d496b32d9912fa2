//! Attempts of a request, and its one response.

use super::bucket::add_decaying;
use super::request::{Attempt, Progress};
use super::tuning::*;
use super::{Gateway, Timer};
use crate::interface::*;

impl Gateway {
    pub(super) fn send_first_attempt(&mut self, id: RequestId) {
        self.retry_budget = (self.retry_budget + RETRY_BUDGET.0).min(RETRY_BUDGET.1);
        if !self.send(&id) {
            self.respond_locally(&id, self.settings.max_retry_after, Reason::NoBackend);
        }
    }

    /// Begins an attempt where the rules and a server's bound allow one.
    pub(super) fn send(&mut self, id: &RequestId) -> bool {
        let Some(mut job) = self.requests.remove(id) else { return false };
        let class = self.settings.classes[job.request.class].clone();
        let useful =
            if class.late_weight > 0.0 { f64::INFINITY } else { job.arrived + class.latency_objective };
        let timeout = (useful - 2.0 * self.settings.event_interval).min(job.request.deadline) - self.now;
        let tries = job.attempts.len() < self.settings.max_attempts as usize;
        let server = if tries && timeout > 0.0 && !job.over { self.choose_backend(&job) } else { None };
        if let Some((place, within)) = server {
            let backend = &mut self.backends[place];
            let server = backend.id.clone();
            backend.inflight += 1.0;
            self.inflight += 1.0;
            backend.slow_start.level -= job.request.units.max(1.0);
            if let Some(customer) = self.customers.get_mut(&job.request.customer) {
                customer.open_attempts += 1;
            }
            add_decaying(&mut self.sent_units, self.now, job.request.units, RATE_MEMORY);
            self.actions.push(Action::Forward {
                request: id.clone(),
                backend: server,
                timeout,
                start_within: within,
            });
            job.attempts.push(Attempt { backend: place, sent: self.now, progress: Progress::Pending });
            let delay = (HEDGE_DELAY_SHARE * class.latency_objective).max(3.0 * self.latency);
            if self.settings.hedging && delay < timeout {
                self.set_timer(self.now + delay, Timer::Hedge(id.clone()));
            }
        }
        self.requests.insert(id.clone(), job);
        server.is_some()
    }

    pub(super) fn attempt_ended(
        &mut self,
        id: &RequestId,
        attempt: u32,
        status: Status,
        over: bool,
        settled: Option<f64>,
    ) {
        let Some(job) = self.requests.get_mut(id) else { return };
        let Some(tried) = job.attempts.get_mut(attempt as usize) else { return };
        if tried.progress == Progress::Pending {
            let never = matches!(status, Status::Rejected | Status::ConnectFailed | Status::NotSent);
            tried.progress = if never { Progress::NeverRan } else { Progress::MayHaveRun };
            if let Some(customer) = self.customers.get_mut(&job.request.customer) {
                customer.open_attempts = customer.open_attempts.saturating_sub(1);
                if let Some(units) = settled {
                    customer.add_uncounted(units - job.request.units, self.now);
                }
            }
        }
        let (idle, done, streaming) = (job.pending_attempts() == 0, over || job.over, job.streaming);
        if done || streaming || !idle {
            return if done {
                self.close_request(id)
            };
        }
        if self.retry_budget >= 1.0 && status != Status::Timeout && self.has_capacity(1.0) && self.send(id) {
            self.retry_budget -= 1.0;
            return;
        }
        self.respond_locally(id, self.latency, Reason::AttemptsFailed);
    }

    pub(super) fn send_hedge(&mut self, id: &RequestId) {
        let waits =
            self.requests.get(id).is_some_and(|j| !j.over && !j.streaming && j.pending_attempts() == 1);
        if waits && self.retry_budget >= 1.0 && self.has_capacity(SPARE_CAPACITY_SHARE) && self.send(id) {
            self.retry_budget -= 1.0;
        }
    }

    /// Gives the one response, refusing where a retry is known to do no harm.
    pub(super) fn respond_locally(&mut self, id: &RequestId, retry_after: f64, reason: Reason) {
        let Some(job) = self.requests.get(id).filter(|j| !j.over) else { return };
        let clean = job.attempts.iter().all(|a| a.progress == Progress::NeverRan);
        let harmless = match self.settings.classes.get(job.request.class).map(|c| c.idempotency) {
            Some(Idempotency::NonIdempotent) => clean,
            Some(Idempotency::Keyed { scope: group, .. }) => clean || group == DedupScope::All,
            _ => true,
        };
        if harmless {
            let most = if self.settings.sends_retry_after { self.settings.max_retry_after } else { 0.0 };
            let retry_after = retry_after.max(0.0).min(most);
            self.actions.push(Action::Reject { request: id.clone(), retry_after, reason });
        } else {
            self.actions.push(Action::Fail { request: id.clone(), reason });
        }
        self.close_request(id);
    }

    /// The request is over; it is kept only while attempts are out.
    pub(super) fn close_request(&mut self, id: &RequestId) {
        if let Some(job) = self.requests.get_mut(id) {
            job.over = true;
            if job.pending_attempts() == 0 {
                self.requests.remove(id);
            }
        }
    }
}
