//! Responses of the gateway itself: a rejection or a failure, at most one per request.
//!
//! A request is rejected if a retry by the client is known to be safe. Otherwise it fails, and the client
//! must assume that the request may have been executed. The same reason, for example
//! [`Reason::AttemptsFailed`], thus rejects an idempotent request but fails a non-idempotent one.
//!
//! Inputs: the idempotency of the request's class, the state of its attempts, the longest Retry-After in
//! seconds.

use super::Gateway;
use super::request::OpenRequest;
use crate::interface::{Action, DedupScope, Idempotency, Reason, RequestId};

impl Gateway {
    /// Rejects or fails a request and closes it. `retry_after`, in seconds, is sent with a rejection and
    /// bounded by the settings. A closed request is ignored.
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

    /// Returns whether a retry by the client cannot take effect twice, whichever backend it is sent to.
    fn safe_to_retry(&self, open: &OpenRequest) -> bool {
        match self.settings.classes.get(open.request.class).map(|class| class.idempotency) {
            Some(Idempotency::NonIdempotent) => open.never_executed(),
            Some(Idempotency::Keyed { scope, .. }) => scope == DedupScope::All || open.never_executed(),
            Some(Idempotency::Idempotent) | None => true,
        }
    }

    /// Closes a request. Its record is kept only while attempts are in flight.
    pub(super) fn close_request(&mut self, id: &RequestId) {
        if let Some(open) = self.requests.get_mut(id) {
            open.closed = true;
            if open.attempts_in_flight() == 0 {
                self.requests.remove(id);
            }
        }
    }
}
