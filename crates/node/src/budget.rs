//! How the resources that the platform grants are divided among their uses.

use weirusher_platform::config::Limits;

/// Descriptors that the process itself needs: standard streams, the runtime, signals, the listener, and the connections to
/// discovery and the counter, twice during a reload.
const RESERVED_SOCKETS: usize = 24;
/// Fraction of the other descriptors that is kept free, so that neither accept nor connect fails for want of one.
const SPARE_FRACTION: f64 = 0.1;
/// Fraction of the usable descriptors for connections to backends; the rest is for clients.
const BACKEND_FRACTION: f64 = 0.4;
/// Fraction of the memory for the bodies of all requests, and as much again for those of all responses.
const BODY_FRACTION: f64 = 0.2;
/// Bytes in a megabyte, as the platform counts.
const MEGABYTE: f64 = 1e6;

/// The bounds of the node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResourceBudget {
    /// Most connections of clients.
    pub client_connections: usize,
    /// Most connections to backends.
    pub backend_connections: usize,
    /// Most bytes of request bodies together, and of response bodies together.
    pub body_bytes: usize,
}

impl ResourceBudget {
    /// The division of `limits`.
    pub fn new(limits: &Limits) -> Self {
        let usable = limits.sockets.saturating_sub(RESERVED_SOCKETS) as f64 * (1.0 - SPARE_FRACTION);
        let backend_connections = ((usable * BACKEND_FRACTION) as usize).max(1);
        let client_connections = (usable as usize).saturating_sub(backend_connections).max(1);
        let body_bytes = (limits.memory_mb * MEGABYTE * BODY_FRACTION) as usize;
        Self { client_connections, backend_connections, body_bytes }
    }
}
