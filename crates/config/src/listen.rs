//! `[listen]`: addresses, connection limits and the grace period of a shutdown.

use crate::address::address;
use crate::config::MAX_SECONDS;
use crate::table::Table;
use std::net::SocketAddr;

const DEFAULT_CONNECTIONS: u32 = 1024;
const MAX_CONNECTIONS: u32 = 65_536;
const DEFAULT_DRAIN_SECONDS: f64 = 10.0;
/// An admin page without an address of its own listens on a free port.
pub(crate) const ANY_ADMIN_ADDRESS: &str = "127.0.0.1:0";

/// What the gRPC services accept at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Most connections.
    pub connections: u32,
    /// Most streams of each connection.
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
            root.missing("[listen]", "a table with `ext_authz` and `admin`");
            return None;
        };
        let ext_authz = address(&mut table, "ext_authz", None);
        let admin = address(&mut table, "admin", Some(ANY_ADMIN_ADDRESS));
        let connection_limits = ConnectionLimits {
            connections: table.whole("connections", DEFAULT_CONNECTIONS, 1..=MAX_CONNECTIONS),
            streams_per_connection: table.whole("streams", DEFAULT_CONNECTIONS, 1..=MAX_CONNECTIONS),
        };
        let drain_seconds = table.number("drain_seconds", DEFAULT_DRAIN_SECONDS, 0.0..=MAX_SECONDS);
        table.finish();
        Some(Self { ext_authz: ext_authz?, admin: admin?, connection_limits, drain_seconds })
    }
}
