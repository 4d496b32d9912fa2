//! The fleet of a day: gatekeepers as processes of their own, stand-ins in this one, links between them.

use crate::peers::{self, PeerNet};
use crate::scenario::{Program, Scenario};
use nix::sys::signal::Signal;
use serde::{Deserialize, Serialize};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::task::JoinSet;
use weirusher::{Endpoint, Lifecycle};
use weirusher_core::{Key, Keyring};
use weirusher_fakes::{
    CHANCE, Cold, ColdBook, Counter, Discovery, Fact, FakeBackend, FakeBackendSpec, Link, LoadGenerator,
    Recorder, RuleBook, Scripted, ServerState,
};

/// How long a gatekeeper may take to say where it listens, and to end when it is told to.
const PATIENCE: Duration = Duration::from_secs(20);
/// The rehearsal's ticket key: known to its own processes, and of no use elsewhere.
const SECRET: &str = "rehearsal-only-rehearsal-only-32";
/// Any free port of loopback.
const ANYWHERE: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Why a fleet cannot be set up.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum FleetError {
    /// A socket or a file failed.
    #[error("{0}: {1}")]
    Io(String, std::io::Error),
    /// A gatekeeper did not start.
    #[error("gatekeeper {0} did not say where it listens")]
    NoStart(usize),
    /// The edge has no gatekeeper to ask.
    #[error("the edge: {0}")]
    LoadGenerator(Box<dyn std::error::Error + Send + Sync>),
}

/// Where everything listens.
#[derive(Debug, Clone, Serialize)]
pub struct Addresses {
    /// Check, by gatekeeper.
    pub ext_authz: Vec<SocketAddr>,
    /// StreamAccessLogs, by gatekeeper.
    pub access_log: Vec<SocketAddr>,
    /// The counter.
    pub counter: Vec<SocketAddr>,
    /// The checkers, as tickets name them.
    pub checkers: Vec<SocketAddr>,
    /// The admin pages, by gatekeeper.
    pub admin: Vec<SocketAddr>,
    /// Discovery.
    pub discovery: Vec<SocketAddr>,
    /// A few customers of each plan, by plan.
    pub customers: std::collections::BTreeMap<String, Vec<String>>,
}

/// What a gatekeeper prints when it listens.
#[derive(Debug, Deserialize)]
struct Listening {
    /// A `node` has none here.
    ext_authz: Option<SocketAddr>,
    admin: SocketAddr,
    /// Where the datagrams of its fleet are received.
    fleet: Option<SocketAddr>,
}

pub(crate) struct Gatekeeper {
    child: Option<Child>,
    /// A second process under its number.
    twin: Option<Child>,
    admin: SocketAddr,
    /// From the edge.
    pub front: Link,
    pub to_counter: Link,
    pub to_discovery: Link,
    config: PathBuf,
    /// Its configuration without what it is told of others, and the file of that for a `node`.
    text: String,
    fleet_file: PathBuf,
}

pub(crate) struct CheckerSlot {
    pub process: Option<FakeBackend>,
    /// From the edge; its address is the checker's.
    pub front: Link,
    started: f64,
    lifecycle: Lifecycle,
}

pub(crate) struct Fleet {
    pub day: Scenario,
    pub recorder: Recorder,
    pub edge: Arc<LoadGenerator>,
    pub counter: Counter,
    pub discovery: Discovery,
    pub gatekeepers: Vec<Gatekeeper>,
    pub checkers: Vec<CheckerSlot>,
    pub peers: Option<PeerNet>,
    no_workers: Scripted,
    exe: PathBuf,
    seed: u64,
}

fn io(what: &str) -> impl Fn(std::io::Error) -> FleetError + '_ {
    move |error| FleetError::Io(what.to_string(), error)
}

fn unix() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64()
}

/// The name of a plan's customer.
pub(crate) fn customer(plan: &str, number: usize) -> String {
    format!("{plan}-{number}")
}

impl Fleet {
    /// Starts everything; configurations and lists are kept in `dir`.
    pub async fn start(
        day: Scenario,
        exe: &Path,
        dir: &Path,
        recorder: Recorder,
    ) -> Result<Self, FleetError> {
        recorder.note(Fact::Day { name: day.name.clone(), rules: rule_book(&day) });
        let counter = Counter::start(ANYWHERE, recorder.clone()).await.map_err(io("the counter"))?;
        let lag = Duration::from_millis(day.fleet.list_lag_ms);
        let discovery = Discovery::start(ANYWHERE, lag, recorder.clone()).await.map_err(io("discovery"))?;
        let mut checkers = Vec::new();
        for _ in 0..day.fleet.checkers {
            let front = Link::start(None).await.map_err(io("a link"))?;
            checkers.push(CheckerSlot { process: None, front, started: 0.0, lifecycle: Lifecycle::Running });
        }
        let mut gatekeepers = Vec::new();
        for number in 0..day.fleet.gatekeepers {
            let front = Link::start(None).await.map_err(io("a link"))?;
            let to_counter = Link::start(Some(counter.address)).await.map_err(io("a link"))?;
            let to_discovery = Link::start(Some(discovery.address)).await.map_err(io("a link"))?;
            let config = dir.join(format!("gatekeeper-{number}.toml"));
            let keep = dir.join(format!("list-{number}.json"));
            let fleet_file = dir.join(format!("fleet-{number}.toml"));
            let text = config_text(&day, number, to_counter.address, to_discovery.address, &keep);
            gatekeepers.push(Gatekeeper {
                child: None,
                twin: None,
                admin: ANYWHERE,
                front,
                to_counter,
                to_discovery,
                config,
                text,
                fleet_file,
            });
        }
        let peers = match day.peers.clone() {
            Some(habits) => {
                Some(PeerNet::start(&day, habits, &recorder).await.map_err(io("the peers' network"))?)
            }
            None => None,
        };
        let no_workers = peers::no_workers().await.map_err(io("a list service"))?;
        let fronts: Vec<SocketAddr> = gatekeepers.iter().map(|g| g.front.address).collect();
        let edge =
            LoadGenerator::new(&fronts, recorder.clone()).map_err(|e| FleetError::LoadGenerator(e.into()))?;
        let (exe, seed) = (exe.to_path_buf(), day.seed);
        let mut fleet = Self {
            day,
            recorder,
            edge,
            counter,
            discovery,
            gatekeepers,
            checkers,
            peers,
            no_workers,
            exe,
            seed,
        };
        for number in 0..fleet.checkers.len() {
            fleet.start_checker(number, false).await?;
        }
        fleet.publish();
        let all: Vec<usize> = (0..fleet.gatekeepers.len()).collect();
        fleet.start_gatekeepers(&all, 0.0).await?;
        if let Some(peers) = &mut fleet.peers {
            peers.ask(&fleet.recorder);
        }
        Ok(fleet)
    }

    pub fn addresses(&self) -> Addresses {
        let fronts: Vec<SocketAddr> = self.gatekeepers.iter().map(|g| g.front.address).collect();
        Addresses {
            ext_authz: fronts.clone(),
            access_log: fronts,
            counter: vec![self.counter.address],
            checkers: self.checkers.iter().map(|c| c.front.address).collect(),
            admin: self.gatekeepers.iter().map(|g| g.admin).collect(),
            discovery: vec![self.discovery.address],
            customers: self.day.plan.iter().map(few).collect(),
        }
    }

    // ---- Checkers ----

    pub async fn start_checker(&mut self, number: usize, cold: bool) -> Result<(), FleetError> {
        let day = &self.day;
        let slot = &mut self.checkers[number];
        let start = Cold {
            from: day.cold.from,
            seconds: day.cold.seconds,
            multiple: day.cold.fall_multiple,
            fall: day.cold.fall_seconds,
        };
        let key = Key { id: 1, secret: SECRET.as_bytes().to_vec() };
        let spec = FakeBackendSpec {
            cores: day.fleet.cores,
            service: day.fleet.service_ms / 1000.0,
            queue: day.fleet.queue,
            cold: cold.then_some(start),
            ring: Keyring::new(vec![key]).expect("one key is given"),
            me: slot.front.address.to_string(),
            headers: ["x-weirusher-ticket".into(), "x-units".into()],
        };
        self.seed += 1;
        let process = FakeBackend::start(ANYWHERE, spec, self.recorder.clone(), self.seed)
            .await
            .map_err(io("a checker"))?;
        slot.front.retarget(Some(process.address));
        slot.started = if cold { unix() } else { 0.0 };
        slot.lifecycle = Lifecycle::Running;
        slot.process = Some(process);
        Ok(())
    }

    pub fn kill_checker(&mut self, number: usize) {
        let slot = &mut self.checkers[number];
        slot.process = None;
        slot.front.retarget(None);
        slot.front.reset();
        slot.lifecycle = Lifecycle::Removed;
        let server = slot.front.address.to_string();
        self.recorder.note(Fact::Server { server, state: ServerState::Killed });
    }

    pub fn drain(&mut self, number: usize) {
        self.checkers[number].lifecycle = Lifecycle::Draining;
    }

    /// Tells discovery of the fleet as it is.
    pub fn publish(&self) {
        let server = |slot: &CheckerSlot| Endpoint {
            id: slot.front.address.to_string().into(),
            zone: 0,
            cell: 0,
            started: slot.started,
            lifecycle: slot.lifecycle,
        };
        self.discovery.set(self.checkers.iter().map(server).collect());
    }

    // ---- Gatekeepers ----

    /// Starts gatekeepers, all at once, with a wall clock that is `shift` seconds off.
    pub async fn start_gatekeepers(&mut self, which: &[usize], shift: f64) -> Result<(), FleetError> {
        let mut starting = JoinSet::new();
        for number in which.iter().copied() {
            let child = self.spawn(number, shift)?;
            starting.spawn(async move { listening(child, number).await });
        }
        while let Some(started) = starting.join_next().await {
            let (number, child, at) = started.expect("it does not panic")?;
            let gatekeeper = &mut self.gatekeepers[number];
            gatekeeper.front.retarget(at.ext_authz);
            gatekeeper.admin = at.admin;
            gatekeeper.child = Some(child);
            if let Some(peers) = &mut self.peers {
                peers.set(number, false, at.fleet.map(|fleet| (fleet, at.admin)));
            }
            self.recorder.note(Fact::Gatekeeper { gk: number, running: true });
        }
        Ok(())
    }

    /// Starts a gatekeeper's process, with its configuration written anew.
    fn spawn(&self, number: usize, shift: f64) -> Result<Child, FleetError> {
        let gatekeeper = &self.gatekeepers[number];
        let fleet = |own| self.peers.as_ref().map(|peers| peers.config(number, own, shift));
        let write = |file: &Path, text: &str| std::fs::write(file, text).map_err(io("a configuration"));
        let mut command = Command::new(&self.exe);
        match self.day.fleet.program {
            Program::Run => {
                let text = gatekeeper.text.clone() + &fleet(false).unwrap_or_default();
                write(&gatekeeper.config, &text)?;
                command.args(["run", "--config"]).arg(&gatekeeper.config);
            }
            Program::Node => {
                let size = self.peers.as_ref().map_or(1, |peers| peers.size_told(number));
                peers::node_config(number, size, self.no_workers.address, &gatekeeper.config)
                    .map_err(io("a configuration"))?;
                command.args(["node", "--config"]).arg(&gatekeeper.config);
                if let Some(text) = fleet(true) {
                    write(&gatekeeper.fleet_file, &text)?;
                    command.arg("--fleet").arg(&gatekeeper.fleet_file);
                }
            }
        }
        command.stdout(Stdio::piped()).stdin(Stdio::null()).kill_on_drop(true);
        command.spawn().map_err(io("a gatekeeper"))
    }

    pub async fn kill_gatekeepers(&mut self, which: &[usize]) {
        for number in which {
            // Noted first: what is asked from here on may meet a dead process.
            self.recorder.note(Fact::Gatekeeper { gk: *number, running: false });
            if let Some(child) = &mut self.gatekeepers[*number].child {
                let _ = child.start_kill(); // It may have ended by itself; the audit sees that.
            }
        }
        for number in which {
            if let Some(mut child) = self.gatekeepers[*number].child.take() {
                let _ = child.wait().await; // As above.
            }
            self.gone(*number);
        }
    }

    fn gone(&mut self, number: usize) {
        self.gatekeepers[number].front.retarget(None);
        if let Some(peers) = &mut self.peers {
            peers.set(number, false, None);
        }
    }

    /// SIGSTOP or SIGCONT.
    pub fn pause_gatekeeper(&self, number: usize, paused: bool) {
        let signal = if paused { Signal::SIGSTOP } else { Signal::SIGCONT };
        let Some(child) = &self.gatekeepers[number].child else { return };
        // It stands still from before the signal on, and goes on after it: nothing is expected of it in between.
        if paused {
            self.recorder.note(Fact::Paused { gk: number, paused });
        }
        send(child, signal);
        if !paused {
            self.recorder.note(Fact::Paused { gk: number, paused });
        }
    }

    /// Starts a second process under a gatekeeper's number, or kills it.
    pub async fn twin(&mut self, number: usize, runs: bool) -> Result<(), FleetError> {
        let mut at = None;
        if runs {
            let (_, child, listens) = listening(self.spawn(number, 0.0)?, number).await?;
            self.gatekeepers[number].twin = Some(child);
            at = listens.fleet.map(|fleet| (fleet, listens.admin));
            self.recorder.note(Fact::Twin { gk: number });
        } else if let Some(mut child) = self.gatekeepers[number].twin.take() {
            let _ = child.kill().await; // It may have ended by itself.
        }
        if let Some(peers) = &mut self.peers {
            peers.set(number, true, at);
        }
        Ok(())
    }

    /// SIGTERM to all of these, and their ways are closed to new connections as they end; tells whether all ended well,
    /// in time.
    pub async fn stop_gatekeepers(&mut self, which: &[usize]) -> bool {
        let mut well = true;
        for number in which.iter().copied() {
            if let Some(child) = &self.gatekeepers[number].child {
                self.recorder.note(Fact::Stopping { gk: number });
                well &= send(child, Signal::SIGTERM);
            }
        }
        for number in which.iter().copied() {
            let Some(mut child) = self.gatekeepers[number].child.take() else { continue };
            let ended = tokio::time::timeout(PATIENCE, child.wait()).await;
            self.recorder.note(Fact::Gatekeeper { gk: number, running: false });
            self.gone(number);
            well &= matches!(ended, Ok(Ok(status)) if status.success());
        }
        well
    }

    pub async fn stop(mut self) -> bool {
        let all: Vec<usize> = (0..self.gatekeepers.len()).collect();
        let well = self.stop_gatekeepers(&all).await;
        self.recorder.flush();
        well
    }
}

/// Tells whether the signal could be sent.
fn send(child: &Child, signal: Signal) -> bool {
    let id = child.id().and_then(|id| i32::try_from(id).ok());
    id.is_some_and(|id| nix::sys::signal::kill(nix::unistd::Pid::from_raw(id), signal).is_ok())
}

/// Waits until a gatekeeper says where it listens.
async fn listening(mut child: Child, number: usize) -> Result<(usize, Child, Listening), FleetError> {
    let stdout = child.stdout.take().ok_or(FleetError::NoStart(number))?;
    let mut lines = BufReader::new(stdout).lines();
    let line = tokio::time::timeout(PATIENCE, lines.next_line()).await;
    let Ok(Ok(Some(line))) = line else { return Err(FleetError::NoStart(number)) };
    let listening = serde_json::from_str(&line).map_err(|_| FleetError::NoStart(number))?;
    Ok((number, child, listening))
}

/// A plan's name, and its first few customers.
fn few(plan: &crate::scenario::DayPlan) -> (String, Vec<String>) {
    let names = (0..plan.customers.min(3)).map(|number| customer(&plan.name, number));
    (plan.name.clone(), names.collect())
}

fn rule_book(day: &Scenario) -> RuleBook {
    let plan = |p: &crate::scenario::DayPlan| [p.rate, p.burst, p.ceiling_rate, p.ceiling_burst];
    let mut customers = std::collections::BTreeMap::new();
    for (number, plan) in day.plan.iter().enumerate() {
        customers.extend((0..plan.customers).map(|n| (customer(&plan.name, n), number)));
    }
    RuleBook {
        drain_grace: day.rules.drain_grace_ms / 1000.0,
        plans: day.plan.iter().map(plan).collect(),
        customers,
        effects: day.class.iter().map(|c| c.effect.clone()).collect(),
        slack: day.rules.slack,
        gatekeepers: day.fleet.gatekeepers,
        counted: day.rules.counted,
        max_units: 1.0,
        window: day.class.iter().map(|c| c.window_seconds).fold(0.0, f64::max),
        cold: Some(ColdBook {
            capacity: day.fleet.cores as f64 / (day.fleet.service_ms / 1000.0),
            from: day.cold.from,
            seconds: day.cold.seconds,
            multiple: day.cold.fall_multiple,
            fall: day.cold.fall_seconds,
            chance: CHANCE,
        }),
    }
}

/// A gatekeeper's configuration for the day, as an operator would write it.
fn config_text(
    day: &Scenario,
    number: usize,
    counter: SocketAddr,
    discovery: SocketAddr,
    keep: &Path,
) -> String {
    let fleet = &day.fleet;
    let mut text = format!(
        "[instance]\nnumber = {number}\ngateways = {}\n\n[listen]\next_authz = \"127.0.0.1:0\"\n\
         admin = \"127.0.0.1:0\"\ndrain_seconds = 8\n\n[[tickets.keys]]\nid = 1\nsecret = \"{SECRET}\"\n\n\
         [counter]\naddress = \"{counter}\"\nlimit_ms = {}\n\n[discovery]\naddress = \"{discovery}\"\nkeep = {:?}\n\n\
         [limits]\nopen = {}\nattempts = {}\nretry_after_seconds = {}\n\n\
         [cold]\nfrom = {}\nseconds = {}\nfall_multiple = {}\nfall_seconds = {}\n\n[request]\nunits_header = \"x-units\"\n",
        fleet.gatekeepers,
        fleet.counter_limit_ms,
        keep.display().to_string(),
        fleet.open,
        fleet.attempts,
        fleet.retry_after_seconds,
        day.cold.from,
        day.cold.seconds,
        day.cold.fall_multiple,
        day.cold.fall_seconds,
    );
    for plan in &day.plan {
        let _ = write!(
            text,
            "\n[[plan]]\nname = {:?}\nrate = {}\nburst = {}\npays = {}\nexcess_worth = {}\nceiling_rate = {}\nceiling_burst = {}\n",
            plan.name,
            plan.rate,
            plan.burst,
            plan.pays,
            plan.excess_worth,
            plan.ceiling_rate,
            plan.ceiling_burst
        );
    }
    for class in &day.class {
        let _ = write!(
            text,
            "\n[[class]]\nname = {:?}\naim_ms = {}\npatience_ms = {}\neffect = {:?}\nwindow_seconds = {}\n\
             \n[[route]]\nprefix = \"/{}\"\nclass = {:?}\n",
            class.name,
            class.aim_ms,
            class.patience_ms,
            class.effect,
            class.window_seconds,
            class.name,
            class.name
        );
    }
    text += "\n[customers]\n";
    for plan in &day.plan {
        for number in 0..plan.customers {
            let _ = writeln!(text, "{:?} = {:?}", customer(&plan.name, number), plan.name);
        }
    }
    text
}
