//! A gateway: its process, its configuration, and its connections to discovery and the counter.

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

/// After SIGHUP a node may learn of updates so much later.
const RELOAD_GRACE: Duration = Duration::from_secs(4);
/// After SIGHUP the old addresses of discovery and counter reset their connections so much later.
const OLD_ADDRESS_RESET_DELAY: Duration = Duration::from_millis(1500);
/// From a process's end to the start of the next.
const RESTART_DELAY: Duration = Duration::from_millis(200);
/// The longest that a process may take to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// How often a starting process is asked whether it is ready.
const READY_INTERVAL: Duration = Duration::from_millis(10);
const LOCALHOST: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Whether clients may open connections to a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// It is not ready, or has ended.
    Unavailable,
    /// It serves.
    Ready(Incarnation),
    /// It was sent SIGTERM at this time; clients still open connections for a moment.
    Stopping(Incarnation, Instant),
}

fn exit_kind(status: ExitStatus) -> ExitKind {
    let was_sent = |signal: Signal| status.signal() == Some(signal as i32);
    if status.success() || was_sent(Signal::SIGKILL) {
        ExitKind::Expected
    } else if was_sent(Signal::SIGTERM) {
        ExitKind::Terminated
    } else {
        ExitKind::Failed
    }
}

/// A configuration that a process cannot use.
#[derive(Debug, Clone, Copy)]
pub enum UnusableConfig {
    /// There is no file.
    Missing,
    /// There is a directory in its place.
    Directory,
    /// A named pipe that nobody writes to: reading it does not end.
    UnreadPipe,
    /// A file with this text.
    Text(&'static str),
}

/// What discovery's agent of a node serves.
struct AgentState {
    /// The version of the list.
    index: u64,
    endpoints: Vec<Endpoint>,
    /// It answers nothing at present.
    is_silent: bool,
}

/// The process of a node.
#[derive(Debug, Clone, Copy, Default)]
struct Running {
    /// Its id; `None`: no process runs.
    id: Option<u32>,
    /// How many processes were started so far.
    started: usize,
}

/// A node: one gateway process at a time.
pub struct Node {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The faults of its clock and system calls.
    pub shim: FaultShim,
    /// Whether clients may connect.
    pub availability: watch::Sender<Availability>,
    /// Two addresses of discovery's agent, one of them in use.
    pub discovery: [Link; 2],
    /// Two addresses of the counter, one of them in use.
    pub counter: [Link; 2],
    /// The log of all its processes.
    pub log: PathBuf,
    /// Held while a fault signals the process.
    pub signal_lock: tokio::sync::Mutex<()>,
    number: usize,
    plan: Plan,
    recorder: Recorder,
    agent: DiscoveryAgent,
    agent_state: Mutex<AgentState>,
    exe: PathBuf,
    config: PathBuf,
    /// Which of the two addresses of discovery and counter are configured.
    active_link: Mutex<usize>,
    running: watch::Sender<Running>,
}

/// What the nodes of a soak have in common.
pub struct NodeOptions {
    /// The program.
    pub exe: PathBuf,
    /// For configurations and logs.
    pub dir: PathBuf,
    /// The counter.
    pub counter: SocketAddr,
    /// The backends at the start.
    pub endpoints: Vec<Endpoint>,
    /// The soak.
    pub plan: Plan,
    /// Records what happens.
    pub recorder: Recorder,
}

impl Node {
    /// A node whose process is not started yet.
    ///
    /// # Errors
    /// An address cannot be bound.
    pub async fn new(options: &NodeOptions, number: usize) -> io::Result<Arc<Self>> {
        // The port is released again; nothing else binds to this address, which only this node uses.
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let own = SocketAddr::from(([127, high.max(1), low, number as u8 + 1], 0));
        let listen = TcpListener::bind(own).await?.local_addr()?;
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

    /// The process that runs, or ran last.
    fn incarnation(&self) -> Incarnation {
        Incarnation { node: self.number, number: self.running.borrow().started.saturating_sub(1) }
    }

    fn write_config(&self) -> io::Result<()> {
        let active = *self.active_link.lock().expect("no task panics while it has the lock");
        let initial_list = {
            let agent_state = self.agent_state.lock().expect("no task panics while it has the lock");
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
        // Renamed into place: a process that reads it finds the old file or the new one.
        let new = self.config.with_extension("new");
        std::fs::write(&new, text)?;
        if self.config.is_dir() {
            std::fs::remove_dir(&self.config)?;
        }
        std::fs::rename(new, &self.config)
    }

    // ---- Its process ----

    /// Starts a process; the node is available once it is ready.
    ///
    /// # Errors
    /// The configuration or log cannot be written, or the program does not start.
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

    /// Records a new process. It counts as notified of the agent's list from its start on.
    fn record_start(&self, incarnation: Incarnation) {
        let now = Instant::now();
        let endpoints =
            self.agent_state.lock().expect("no task panics while it has the lock").endpoints.clone();
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

    /// Records the end of a process.
    async fn wait_for_exit(self: Arc<Self>, mut child: Child, incarnation: Incarnation) {
        let status = child.wait().await;
        let exit = Exit { at: Instant::now(), how: status.map_or(ExitKind::Failed, exit_kind) };
        self.recorder.update_process(incarnation, |process| process.exit = Some(exit));
        self.availability.send_replace(Availability::Unavailable);
        self.running.send_modify(|running| running.id = None);
    }

    /// Makes the node available once its process is ready, unless that is stopping by then.
    async fn wait_until_ready(self: Arc<Self>, incarnation: Incarnation) {
        let ready = async {
            while !is_ready(self.listen).await {
                sleep(READY_INTERVAL).await;
            }
        };
        if timeout(READY_TIMEOUT, ready).await.is_err() {
            return;
        }
        // The one that answered may be a later process.
        self.recorder.update_process(incarnation, |process| process.was_ready = process.exit.is_none());
        let is_stopping = self.recorder.with(|records| {
            records.processes.get(&incarnation).is_none_or(|process| process.terminated_at.is_some())
        });
        if !is_stopping && self.incarnation() == incarnation && self.running.borrow().id.is_some() {
            self.availability.send_replace(Availability::Ready(incarnation));
        }
    }

    /// Sends a signal to the process that runs; returns `false` where there is none.
    pub fn signal(&self, signal: Signal) -> bool {
        let id = self.running.borrow().id;
        id.is_some_and(|id| kill(Pid::from_raw(id as i32), signal).is_ok())
    }

    /// Waits until no process runs.
    async fn ended(&self) {
        let mut running = self.running.subscribe();
        let _ = running.wait_for(|running| running.id.is_none()).await; // `self` owns the sender: no error.
    }

    /// Stops the process and starts another.
    ///
    /// # Errors
    /// As [`Node::start`].
    pub async fn restart(self: &Arc<Self>) -> io::Result<()> {
        self.stop().await;
        sleep(RESTART_DELAY).await;
        self.start().await
    }

    /// Sends SIGTERM, and SIGKILL as early as the platform may.
    pub async fn stop(&self) {
        let (incarnation, now) = (self.incarnation(), Instant::now());
        self.recorder.update_process(incarnation, |process| process.terminated_at = Some(now));
        self.availability.send_replace(Availability::Stopping(incarnation, now));
        if !self.signal(Signal::SIGTERM) {
            return;
        }
        if timeout(self.plan.kill_after(), self.ended()).await.is_err() {
            let kill = Kill { at: Instant::now(), is_crash: false };
            self.recorder.update_process(incarnation, |process| process.kill = Some(kill));
            self.signal(Signal::SIGKILL);
            self.ended().await;
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
        self.ended().await;
        sleep(RESTART_DELAY).await;
        self.start().await
    }

    // ---- Its configuration ----

    /// Reloads a configuration with other addresses of discovery and counter. The old addresses refuse new connections,
    /// and reset the open ones later.
    ///
    /// # Errors
    /// The configuration cannot be written.
    pub async fn reload(&self) -> io::Result<()> {
        let old = {
            let mut active = self.active_link.lock().expect("no task panics while it has the lock");
            *active = 1 - *active;
            1 - *active
        };
        self.write_config()?;
        let now = Instant::now();
        self.record_deferral(Deferral { from: now, until: now + RELOAD_GRACE });
        for links in [&self.discovery, &self.counter] {
            links[1 - old].set(|fault| fault.refuse_connections = false);
            links[old].set(|fault| fault.refuse_connections = true);
        }
        self.signal(Signal::SIGHUP);
        sleep(OLD_ADDRESS_RESET_DELAY).await;
        for links in [&self.discovery, &self.counter] {
            links[old].reset();
        }
        Ok(())
    }

    /// Writes a configuration that cannot be used, and has the process reload it.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn reload_invalid(&self, text: &str) -> io::Result<()> {
        std::fs::write(&self.config, text)?;
        self.signal(Signal::SIGHUP);
        Ok(())
    }

    /// Replaces the configuration by one that cannot be used, without a reload.
    ///
    /// # Errors
    /// It cannot be replaced.
    pub fn replace_config(&self, config: UnusableConfig) -> io::Result<()> {
        self.remove_config()?;
        match config {
            UnusableConfig::Missing => Ok(()),
            UnusableConfig::Directory => std::fs::create_dir(&self.config),
            UnusableConfig::UnreadPipe => Ok(nix::unistd::mkfifo(&self.config, Mode::S_IRWXU)?),
            UnusableConfig::Text(text) => std::fs::write(&self.config, text),
        }
    }

    /// Removes the configuration, whatever it is.
    fn remove_config(&self) -> io::Result<()> {
        if self.config.is_dir() {
            return std::fs::remove_dir(&self.config);
        }
        match std::fs::remove_file(&self.config) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
            _ => Ok(()),
        }
    }

    /// Writes the valid configuration again, without a reload.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn restore_config(&self) -> io::Result<()> {
        self.write_config()
    }

    // ---- Discovery ----

    /// The process could not open connections since `from`: updates since then count from now on.
    pub fn record_outage(&self, from: Instant) {
        self.record_deferral(Deferral { from, until: Instant::now() });
    }

    fn record_deferral(&self, deferral: Deferral) {
        self.recorder.update_process(self.incarnation(), |process| process.deferrals.push(deferral));
    }

    /// Discovery has a new list of backends.
    pub fn publish(&self, endpoints: &[Endpoint]) {
        let mut agent_state = self.agent_state.lock().expect("no task panics while it has the lock");
        agent_state.index += 1;
        agent_state.endpoints = endpoints.to_vec();
        if !agent_state.is_silent {
            self.send_list(&agent_state);
        }
    }

    /// Gives the agent its list, and records the changes: from now on the process counts as notified.
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

    /// The agent answers nothing for a while, and gets no list.
    pub async fn silence_discovery(&self, duration: Duration) {
        self.agent_state.lock().expect("no task panics while it has the lock").is_silent = true;
        self.agent.stop_answering();
        sleep(duration).await;
        let mut agent_state = self.agent_state.lock().expect("no task panics while it has the lock");
        agent_state.is_silent = false;
        self.agent.resume_answering();
        self.send_list(&agent_state);
    }
}
