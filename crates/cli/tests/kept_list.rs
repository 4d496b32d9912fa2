//! The file in which `weirusher run` stores its last endpoint list: a folder that cannot be written for a while, and kills at
//! each step of a write. The next start reads the last complete list, or skips the file with a warning that names it.

#[path = "support/process.rs"]
mod process;

use process::ended;
use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use weirusher::{Endpoint, Lifecycle};
use weirusher_fakes::{Discovery, Recorder};
use weirusher_fault_shim::{Action, Call, Errno, Fault, FaultShim};

const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
/// Limit for what must happen.
const LIMIT: Duration = Duration::from_secs(30);
/// Backends of the list that is stored at first, and of the one that arrives.
const OLD: [&str; 1] = ["127.0.0.1:7001"];
const NEW: [&str; 2] = ["127.0.0.1:7002", "127.0.0.1:7003"];

struct Site {
    discovery: Discovery,
    shim: FaultShim,
    dir: tempfile::TempDir,
    /// Log of the last gateway. It is no file, so that faults of files concern the list only.
    log: Arc<Mutex<String>>,
}

struct Gateway(Child);

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.0.kill(); // It may have ended already.
        let _ = self.0.wait();
    }
}

impl Site {
    /// A folder with the old list, and a discovery with the new one.
    async fn new() -> Self {
        let discovery = Discovery::start(ANY_PORT, Duration::ZERO, Recorder::new(None)).await.unwrap();
        discovery.set(NEW.into_iter().map(running).collect());
        let (shim, dir) = (FaultShim::new().unwrap(), tempfile::tempdir().unwrap());
        let site = Self { discovery, shim, dir, log: Arc::default() };
        let kept = OLD.map(|address| serde_json::json!({"address": address, "zone": 0, "started": 0.0}));
        std::fs::write(site.list(), serde_json::to_vec(&kept).unwrap()).unwrap();
        site
    }

    fn list(&self) -> PathBuf {
        self.dir.path().join("servers.json")
    }

    /// Starts a gateway with a log of its own; without `discovery`, no discovery listens at its address.
    fn start(&self, discovery: bool) -> Gateway {
        let file = self.dir.path().join("gateway.toml");
        let address = if discovery { self.discovery.address.to_string() } else { "127.0.0.1:9".into() };
        let text = format!(
            "default_plan = \"only\"\n[instance]\nnumber = 0\ngateways = 1\n[listen]\next_authz = \"{ANY_PORT}\"\n\
             admin = \"{ANY_PORT}\"\n[[tickets.keys]]\nid = 1\nsecret = \"0123456789abcdef0123456789abcdef\"\n\
             [discovery]\naddress = \"{address}\"\nkeep = \"{}\"\n[[plan]]\nname = \"only\"\nrate = 100\nburst = 100\n\
             [[class]]\nname = \"only\"\naim_ms = 1000\neffect = \"unsafe\"\n",
            self.list().display()
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

    /// The backends in the file, which must be complete.
    fn stored(&self) -> Vec<String> {
        servers(&self.list())
    }

    async fn until_stored(&self, servers: &[&str]) {
        let kept = async {
            while self.stored() != servers {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(LIMIT, kept).await.expect("the list is stored");
    }
}

fn running(address: &str) -> Endpoint {
    let (zone, cell, started, lifecycle) = (0, 0, 0.0, Lifecycle::Running);
    Endpoint { id: address.into(), zone, cell, started, lifecycle }
}

fn servers(file: &Path) -> Vec<String> {
    let list: Vec<Value> = serde_json::from_slice(&std::fs::read(file).unwrap()).expect("a complete list");
    list.iter().map(|server| server["address"].as_str().unwrap().to_string()).collect()
}

/// Waits for the line with the addresses.
fn announced(gateway: &mut Gateway) -> bool {
    let mut line = String::new();
    BufReader::new(gateway.0.stdout.take().unwrap()).read_line(&mut line).unwrap();
    line.contains("ext_authz")
}

#[tokio::test]
async fn the_list_is_stored_once_a_failing_folder_recovers() {
    let failing = [
        (Call::Open, Errno::ENOSPC),
        (Call::WriteFile, Errno::ENOSPC),
        (Call::WriteFile, Errno::EIO),
        (Call::Sync, Errno::EIO),
        (Call::Rename, Errno::EIO),
        (Call::Rename, Errno::ENOSPC),
    ];
    for (call, errno) in failing {
        let site = Site::new().await;
        let fails = site.shim.inject(Fault::new(call, Action::Fail(errno)));
        let mut gateway = site.start(true);
        assert!(announced(&mut gateway));
        let failed = async {
            while site.shim.injected(fails) == 0 || !site.log_text().contains("could not be cached") {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let failed = tokio::time::timeout(LIMIT, failed).await;
        failed.unwrap_or_else(|_| panic!("{call:?} {errno}: it is tried, and the log says so"));
        assert!(site.log_text().contains(&site.list().display().to_string()), "{}", site.log_text());
        assert_eq!(site.stored(), OLD, "{call:?} {errno}: the old list is complete");
        site.shim.end(fails);
        site.until_stored(&NEW).await;
        assert!(gateway.0.try_wait().unwrap().is_none(), "it goes on");
    }
}

#[tokio::test]
async fn a_list_is_synced_before_it_replaces_the_old_one() {
    let site = Site::new().await;
    // A rename before the sync would leave an incomplete file after a crash of the machine.
    let synced = site.shim.inject(Fault::new(Call::Sync, Action::Delay(Duration::from_millis(1))));
    let never = site.shim.inject(Fault::new(Call::Rename, Action::Fail(Errno::EIO)));
    let _gateway = site.start(true);
    let renamed = async {
        while site.shim.injected(never) == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(LIMIT, renamed).await.expect("it comes to the rename");
    assert!(site.shim.injected(synced) > 0, "the file is synced first");
    let before = site.shim.injected(synced);
    site.shim.end(never);
    site.until_stored(&NEW).await;
    assert!(site.shim.injected(synced) > before, "and the folder behind it");
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
        let site = Site::new().await;
        let step = site.shim.inject(Fault::new(call, action).skip(skip));
        let mut gateway = site.start(true);
        ended(&mut gateway.0).await;
        assert!(site.shim.end(step) > 0);
        let kept = site.stored();
        assert!(kept == OLD || kept == NEW, "{call:?} {action:?}: {kept:?}");
        // The next start reads it.
        let mut next = site.start(false);
        assert!(announced(&mut next), "{call:?} {action:?}");
        assert!(!site.log_text().contains("damaged"), "{}", site.log_text());
    }
}

#[tokio::test]
async fn a_damaged_list_is_skipped_with_a_warning_that_names_it() {
    for damaged in ["", "[", "{}", "[{\"address\":1}]", "\u{0}\u{0}\u{0}\u{0}"] {
        let site = Site::new().await;
        std::fs::write(site.list(), damaged).unwrap();
        let mut gateway = site.start(true);
        assert!(announced(&mut gateway));
        let warned = async {
            while !site.log_text().contains("damaged") {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(LIMIT, warned).await.expect("a warning");
        let name = site.list().display().to_string();
        assert!(
            site.log_text().lines().any(|line| line.contains("damaged") && line.contains(&name)),
            "{}",
            site.log_text()
        );
        // A list that arrives replaces it.
        let complete = async {
            loop {
                let text = std::fs::read(site.list()).unwrap();
                if serde_json::from_slice::<Vec<Value>>(&text).is_ok_and(|list| list.len() == NEW.len()) {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(LIMIT, complete).await.expect("a complete list");
    }
}

#[tokio::test]
async fn a_list_that_arrives_in_short_transfers_is_stored() {
    let site = Site::new().await;
    let short = [Call::Receive, Call::Send].map(|call| site.shim.inject(Fault::new(call, Action::Short(1))));
    let mut gateway = site.start(true);
    assert!(announced(&mut gateway));
    site.until_stored(&NEW).await;
    assert!(short.into_iter().all(|fault| site.shim.end(fault) > 100));
}

/// Guards against a start that waits for its disk, and never asks discovery.
#[tokio::test]
async fn a_list_whose_reading_hangs_delays_neither_discovery_nor_the_shutdown() {
    let site = Site::new().await;
    std::fs::remove_file(site.list()).unwrap();
    // A pipe that nobody writes to: reading it does not end.
    nix::unistd::mkfifo(&site.list(), nix::sys::stat::Mode::S_IRWXU).unwrap();
    let mut gateway = site.start(true);
    assert!(announced(&mut gateway));
    let replaced = async {
        while !site.list().metadata().unwrap().is_file() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(LIMIT, replaced).await.expect("discovery's list is stored");
    site.until_stored(&NEW).await;
    assert!(site.log_text().contains("not read in time"), "{}", site.log_text());
    let id = nix::unistd::Pid::from_raw(gateway.0.id() as i32);
    nix::sys::signal::kill(id, nix::sys::signal::Signal::SIGTERM).unwrap();
    assert!(
        tokio::time::timeout(Duration::from_secs(5), ended(&mut gateway.0)).await.expect("in time").success()
    );
}

/// Guards against a shutdown that waits for the disk.
#[tokio::test]
async fn a_sync_that_hangs_delays_no_shutdown() {
    let site = Site::new().await;
    let hangs = site.shim.inject(Fault::new(Call::Sync, Action::Delay(Duration::from_secs(10))));
    let mut gateway = site.start(true);
    assert!(announced(&mut gateway));
    let syncing = async {
        while site.shim.injected(hangs) == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(LIMIT, syncing).await.expect("the list is stored");
    let id = nix::unistd::Pid::from_raw(gateway.0.id() as i32);
    nix::sys::signal::kill(id, nix::sys::signal::Signal::SIGTERM).unwrap();
    assert!(
        tokio::time::timeout(Duration::from_secs(5), ended(&mut gateway.0)).await.expect("in time").success()
    );
    assert_eq!(site.stored(), OLD, "the old list is complete");
}
