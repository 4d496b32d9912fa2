//! The list of backends that discovery serves, and its changes.

use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

/// At most one backend of this many is draining or gone at once.
const BACKENDS_PER_DRAIN: usize = 3;

/// The status of a backend in discovery's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// It accepts new requests.
    Serving,
    /// It finishes those that it has.
    Draining,
}

impl Status {
    /// Its name in discovery's form.
    pub fn name(self) -> &'static str {
        match self {
            Self::Serving => "SERVING",
            Self::Draining => "DRAINING",
        }
    }
}

/// A backend as it is listed.
#[derive(Debug, Clone, Copy)]
pub struct Endpoint {
    /// Its number.
    pub number: usize,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its status.
    pub status: Status,
    /// When it was started last, in milliseconds since the Unix epoch; 0: long ago.
    pub since_ms: u64,
}

impl Endpoint {
    /// Whether new requests may be sent to it.
    pub fn is_serving(&self) -> bool {
        self.status == Status::Serving
    }

    /// Lists it as started now.
    pub fn restart(&mut self) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        (self.status, self.since_ms) = (Status::Serving, now.as_millis() as u64);
    }
}

/// Backends at these addresses, numbered from 0, all of them serving.
pub fn serving(addresses: impl Iterator<Item = SocketAddr>) -> Vec<Endpoint> {
    let endpoint = |(number, address)| Endpoint { number, address, status: Status::Serving, since_ms: 0 };
    addresses.enumerate().map(endpoint).collect()
}

/// The list of backends.
#[derive(Debug)]
pub struct EndpointList {
    endpoints: Vec<Endpoint>,
    /// Numbers of backends that are not listed at present.
    removed: Vec<usize>,
}

impl EndpointList {
    /// A list of all `endpoints`.
    pub fn new(endpoints: Vec<Endpoint>) -> Self {
        Self { endpoints, removed: Vec::new() }
    }

    /// Begins the drain of a backend. Returns `false` where it is not serving, or where too many are draining.
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

    /// Takes a drained backend from the list.
    pub fn remove(&mut self, backend: usize) {
        self.removed.push(backend);
    }

    /// Lists a removed backend again, as just started.
    pub fn restart(&mut self, backend: usize) {
        self.removed.retain(|removed| *removed != backend);
        self.endpoints.iter_mut().filter(|endpoint| endpoint.number == backend).for_each(Endpoint::restart);
    }

    /// The backends that are listed.
    pub fn listed(&self) -> Vec<Endpoint> {
        self.endpoints.iter().filter(|endpoint| !self.removed.contains(&endpoint.number)).copied().collect()
    }
}
