//! The file in which `weirusher run` stores its last endpoint list: a directory that is not writable for a while, and
//! kills at each step of a write. The next start reads the last complete list, or skips a damaged file with a warning
//! that names it.

#[path = "support/process.rs"]
mod process;

use process::wait_for_exit;
use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use weirusher::{Endpoint, Lifecycle, Location};
use weirusher_fakes::{Discovery, Recorder};
use weirusher_fault_shim::{Action, Call, Errno, Fault, FaultShim};

const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
/// Time limit for conditions that a test waits for.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Backends of the list that is stored at first, and of the list from discovery.
const OLD: [&str; 1] = ["127.0.0.1:7001"];
const NEW: [&str; 2] = ["127.0.0.1:7002", "127.0.0.1:7003"];

/// A discovery, a directory with a stored list, and a shim that injects faults into the gateway's file operations.
struct Harness {
    discovery: Discovery,
    shim: FaultShim,
    dir: tempfile::TempDir,
    /// Log of the last gateway. It is read from a pipe, so that file faults affect only the list.
    log: Arc<Mutex<String>>,
}

struct Gateway(Child);

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.0.kill(); // It may have exited already.
        let _ = self.0.wait();
    }
}

impl Harness {
    /// Creates a directory with the old list, and starts a discovery with the new list.
    async fn new() -> Self {
        let discovery = Discovery::start(ANY_PORT, Duration::ZERO, Recorder::new(None)).await.unwrap();
        discovery.set(NEW.into_iter().map(running_endpoint).collect());
        let (shim, dir) = (FaultShim::new().unwrap(), tempfile::tempdir().unwrap());
        let harness = Self { discovery, shim, dir, log: Arc::default() };
        let stored = OLD.map(|address| serde_json::json!({"address": address, "zone": 0, "started": 0.0}));
        std::fs::write(harness.list_file(), serde_json::to_vec(&stored).unwrap()).unwrap();
        harness
    }

    /// The file with the stored list.
    fn list_file(&self) -> PathBuf {
        self.dir.path().join("servers.json")
    }

    /// Starts a gateway and collects its log. Without `discovery`, nothing listens at its discovery address.
    fn start(&self, discovery: bool) -> Gateway {
        let file = self.dir.path().join("gateway.toml");
        let address = if discovery { self.discovery.address.to_string() } else { "127.0.0.1:9".into() };
        let text = format!(
            "default_plan = \"only\"\n[instance]\nnumber = 0\ngateways = 1\n[listen]\next_authz = \"{ANY_PORT}\"\n\
             admin = \"{ANY_PORT}\"\n[[tickets.keys]]\nid = 1\nsecret = \"0123456789abcdef0123456789abcdef\"\n\
             [discovery]\naddress = \"{address}\"\nkeep = \"{}\"\n[[plan]]\nname = \"only\"\nrate = 100\nburst = 100\n\
             [[class]]\nname = \"only\"\naim_ms = 1000\neffect = \"unsafe\"\n",
            self.list_file().display()
        );
        std::fs::write(&file, text).unwrap();
        let run = Command::new(env!("CARGO_BIN_EXE_weirusher"))
            .args(["run", "--config"])
            .arg(&file)
            .envs(self.shim.environment())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn();
        let mut gateway = Gateway(run.unwrap());
        let (log, lines) = (self.log.clone(), BufReader::new(gateway.0.stderr.take().unwrap()).lines());
        log.lock().unwrap().clear();
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                let log = &mut *log.lock().unwrap();
                log.push_str(&line);
                log.push('\n');
            }
        });
        gateway
    }

    fn log_text(&self) -> String {
        self.log.lock().unwrap().clone()
    }

    /// The backends in the stored list, which must be complete.
    fn stored_backends(&self) -> Vec<String> {
        read_backends(&self.list_file())
    }

    async fn wait_until_stored(&self, backends: &[&str]) {
        let stored = async {
            while self.stored_backends() != backends {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(TEST_TIMEOUT, stored).await.expect("the list is stored");
    }
}

/// An endpoint that is running.
fn running_endpoint(address: &str) -> Endpoint {
    let location = Location::from_numbers(0, 0);
    Endpoint { id: address.into(), location, started: 0.0, lifecycle: Lifecycle::Running }
}

/// The addresses in a list file, which must be complete.
fn read_backends(file: &Path) -> Vec<String> {
    let list: Vec<Value> = serde_json::from_slice(&std::fs::read(file).unwrap()).expect("a complete list");
    list.iter().map(|server| server["address"].as_str().unwrap().to_string()).collect()
}

/// Waits for the line with the gateway's addresses, and returns whether it was printed.
fn has_started(gateway: &mut Gateway) -> bool {
    let mut line = String::new();
    BufReader::new(gateway.0.stdout.take().unwrap()).read_line(&mut line).unwrap();
    line.contains("ext_authz")
}

#[tokio::test]
async fn the_list_is_stored_once_its_directory_is_writable() {
    let failing = [
        (Call::Open, Errno::ENOSPC),
        (Call::WriteFile, Errno::ENOSPC),
        (Call::WriteFile, Errno::EIO),
        (Call::Sync, Errno::EIO),
        (Call::Rename, Errno::EIO),
        (Call::Rename, Errno::ENOSPC),
    ];
    for (call, errno) in failing {
        let harness = Harness::new().await;
        let fault = harness.shim.inject(Fault::new(call, Action::Fail(errno)));
        let mut gateway = harness.start(true);
        assert!(has_started(&mut gateway));
        let logged = async {
            while harness.shim.changed_calls(fault) == 0
                || !harness.log_text().contains("could not be cached")
            {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let logged = tokio::time::timeout(TEST_TIMEOUT, logged).await;
        logged.unwrap_or_else(|_| panic!("{call:?} {errno}: no failed write was logged"));
        assert!(
            harness.log_text().contains(&harness.list_file().display().to_string()),
            "{}",
            harness.log_text()
        );
        assert_eq!(harness.stored_backends(), OLD, "{call:?} {errno}: the old list must stay complete");
        harness.shim.end(fault);
        harness.wait_until_stored(&NEW).await;
        assert!(gateway.0.try_wait().unwrap().is_none(), "the gateway has exited");
    }
}

#[tokio::test]
async fn a_list_is_synced_before_it_replaces_the_old_one() {
    let harness = Harness::new().await;
    // A rename before the sync could leave an incomplete file after a crash of the machine.
    let syncs = harness.shim.inject(Fault::new(Call::Sync, Action::Delay(Duration::from_millis(1))));
    let renames = harness.shim.inject(Fault::new(Call::Rename, Action::Fail(Errno::EIO)));
    let _gateway = harness.start(true);
    let renamed = async {
        while harness.shim.changed_calls(renames) == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, renamed).await.expect("the gateway renames the file");
    assert!(harness.shim.changed_calls(syncs) > 0, "the file must be synced before the rename");
    let before = harness.shim.changed_calls(syncs);
    harness.shim.end(renames);
    harness.wait_until_stored(&NEW).await;
    assert!(harness.shim.changed_calls(syncs) > before, "the directory must be synced after the rename");
}

#[tokio::test]
async fn a_kill_at_each_step_of_a_write_leaves_a_complete_list() {
    let steps = [
        (Call::Open, Action::Kill, 0),
        (Call::Open, Action::KillAfter, 0),
        (Call::WriteFile, Action::Kill, 0),
        (Call::WriteFile, Action::KillHalfway, 0),
        (Call::WriteFile, Action::KillAfter, 0),
        (Call::Sync, Action::Kill, 0),
        (Call::Sync, Action::KillAfter, 0),
        (Call::Rename, Action::Kill, 0),
        (Call::Rename, Action::KillAfter, 0),
        (Call::Sync, Action::Kill, 1),
        (Call::Sync, Action::KillAfter, 1),
    ];
    for (call, action, skip) in steps {
        let harness = Harness::new().await;
        let step = harness.shim.inject(Fault::new(call, action).skip(skip));
        let mut gateway = harness.start(true);
        wait_for_exit(&mut gateway.0).await;
        assert!(harness.shim.end(step) > 0);
        let stored = harness.stored_backends();
        assert!(stored == OLD || stored == NEW, "{call:?} {action:?}: {stored:?}");
        // The next start reads the list.
        let mut next = harness.start(false);
        assert!(has_started(&mut next), "{call:?} {action:?}");
        assert!(!harness.log_text().contains("damaged"), "{}", harness.log_text());
    }
}

#[tokio::test]
async fn a_damaged_list_is_skipped_with_a_warning_that_names_it() {
    for damaged in ["", "[", "{}", "[{\"address\":1}]", "\u{0}\u{0}\u{0}\u{0}"] {
        let harness = Harness::new().await;
        std::fs::write(harness.list_file(), damaged).unwrap();
        let mut gateway = harness.start(true);
        assert!(has_started(&mut gateway));
        let warned = async {
            while !harness.log_text().contains("damaged") {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(TEST_TIMEOUT, warned).await.expect("a warning is logged");
        let name = harness.list_file().display().to_string();
        assert!(
            harness.log_text().lines().any(|line| line.contains("damaged") && line.contains(&name)),
            "{}",
            harness.log_text()
        );
        // The list from discovery replaces the damaged one.
        let complete = async {
            loop {
                let text = std::fs::read(harness.list_file()).unwrap();
                if serde_json::from_slice::<Vec<Value>>(&text).is_ok_and(|list| list.len() == NEW.len()) {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(TEST_TIMEOUT, complete).await.expect("a complete list");
    }
}

#[tokio::test]
async fn a_list_that_arrives_in_short_transfers_is_stored() {
    let harness = Harness::new().await;
    let short =
        [Call::Receive, Call::Send].map(|call| harness.shim.inject(Fault::new(call, Action::Short(1))));
    let mut gateway = harness.start(true);
    assert!(has_started(&mut gateway));
    harness.wait_until_stored(&NEW).await;
    assert!(short.into_iter().all(|fault| harness.shim.end(fault) > 100));
}

/// Guards against a start that waits for the disk and never polls discovery. The shutdown must not wait either.
#[tokio::test]
async fn a_hanging_read_of_the_list_delays_no_start_and_no_shutdown() {
    let harness = Harness::new().await;
    std::fs::remove_file(harness.list_file()).unwrap();
    // Reading a named pipe that has no writer blocks.
    nix::unistd::mkfifo(&harness.list_file(), nix::sys::stat::Mode::S_IRWXU).unwrap();
    let mut gateway = harness.start(true);
    assert!(has_started(&mut gateway));
    let replaced = async {
        while !harness.list_file().metadata().unwrap().is_file() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, replaced).await.expect("the list from discovery is stored");
    harness.wait_until_stored(&NEW).await;
    assert!(harness.log_text().contains("not read in time"), "{}", harness.log_text());
    let id = nix::unistd::Pid::from_raw(gateway.0.id() as i32);
    nix::sys::signal::kill(id, nix::sys::signal::Signal::SIGTERM).unwrap();
    assert!(
        tokio::time::timeout(Duration::from_secs(5), wait_for_exit(&mut gateway.0))
            .await
            .expect("the gateway exits in time")
            .success()
    );
}

/// Guards against a shutdown that waits for the disk.
#[tokio::test]
async fn a_hanging_sync_does_not_delay_the_shutdown() {
    let harness = Harness::new().await;
    let fault = harness.shim.inject(Fault::new(Call::Sync, Action::Delay(Duration::from_secs(10))));
    let mut gateway = harness.start(true);
    assert!(has_started(&mut gateway));
    let syncing = async {
        while harness.shim.changed_calls(fault) == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, syncing).await.expect("the list is being stored");
    let id = nix::unistd::Pid::from_raw(gateway.0.id() as i32);
    nix::sys::signal::kill(id, nix::sys::signal::Signal::SIGTERM).unwrap();
    assert!(
        tokio::time::timeout(Duration::from_secs(5), wait_for_exit(&mut gateway.0))
            .await
            .expect("the gateway exits in time")
            .success()
    );
    assert_eq!(harness.stored_backends(), OLD, "the old list must stay complete");
}
