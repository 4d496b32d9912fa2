//! Outlier ejection: a backend whose attempts fail gets no further attempts for some time.
//!
//! A backend is ejected after [`EJECT_AFTER_FAILURES`] consecutive failures, or at once if it refuses a
//! connection, which shows that its process has exited. Each further ejection is twice as long, up to
//! [`MAX_EJECTION_SECONDS`], until an attempt is served. No backend is ejected while many others are:
//! failures at so many have a common cause, and the rest could not carry the load.
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
    /// Records a served or failed attempt. Returns whether the backend has to be ejected.
    pub(super) fn record_outcome(
        &mut self,
        now: Time,
        status: Status,
        elapsed: f64,
        connect_timeout: f64,
    ) -> bool {
        match status {
            Status::Ok => self.record_success(now),
            // A backend that rejects is running at full capacity. Timeouts raise the latency instead: in an
            // overload all backends time out, and none is an outlier.
            Status::Rejected | Status::Timeout => {}
            // A connection that fails this soon was refused. One that times out may only be slow, so it
            // counts as one failure below.
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
            // The backend may have restarted before the list shows it, so its slow start begins now.
            (self.started, self.unreachable) = (now, false);
        }
        (self.failures, self.next_ejection_seconds) = (0, INITIAL_EJECTION_SECONDS);
    }
}

impl Gateway {
    /// Ejects the backend with this index, unless too many are ejected already.
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
