//! Passive health observation: statistics of each backend, and of all backends, from the attempts that end.
//!
//! Attempts reveal slow, failing and unreachable backends, whatever the cause, so there are no active health
//! checks.
//!
//! Inputs: the status of the attempt and the seconds since it was sent.

use super::Gateway;
use crate::interface::{BackendId, Status};

impl Gateway {
    /// Updates the statistics with an attempt that ended.
    pub(super) fn observe_attempt(&mut self, id: &BackendId, status: Status, elapsed: f64) {
        let Some(index) = self.backends.find(id) else { return };
        let backend = &mut self.backends.all[index];
        backend.in_flight = (backend.in_flight - 1.0).max(0.0);
        let in_flight = self.concurrency.attempt_ended();
        if matches!(status, Status::NotSent | Status::Cancelled) {
            return;
        }
        if status == Status::Rejected {
            self.concurrency.observe_rejection();
        }
        if backend.record_outcome(self.now, status, elapsed, self.settings.connect_timeout) {
            self.eject(index);
        }
        if matches!(status, Status::Ok | Status::Timeout) {
            self.backends.all[index].observe_latency(self.now, elapsed);
            let gain = self.concurrency.response_gain();
            self.latency.observe(status, elapsed, gain);
            self.concurrency.observe(in_flight, gain);
        }
    }
}
