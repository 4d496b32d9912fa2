//! Fleet membership by the command line: no sockets or timers when it is off, the output of `fleet` when it is on, and
//! the errors in an invalid fleet file.

#[path = "support/command.rs"]
mod command;
#[path = "support/gateway_file.rs"]
mod gateway_file;
#[path = "support/platform.rs"]
mod platform;

use command::{ChildProcess, EXE, start_listening, weirusher};
use gateway_file::gateway_file;
use platform::configuration;
use procfs::process::{FDTarget, Process};
use std::collections::{HashMap, HashSet};
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Time limit for conditions that a test waits for.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Writes the configuration of gateway 0 of 2, whose discovery and counter addresses refuse connections.
fn node_config(dir: &Path) -> PathBuf {
    let (file, unused_address) = (dir.join("node.json"), ([127, 0, 0, 1], 9).into());
    let text = configuration(([127, 0, 0, 1], 0).into(), unused_address, unused_address, 64);
    std::fs::write(&file, text.replace("\"PeersTotal\":1", "\"PeersTotal\":2")).unwrap();
    file
}

/// Writes a fleet file for gateway 0 of 2, with a change to its text.
fn fleet_file(dir: &Path, change: impl Fn(&str) -> String) -> PathBuf {
    let file = dir.join("fleet.toml");
    let text = "[fleet]\nnumber = 0\nlisten = \"127.0.0.1:0\"\nmembers = [\"127.0.0.1:7400\", \"127.0.0.1:7401\"]\n\
                key = \"0123456789abcdef0123456789abcdef\"\n";
    std::fs::write(&file, change(text)).unwrap();
    file
}

/// How often the descriptors of a process are sampled, and the pause before each sample.
const SAMPLES: usize = 20;
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// The open descriptors of a process, by number, with their targets.
fn descriptors(process: &Process) -> HashMap<i32, FDTarget> {
    // A descriptor may be closed between listing and reading it.
    process.fd().unwrap().flatten().map(|fd| (fd.fd, fd.target)).collect()
}

/// The resources that an idle process uses.
#[derive(Debug)]
struct IdleCost {
    udp_sockets: usize,
    descriptors: usize,
    /// Voluntary context switches during the sampling.
    wakeups: u64,
}

/// Measures an idle process. Only descriptors that are open at every sample count, as each connection attempt to
/// discovery and the counter uses one until it is refused.
fn idle_cost(child: &Child) -> IdleCost {
    let process = Process::new(child.id() as i32).unwrap();
    let wakeups = || process.status().unwrap().voluntary_ctxt_switches.unwrap();
    let (before, mut lasting) = (wakeups(), descriptors(&process));
    for _ in 0..SAMPLES {
        std::thread::sleep(SAMPLE_INTERVAL);
        let now = descriptors(&process);
        lasting.retain(|fd, target| now.get(fd) == Some(target));
    }
    let udp: HashSet<u64> = process.udp().unwrap().into_iter().map(|entry| entry.inode).collect();
    let over_udp = |target: &&FDTarget| matches!(target, FDTarget::Socket(inode) if udp.contains(inode));
    IdleCost {
        udp_sockets: lasting.values().filter(over_udp).count(),
        descriptors: lasting.len(),
        wakeups: wakeups() - before,
    }
}

/// Starts `weirusher node` and waits until it serves.
fn start_node(dir: &Path, fleet: Option<&Path>) -> ChildProcess {
    let mut command = Command::new(EXE);
    command.args(["node", "--config"]).arg(node_config(dir)).stdout(Stdio::null()).stderr(Stdio::piped());
    if let Some(fleet) = fleet {
        command.arg("--fleet").arg(fleet);
    }
    let mut child = command.spawn().unwrap();
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
    assert!(lines.any(|line| line.unwrap().contains("serving")));
    // Reads the rest of the log, so that the pipe does not fill up.
    std::thread::spawn(move || lines.for_each(drop));
    ChildProcess(child)
}

#[test]
fn without_membership_there_are_no_sockets_and_timers_for_it() {
    let dir = tempfile::tempdir().unwrap();
    let off = idle_cost(&start_node(dir.path(), None).0);
    let file = fleet_file(dir.path(), str::to_string);
    let on = idle_cost(&start_node(dir.path(), Some(&file)).0);
    // Membership adds a UDP socket, the listener of the admin server, and a timer of 30 ms.
    assert_eq!((off.udp_sockets, on.udp_sockets), (0, 1), "{off:?} {on:?}");
    assert_eq!(on.descriptors, off.descriptors + 2, "{off:?} {on:?}");
    assert!(off.wakeups < 20 && on.wakeups > off.wakeups, "{off:?} {on:?}");
}

#[test]
fn fleet_shows_the_view_of_a_gateway() {
    let dir = tempfile::tempdir().unwrap();
    let scenario = dir.path().join("scenario.toml");
    let text = "name = \"idle\"\nseconds = 1\n[fleet]\ngatekeepers = 3\n[peers]\n[[plan]]\n\
                name = \"p\"\ncustomers = 1\nrate = 1\nburst = 1\nasks = 0\n\
                [[class]]\nname = \"c\"\naim_ms = 1000\npatience_ms = 3000\n";
    std::fs::write(&scenario, text).unwrap();
    let (mut fleet, addresses) = start_listening(&["scenario", "--no-load", scenario.to_str().unwrap()]);
    let admin = addresses["admin"][1].as_str().unwrap();
    let end = Instant::now() + TEST_TIMEOUT;
    let shown = loop {
        let output = weirusher(&["fleet", "--admin", admin]);
        let printed = String::from_utf8(output.stdout).unwrap();
        if printed.contains("reachable  100 %") || Instant::now() > end {
            break printed;
        }
        std::thread::sleep(Duration::from_millis(50));
    };
    for part in [
        "gateway 1, incarnation",
        "reachable  100 %",
        "2 of 2 others alive",
        "heard by   2 of 2",
        "alive      2",
    ] {
        assert!(shown.contains(part), "{part}: {shown}");
    }
    let output = weirusher(&["fleet", "--admin", admin, "--json"]);
    let view: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!((view["number"].as_u64(), view["members"].as_array().map(Vec::len)), (Some(1), Some(2)));
    drop(fleet.0.stdin.take());
    assert!(fleet.0.wait().unwrap().success());
}

/// No gateway listens at the address, or the gateway has no membership.
#[test]
fn fleet_fails_without_a_gateway_or_membership() {
    let output = weirusher(&["fleet", "--admin", "127.0.0.1:9"]);
    assert_eq!(output.status.code(), Some(1));
    let dir = tempfile::tempdir().unwrap();
    let file = gateway_file(dir.path());
    let (gateway, listening) = start_listening(&["run", "--config", file.to_str().unwrap()]);
    assert!(listening.get("fleet").is_none(), "{listening}");
    let output = weirusher(&["fleet", "--admin", listening["admin"].as_str().unwrap()]);
    let errors = String::from_utf8_lossy(&output.stderr).to_string();
    assert_eq!((output.status.code(), errors.contains("no [fleet]")), (Some(2), true), "{errors}");
    assert_eq!(idle_cost(&gateway.0).udp_sockets, 0, "a gateway without membership has a UDP socket");
}

#[test]
fn an_invalid_fleet_file_is_rejected_with_line_numbers() {
    let dir = tempfile::tempdir().unwrap();
    let config = node_config(dir.path());
    let start = |change: &dyn Fn(&str) -> String| {
        let file = fleet_file(dir.path(), change);
        let output =
            weirusher(&["node", "--config", config.to_str().unwrap(), "--fleet", file.to_str().unwrap()]);
        (output.status.code(), String::from_utf8_lossy(&output.stderr).to_string())
    };
    let (code, errors) = start(&|text| {
        text.replace("127.0.0.1:7401", "127.0.0.1:7400").replace("0123456789abcdef0123456789abcdef", "short")
    });
    assert_eq!(code, Some(2), "{errors}");
    for part in [
        "fleet.toml:4:",
        "member 1 has the address 127.0.0.1:7400 of member 0",
        "can be guessed",
        "2 problems",
    ] {
        assert!(errors.contains(part), "{part}: {errors}");
    }
    let (code, errors) = start(&|text| text.replace("number = 0", "number = 1"));
    assert_eq!(code, Some(1), "{errors}");
    assert!(
        errors.contains("[fleet] is for gateway 1 of 2, but the configuration is for gateway 0 of 2"),
        "{errors}"
    );
}
