//! Retry safety: whether a request may be attempted again, at which backends, and until when.
//!
//! An attempt that may have been executed is repeated only if the request cannot take effect twice. An
//! idempotent request may be repeated at any backend. A keyed request may be repeated at the backends that
//! deduplicate it, before they discard the key: those that share a zone or a cell with the backend of the
//! earlier attempt, as that attempt was sent. At an unknown location no backend is known to deduplicate it.
//! Any other request is not repeated.
//!
//! Inputs: the idempotency of the request's class, its deduplication window in seconds, the attempts so far.

use super::Gateway;
use super::backend::Backend;
use super::request::{Execution, OpenRequest};
use crate::interface::{DedupScope, Idempotency, Location};

/// The backends that an attempt may be sent to, and until when.
#[derive(Debug, Clone, Copy)]
pub(super) struct RetryScope {
    /// Seconds within which the attempt must have been sent; infinity means no limit.
    pub(super) start_within: f64,
    dedup: DedupScope,
    /// Where the earlier attempt was sent.
    location: Location,
}

impl RetryScope {
    /// Any backend, at any time.
    const ANYWHERE: Self =
        Self { start_within: f64::INFINITY, dedup: DedupScope::All, location: Location::UNKNOWN };

    /// Returns whether the attempt may be sent to this backend.
    pub(super) fn includes(&self, backend: &Backend) -> bool {
        match self.dedup {
            DedupScope::All => true,
            DedupScope::Zone => backend.location.shares_zone(self.location),
            DedupScope::Cell => backend.location.shares_cell(self.location),
        }
    }
}

impl Gateway {
    /// Returns the scope of the next attempt of a request, or `None` if none is allowed.
    pub(super) fn retry_scope(&self, open: &OpenRequest) -> Option<RetryScope> {
        if open.attempts_in_flight() > 0 && !self.settings.hedging {
            return None;
        }
        let Some(first) = open.attempts.iter().find(|attempt| attempt.execution != Execution::NotExecuted)
        else {
            return Some(RetryScope::ANYWHERE);
        };
        match self.settings.classes[open.request.class].idempotency {
            Idempotency::Idempotent => Some(RetryScope::ANYWHERE),
            Idempotency::NonIdempotent => None,
            Idempotency::Keyed { scope, window } => {
                let start_within = first.sent + window - self.now;
                let location = first.location;
                (start_within > 0.0).then_some(RetryScope { start_within, dedup: scope, location })
            }
        }
    }
}
