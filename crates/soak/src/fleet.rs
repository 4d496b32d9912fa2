//! The fleet of a soak: its nodes, backends, counter and list, and its run from the start to the findings.

use crate::backend::Backend;
use crate::client::Clients;
use crate::faults;
use crate::node::{Door, Listed, Node, Site};
use crate::oracle::{self, Finding};
use crate::plan::Plan;
use crate::record::{End, Recorder, Records};
use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};
use weirusher_fakes::{Reply, ScriptedServer, counting};

/// Backends that may be out of the list at once, as a part of all.
const MOST_LEAVING: usize = 3;
/// How often this program looks whether it is late itself.
const TICK: Duration = Duration::from_millis(5);
/// The longest that the nodes may take to be ready at the start.
const START: Duration = Duration::from_secs(20);

/// How a soak is run.
#[derive(Debug, Clone)]
pub struct Options {
    /// The program under test.
    pub exe: PathBuf,
    /// For configurations and logs.
    pub dir: PathBuf,
}

/// What a soak found.
#[derive(Debug)]
pub struct Report {
    /// What was played.
    pub plan: Plan,
    /// How many requests ended how: by status, or by the name of another end.
    pub ends: BTreeMap<String, u64>,
    /// Attempts that came to backends.
    pub attempts: usize,
    /// Processes that were started, that had to be killed at the end of a shutdown.
    pub processes: (usize, usize),
    /// Faults by kind.
    pub faults: BTreeMap<&'static str, u64>,
    /// System calls and clock readings that were tampered with.
    pub injected: u64,
    /// The longest that this program itself was late, in seconds.
    pub lateness: f64,
    /// What broke a rule.
    pub findings: Vec<Finding>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Plan { seed, nodes, deadline, .. } = &self.plan;
        writeln!(f, "seed {seed}: {nodes} nodes, deadline {deadline:.2} s; ends {:?}", self.ends)?;
        writeln!(
            f,
            "  {} attempts; {} processes, {} killed at the end of a shutdown; faults {:?}; {} calls tampered with; at \
             most {:.0} ms late itself",
            self.attempts,
            self.processes.0,
            self.processes.1,
            self.faults,
            self.injected,
            self.lateness * 1e3
        )?;
        for finding in &self.findings {
            writeln!(f, "  {finding}")?;
        }
        write!(f, "  {} findings", self.findings.len())
    }
}

/// The list of backends.
pub struct Listing {
    entries: Listed,
    gone: Vec<usize>,
}

impl Listing {
    fn serving(&self) -> usize {
        self.entries.iter().filter(|entry| entry.2 == "SERVING").count()
    }

    /// A backend is told to leave; `false`: it does already, or too many do.
    pub fn leave(&mut self, backend: usize) -> bool {
        let most = self.entries.len() / MOST_LEAVING;
        let leaving = self.entries.len() - self.serving();
        let free = leaving < most.max(1) && !self.gone.contains(&backend);
        let entry = self.entries.iter_mut().find(|entry| entry.0 == backend && entry.2 == "SERVING");
        match entry.filter(|_| free) {
            Some(entry) => {
                entry.2 = "DRAINING";
                true
            }
            None => false,
        }
    }

    /// A backend has left.
    pub fn gone(&mut self, backend: usize) -> bool {
        self.gone.push(backend);
        true
    }

    /// It comes back, just started.
    pub fn join(&mut self, backend: usize) -> bool {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        self.gone.retain(|gone| *gone != backend);
        if let Some(entry) = self.entries.iter_mut().find(|entry| entry.0 == backend) {
            (entry.2, entry.3) = ("SERVING", now);
        }
        true
    }

    /// As it is told: what has left is not named.
    fn told(&self) -> Listed {
        self.entries.iter().filter(|entry| !self.gone.contains(&entry.0)).copied().collect()
    }
}

/// A fleet that runs.
pub struct Fleet {
    pub nodes: Vec<Arc<Node>>,
    pub backends: Vec<Backend>,
    pub recorder: Recorder,
    pub slow_counter: Arc<AtomicBool>,
    listing: Mutex<Listing>,
    _counter: ScriptedServer,
}

impl Fleet {
    async fn start(plan: &Plan, options: &Options) -> io::Result<Arc<Self>> {
        let recorder = Recorder::default();
        let mut backends = Vec::new();
        for number in 0..plan.backends {
            backends.push(Backend::start(number, recorder.clone(), plan.seed ^ number as u64).await?);
        }
        let entry = |(number, backend): (usize, &Backend)| (number, backend.address, "SERVING", 0);
        let entries: Listed = backends.iter().enumerate().map(entry).collect();
        let slow_counter = Arc::new(AtomicBool::new(false));
        let counter = counter(slow_counter.clone()).await?;
        let site = Site {
            exe: options.exe.clone(),
            dir: options.dir.clone(),
            counter: counter.address,
            listed: entries.clone(),
            plan: plan.clone(),
            recorder: recorder.clone(),
        };
        let mut nodes = Vec::new();
        for number in 0..plan.nodes {
            let node = Node::new(&site, number).await?;
            node.start().await?;
            nodes.push(node);
        }
        let listing = Mutex::new(Listing { entries, gone: Vec::new() });
        let fleet = Self { nodes, backends, recorder, slow_counter, listing, _counter: counter };
        let ready = async {
            for node in &fleet.nodes {
                let mut door = node.door.subscribe();
                let _ = door.wait_for(|door| matches!(door, Door::Open(_))).await; // The node lives as long as this.
            }
        };
        timeout(START, ready).await.map_err(|_| io::Error::other("the nodes are not ready in time"))?;
        Ok(Arc::new(fleet))
    }

    /// Changes the list, and tells it to all.
    pub fn list(&self, change: impl FnOnce(&mut Listing) -> bool) -> bool {
        let mut listing = self.listing.lock().expect("no holder panics");
        let changed = change(&mut listing);
        if changed {
            let told = listing.told();
            self.nodes.iter().for_each(|node| node.tell(&told));
        }
        changed
    }
}

/// A counter that is slow while it is told to be.
async fn counter(slow: Arc<AtomicBool>) -> io::Result<ScriptedServer> {
    let count = counting();
    ScriptedServer::start(SocketAddr::from(([127, 0, 0, 1], 0)), move |request| match count(request) {
        Reply::Bytes(bytes) if slow.load(Ordering::Relaxed) => {
            Reply::Delayed(Duration::from_millis(80), bytes)
        }
        reply => reply,
    })
    .await
}

/// Plays a plan to its end.
///
/// # Errors
/// The fleet does not start, or cannot be told something.
pub async fn run(plan: Plan, options: &Options) -> io::Result<Report> {
    let fleet = Fleet::start(&plan, options).await?;
    let lateness = tokio::spawn(watch_lateness(fleet.recorder.clone()));
    let clients = Arc::new(Clients {
        nodes: fleet.nodes.clone(),
        plan: plan.clone(),
        recorder: fleet.recorder.clone(),
        ends: Instant::now() + plan.lasts,
        next: AtomicU64::new(1),
    });
    let mut asking = JoinSet::new();
    for number in 0..plan.clients {
        asking.spawn(clients.clone().run(plan.seed.rotate_left(32) ^ number as u64));
    }
    let mut faults = JoinSet::new();
    for fault in &plan.faults {
        faults.spawn(faults::play(fleet.clone(), *fault));
    }
    while let Some(client) = asking.join_next().await {
        client.map_err(io::Error::other)?;
    }
    while let Some(fault) = faults.join_next().await {
        fault.map_err(io::Error::other)??;
    }
    let mut ends = JoinSet::new();
    for node in fleet.nodes.clone() {
        ends.spawn(async move { node.end().await });
    }
    while ends.join_next().await.is_some() {}
    // Ends of attempts that were under way.
    sleep(Duration::from_millis(100)).await;
    lateness.abort();
    let injected = fleet.nodes.iter().map(|node| node.shim.total()).sum();
    let mut logs = Vec::new();
    for node in &fleet.nodes {
        logs.push((node.log.clone(), std::fs::read_to_string(&node.log)?));
    }
    let records = fleet.recorder.take();
    let findings = oracle::judge(&records, &logs, plan.backends);
    Ok(report(plan, &records, injected, findings))
}

fn report(plan: Plan, records: &Records, injected: u64, findings: Vec<Finding>) -> Report {
    let mut ends = BTreeMap::new();
    for request in &records.requests {
        let name = match &request.end {
            End::Response { status, .. } => status.to_string(),
            End::Unread => "unread".into(),
            End::Unanswered => "unanswered".into(),
            End::Silence => "silence".into(),
            End::Left => "left".into(),
        };
        *ends.entry(name).or_default() += 1;
    }
    let killed = records.processes.values().filter(|process| process.killed.is_some_and(|(_, crash)| !crash));
    Report {
        plan,
        ends,
        attempts: records.attempts.len(),
        processes: (records.processes.len(), killed.count()),
        faults: records.faults.iter().map(|(name, many)| (*name, *many)).collect(),
        injected,
        lateness: records.lateness,
        findings,
    }
}

/// Notes how late this program's own timers are: what it measures is off by as much.
async fn watch_lateness(recorder: Recorder) {
    loop {
        let due = Instant::now() + TICK;
        tokio::time::sleep_until(due).await;
        let late = due.elapsed().as_secs_f64();
        recorder.with(|records| records.lateness = records.lateness.max(late));
    }
}
