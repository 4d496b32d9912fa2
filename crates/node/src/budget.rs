//! Divides the resource limits of the process among their uses.

use weirusher_platform::config::Limits;

/// File descriptors that the process itself needs: standard streams, the runtime, signals, the listener, and
/// the connections to discovery and the counter, which exist twice during a reload.
const RESERVED_SOCKETS: usize = 24;
/// Fraction of the remaining descriptors that is kept free, so that accept and connect do not run out of
/// descriptors.
const SPARE_FRACTION: f64 = 0.1;
/// Fraction of the usable descriptors for connections to backends; the rest is for clients.
const BACKEND_FRACTION: f64 = 0.4;
/// Fraction of the memory limit for all requests, and the same again for all responses.
const MESSAGE_FRACTION: f64 = 0.2;
/// Fraction of the memory limit for the endpoint lists that are being received. A list is copied once to be parsed.
const LIST_FRACTION: f64 = 0.15;
/// Fraction of the memory limit for the state of customers.
const CUSTOMER_FRACTION: f64 = 0.2;
/// Memory for the state of one customer in bytes, its part of the table and its name included.
const CUSTOMER_BYTES: f64 = 560.0;
/// Bytes in a megabyte, as the platform defines it.
const MEGABYTE: f64 = 1e6;

/// The resource bounds of the node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResourceBudget {
    /// Maximum number of client connections.
    pub client_connections: usize,
    /// Maximum number of backend connections.
    pub backend_connections: usize,
    /// Maximum total bytes of all requests, and likewise of all responses.
    pub message_bytes: usize,
    /// Maximum total bytes of the endpoint lists that are being received.
    pub list_bytes: usize,
    /// Maximum number of customers whose state is kept.
    pub customers: u32,
}

impl ResourceBudget {
    /// Divides the `limits` of the process.
    pub fn new(limits: &Limits) -> Self {
        let usable = limits.sockets.saturating_sub(RESERVED_SOCKETS) as f64 * (1.0 - SPARE_FRACTION);
        let backend_connections = ((usable * BACKEND_FRACTION) as usize).max(1);
        let client_connections = (usable as usize).saturating_sub(backend_connections).max(1);
        let share = |fraction: f64| (limits.memory_mb * MEGABYTE * fraction) as usize;
        let (message_bytes, list_bytes) = (share(MESSAGE_FRACTION), share(LIST_FRACTION));
        let customers = (share(CUSTOMER_FRACTION) as f64 / CUSTOMER_BYTES) as u32;
        Self { client_connections, backend_connections, message_bytes, list_bytes, customers }
    }
}
