//! A gateway process, what it reaches others by, and its log.

use crate::plan::Plan;
use crate::record::{Life, Notice, Process, Recorder};
use crate::wire;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::fs::OpenOptions;
use std::io;
use std::net::SocketAddr;
use std::os::unix::process::ExitStatusExt;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};
use weirusher_fakes::{DiscoveryAgent, Link};
use weirusher_fault_shim::FaultShim;

/// After SIGHUP what discovery has to tell counts as told so much later.
const RELOAD: Duration = Duration::from_secs(4);
/// After SIGHUP the old addresses close their connections so much later.
const OLD_ADDRESS: Duration = Duration::from_millis(1500);
/// From a process's end to the start of the next.
const RESTART: Duration = Duration::from_millis(200);
/// The longest that a process may take to be ready, and how often it is asked.
const READY: (Duration, Duration) = (Duration::from_secs(10), Duration::from_millis(10));

/// Whether clients may come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Door {
    /// It is not ready, or has ended.
    Closed,
    /// It serves.
    Open(Life),
    /// It was told to stop then: the front still opens connections for a moment.
    Stopping(Life, Instant),
}

/// Backends as they are listed: number, address, status, last start.
pub type Listed = Vec<(usize, SocketAddr, &'static str, u64)>;

/// What a node's agent has.
struct Held {
    index: u64,
    listed: Listed,
    silent: bool,
}

/// A node: one gateway process at a time.
pub struct Node {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The faults of its clock and system calls.
    pub shim: FaultShim,
    /// Whether clients may come.
    pub door: watch::Sender<Door>,
    /// Its two ways to discovery's agent, one of them in use.
    pub discovery: [Link; 2],
    /// Its two ways to the counter, one of them in use.
    pub counter: [Link; 2],
    /// Its log, of all its processes.
    pub log: PathBuf,
    /// Held while a signal is dealt with.
    pub busy: tokio::sync::Mutex<()>,
    number: usize,
    plan: Plan,
    recorder: Recorder,
    agent: DiscoveryAgent,
    held: Mutex<Held>,
    exe: PathBuf,
    config: PathBuf,
    side: Mutex<usize>,
    /// The process that runs, and how many there were.
    process: watch::Sender<(Option<u32>, usize)>,
}

/// What a node is made of beside its own.
pub struct Site {
    /// The program.
    pub exe: PathBuf,
    /// For configurations and logs.
    pub dir: PathBuf,
    /// The counter.
    pub counter: SocketAddr,
    /// The backends.
    pub listed: Listed,
    /// The soak.
    pub plan: Plan,
    /// What is recorded.
    pub recorder: Recorder,
}

/// Asks as the front does whether a node is ready.
pub async fn is_ready(listen: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(listen).await else { return false };
    let ask = b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let mut answer = [0; 12];
    stream.write_all(ask).await.is_ok()
        && stream.read_exact(&mut answer).await.is_ok()
        && answer.ends_with(b"200")
}

impl Node {
    /// A node that is not started yet.
    pub async fn new(site: &Site, number: usize) -> io::Result<Arc<Self>> {
        // Taken from the kernel and given back, at an address of this node alone: nobody else binds there.
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let own = SocketAddr::from(([127, high.max(1), low, number as u8 + 1], 0));
        let listen = tokio::net::TcpListener::bind(own).await?.local_addr()?;
        let list = wire::list(1, &site.listed).to_string();
        let agent = DiscoveryAgent::start(SocketAddr::from(([127, 0, 0, 1], 0)), 1, list).await?;
        let discovery =
            [Link::start(Some(agent.address())).await?, Link::start(Some(agent.address())).await?];
        let counter = [Link::start(Some(site.counter)).await?, Link::start(Some(site.counter)).await?];
        Ok(Arc::new(Self {
            listen,
            shim: FaultShim::new()?,
            door: watch::Sender::new(Door::Closed),
            discovery,
            counter,
            log: site.dir.join(format!("n{number}.log")),
            busy: tokio::sync::Mutex::new(()),
            number,
            plan: site.plan.clone(),
            recorder: site.recorder.clone(),
            agent,
            held: Mutex::new(Held { index: 1, listed: site.listed.clone(), silent: false }),
            exe: site.exe.clone(),
            config: site.dir.join(format!("n{number}.json")),
            side: Mutex::new(0),
            process: watch::Sender::new((None, 0)),
        }))
    }

    /// The life that runs, or ran last.
    fn life(&self) -> Life {
        Life { node: self.number, number: self.process.borrow().1.saturating_sub(1) }
    }

    fn write_config(&self) -> io::Result<()> {
        let side = *self.side.lock().expect("no holder panics");
        let known = {
            let held = self.held.lock().expect("no holder panics");
            wire::list(held.index, &held.listed)
        };
        let (discovery, counter) = (self.discovery[side].address, self.counter[side].address);
        let seed = fastrand::u64(..);
        let text = wire::configuration(&self.plan, self.number, self.listen, discovery, counter, known, seed);
        // At once, as an operator would: a process that reads it finds the old one or the new one.
        let new = self.config.with_extension("new");
        std::fs::write(&new, text)?;
        std::fs::rename(new, &self.config)
    }

    // ---- Its process ----

    /// Starts a process; the door opens once it is ready.
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
        self.process.send_modify(|(id, lives)| (*id, *lives) = (child.id(), *lives + 1));
        let (life, now) = (self.life(), Instant::now());
        // What its agent has counts as told from its first moment on.
        let listed = self.held.lock().expect("no holder panics").listed.clone();
        let notice = |entry: &(usize, SocketAddr, &'static str, u64)| Notice {
            at: now,
            backend: entry.0,
            serving: entry.2 == "SERVING",
        };
        let notices = listed.iter().map(notice).collect();
        let process =
            Process { started: now, term: None, killed: None, ended: None, notices, deferred: Vec::new() };
        self.recorder.with(|records| records.processes.insert(life, process));
        tokio::spawn(self.clone().follow(child, life));
        tokio::spawn(self.clone().open(life));
        Ok(())
    }

    /// Follows a process to its end.
    async fn follow(self: Arc<Self>, mut child: Child, life: Life) {
        let status = child.wait().await;
        let killed = |status: &std::process::ExitStatus| status.signal() == Some(Signal::SIGKILL as i32);
        let in_order = status.is_ok_and(|status| status.success() || killed(&status));
        self.recorder.process(life, |process| process.ended = Some((Instant::now(), in_order)));
        self.door.send_replace(Door::Closed);
        self.process.send_modify(|(id, _)| *id = None);
    }

    /// Asks as the front does whether it is ready, and lets clients come then.
    async fn open(self: Arc<Self>, life: Life) {
        let ready = async {
            while !is_ready(self.listen).await {
                sleep(READY.1).await;
            }
        };
        if timeout(READY.0, ready).await.is_ok() {
            let stopping =
                self.recorder.with(|r| r.processes.get(&life).is_none_or(|process| process.term.is_some()));
            if !stopping && self.life() == life && self.process.borrow().0.is_some() {
                self.door.send_replace(Door::Open(life));
            }
        }
    }

    /// Sends a signal to the process that runs; `false`: there is none.
    pub fn signal(&self, signal: Signal) -> bool {
        let id = self.process.borrow().0;
        id.is_some_and(|id| kill(Pid::from_raw(id as i32), signal).is_ok())
    }

    async fn until_ended(&self) {
        let mut process = self.process.subscribe();
        let _ = process.wait_for(|(id, _)| id.is_none()).await; // The sender lives as long as this.
    }

    /// SIGTERM, SIGKILL at the earliest moment, and a new process.
    pub async fn restart(self: &Arc<Self>) -> io::Result<()> {
        self.end().await;
        sleep(RESTART).await;
        self.start().await
    }

    /// SIGTERM, and SIGKILL at the earliest moment.
    pub async fn end(&self) {
        let (life, now) = (self.life(), Instant::now());
        self.recorder.process(life, |process| process.term = Some(now));
        self.door.send_replace(Door::Stopping(life, now));
        if !self.signal(Signal::SIGTERM) {
            return;
        }
        if timeout(self.plan.kill_after(), self.until_ended()).await.is_err() {
            self.recorder.process(life, |process| process.killed = Some((Instant::now(), false)));
            self.signal(Signal::SIGKILL);
            self.until_ended().await;
        }
    }

    /// SIGKILL, and a new process.
    pub async fn crash(self: &Arc<Self>) -> io::Result<()> {
        let life = self.life();
        self.recorder.process(life, |process| process.killed = Some((Instant::now(), true)));
        self.signal(Signal::SIGKILL);
        self.until_ended().await;
        sleep(RESTART).await;
        self.start().await
    }

    /// A new configuration that moves discovery and the counter; the old addresses take no new connection, and close
    /// the open ones later.
    pub async fn reload(&self) -> io::Result<()> {
        let old = {
            let mut side = self.side.lock().expect("no holder panics");
            *side = 1 - *side;
            1 - *side
        };
        self.write_config()?;
        let (life, now) = (self.life(), Instant::now());
        self.recorder.process(life, |process| process.deferred.push((now, now + RELOAD)));
        for links in [&self.discovery, &self.counter] {
            links[1 - old].set(|fault| fault.refuse_connections = false);
            links[old].set(|fault| fault.refuse_connections = true);
        }
        self.signal(Signal::SIGHUP);
        sleep(OLD_ADDRESS).await;
        for links in [&self.discovery, &self.counter] {
            links[old].reset();
        }
        Ok(())
    }

    /// No connection could be made since then: what was told meanwhile counts from now on.
    pub fn was_cut_off(&self, since: Instant) {
        let now = Instant::now();
        self.recorder.process(self.life(), |process| process.deferred.push((since, now)));
    }

    /// A file that cannot be used, and then the last one again.
    pub fn bad_reload(&self, text: &str) -> io::Result<()> {
        std::fs::write(&self.config, text)?;
        self.signal(Signal::SIGHUP);
        Ok(())
    }

    /// The configuration as it should be.
    pub fn mend_config(&self) -> io::Result<()> {
        self.write_config()
    }

    // ---- Discovery ----

    /// The list of backends changes.
    pub fn tell(&self, listed: &Listed) {
        let mut held = self.held.lock().expect("no holder panics");
        held.index += 1;
        held.listed = listed.clone();
        if !held.silent {
            self.pass_on(&held);
        }
    }

    /// The agent has a list: from now on it counts as told.
    fn pass_on(&self, held: &Held) {
        let now = Instant::now();
        self.agent.set_list(held.index, wire::list(held.index, &held.listed).to_string());
        let notice = |entry: &(usize, SocketAddr, &'static str, u64)| (entry.0, entry.2 == "SERVING");
        let now_told: Vec<_> = held.listed.iter().map(notice).collect();
        self.recorder.process(self.life(), |process| {
            for (backend, serving) in now_told {
                let last = process.notices.iter().rev().find(|notice| notice.backend == backend);
                if last.is_none_or(|last| last.serving != serving) {
                    process.notices.push(Notice { at: now, backend, serving });
                }
            }
        });
    }

    /// The agent answers nothing for a while, and learns nothing.
    pub async fn silence(&self, lasts: Duration) {
        self.held.lock().expect("no holder panics").silent = true;
        self.agent.stop_answering();
        sleep(lasts).await;
        let mut held = self.held.lock().expect("no holder panics");
        held.silent = false;
        self.agent.resume_answering();
        self.pass_on(&held);
    }
}
