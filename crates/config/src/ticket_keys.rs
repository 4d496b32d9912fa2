//! `[tickets]`: the keys that sign and verify tickets.

use crate::table::Table;
use std::collections::HashSet;
use weirusher_core::Key;

/// Minimum length of the secret of a ticket key, in bytes.
const MIN_SECRET_BYTES: usize = 16;

pub(crate) fn read(root: &mut Table<'_, '_>) -> Vec<Key> {
    let Some(mut table) = root.table("tickets") else {
        root.report_missing(
            "[tickets]",
            "expected a table with [[tickets.keys]], the same on all gateways and backends",
        );
        return Vec::new();
    };
    let (mut keys, mut ids) = (Vec::new(), HashSet::new());
    for mut key in table.tables("keys") {
        let id = key.whole_number("id", 0, 0..=u32::MAX);
        if !ids.insert(id) {
            key.add_problem(format!("two ticket keys have the id {id}"), "ids must be unique".to_string());
        }
        keys.extend(read_secret(&mut key).map(|secret| Key { id, secret }));
        key.finish();
    }
    if keys.is_empty() && ids.is_empty() {
        table.report_missing("keys", "expected at least one [[tickets.keys]]; the first one signs");
    }
    table.finish();
    keys
}

fn read_secret(key: &mut Table<'_, '_>) -> Option<Vec<u8>> {
    let Some(secret) = key.string("secret") else {
        key.report_missing("secret", "expected a secret that only gateways and backends know");
        return None;
    };
    if secret.value.len() < MIN_SECRET_BYTES {
        let message = format!("a secret of {} bytes can be guessed", secret.value.len());
        let hint = format!("expected at least {MIN_SECRET_BYTES} random bytes");
        key.problems.add(secret.offset, message, hint);
        return None;
    }
    Some(secret.value.into_bytes())
}
