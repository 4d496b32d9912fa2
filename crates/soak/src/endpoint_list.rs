//! The endpoint list that discovery serves, and its changes.

use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

/// At most one in this many backends (but at least one in total) is draining or removed at any time.
const BACKENDS_PER_DRAIN: usize = 3;

/// The status of a backend in the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// The backend accepts new requests.
    Serving,
    /// The backend finishes the requests that it has, and accepts no new ones.
    Draining,
}

impl Status {
    /// The name of the status in discovery's JSON.
    pub fn name(self) -> &'static str {
        match self {
            Self::Serving => "SERVING",
            Self::Draining => "DRAINING",
        }
    }
}

/// The entry of a backend in the endpoint list.
#[derive(Debug, Clone, Copy)]
pub struct Endpoint {
    /// The number of the backend.
    pub number: usize,
    /// The address that it listens at.
    pub address: SocketAddr,
    /// The status that is listed.
    pub status: Status,
    /// The last start of the backend, in milliseconds since the Unix epoch; 0 stands for long ago.
    pub since_ms: u64,
}

impl Endpoint {
    /// Whether new requests may be sent to the backend.
    pub fn is_serving(&self) -> bool {
        self.status == Status::Serving
    }

    /// Lists the backend as serving and started just now.
    pub fn restart(&mut self) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        (self.status, self.since_ms) = (Status::Serving, now.as_millis() as u64);
    }
}

/// Serving endpoints at these addresses, numbered from 0.
pub fn serving(addresses: impl Iterator<Item = SocketAddr>) -> Vec<Endpoint> {
    let endpoint = |(number, address)| Endpoint { number, address, status: Status::Serving, since_ms: 0 };
    addresses.enumerate().map(endpoint).collect()
}

/// The endpoint list, which also knows the backends that are removed at present.
#[derive(Debug)]
pub struct EndpointList {
    endpoints: Vec<Endpoint>,
    /// The numbers of backends that are not listed at present.
    removed: Vec<usize>,
}

impl EndpointList {
    /// Creates a list of all `endpoints`.
    pub fn new(endpoints: Vec<Endpoint>) -> Self {
        Self { endpoints, removed: Vec::new() }
    }

    /// Starts to drain a backend. Returns `false` if it is not serving, or if too many backends are draining
    /// or removed (see [`BACKENDS_PER_DRAIN`]).
    pub fn drain(&mut self, backend: usize) -> bool {
        let limit = (self.endpoints.len() / BACKENDS_PER_DRAIN).max(1);
        let draining = self.endpoints.iter().filter(|endpoint| !endpoint.is_serving()).count();
        let is_serving = |endpoint: &&mut Endpoint| endpoint.number == backend && endpoint.is_serving();
        let found = self.endpoints.iter_mut().find(is_serving).filter(|_| draining < limit);
        if let Some(endpoint) = found {
            endpoint.status = Status::Draining;
            return true;
        }
        false
    }

    /// Removes a drained backend from the list.
    pub fn remove(&mut self, backend: usize) {
        self.removed.push(backend);
    }

    /// Lists a removed backend again, as started just now.
    pub fn restart(&mut self, backend: usize) {
        self.removed.retain(|removed| *removed != backend);
        self.endpoints.iter_mut().filter(|endpoint| endpoint.number == backend).for_each(Endpoint::restart);
    }

    /// The entries of all backends that are not removed.
    pub fn listed(&self) -> Vec<Endpoint> {
        self.endpoints.iter().filter(|endpoint| !self.removed.contains(&endpoint.number)).copied().collect()
    }
}
