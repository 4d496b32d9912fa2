//! The list of workers, as discovery and the configuration tell it.

use serde::Deserialize;
use std::net::SocketAddr;
use weirusher::{Lifecycle, ListKind, Server, ServerId};

/// Most bytes of a list.
pub const MOST_LIST: usize = 1024 * 1024;
/// Most workers of a list.
const MOST_WORKERS: usize = 4096;
/// Most bytes of a worker's name.
const MOST_NAME: usize = 256;

/// A list, or changes to one, as they come.
#[derive(Debug, Clone, Deserialize)]
pub struct Listing {
    index: u64,
    snapshot: bool,
    endpoints: Vec<Endpoint>,
}

#[derive(Debug, Clone, Deserialize)]
struct Endpoint {
    name: String,
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
}

/// Why a list is not used; the last one stays in use.
#[derive(Debug, thiserror::Error)]
pub enum BadList {
    /// It is no list.
    #[error("the list cannot be read: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// It passes a bound, or holds a figure that is none.
    #[error("the list names {0}")]
    Bound(&'static str),
}

/// A worker and where it listens.
#[derive(Debug, Clone, PartialEq)]
pub struct Worker {
    /// Its name, which is its identity.
    pub name: ServerId,
    /// Its address here; another may have it later.
    pub address: SocketAddr,
    /// It takes what is new: it neither leaves nor left.
    pub serving: bool,
}

/// What a list tells.
#[derive(Debug, Clone, PartialEq)]
pub struct Told {
    /// What it holds.
    pub kind: ListKind,
    /// Its entries, for the module.
    pub servers: Vec<Server>,
    /// Its entries' addresses.
    pub workers: Vec<Worker>,
}

/// Which version of the list is held, and how to ask for the next.
#[derive(Debug, Clone, Default)]
pub struct Held {
    index: Option<u64>,
    zones: Vec<String>,
}

impl Held {
    /// The target of the whole list.
    pub const WHOLE: &str = "/api/targets";

    /// Nothing is held yet; `zones` are the zones' names.
    pub fn new(zones: Vec<String>) -> Self {
        Self { index: None, zones }
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
    pub fn take(&mut self, body: &[u8]) -> Result<Option<Told>, BadList> {
        let listing: Listing = serde_json::from_slice(body)?;
        if !listing.snapshot && self.index.is_none_or(|held| listing.index < held) {
            self.index = None;
            return Ok(None);
        }
        let index = listing.index;
        let told = listing.told(&self.zones, ListKind::Full)?;
        self.index = Some(index);
        Ok(Some(told))
    }
}

impl Listing {
    /// What the list tells; a whole one is of kind `whole`.
    ///
    /// # Errors
    /// It passes a bound, or holds a figure that is none.
    pub fn told(self, zones: &[String], whole: ListKind) -> Result<Told, BadList> {
        if self.endpoints.len() > MOST_WORKERS {
            return Err(BadList::Bound("too many workers"));
        }
        let kind = if self.snapshot { whole } else { ListKind::Changes };
        let mut told = Told { kind, servers: Vec::new(), workers: Vec::new() };
        for endpoint in self.endpoints {
            if endpoint.name.is_empty() || endpoint.name.len() > MOST_NAME {
                return Err(BadList::Bound("a worker whose name is none"));
            }
            if !endpoint.since_ms.is_finite() || endpoint.since_ms < 0.0 {
                return Err(BadList::Bound("a worker's start that is no time"));
            }
            let name: ServerId = endpoint.name.into();
            let serving = matches!(endpoint.status, State::Serving);
            told.servers.push(Server {
                id: name.clone(),
                zone: zones.iter().position(|z| *z == endpoint.zone).unwrap_or(0) as u32,
                cell: endpoint.group,
                started: endpoint.since_ms / 1e3,
                lifecycle: match endpoint.status {
                    State::Serving => Lifecycle::Running,
                    State::Draining => Lifecycle::Draining,
                    State::Deleted => Lifecycle::Gone,
                },
            });
            told.workers.push(Worker { name, address: endpoint.address, serving });
        }
        Ok(told)
    }
}
