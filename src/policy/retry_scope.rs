//! Retry safety: whether a request may be attempted again, where and until when.
//!
//! An attempt that may have been executed is repeated only where the repeat cannot take effect twice: an
//! idempotent request anywhere, a keyed one at the backends that deduplicate it and before they forget the
//! key, any other one nowhere.
//!
//! Inputs: the idempotency of the request's class, its window in seconds, the attempts so far.

use super::Gateway;
use super::backend::Backend;
use super::request::{Execution, OpenRequest};
use crate::interface::{DedupScope, Idempotency};

/// Where an attempt may go.
#[derive(Debug, Clone, Copy)]
pub(super) struct RetryScope {
    /// Seconds within which the attempt must have been sent; infinity: no matter when.
    pub(super) start_within: f64,
    dedup: DedupScope,
    zone: u32,
    cell: u32,
}

impl RetryScope {
    /// Any backend, at any time.
    const ANYWHERE: Self = Self { start_within: f64::INFINITY, dedup: DedupScope::All, zone: 0, cell: 0 };

    /// Whether the attempt may go to this backend.
    pub(super) fn includes(&self, backend: &Backend) -> bool {
        match self.dedup {
            DedupScope::All => true,
            DedupScope::Zone => backend.zone == self.zone,
            DedupScope::Cell => backend.cell == self.cell && backend.zone == self.zone,
        }
    }
}

impl Gateway {
    /// Where the next attempt of a request may go; `None`: none is allowed.
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
                let backend = &self.backends.all[first.backend];
                let start_within = first.sent + window - self.now;
                let (zone, cell) = (backend.zone, backend.cell);
                (start_within > 0.0).then_some(RetryScope { start_within, dedup: scope, zone, cell })
            }
        }
    }
}
