//! The command line: exit codes, errors, and the former names of commands and options.

#[path = "support/command.rs"]
mod command;
#[path = "support/gateway_file.rs"]
mod gateway_file;

use command::{ChildProcess, repository_root, start_listening, weirusher};
use gateway_file::gateway_file;
use std::io::Write;
use std::process::Output;

/// A scenario of one second without load.
const SHORT_SCENARIO: &str = "name = \"short\"\nseconds = 1\n[fleet]\ngatekeepers = 1\ncheckers = 1\n[[plan]]\n\
    name = \"p\"\ncustomers = 1\nrate = 1\nburst = 1\nasks = 0\n\
    [[class]]\nname = \"c\"\naim_ms = 1000\npatience_ms = 3000\n";

/// What a command wrote to standard error.
fn errors(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).to_string()
}

#[test]
fn exit_codes_and_errors() {
    assert_eq!(weirusher(&["nonsense"]).status.code(), Some(2));
    assert!(weirusher(&["--help"]).status.success());
    assert!(weirusher(&["check", "deploy/gatekeeper.toml"]).status.success());
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("bad.toml");
    let good = std::fs::read_to_string(repository_root().join("deploy/gatekeeper.toml")).unwrap();
    let bad = good.replace("gateways = 3", "gatewys = 3").replace("127.0.0.1:9000", "10.0.0.1:9000");
    std::fs::File::create(&file).unwrap().write_all(bad.as_bytes()).unwrap();
    let output = weirusher(&["check", file.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(2), "{}", errors(&output));
    for part in ["did you mean `gateways`?", "only loopback is served", "2 problems"] {
        assert!(errors(&output).contains(part), "{part}: {}", errors(&output));
    }
    assert_eq!(weirusher(&["audit", "Cargo.toml"]).status.code(), Some(2));
    let output = weirusher(&["fake", "counter", "--listen", "192.168.1.1:1"]);
    assert!(errors(&output).contains("not loopback"));
}

#[test]
fn an_idle_gateway_exits_on_sigterm() {
    let dir = tempfile::tempdir().unwrap();
    let file = gateway_file(dir.path());
    let (mut gateway, listening) = start_listening(&["run", "--config", file.to_str().unwrap()]);
    assert!(listening.get("ext_authz").is_some(), "{listening}");
    terminate(&gateway);
    assert!(gateway.0.wait().unwrap().success());
}

/// Sends SIGTERM to a process.
fn terminate(process: &ChildProcess) {
    let id = nix::unistd::Pid::from_raw(process.0.id() as i32);
    nix::sys::signal::kill(id, nix::sys::signal::Signal::SIGTERM).unwrap();
}

/// The former names of `scenario --no-load`.
#[test]
fn rehearse_and_hold_are_aliases() {
    let dir = tempfile::tempdir().unwrap();
    let (file, capture) = (dir.path().join("short.toml"), dir.path().join("capture.jsonl"));
    std::fs::write(&file, SHORT_SCENARIO).unwrap();
    let (file, capture) = (file.to_str().unwrap(), capture.to_str().unwrap());
    let output = weirusher(&["rehearse", file, "--capture", capture, "--json"]);
    assert!(output.status.success(), "{}", errors(&output));
    let report: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!((&report["day"], &report["broken"]), (&"short".into(), &0.into()));
    // An audit of the stored capture gives the same report.
    let output = weirusher(&["audit", capture, "--json"]);
    assert_eq!(serde_json::from_slice::<serde_json::Value>(&output.stdout).unwrap(), report);
    let (mut fleet, addresses) = start_listening(&["rehearse", file, "--hold"]);
    assert_eq!(addresses["checkers"].as_array().map(Vec::len), Some(1));
    drop(fleet.0.stdin.take());
    assert!(fleet.0.wait().unwrap().success());
}

/// The former names of `simulate --schedules`.
#[test]
fn prove_and_timelines_are_aliases() {
    let result = |args: &[&str]| {
        let output = weirusher(args);
        assert!(output.status.success(), "{}", errors(&output));
        serde_json::from_slice::<serde_json::Value>(&output.stdout).unwrap()
    };
    let former = result(&["prove", "--timelines", "20", "--from", "7", "--json"]);
    assert_eq!(former["timelines"], 20);
    assert_eq!(former, result(&["simulate", "--schedules", "20", "--from", "7", "--json"]));
}

/// The former names of `fake`, its servers and their options.
#[test]
fn standin_and_its_servers_are_aliases() {
    let key = ["--key", "1:0123456789abcdef"];
    let checker = ["standin", "checker", "--cold-from", "0.5", "--cold-seconds", "3"];
    let (_checker, listening) = start_listening(&[&checker[..], &key].concat());
    let backend = listening["address"].as_str().unwrap();
    let (_counter, listening) = start_listening(&["standin", "counter"]);
    assert!(listening["address"].is_string(), "{listening}");
    let (_discovery, listening) = start_listening(&["standin", "discovery", "--checker", backend]);
    assert!(listening["address"].is_string(), "{listening}");
    // No process listens at this address, so each request ends with a lost connection.
    let edge = ["standin", "edge", "--gatekeeper", "127.0.0.1:9", "--patience-ms", "500", "--seconds", "1"];
    let output = weirusher(&edge);
    assert!(output.status.success(), "{}", errors(&output));
    let printed: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(printed["tries"], printed["ends"]["broken"], "{printed}");
    // The current names take the same options.
    let fake = ["fake", "backend", "--slow-start-from", "0.5", "--slow-start-seconds", "3"];
    let (_backend, listening) = start_listening(&[&fake[..], &key].concat());
    assert!(listening["address"].is_string(), "{listening}");
    let (_discovery, listening) = start_listening(&["fake", "discovery", "--backend", backend]);
    assert!(listening["address"].is_string(), "{listening}");
    let load =
        ["fake", "load-generator", "--gateway", "127.0.0.1:9", "--deadline-ms", "500", "--seconds", "1"];
    let output = weirusher(&load);
    assert!(output.status.success(), "{}", errors(&output));
}
