//! The response of the gateway itself: a rejection or a failure, once for each request.
//!
//! A request is rejected where a retry by the client is known to do no harm, and fails otherwise: the client
//! must then assume that it may have been executed.
//!
//! So the same reason, say [`Reason::AttemptsFailed`], rejects an idempotent request and fails a
//! non-idempotent one.
//!
//! Inputs: the idempotency of the request's class, the state of its attempts, the longest Retry-After in
//! seconds.

use super::Gateway;
use super::request::OpenRequest;
use crate::interface::{Action, DedupScope, Idempotency, Reason, RequestId};

impl Gateway {
    /// Responds to a request without a backend's response. `retry_after` is in seconds; it goes with a
    /// rejection, within the bounds of the settings. Nothing happens for a request that is closed.
    pub(super) fn respond_locally(&mut self, id: &RequestId, retry_after: f64, reason: Reason) {
        let Some(open) = self.requests.get(id).filter(|open| !open.closed) else { return };
        if self.safe_to_retry(open) {
            let limit = if self.settings.sends_retry_after { self.settings.max_retry_after } else { 0.0 };
            let retry_after = retry_after.max(0.0).min(limit);
            self.actions.push(Action::Reject { request: id.clone(), retry_after, reason });
        } else {
            self.actions.push(Action::Fail { request: id.clone(), reason });
        }
        self.close_request(id);
    }

    /// Whether a retry by the client cannot take effect twice, wherever it goes.
    fn safe_to_retry(&self, open: &OpenRequest) -> bool {
        match self.settings.classes.get(open.request.class).map(|class| class.idempotency) {
            Some(Idempotency::NonIdempotent) => open.never_executed(),
            Some(Idempotency::Keyed { scope, .. }) => scope == DedupScope::All || open.never_executed(),
            Some(Idempotency::Idempotent) | None => true,
        }
    }

    /// Closes a request; it is remembered only while attempts are in flight.
    pub(super) fn close_request(&mut self, id: &RequestId) {
        if let Some(open) = self.requests.get_mut(id) {
            open.closed = true;
            if open.attempts_in_flight() == 0 {
                self.requests.remove(id);
            }
        }
    }
}
