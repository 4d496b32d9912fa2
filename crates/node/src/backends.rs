//! The backends that accept new requests, each with the process that it currently is.

use std::collections::HashMap;
use std::net::SocketAddr;
use weirusher::{BackendId, EndpointListKind};
use weirusher_platform::list::{BackendInstance, ListUpdate};

/// A process of a backend, which connections are opened to.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct BackendEndpoint {
    pub name: BackendId,
    pub instance: BackendInstance,
}

/// The backends that accept new requests, by name.
#[derive(Debug, Default)]
pub struct Backends(HashMap<BackendId, BackendInstance>);

impl Backends {
    /// Applies the entries of an endpoint list. A backend whose address now belongs to another one is withdrawn, from
    /// `update` as well: its process has gone, and what is sent to the address reaches the other backend.
    pub fn apply(&mut self, update: &mut ListUpdate) {
        if update.kind != EndpointListKind::Delta {
            self.0.clear();
        }
        for backend in &update.backends {
            match backend.instance {
                Some(instance) => self.0.insert(backend.name.clone(), instance),
                None => self.0.remove(&backend.name),
            };
        }
        for name in self.displaced(update) {
            self.0.remove(&name);
            update.withdraw(name);
        }
    }

    /// The process that a backend currently is; `None` if it accepts no new requests.
    pub fn endpoint(&self, name: &BackendId) -> Option<BackendEndpoint> {
        let instance = *self.0.get(name)?;
        Some(BackendEndpoint { name: name.clone(), instance })
    }

    /// Whether this process of its backend accepts new requests.
    pub fn accepts(&self, endpoint: &BackendEndpoint) -> bool {
        self.0.get(&endpoint.name) == Some(&endpoint.instance)
    }

    /// The backends whose address another one has taken over: one that started later, or, if that cannot be told, one
    /// that `update` names while it does not name them.
    fn displaced(&self, update: &ListUpdate) -> Vec<BackendId> {
        let mut latest: HashMap<SocketAddr, u64> = HashMap::new();
        for instance in self.0.values() {
            let started_ms = latest.entry(instance.address).or_default();
            *started_ms = instance.started_ms.max(*started_ms);
        }
        if latest.len() == self.0.len() {
            return Vec::new();
        }
        let named: HashMap<SocketAddr, &BackendId> = update
            .backends
            .iter()
            .filter_map(|backend| Some((backend.instance?.address, &backend.name)))
            .collect();
        let is_named = |name: &BackendId| update.backends.iter().any(|backend| backend.name == *name);
        let is_displaced = |(name, instance): &(&BackendId, &BackendInstance)| {
            let started_earlier = instance.started_ms < latest[&instance.address];
            started_earlier
                || named.get(&instance.address).is_some_and(|other| *other != *name) && !is_named(name)
        };
        self.0.iter().filter(is_displaced).map(|(name, _)| name.clone()).collect()
    }
}

#[cfg(test)]
mod tests;
