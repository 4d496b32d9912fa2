//! `[listen]`: listening addresses, connection limits and the drain time of a graceful shutdown.

use crate::address::address;
use crate::config::MAX_SECONDS;
use crate::table::Table;
use std::net::SocketAddr;

const DEFAULT_CONNECTIONS: u32 = 1024;
const MAX_CONNECTIONS: u32 = 65_536;
const DEFAULT_DRAIN_SECONDS: f64 = 10.0;
/// The default address of the admin page, and of the fleet page of a `node`: a free port on loopback.
pub(crate) const ANY_ADMIN_ADDRESS: &str = "127.0.0.1:0";

/// Concurrency limits of the gRPC services.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Maximum number of connections.
    pub connections: u32,
    /// Maximum number of concurrent streams per connection.
    pub streams_per_connection: u32,
}

pub(crate) struct Listen {
    pub ext_authz: SocketAddr,
    pub admin: SocketAddr,
    pub connection_limits: ConnectionLimits,
    pub drain_seconds: f64,
}

impl Listen {
    pub fn read(root: &mut Table<'_, '_>) -> Option<Self> {
        let Some(mut table) = root.table("listen") else {
            root.report_missing("[listen]", "expected a table with `ext_authz` and `admin`");
            return None;
        };
        let ext_authz = address(&mut table, "ext_authz", None);
        let admin = address(&mut table, "admin", Some(ANY_ADMIN_ADDRESS));
        let connection_limits = ConnectionLimits {
            connections: table.whole_number("connections", DEFAULT_CONNECTIONS, 1..=MAX_CONNECTIONS),
            streams_per_connection: table.whole_number("streams", DEFAULT_CONNECTIONS, 1..=MAX_CONNECTIONS),
        };
        let drain_seconds = table.number("drain_seconds", DEFAULT_DRAIN_SECONDS, 0.0..=MAX_SECONDS);
        table.finish();
        Some(Self { ext_authz: ext_authz?, admin: admin?, connection_limits, drain_seconds })
    }
}
