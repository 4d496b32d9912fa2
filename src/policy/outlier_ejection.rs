//! Outlier ejection: when a backend gets no attempts for a while because those sent to it have failed.
//!
//! [`EJECT_AFTER_FAILURES`] failures in a row eject a backend, a refused connection at once: its process is
//! gone. Each further ejection is twice as long, until an attempt is served. No backend is ejected while many
//! others are: failures at so many have a common cause, and the rest could not carry the load.
//!
//! Inputs: the status of each attempt, the seconds since it was sent, the connect timeout in seconds.

use super::Gateway;
use super::backend::Backend;
use super::tuning::{
    EJECT_AFTER_FAILURES, EJECTION_GROWTH, INITIAL_EJECTION_SECONDS, MAX_EJECTED_FRACTION,
    MAX_EJECTION_SECONDS, REFUSED_CONNECT_FRACTION,
};
use crate::interface::{Status, Time};

impl Backend {
    /// Counts a served or failed attempt; whether the backend is to be ejected.
    pub(super) fn record_outcome(
        &mut self,
        now: Time,
        status: Status,
        elapsed: f64,
        connect_timeout: f64,
    ) -> bool {
        match status {
            Status::Ok => self.record_success(now),
            // One that rejects is running, and full. A timeout shows in the latency: in an overload all
            // backends time out, and none is an outlier.
            Status::Rejected | Status::Timeout => {}
            // A connection that does not come up in time may be slow, and counts once.
            Status::ConnectFailed if elapsed < REFUSED_CONNECT_FRACTION * connect_timeout => {
                self.failures = EJECT_AFTER_FAILURES;
            }
            _ => self.failures += 1,
        }
        let outlier = self.failures >= EJECT_AFTER_FAILURES;
        self.unreachable |= status == Status::ConnectFailed && outlier;
        outlier && now >= self.ejected_until
    }

    fn record_success(&mut self, now: Time) {
        if self.unreachable {
            // It may have restarted before the list shows it, so it is treated as if in slow start.
            (self.started, self.unreachable) = (now, false);
        }
        (self.failures, self.next_ejection_seconds) = (0, INITIAL_EJECTION_SECONDS);
    }
}

impl Gateway {
    /// Ejects the backend with this index, unless too many are ejected.
    pub(super) fn eject(&mut self, index: usize) {
        let table = &mut self.backends;
        let ejected = table.running.iter().filter(|i| self.now < table.all[**i].ejected_until).count() as f64;
        if ejected < table.running.len() as f64 * MAX_EJECTED_FRACTION {
            let backend = &mut table.all[index];
            backend.ejected_until = self.now + backend.next_ejection_seconds;
            backend.next_ejection_seconds =
                (backend.next_ejection_seconds * EJECTION_GROWTH).min(MAX_EJECTION_SECONDS);
        }
    }
}
