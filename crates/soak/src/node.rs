//! A gateway node: its process, its configuration, and its connections to discovery and the counter.

use crate::endpoint_list::Endpoint;
use crate::plan::Plan;
use crate::readiness::is_ready;
use crate::record::{BackendUpdate, Deferral, Exit, ExitKind, Incarnation, Kill, Process, Recorder};
use crate::wire;
use nix::sys::signal::{Signal, kill};
use nix::sys::stat::Mode;
use nix::unistd::Pid;
use std::fs::OpenOptions;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::os::unix::process::ExitStatusExt;
use std::path::PathBuf;
use std::process::{ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::process::{Child, Command};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};
use weirusher_fakes::{DiscoveryAgent, Link};
use weirusher_fault_shim::FaultShim;

/// How long a node may take after SIGHUP to learn of an update of the endpoint list.
const RELOAD_GRACE: Duration = Duration::from_secs(4);
/// How long after SIGHUP the connections to the old addresses of discovery and the counter are reset.
const OLD_ADDRESS_RESET_DELAY: Duration = Duration::from_millis(1500);
/// The time from the exit of a process to the start of the next one.
const RESTART_DELAY: Duration = Duration::from_millis(200);
/// The longest time that a process may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// The interval between two readiness checks of a starting process.
const READY_INTERVAL: Duration = Duration::from_millis(10);
/// Any free port of the loopback interface.
const LOCALHOST: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Whether clients may open connections to a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// They may not: its process is not ready, or has exited.
    Unavailable,
    /// They may: its process is ready.
    Ready(Incarnation),
    /// Its process was sent SIGTERM at this time; clients still open connections shortly after.
    Stopping(Incarnation, Instant),
}

/// Classifies an exit status.
fn exit_kind(status: ExitStatus) -> ExitKind {
    let was_killed_by = |signal: Signal| status.signal() == Some(signal as i32);
    if status.success() || was_killed_by(Signal::SIGKILL) {
        ExitKind::Expected
    } else if was_killed_by(Signal::SIGTERM) {
        ExitKind::Terminated
    } else {
        ExitKind::Failed
    }
}

/// A configuration file that a process cannot load.
#[derive(Debug, Clone, Copy)]
pub enum UnusableConfig {
    /// The file does not exist.
    Missing,
    /// A directory at the path of the file.
    Directory,
    /// A named pipe without a writer, which blocks its reader forever.
    UnreadPipe,
    /// A file with this text, which is invalid.
    Text(&'static str),
}

/// What the discovery agent of a node serves.
struct AgentState {
    /// The version of the endpoint list.
    index: u64,
    endpoints: Vec<Endpoint>,
    /// Whether the agent does not respond at present.
    is_silent: bool,
}

/// The current process of a node.
#[derive(Debug, Clone, Copy, Default)]
struct Running {
    /// The id of the process; `None` if none runs.
    id: Option<u32>,
    /// The number of processes that were started so far.
    started: usize,
}

/// A node, which runs one gateway process at a time.
pub struct Node {
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// Injects faults into the clock and the system calls of its processes.
    pub shim: FaultShim,
    /// Whether clients may connect.
    pub availability: watch::Sender<Availability>,
    /// Two addresses of its discovery agent, one of which is configured.
    pub discovery: [Link; 2],
    /// Two addresses of the counter, one of which is configured.
    pub counter: [Link; 2],
    /// The log file, which all its processes append to.
    pub log: PathBuf,
    /// Locked by each fault that sends signals to the process, so that no two of them overlap.
    pub signal_lock: tokio::sync::Mutex<()>,
    number: usize,
    plan: Plan,
    recorder: Recorder,
    agent: DiscoveryAgent,
    agent_state: Mutex<AgentState>,
    exe: PathBuf,
    config: PathBuf,
    /// The index of the configured addresses in `discovery` and `counter`.
    active_link: Mutex<usize>,
    running: watch::Sender<Running>,
}

/// Options that all nodes of a soak share.
pub struct NodeOptions {
    /// Path of the gateway executable.
    pub exe: PathBuf,
    /// The directory for configurations and logs.
    pub dir: PathBuf,
    /// The address of the counter.
    pub counter: SocketAddr,
    /// The endpoint list at the start.
    pub endpoints: Vec<Endpoint>,
    /// The plan of the soak.
    pub plan: Plan,
    /// Records the events of the soak.
    pub recorder: Recorder,
}

impl Node {
    /// Creates a node without a process; see [`Node::start`].
    ///
    /// # Errors
    /// An address cannot be bound, or the fault shim cannot be set up.
    pub async fn new(options: &NodeOptions, number: usize) -> io::Result<Arc<Self>> {
        // The port is released again right away. Nothing else takes it: the address is derived from the id of this
        // program and the number of the node, so only this node uses it.
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let bind_address = SocketAddr::from(([127, high.max(1), low, number as u8 + 1], 0));
        let listen = TcpListener::bind(bind_address).await?.local_addr()?;
        let list = wire::list(1, &options.endpoints).to_string();
        let agent = DiscoveryAgent::start(LOCALHOST, 1, list).await?;
        let discovery =
            [Link::start(Some(agent.address())).await?, Link::start(Some(agent.address())).await?];
        let counter = [Link::start(Some(options.counter)).await?, Link::start(Some(options.counter)).await?];
        let agent_state = AgentState { index: 1, endpoints: options.endpoints.clone(), is_silent: false };
        Ok(Arc::new(Self {
            listen,
            shim: FaultShim::new()?,
            availability: watch::Sender::new(Availability::Unavailable),
            discovery,
            counter,
            log: options.dir.join(format!("n{number}.log")),
            signal_lock: tokio::sync::Mutex::new(()),
            number,
            plan: options.plan.clone(),
            recorder: options.recorder.clone(),
            agent,
            agent_state: Mutex::new(agent_state),
            exe: options.exe.clone(),
            config: options.dir.join(format!("n{number}.json")),
            active_link: Mutex::new(0),
            running: watch::Sender::default(),
        }))
    }

    /// The process that runs or, if none does, ran last.
    fn incarnation(&self) -> Incarnation {
        Incarnation { node: self.number, number: self.running.borrow().started.saturating_sub(1) }
    }

    /// Writes a valid configuration with the active addresses and the current endpoint list.
    fn write_config(&self) -> io::Result<()> {
        let active = *self.active_link.lock().expect("no task panics while holding the lock");
        let initial_list = {
            let agent_state = self.agent_state.lock().expect("no task panics while holding the lock");
            wire::list(agent_state.index, &agent_state.endpoints)
        };
        let text = wire::NodeConfig {
            node: self.number,
            listen: self.listen,
            discovery: self.discovery[active].address,
            counter: self.counter[active].address,
            initial_list,
            seed: fastrand::u64(..),
        }
        .to_json(&self.plan);
        // Renamed into place, so that a process reads either the old file or the new one as a whole.
        let new = self.config.with_extension("new");
        std::fs::write(&new, text)?;
        if self.config.is_dir() {
            std::fs::remove_dir(&self.config)?;
        }
        std::fs::rename(new, &self.config)
    }

    // ---- The process ----

    /// Starts a process; the node becomes available once the process is ready.
    ///
    /// # Errors
    /// The configuration or the log cannot be written, or the executable cannot be run.
    pub async fn start(self: &Arc<Self>) -> io::Result<()> {
        self.write_config()?;
        let log = OpenOptions::new().create(true).append(true).open(&self.log)?;
        let level = std::env::var("SOAK_LOG").unwrap_or_else(|_| "weirusher_node=info".into());
        let child = Command::new(&self.exe)
            .arg("node")
            .env("NODE_CONFIG", &self.config)
            .env("RUST_LOG", level)
            .envs(self.shim.environment())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        self.running
            .send_modify(|running| *running = Running { id: child.id(), started: running.started + 1 });
        let incarnation = self.incarnation();
        self.record_start(incarnation);
        tokio::spawn(self.clone().wait_for_exit(child, incarnation));
        tokio::spawn(self.clone().wait_until_ready(incarnation));
        Ok(())
    }

    /// Records a new process, which counts as notified of the agent's endpoint list from its start on.
    fn record_start(&self, incarnation: Incarnation) {
        let now = Instant::now();
        let endpoints =
            self.agent_state.lock().expect("no task panics while holding the lock").endpoints.clone();
        let update = |endpoint: &Endpoint| BackendUpdate {
            at: now,
            backend: endpoint.number,
            serving: endpoint.is_serving(),
        };
        let process = Process {
            started_at: now,
            was_ready: false,
            terminated_at: None,
            kill: None,
            exit: None,
            backend_updates: endpoints.iter().map(update).collect(),
            deferrals: Vec::new(),
        };
        self.recorder.with(|records| records.processes.insert(incarnation, process));
    }

    /// Waits until a process exits, and records that.
    async fn wait_for_exit(self: Arc<Self>, mut child: Child, incarnation: Incarnation) {
        let status = child.wait().await;
        let exit = Exit { at: Instant::now(), how: status.map_or(ExitKind::Failed, exit_kind) };
        self.recorder.update_process(incarnation, |process| process.exit = Some(exit));
        self.availability.send_replace(Availability::Unavailable);
        self.running.send_modify(|running| running.id = None);
    }

    /// Makes the node available once its process is ready, unless the process is being stopped by then.
    async fn wait_until_ready(self: Arc<Self>, incarnation: Incarnation) {
        let ready = async {
            while !is_ready(self.listen).await {
                sleep(READY_INTERVAL).await;
            }
        };
        if timeout(READY_TIMEOUT, ready).await.is_err() {
            return;
        }
        // The check may have been answered by a later process.
        self.recorder.update_process(incarnation, |process| process.was_ready = process.exit.is_none());
        let is_stopping = self.recorder.with(|records| {
            records.processes.get(&incarnation).is_none_or(|process| process.terminated_at.is_some())
        });
        if !is_stopping && self.incarnation() == incarnation && self.running.borrow().id.is_some() {
            self.availability.send_replace(Availability::Ready(incarnation));
        }
    }

    /// Sends a signal to the running process; returns `false` if there is none.
    pub fn signal(&self, signal: Signal) -> bool {
        let id = self.running.borrow().id;
        id.is_some_and(|id| kill(Pid::from_raw(id as i32), signal).is_ok())
    }

    /// Waits until no process runs.
    async fn wait_until_stopped(&self) {
        let mut running = self.running.subscribe();
        let _ = running.wait_for(|running| running.id.is_none()).await; // No error: `self` owns the sender.
    }

    /// Stops the process gracefully and starts another.
    ///
    /// # Errors
    /// As [`Node::start`].
    pub async fn restart(self: &Arc<Self>) -> io::Result<()> {
        self.stop().await;
        sleep(RESTART_DELAY).await;
        self.start().await
    }

    /// Sends SIGTERM. If the process has not exited by the earliest time at which the platform may kill it, sends
    /// SIGKILL. Waits for the exit.
    pub async fn stop(&self) {
        let (incarnation, now) = (self.incarnation(), Instant::now());
        self.recorder.update_process(incarnation, |process| process.terminated_at = Some(now));
        self.availability.send_replace(Availability::Stopping(incarnation, now));
        if !self.signal(Signal::SIGTERM) {
            return;
        }
        if timeout(self.plan.kill_after(), self.wait_until_stopped()).await.is_err() {
            let kill = Kill { at: Instant::now(), is_crash: false };
            self.recorder.update_process(incarnation, |process| process.kill = Some(kill));
            self.signal(Signal::SIGKILL);
            self.wait_until_stopped().await;
        }
    }

    /// Kills the process and starts another.
    ///
    /// # Errors
    /// As [`Node::start`].
    pub async fn crash(self: &Arc<Self>) -> io::Result<()> {
        let kill = Kill { at: Instant::now(), is_crash: true };
        self.recorder.update_process(self.incarnation(), |process| process.kill = Some(kill));
        self.signal(Signal::SIGKILL);
        self.wait_until_stopped().await;
        sleep(RESTART_DELAY).await;
        self.start().await
    }

    // ---- The configuration ----

    /// Reloads a configuration with the other addresses of discovery and the counter. The old addresses refuse new
    /// connections at once, and open connections to them are reset after [`OLD_ADDRESS_RESET_DELAY`].
    ///
    /// # Errors
    /// The configuration cannot be written.
    pub async fn reload(&self) -> io::Result<()> {
        let old = {
            let mut active = self.active_link.lock().expect("no task panics while holding the lock");
            *active = 1 - *active;
            1 - *active
        };
        self.write_config()?;
        let now = Instant::now();
        self.record_deferral(Deferral { from: now, until: now + RELOAD_GRACE });
        for links in [&self.discovery, &self.counter] {
            links[1 - old].update_fault(|fault| fault.refuse_connections = false);
            links[old].update_fault(|fault| fault.refuse_connections = true);
        }
        self.signal(Signal::SIGHUP);
        sleep(OLD_ADDRESS_RESET_DELAY).await;
        for links in [&self.discovery, &self.counter] {
            links[old].reset();
        }
        Ok(())
    }

    /// Writes an invalid configuration and makes the process reload it.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn reload_invalid(&self, text: &str) -> io::Result<()> {
        std::fs::write(&self.config, text)?;
        self.signal(Signal::SIGHUP);
        Ok(())
    }

    /// Replaces the configuration by an unusable one, without a reload.
    ///
    /// # Errors
    /// The configuration cannot be replaced.
    pub fn replace_config(&self, config: UnusableConfig) -> io::Result<()> {
        self.remove_config()?;
        match config {
            UnusableConfig::Missing => Ok(()),
            UnusableConfig::Directory => std::fs::create_dir(&self.config),
            UnusableConfig::UnreadPipe => Ok(nix::unistd::mkfifo(&self.config, Mode::S_IRWXU)?),
            UnusableConfig::Text(text) => std::fs::write(&self.config, text),
        }
    }

    /// Removes the configuration, whether it is a file, a directory or a pipe.
    fn remove_config(&self) -> io::Result<()> {
        if self.config.is_dir() {
            return std::fs::remove_dir(&self.config);
        }
        match std::fs::remove_file(&self.config) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
            _ => Ok(()),
        }
    }

    /// Writes a valid configuration again, without a reload.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn restore_config(&self) -> io::Result<()> {
        self.write_config()
    }

    // ---- Discovery ----

    /// Records that the process could not open connections to discovery since `from`. The oracle treats updates of
    /// that time as received only now.
    pub fn record_outage(&self, from: Instant) {
        self.record_deferral(Deferral { from, until: Instant::now() });
    }

    fn record_deferral(&self, deferral: Deferral) {
        self.recorder.update_process(self.incarnation(), |process| process.deferrals.push(deferral));
    }

    /// Publishes a new endpoint list, which the agent sends at once unless it is silent.
    pub fn publish(&self, endpoints: &[Endpoint]) {
        let mut agent_state = self.agent_state.lock().expect("no task panics while holding the lock");
        agent_state.index += 1;
        agent_state.endpoints = endpoints.to_vec();
        if !agent_state.is_silent {
            self.send_list(&agent_state);
        }
    }

    /// Makes the agent serve its endpoint list and records the changes: the process counts as notified from
    /// now on.
    fn send_list(&self, agent_state: &AgentState) {
        let at = Instant::now();
        let list = wire::list(agent_state.index, &agent_state.endpoints).to_string();
        self.agent.set_list(agent_state.index, list);
        self.recorder.update_process(self.incarnation(), |process| {
            for endpoint in &agent_state.endpoints {
                let (backend, serving) = (endpoint.number, endpoint.is_serving());
                let last = process.backend_updates.iter().rev().find(|update| update.backend == backend);
                if last.is_none_or(|last| last.serving != serving) {
                    process.backend_updates.push(BackendUpdate { at, backend, serving });
                }
            }
        });
    }

    /// Stops the agent from responding for `duration`. It serves the latest list afterwards.
    pub async fn silence_discovery(&self, duration: Duration) {
        self.agent_state.lock().expect("no task panics while holding the lock").is_silent = true;
        self.agent.stop_answering();
        sleep(duration).await;
        let mut agent_state = self.agent_state.lock().expect("no task panics while holding the lock");
        agent_state.is_silent = false;
        self.agent.resume_answering();
        self.send_list(&agent_state);
    }
}
