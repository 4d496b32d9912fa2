//! Runs the shipped scenarios in days/ with real processes. Two run at a time, so that they do not starve each other.

#[path = "support/command.rs"]
mod command;

use command::{start_listening, weirusher};
use std::sync::{Condvar, Mutex};

/// Number of scenarios that may run at the same time.
const MAX_CONCURRENT: usize = 2;

/// Number of scenarios that are running.
static RUNNING: (Mutex<usize>, Condvar) = (Mutex::new(0), Condvar::new());

/// Runs a scenario, which must violate no rule.
fn run_scenario(name: &str) {
    {
        let (running, changed) = &RUNNING;
        let mut running = changed.wait_while(running.lock().unwrap(), |n| *n >= MAX_CONCURRENT).unwrap();
        *running += 1;
    }
    let output = weirusher(&["scenario", &format!("days/{name}.toml")]);
    *RUNNING.0.lock().unwrap() -= 1;
    RUNNING.1.notify_one();
    let (printed, errors) =
        (String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
    assert!(output.status.success(), "{name}: {:?}\n{printed}\n{errors}", output.status);
    assert!(printed.contains("all kept"), "{printed}");
}

macro_rules! scenarios {
    ($($name:ident),*) => { $( #[test] fn $name() { run_scenario(&stringify!($name).replace('_', "-")); } )* };
}

scenarios!(quiet, answers, effects, drains, cold, ceilings, fleet_cut, fleet_die, fleet_pause, fleet_ring);

#[test]
fn a_fleet_without_load_runs_until_its_input_ends() {
    let (mut fleet, addresses) = start_listening(&["scenario", "days/quiet.toml", "--no-load"]);
    for (kind, count) in [("ext_authz", 3), ("access_log", 3), ("counter", 1), ("checkers", 6), ("admin", 3)]
    {
        assert_eq!(addresses[kind].as_array().map(Vec::len), Some(count), "{kind}");
    }
    assert_eq!(addresses["customers"]["small"][0], "small-0");
    // A separate load generator sends requests of the scenario's customers.
    let first = addresses["ext_authz"][0].as_str().unwrap();
    let load = ["--gateway", first, "--prefix", "small-", "--rate", "20", "--seconds", "2"];
    let output = weirusher(&[&["fake", "load-generator"], &load[..]].concat());
    let printed: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert!(printed["ends"]["served"].as_u64() > Some(0), "{printed}");
    assert_eq!(printed["ends"]["failed"].as_u64(), None, "{printed}");
    drop(fleet.0.stdin.take());
    assert!(fleet.0.wait().unwrap().success());
}
