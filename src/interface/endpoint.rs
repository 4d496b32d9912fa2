//! The endpoint list: which backends there are.

use super::{BackendId, Time};

/// The state of a backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lifecycle {
    /// Takes new requests.
    Running,
    /// Finishes its requests and takes no new ones.
    Draining,
    /// No longer exists.
    Removed,
}

/// A backend, as an entry of the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// Its address.
    pub id: BackendId,
    /// Its zone.
    pub zone: u32,
    /// Its cell within the zone.
    pub cell: u32,
    /// When it last started; 0: long ago.
    pub started: Time,
    /// Its state.
    pub lifecycle: Lifecycle,
}

impl Endpoint {
    /// A running, warmed-up backend in the first zone and cell.
    pub fn warm(id: impl Into<BackendId>) -> Self {
        Self { id: id.into(), zone: 0, cell: 0, started: 0.0, lifecycle: Lifecycle::Running }
    }
}

/// What an endpoint list event holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointListKind {
    /// The entries that have changed.
    Delta,
    /// The complete list.
    Snapshot,
    /// The complete list as last cached, perhaps stale.
    StaleSnapshot,
    /// No entries: the poll failed.
    Failed,
}
