//! The endpoint list: the backends that exist and their states.

use super::{BackendId, Location, Time};

/// The state of a backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lifecycle {
    /// The backend takes new requests.
    Running,
    /// The backend finishes its requests and takes no new ones.
    Draining,
    /// The backend no longer exists.
    Removed,
}

/// An entry of the endpoint list: one backend.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// The address of the backend.
    pub id: BackendId,
    /// Where it runs.
    pub location: Location,
    /// When it last started; 0 if it started long ago and is warmed up.
    pub started: Time,
    /// The state of the backend.
    pub lifecycle: Lifecycle,
}

impl Endpoint {
    /// Creates a running, warmed-up backend in the first zone and cell.
    pub fn warm(id: impl Into<BackendId>) -> Self {
        Self {
            id: id.into(),
            location: Location::from_numbers(0, 0),
            started: 0.0,
            lifecycle: Lifecycle::Running,
        }
    }
}

/// What the entries of an [`Event::EndpointList`](super::Event::EndpointList) are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointListKind {
    /// The entries that have changed.
    Delta,
    /// The complete list.
    Snapshot,
    /// The complete list as last cached, possibly stale.
    StaleSnapshot,
    /// No entries, as the poll of the list failed.
    Failed,
}
