//! The platform configuration that tests start from.

use serde_json::json;
use std::net::SocketAddr;

/// Seconds after the notification of a drain within which new attempts may still begin at the backend.
pub const DRAIN_GRACE: f64 = 2.0;
/// Time limit for connecting to a backend, in seconds.
const CONNECT_TIMEOUT: f64 = 10.0;

/// The configuration of gateway `n0`, the only one of its fleet, with an empty endpoint list, as JSON.
pub fn configuration(
    listen: SocketAddr,
    discovery: SocketAddr,
    counter: SocketAddr,
    sockets: usize,
) -> String {
    json!({
        "name": "n0", "listen": listen, "discovery": discovery, "counter": counter, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": sockets},
        "known": {"index": 1, "snapshot": true, "endpoints": []},
        "settings": {
            "PeersTotal": 1, "Me": 0, "Dcs": ["a"], "Step": 0.002,
            "Domain": {"HasCounter": true, "CountLimit": 0.5, "MaxUnits": 1.0},
            "Limits": {"SendCap": 4, "SecondCopies": true, "Cancelling": true, "RetryAfter": true,
                "MaxRetryAfter": 1.0, "ConnIdle": 30.0, "ConnectTimeout": CONNECT_TIMEOUT},
            "Rules": {"StopSendingWithin": DRAIN_GRACE},
            "Classes": [{"Name": "check", "Effect": "idempotent", "Slo": 2.0},
                {"Name": "store", "Effect": "at_most_once", "Slo": 2.0}],
            "Plans": [{"Name": "iso", "QuotaRate": 1000.0, "Depth": 1000.0, "Pays": 1.0},
                {"Name": "tiny", "QuotaRate": 0.1, "Depth": 1.0, "Pays": 1.0}],
        },
    })
    .to_string()
}
