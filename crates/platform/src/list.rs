//! The endpoint list in the format of discovery and of the configuration file.

mod entries;
mod entry;

pub use entry::{EntryError, EntryProblem};

use entries::Entries;
use entry::{Entry, MAX_NAME_BYTES, backend_name};
use serde::Deserialize;
use std::net::SocketAddr;
use weirusher::{BackendId, Endpoint, EndpointListKind, Lifecycle, Location};

/// Maximum number of entries in a list.
const MAX_ENTRIES: usize = 4096;
/// Maximum size of an entry without its name, in bytes: indented JSON, with space for unknown fields.
const MAX_ENTRY_BYTES: usize = 768;
/// Maximum size of a list, in bytes.
pub const MAX_LIST_BYTES: usize = MAX_ENTRIES * (MAX_NAME_BYTES + MAX_ENTRY_BYTES);
/// Maximum number of invalid entries that one update reports.
const MAX_PROBLEMS: usize = 4;

/// A complete list or a set of changes, as received. Its entries are parsed one at a time, so that a list needs no
/// multiple of its size.
#[derive(Debug, Deserialize)]
pub(crate) struct ListMessage<'a> {
    #[serde(rename = "index")]
    version: u64,
    #[serde(rename = "snapshot")]
    is_complete: bool,
    #[serde(rename = "endpoints", borrow)]
    entries: Entries<'a>,
}

/// Why a list is rejected. The previous list stays in use.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    /// The list is not JSON of the expected form.
    #[error("malformed endpoint list: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The list has too many entries.
    #[error("the endpoint list has more than {MAX_ENTRIES} entries")]
    TooManyEntries,
    /// The list has entries, none of which is valid.
    #[error("the endpoint list has no valid entry")]
    NoValidEntry,
}

/// One process of a backend, as an entry describes it. A process that replaces another one under its name, at its
/// address even, differs in its location or in its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct BackendInstance {
    /// The address, which may later belong to another backend.
    pub address: SocketAddr,
    /// Where it runs.
    pub location: Location,
    /// When it started, in Unix milliseconds; 0 if long ago.
    pub started_ms: u64,
}

/// A backend in the list.
#[derive(Debug, Clone, PartialEq)]
pub struct ListedBackend {
    /// The name of the backend.
    pub name: BackendId,
    /// The process that accepts new requests. `None` if the backend is draining or was removed, or if its entry is
    /// invalid.
    pub instance: Option<BackendInstance>,
}

/// The content of a list, ready to be applied.
#[derive(Debug, Clone, PartialEq)]
pub struct ListUpdate {
    /// Whether the list is complete or contains changes only.
    pub kind: EndpointListKind,
    /// The entries, for the policy.
    pub endpoints: Vec<Endpoint>,
    /// The backends of the entries.
    pub backends: Vec<ListedBackend>,
    /// The first few entries that are invalid, or were accepted only in part.
    pub problems: Vec<EntryProblem>,
}

/// The version of the list in use, which determines the next poll.
#[derive(Debug, Clone, Default)]
pub struct ListState {
    version: Option<u64>,
}

impl ListState {
    /// The request target of the complete list.
    pub const COMPLETE_LIST_TARGET: &str = "/api/targets";

    /// The version of the list in use, if any.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// The request target of the next poll: the complete list if none is in use, otherwise the changes to it,
    /// for which discovery waits up to `wait` seconds.
    pub fn poll_target(&self, wait: f64) -> String {
        match self.version {
            None => Self::COMPLETE_LIST_TARGET.to_string(),
            Some(version) => {
                format!("{}?since={version}&timeout_ms={}", Self::COMPLETE_LIST_TARGET, (wait * 1e3) as u64)
            }
        }
    }

    /// Parses the body of a response and adopts its version. Returns `None` for changes that do not apply to
    /// the list in use: there is none, or it has a higher version. The next poll is then for the complete
    /// list.
    ///
    /// # Errors
    /// The list is rejected; the version in use stays.
    pub fn apply(&mut self, body: &[u8]) -> Result<Option<ListUpdate>, ListError> {
        let message = ListMessage::parse(body)?;
        if !message.is_complete && self.version.is_none_or(|version| message.version < version) {
            self.version = None;
            return Ok(None);
        }
        let version = message.version;
        let update = message.into_update(EndpointListKind::Snapshot)?;
        self.version = Some(version);
        Ok(Some(update))
    }
}

impl<'a> ListMessage<'a> {
    /// Parses a list without its entries.
    ///
    /// # Errors
    /// The list is not JSON of the expected form.
    pub(crate) fn parse(text: &'a [u8]) -> Result<Self, ListError> {
        Ok(serde_json::from_slice(text)?)
    }

    /// Converts the message to an update; `complete_kind` is the kind of a complete list. An invalid entry
    /// does not invalidate the list, but its backend gets no new requests.
    ///
    /// # Errors
    /// The list has too many entries, or has entries of which none is valid.
    pub(crate) fn into_update(self, complete_kind: EndpointListKind) -> Result<ListUpdate, ListError> {
        if self.entries.too_many {
            return Err(ListError::TooManyEntries);
        }
        let kind = if self.is_complete { complete_kind } else { EndpointListKind::Delta };
        let mut update =
            ListUpdate { kind, endpoints: Vec::new(), backends: Vec::new(), problems: Vec::new() };
        let is_empty = self.entries.texts.is_empty();
        for text in self.entries.texts {
            match (backend_name(text.get()), Entry::parse(text.get())) {
                (Some(name), Ok(entry)) => update.add(name, entry),
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
    fn add(&mut self, name: BackendId, entry: Entry) {
        if entry.has_unknown_status() {
            self.report(Some(name.clone()), EntryError::UnknownStatus);
        }
        let (endpoint, backend) = entry.into_endpoint(name);
        self.endpoints.push(endpoint);
        self.backends.push(backend);
    }

    /// Handles an invalid entry. In a complete list, leaving the backend out removes it; in a list of
    /// changes, the backend has to be marked as draining.
    fn add_invalid(&mut self, name: Option<BackendId>, error: EntryError) {
        self.report(name.clone(), error);
        let Some(id) = name.filter(|_| self.kind == EndpointListKind::Delta) else { return };
        self.withdraw(id);
    }

    /// Marks a backend as taking no new requests. Nothing else about it changes.
    pub fn withdraw(&mut self, id: BackendId) {
        let (location, started, lifecycle) = (Location::UNKNOWN, 0.0, Lifecycle::Draining);
        self.endpoints.push(Endpoint { id: id.clone(), location, started, lifecycle });
        self.backends.push(ListedBackend { name: id, instance: None });
    }

    fn report(&mut self, backend: Option<BackendId>, error: EntryError) {
        if self.problems.len() < MAX_PROBLEMS {
            self.problems.push(EntryProblem { backend, error });
        }
    }
}
