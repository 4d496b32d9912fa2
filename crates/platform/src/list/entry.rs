//! One entry of an endpoint list.

use super::EndpointAddress;
use serde::Deserialize;
use serde_json::Value;
use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use weirusher::{BackendId, Endpoint, Lifecycle};

/// Most bytes of a backend's name.
pub(super) const MAX_NAME_BYTES: usize = 256;
/// Set in the numbers of zones that the settings do not name.
const UNNAMED_ZONE: u32 = 1 << 31;

/// Why an entry of the list cannot be used, or not as it stands.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EntryError {
    /// It is not an entry of the expected form.
    #[error("{0}")]
    Malformed(String),
    /// Its name is missing, empty or too long.
    #[error("the name is missing, empty or too long")]
    InvalidName,
    /// The time since which its backend runs is not a time.
    #[error("since_ms is not a time")]
    InvalidStart,
    /// Its status is unknown; its backend counts as draining.
    #[error("the status is unknown")]
    UnknownStatus,
}

/// An entry that cannot be used, or not as it stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryProblem {
    /// The name of its backend, if it is valid.
    pub backend: Option<BackendId>,
    /// What is wrong.
    pub error: EntryError,
}

impl fmt::Display for EntryProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.backend.as_deref().unwrap_or("?"), self.error)
    }
}

/// An entry as it is received. Its name is read apart from it, so that an entry with other faults can be named.
#[derive(Debug, Clone, Deserialize)]
pub(super) struct Entry {
    address: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default, rename = "group")]
    cell: u32,
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
    pub(super) fn parse(value: Value) -> Result<Self, EntryError> {
        let entry: Self =
            serde_json::from_value(value).map_err(|error| EntryError::Malformed(error.to_string()))?;
        if !entry.since_ms.is_finite() || entry.since_ms < 0.0 {
            return Err(EntryError::InvalidStart);
        }
        Ok(entry)
    }

    pub(super) fn has_unknown_status(&self) -> bool {
        self.status == EntryStatus::Unknown
    }

    /// The entry as the decisions want it, and where its backend accepts requests.
    pub(super) fn into_endpoint(self, name: BackendId, zones: &[String]) -> (Endpoint, EndpointAddress) {
        let lifecycle = match self.status {
            EntryStatus::Serving => Lifecycle::Running,
            EntryStatus::Draining | EntryStatus::Unknown => Lifecycle::Draining,
            EntryStatus::Deleted => Lifecycle::Removed,
        };
        let endpoint = Endpoint {
            id: name.clone(),
            zone: zone_number(zones, &self.zone),
            cell: self.cell,
            started: self.since_ms / 1e3,
            lifecycle,
        };
        let address = (lifecycle == Lifecycle::Running).then_some(self.address);
        (endpoint, EndpointAddress { name, address })
    }
}

/// The name in an entry, if it is valid.
pub(super) fn backend_name(entry: &Value) -> Option<BackendId> {
    let name = entry.get("name")?.as_str()?;
    (!name.is_empty() && name.len() <= MAX_NAME_BYTES).then(|| name.into())
}

/// The number of a zone: its index in the settings, or for a zone that they do not name a number of its own. Such a zone
/// must not pass for another, because the scope of idempotency keys may be a zone.
fn zone_number(zones: &[String], name: &str) -> u32 {
    let unnamed = || {
        let mut hasher = DefaultHasher::new();
        name.hash(&mut hasher);
        hasher.finish() as u32 | UNNAMED_ZONE
    };
    zones.iter().position(|zone| zone == name).map_or_else(unnamed, |index| index as u32)
}
