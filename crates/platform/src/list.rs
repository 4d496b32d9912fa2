//! The list of backends, as discovery and the configuration tell it.

use serde::Deserialize;
use serde_json::Value;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use weirusher::{BackendId, Endpoint, EndpointListKind, Lifecycle};

/// Most backends of a list.
const MOST_BACKENDS: usize = 4096;
/// Most bytes of a backend's name.
const MOST_NAME: usize = 256;
/// Bytes of an entry beside its name, indented and with room for fields that are not known here.
const ENTRY: usize = 768;
/// Most bytes of a list.
pub const MOST_LIST: usize = MOST_BACKENDS * (MOST_NAME + ENTRY);
/// Entries that could not be read of which the log tells.
const MOST_TOLD: usize = 4;

/// A list, or changes to one, as they come.
#[derive(Debug, Clone, Deserialize)]
pub struct Listing {
    index: u64,
    snapshot: bool,
    endpoints: Vec<Value>,
}

#[derive(Debug, Clone, Deserialize)]
struct ListedEndpoint {
    address: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    group: u32,
    status: State,
    #[serde(default)]
    since_ms: f64,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
enum State {
    Serving,
    Draining,
    Deleted,
    #[serde(other)]
    Unknown,
}

/// Why a list is not used; the last one stays in use.
#[derive(Debug, thiserror::Error)]
pub enum BadList {
    /// It is no list.
    #[error("the list cannot be read: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// It passes a bound.
    #[error("the list names {0}")]
    Bound(&'static str),
}

/// A backend and where it listens, if it takes what is new.
#[derive(Debug, Clone, PartialEq)]
pub struct BackendAddress {
    /// Its name, which is its identity.
    pub name: BackendId,
    /// Its address here; another may have it later. `None`: it leaves, left, or nothing sure was said of it.
    pub address: Option<SocketAddr>,
}

/// What a list tells.
#[derive(Debug, Clone, PartialEq)]
pub struct ListUpdate {
    /// What it holds.
    pub kind: EndpointListKind,
    /// Its entries, for the module.
    pub endpoints: Vec<Endpoint>,
    /// Its entries' addresses.
    pub addresses: Vec<BackendAddress>,
    /// The entries that cannot be read, some of them by name, and what is wrong.
    pub unread: Vec<String>,
}

/// Which version of the list is held, and how to ask for the next.
#[derive(Debug, Clone, Default)]
pub struct ListState {
    index: Option<u64>,
    zones: Vec<String>,
}

impl ListState {
    /// The target of the whole list.
    pub const WHOLE: &str = "/api/targets";

    /// Nothing is held yet; `zones` are the zones' names.
    pub fn new(zones: Vec<String>) -> Self {
        Self { index: None, zones }
    }

    /// The version of the list that is held.
    pub fn version(&self) -> Option<u64> {
        self.index
    }

    /// The target to ask next: the whole list first, then what is newer, waited for `wait` seconds.
    pub fn target(&self, wait: f64) -> String {
        match self.index {
            None => Self::WHOLE.to_string(),
            Some(index) => format!("{}?since={index}&timeout_ms={}", Self::WHOLE, (wait * 1e3) as u64),
        }
    }

    /// Takes an answer. `None`: it is older than what is held, and the whole list is asked for.
    ///
    /// # Errors
    /// It cannot be read or passes a bound; what is held stays.
    pub fn take(&mut self, body: &[u8]) -> Result<Option<ListUpdate>, BadList> {
        let listing: Listing = serde_json::from_slice(body)?;
        if !listing.snapshot && self.index.is_none_or(|held| listing.index < held) {
            self.index = None;
            return Ok(None);
        }
        let index = listing.index;
        let update = listing.into_update(&self.zones, EndpointListKind::Snapshot)?;
        self.index = Some(index);
        Ok(Some(update))
    }
}

impl Listing {
    /// What the list tells; a whole one is of kind `whole`. An entry that cannot be read costs that entry only: its
    /// backend gets nothing new.
    ///
    /// # Errors
    /// It passes a bound.
    pub fn into_update(self, zones: &[String], whole: EndpointListKind) -> Result<ListUpdate, BadList> {
        if self.endpoints.len() > MOST_BACKENDS {
            return Err(BadList::Bound("too many backends"));
        }
        let kind = if self.snapshot { whole } else { EndpointListKind::Delta };
        let mut update =
            ListUpdate { kind, endpoints: Vec::new(), addresses: Vec::new(), unread: Vec::new() };
        let empty = self.endpoints.is_empty();
        for entry in self.endpoints {
            let name: Option<BackendId> = entry.get("name").and_then(Value::as_str).and_then(name);
            match (name, ListedEndpoint::read(entry)) {
                (Some(name), Ok(endpoint)) => endpoint.add_to(name, zones, &mut update),
                (name, read) => {
                    let wrong = read.err().unwrap_or_else(|| "a name that is none".into());
                    update.unread(name, &wrong);
                }
            }
        }
        if update.endpoints.is_empty() && !empty {
            return Err(BadList::Bound("no backend that can be read"));
        }
        Ok(update)
    }
}

fn name(text: &str) -> Option<BackendId> {
    (!text.is_empty() && text.len() <= MOST_NAME).then(|| text.into())
}

/// The number of a zone: its place in the settings, or one of its own past them. A zone that they do not name must not
/// pass for another: what may have run in it would be repeated there.
fn zone(zones: &[String], name: &str) -> u32 {
    let unnamed = || {
        let mut hasher = DefaultHasher::new();
        name.hash(&mut hasher);
        hasher.finish() as u32 | 1 << 31
    };
    zones.iter().position(|zone| zone == name).map_or_else(unnamed, |place| place as u32)
}

impl ListedEndpoint {
    fn read(entry: Value) -> Result<Self, String> {
        let endpoint: Self = serde_json::from_value(entry).map_err(|error| error.to_string())?;
        if !endpoint.since_ms.is_finite() || endpoint.since_ms < 0.0 {
            return Err("since_ms is no time".into());
        }
        Ok(endpoint)
    }

    fn add_to(self, name: BackendId, zones: &[String], update: &mut ListUpdate) {
        let lifecycle = match self.status {
            State::Serving => Lifecycle::Running,
            State::Draining | State::Unknown => Lifecycle::Draining,
            State::Deleted => Lifecycle::Removed,
        };
        if let State::Unknown = self.status {
            update.note(&name, "a status that is not known");
        }
        update.endpoints.push(Endpoint {
            id: name.clone(),
            zone: zone(zones, &self.zone),
            cell: self.group,
            started: self.since_ms / 1e3,
            lifecycle,
        });
        let address = (lifecycle == Lifecycle::Running).then_some(self.address);
        update.addresses.push(BackendAddress { name, address });
    }
}

impl ListUpdate {
    /// An entry that cannot be read. In a whole list its backend is as one that left; changes say so.
    fn unread(&mut self, name: Option<BackendId>, wrong: &str) {
        self.note(name.as_deref().unwrap_or("?"), wrong);
        let Some(id) = name.filter(|_| self.kind == EndpointListKind::Delta) else { return };
        let (zone, cell, started, lifecycle) = (0, 0, 0.0, Lifecycle::Draining);
        self.endpoints.push(Endpoint { id: id.clone(), zone, cell, started, lifecycle });
        self.addresses.push(BackendAddress { name: id, address: None });
    }

    fn note(&mut self, name: &str, wrong: &str) {
        if self.unread.len() < MOST_TOLD {
            self.unread.push(format!("{name}: {wrong}"));
        }
    }
}
