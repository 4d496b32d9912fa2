//! Reads socket addresses. Only loopback addresses are accepted.

use crate::table::{Located, Table};
use std::net::SocketAddr;

/// Reads the address under a key. If the key is missing, returns the default, or reports a problem if there
/// is no default.
pub(crate) fn address(
    table: &mut Table<'_, '_>,
    key: &'static str,
    default: Option<&str>,
) -> Option<SocketAddr> {
    match table.string(key) {
        Some(text) => loopback_address(table, key, &text),
        None if default.is_none() => {
            table.report_missing(key, "expected an address such as \"127.0.0.1:9000\"");
            None
        }
        None => default.and_then(|default| default.parse().ok()),
    }
}

/// Parses a loopback address.
pub(crate) fn loopback_address(
    table: &Table<'_, '_>,
    key: &str,
    text: &Located<String>,
) -> Option<SocketAddr> {
    match text.value.parse::<SocketAddr>() {
        Ok(address) if address.ip().is_loopback() => return Some(address),
        Ok(address) => {
            let message = format!("`{key}` names {}, which is not loopback", address.ip());
            let hint = "only loopback is served: 127.0.0.1 or [::1]".to_string();
            table.problems.add(text.offset, message, hint);
        }
        Err(_) => {
            let message = format!("`{key}` is not an address: \"{}\"", text.value);
            let hint = "expected an IP address and a port, such as \"127.0.0.1:9000\"".to_string();
            table.problems.add(text.offset, message, hint);
        }
    }
    None
}
