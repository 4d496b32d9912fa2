//! Generates the gateways' configurations, in the form in which an operator writes them.

use super::TICKET_SECRET;
use crate::scenario::{ClassSpec, PlanSpec, Scenario};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::Path;
use weirusher_fakes::{Reply, ScriptedServer, http_response};

/// Configuration of a gateway that runs the `run` subcommand, as TOML.
pub(super) fn toml(
    scenario: &Scenario,
    number: usize,
    counter: SocketAddr,
    discovery: SocketAddr,
    list_file: &Path,
) -> String {
    let (fleet, slow_start) = (&scenario.fleet, &scenario.slow_start);
    let mut text = format!(
        "[instance]\nnumber = {number}\ngateways = {}\n\n[listen]\next_authz = \"127.0.0.1:0\"\n\
         admin = \"127.0.0.1:0\"\ndrain_seconds = 8\n\n[[tickets.keys]]\nid = 1\nsecret = \"{TICKET_SECRET}\"\n\n\
         [counter]\naddress = \"{counter}\"\nlimit_ms = {}\n\n[discovery]\naddress = \"{discovery}\"\nkeep = {:?}\n\n\
         [limits]\nopen = {}\nattempts = {}\nretry_after_seconds = {}\n\n\
         [cold]\nfrom = {}\nseconds = {}\nfall_multiple = {}\nfall_seconds = {}\n\n[request]\nunits_header = \"x-units\"\n",
        fleet.gateways,
        fleet.counter_limit_ms,
        list_file.display().to_string(),
        fleet.max_pending_requests,
        fleet.attempts,
        fleet.retry_after_seconds,
        slow_start.initial_share,
        slow_start.duration_seconds,
        slow_start.overload_multiple,
        slow_start.overload_window_seconds,
    );
    scenario.plans.iter().for_each(|plan| write_plan(&mut text, plan));
    scenario.classes.iter().for_each(|class| write_class(&mut text, class));
    text += "\n[customers]\n";
    for plan in &scenario.plans {
        for number in 0..plan.customers {
            let _ = writeln!(text, "{:?} = {:?}", plan.customer(number), plan.name);
        }
    }
    text
}

fn write_plan(text: &mut String, plan: &PlanSpec) {
    let PlanSpec { name, rate, burst, priority_weight, excess_weight, ceiling_rate, ceiling_burst, .. } =
        plan;
    let _ = write!(
        text,
        "\n[[plan]]\nname = {name:?}\nrate = {rate}\nburst = {burst}\npays = {priority_weight}\n\
         excess_worth = {excess_weight}\nceiling_rate = {ceiling_rate}\nceiling_burst = {ceiling_burst}\n"
    );
}

fn write_class(text: &mut String, class: &ClassSpec) {
    let ClassSpec { name, latency_objective_ms, deadline_ms, effect, window_seconds, .. } = class;
    let _ = write!(
        text,
        "\n[[class]]\nname = {name:?}\naim_ms = {latency_objective_ms}\npatience_ms = {deadline_ms}\n\
         effect = {effect:?}\nwindow_seconds = {window_seconds}\n\n[[route]]\nprefix = \"/{name}\"\nclass = {name:?}\n"
    );
}

/// Configuration of a gateway that runs the `node` subcommand, in the platform's JSON, without backends or customers.
pub(super) fn node_json(number: usize, fleet_size: usize, discovery: SocketAddr) -> String {
    let text = serde_json::json!({
        "name": format!("n{number}"), "listen": "127.0.0.1:0", "discovery": discovery, "counter": null, "seed": number,
        "limits": {"cores": 1.0, "memory_mb": 32, "sockets": 64},
        "known": {"index": 1, "snapshot": true, "endpoints": []},
        "settings": {
            "PeersTotal": fleet_size, "Me": number, "Dcs": ["a"], "Step": 0.002,
            "Domain": {"HasCounter": false, "CountLimit": 0.5, "MaxUnits": 1.0},
            "Limits": {"SendCap": 4, "SecondCopies": false, "Cancelling": false, "RetryAfter": true,
                "MaxRetryAfter": 1.0, "ConnIdle": 30.0, "ConnectTimeout": 0.25},
            "Classes": [{"Name": "check", "Effect": "idempotent", "Slo": 2.0}],
            "Plans": [{"Name": "none", "QuotaRate": 1.0, "Depth": 1.0, "Pays": 1.0}],
        },
    });
    text.to_string()
}

/// Fake of the platform's endpoint list service: it serves an empty list that never changes, which is all that a
/// gateway without backends needs.
pub(super) async fn platform_discovery() -> std::io::Result<ScriptedServer> {
    let list = serde_json::json!({ "index": 1, "snapshot": true, "endpoints": [] }).to_string();
    let script = move |request: &weirusher_wire::http1::Request| {
        let waits_for_change = request.path.contains("since=");
        if waits_for_change { Reply::NoReply } else { Reply::Bytes(http_response(200, "", &list)) }
    };
    ScriptedServer::start(super::ANY_PORT, script).await
}
