//! The entries of an endpoint list.

use super::{BackendInstance, ListedBackend};
use serde::Deserialize;
use std::borrow::Cow;
use std::fmt;
use std::net::SocketAddr;
use weirusher::{BackendId, CellId, Endpoint, Lifecycle, Location, ZoneId};

/// Maximum length of a backend's name, in bytes.
pub(super) const MAX_NAME_BYTES: usize = 256;

/// Why an entry is invalid, or which of its values was replaced.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EntryError {
    /// The entry does not have the expected form.
    #[error("{0}")]
    Malformed(String),
    /// The name is missing, empty or too long.
    #[error("the name is missing, empty or longer than {MAX_NAME_BYTES} bytes")]
    InvalidName,
    /// The start time of the backend is not a valid time.
    #[error("since_ms must be a finite number of milliseconds, 0 or more")]
    InvalidStart,
    /// The status is unknown. The entry is valid, but the backend counts as draining.
    #[error("unknown status; the backend counts as draining")]
    UnknownStatus,
}

/// An entry that is invalid, or has a value that was replaced.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryProblem {
    /// The name of the backend, if that is valid.
    pub backend: Option<BackendId>,
    /// The error in the entry.
    pub error: EntryError,
}

impl fmt::Display for EntryProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.backend.as_deref().unwrap_or("?"), self.error)
    }
}

/// An entry as received, without its name. The name is parsed separately, so that an otherwise invalid entry
/// can still be identified.
#[derive(Debug, Clone, Deserialize)]
pub(super) struct Entry {
    address: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default, rename = "group")]
    cell: Option<u32>,
    status: EntryStatus,
    #[serde(default)]
    since_ms: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
enum EntryStatus {
    Serving,
    Draining,
    Deleted,
    #[serde(other)]
    Unknown,
}

impl Entry {
    /// Parses the text of an entry. Unknown fields are skipped.
    pub(super) fn parse(text: &str) -> Result<Self, EntryError> {
        let entry: Self =
            serde_json::from_str(text).map_err(|error| EntryError::Malformed(error.to_string()))?;
        if !entry.since_ms.is_finite() || entry.since_ms < 0.0 {
            return Err(EntryError::InvalidStart);
        }
        Ok(entry)
    }

    pub(super) fn has_unknown_status(&self) -> bool {
        self.status == EntryStatus::Unknown
    }

    /// Converts the entry for the policy, and returns it with the process that it describes.
    pub(super) fn into_endpoint(self, name: BackendId) -> (Endpoint, ListedBackend) {
        let lifecycle = match self.status {
            EntryStatus::Serving => Lifecycle::Running,
            EntryStatus::Draining | EntryStatus::Unknown => Lifecycle::Draining,
            EntryStatus::Deleted => Lifecycle::Removed,
        };
        let location =
            Location { zone: ZoneId::from_name(&self.zone), cell: self.cell.map(CellId::from_number) };
        let endpoint = Endpoint { id: name.clone(), location, started: self.since_ms / 1e3, lifecycle };
        let instance = BackendInstance { address: self.address, location, started_ms: self.since_ms as u64 };
        let instance = (lifecycle == Lifecycle::Running).then_some(instance);
        (endpoint, ListedBackend { name, instance })
    }
}

/// The name in an entry, apart from its other fields.
#[derive(Deserialize)]
struct EntryName<'a> {
    #[serde(borrow)]
    name: Cow<'a, str>,
}

/// Returns the name in the text of an entry, if it is valid.
pub(super) fn backend_name(text: &str) -> Option<BackendId> {
    let EntryName { name } = serde_json::from_str(text).ok()?;
    (!name.is_empty() && name.len() <= MAX_NAME_BYTES).then(|| (*name).into())
}
