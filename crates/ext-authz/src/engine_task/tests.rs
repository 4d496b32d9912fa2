//! The JSON format of `GET /stats` on the admin page.

use super::*;
use serde_json::{Value, json};

/// Scripts and dashboards read `GET /stats` by key, so a renamed field must keep its serialized name.
#[test]
fn stats_keys_are_stable() {
    let status = GatewayStatus {
        instance: 3,
        incarnation: 9,
        open_requests: 2,
        pending: 1,
        engine: EngineMetrics::default(),
        process: Metrics::default().snapshot(),
        log_lines_dropped: 4,
    };
    let zeros = |keys: &[&str]| keys.iter().map(|key| (key.to_string(), json!(0))).collect::<Value>();
    let ledger = zeros(&[
        "checks",
        "allowed",
        "refused",
        "failed",
        "left",
        "undelivered",
        "reported",
        "unreported",
        "uncollected",
        "expired_grants",
        "late_reports",
        "foreign_reports",
        "bad_tickets",
        "foreign_checks",
        "doubled_checks",
        "ledger_full",
    ]);
    let process = zeros(&[
        "bad_checks",
        "queue_full",
        "entries_without_ticket",
        "connections_refused",
        "connections_mute",
        "counter_calls",
        "counter_answered",
        "counter_given_up",
        "counter_lost",
        "counter_errors",
        "counter_connections",
        "lists",
        "list_entries_unusable",
    ]);
    let page = serde_json::to_value(&status).unwrap();
    let expected = json!({ "instance": 3, "epoch": 9, "open": 2, "owed": 1, "ledger": ledger,
            "process": process, "log_lines_dropped": 4 });
    assert_eq!(page, expected);
}
