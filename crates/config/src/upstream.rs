//! `[counter]` and `[discovery]`: the services that a gateway depends on.

use crate::address::address;
use crate::table::Table;
use std::net::SocketAddr;
use std::path::PathBuf;
use weirusher::Settings;

const DEFAULT_COUNTER_TIMEOUT_MS: f64 = 50.0;
const MAX_COUNTER_TIMEOUT_MS: f64 = 10_000.0;
const MILLIS_PER_SECOND: f64 = 1000.0;
const DEFAULT_CLUSTER: &str = "checkers";

/// The shared counter of the fleet.
#[derive(Debug, Clone)]
pub struct CounterConfig {
    /// The address of the counter.
    pub address: SocketAddr,
}

impl CounterConfig {
    pub(crate) fn read(root: &mut Table<'_, '_>, settings: &mut Settings) -> Option<Self> {
        let mut table = root.table("counter")?;
        settings.has_counter = true;
        let bounds = 1.0..=MAX_COUNTER_TIMEOUT_MS;
        settings.counter_timeout =
            table.number("limit_ms", DEFAULT_COUNTER_TIMEOUT_MS, bounds) / MILLIS_PER_SECOND;
        let address = address(&mut table, "address", None);
        table.finish();
        Some(Self { address: address? })
    }
}

/// Endpoint discovery by EDS, Envoy's endpoint discovery service.
#[derive(Debug, Clone)]
pub struct DiscoveryConfig {
    /// The address of the EDS server.
    pub address: SocketAddr,
    /// The cluster whose endpoints are requested.
    pub cluster: String,
    /// The file that caches the last endpoint list across restarts.
    pub cache_file: Option<PathBuf>,
}

impl DiscoveryConfig {
    pub(crate) fn read(root: &mut Table<'_, '_>, settings: &mut Settings) -> Option<Self> {
        let Some(mut table) = root.table("discovery") else {
            root.report_missing(
                "[discovery]",
                "expected a table with `address`, the address of the EDS server",
            );
            return None;
        };
        settings.polls_endpoints = true;
        let address = address(&mut table, "address", None);
        let cluster = table.string("cluster").map_or_else(|| DEFAULT_CLUSTER.to_string(), |name| name.value);
        let cache_file = table.string("keep").map(|path| PathBuf::from(path.value));
        let _ = table.string("zones"); // Files of older versions name the zones here.
        table.finish();
        Some(Self { address: address?, cluster, cache_file })
    }
}
