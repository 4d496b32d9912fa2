//! The endpoint list, as discovery and the configuration file give it.

mod entry;

pub use entry::{EntryError, EntryProblem};

use entry::{Entry, MAX_NAME_BYTES, backend_name};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use weirusher::{BackendId, Endpoint, EndpointListKind, Lifecycle};

/// Most entries of a list.
const MAX_ENTRIES: usize = 4096;
/// Bytes of an entry beside its name, indented and with space for unknown fields.
const MAX_ENTRY_BYTES: usize = 768;
/// Most bytes of a list.
pub const MAX_LIST_BYTES: usize = MAX_ENTRIES * (MAX_NAME_BYTES + MAX_ENTRY_BYTES);
/// Most problems with entries that one update reports.
const MAX_PROBLEMS: usize = 4;

/// A list, or changes to one, as received.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct ListMessage {
    #[serde(rename = "index")]
    version: u64,
    #[serde(rename = "snapshot")]
    is_complete: bool,
    #[serde(rename = "endpoints")]
    entries: Vec<Value>,
}

/// Why a list cannot be used; the last one stays in use.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    /// It is not a list of the expected form.
    #[error("the list cannot be read: {0}")]
    Malformed(#[from] serde_json::Error),
    /// It has too many entries.
    #[error("the list has more than {MAX_ENTRIES} backends")]
    TooManyEntries,
    /// None of its entries can be read.
    #[error("the list has no backend that can be read")]
    NoValidEntry,
}

/// Where a backend accepts new requests.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointAddress {
    /// The backend.
    pub name: BackendId,
    /// Its address, which may be another backend's later. `None`: it drains, was removed, or its entry is invalid.
    pub address: Option<SocketAddr>,
}

/// The content of a list.
#[derive(Debug, Clone, PartialEq)]
pub struct ListUpdate {
    /// Whether it is complete or has changes only.
    pub kind: EndpointListKind,
    /// Its entries, for the decisions.
    pub endpoints: Vec<Endpoint>,
    /// The addresses of its entries.
    pub addresses: Vec<EndpointAddress>,
    /// The first few entries that cannot be used, or not as they stand.
    pub problems: Vec<EntryProblem>,
}

/// The version of the list that is in use, from which the next poll follows.
#[derive(Debug, Clone, Default)]
pub struct ListState {
    version: Option<u64>,
    zones: Vec<String>,
}

impl ListState {
    /// The request target of the complete list.
    pub const COMPLETE_LIST: &str = "/api/targets";

    /// No list is in use yet. `zones` are the names of the zones in the settings.
    pub fn new(zones: Vec<String>) -> Self {
        Self { version: None, zones }
    }

    /// The version of the list that is in use.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// The request target of the next poll: the complete list first, then changes, for which discovery waits `wait` seconds.
    pub fn poll_target(&self, wait: f64) -> String {
        match self.version {
            None => Self::COMPLETE_LIST.to_string(),
            Some(version) => {
                format!("{}?since={version}&timeout_ms={}", Self::COMPLETE_LIST, (wait * 1e3) as u64)
            }
        }
    }

    /// Applies the body of a response. `None`: it has changes to an older version than the one in use, and the next poll
    /// is for the complete list.
    ///
    /// # Errors
    /// It cannot be used; the version in use stays.
    pub fn apply(&mut self, body: &[u8]) -> Result<Option<ListUpdate>, ListError> {
        let message: ListMessage = serde_json::from_slice(body)?;
        if !message.is_complete && self.version.is_none_or(|version| message.version < version) {
            self.version = None;
            return Ok(None);
        }
        let version = message.version;
        let update = message.into_update(&self.zones, EndpointListKind::Snapshot)?;
        self.version = Some(version);
        Ok(Some(update))
    }
}

impl ListMessage {
    /// The content of the list; a complete one is of kind `complete_kind`. An invalid entry costs that entry only: its
    /// backend gets no new requests.
    ///
    /// # Errors
    /// It has too many entries, or none that can be read.
    pub(crate) fn into_update(
        self,
        zones: &[String],
        complete_kind: EndpointListKind,
    ) -> Result<ListUpdate, ListError> {
        if self.entries.len() > MAX_ENTRIES {
            return Err(ListError::TooManyEntries);
        }
        let kind = if self.is_complete { complete_kind } else { EndpointListKind::Delta };
        let mut update =
            ListUpdate { kind, endpoints: Vec::new(), addresses: Vec::new(), problems: Vec::new() };
        let is_empty = self.entries.is_empty();
        for value in self.entries {
            match (backend_name(&value), Entry::parse(value)) {
                (Some(name), Ok(entry)) => update.add(name, entry, zones),
                (name, parsed) => update.add_invalid(name, parsed.err().unwrap_or(EntryError::InvalidName)),
            }
        }
        if update.endpoints.is_empty() && !is_empty {
            return Err(ListError::NoValidEntry);
        }
        Ok(update)
    }
}

impl ListUpdate {
    fn add(&mut self, name: BackendId, entry: Entry, zones: &[String]) {
        if entry.has_unknown_status() {
            self.report(Some(name.clone()), EntryError::UnknownStatus);
        }
        let (endpoint, address) = entry.into_endpoint(name, zones);
        self.endpoints.push(endpoint);
        self.addresses.push(address);
    }

    /// Adds an entry that cannot be read. A complete list leaves its backend out, which removes it; changes have to name it
    /// as draining.
    fn add_invalid(&mut self, name: Option<BackendId>, error: EntryError) {
        self.report(name.clone(), error);
        let Some(id) = name.filter(|_| self.kind == EndpointListKind::Delta) else { return };
        let (zone, cell, started, lifecycle) = (0, 0, 0.0, Lifecycle::Draining);
        self.endpoints.push(Endpoint { id: id.clone(), zone, cell, started, lifecycle });
        self.addresses.push(EndpointAddress { name: id, address: None });
    }

    fn report(&mut self, backend: Option<BackendId>, error: EntryError) {
        if self.problems.len() < MAX_PROBLEMS {
            self.problems.push(EntryProblem { backend, error });
        }
    }
}
