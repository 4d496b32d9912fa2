//! A gateway process with its backends, discovery, counter and clients, at a size of the fleet.

use super::{FleetSize, Usage};
use crate::node::{Listed, is_ready};
use crate::plan::Plan;
use crate::record::Class;
use crate::wire::{self, Draft};
use procfs::process::Process;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, Command};
use tokio::task::JoinSet;
use tokio::time::{Instant, interval, sleep, timeout};
use weirusher_fakes::{DiscoveryAgent, ReceivedRequest, Reply, ScriptedServer, counting, frame};

const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
/// Requests a second, and the connections that they come on.
const RATE: f64 = 30.0;
const CLIENTS: usize = 8;
/// The deadline of the requests, in seconds.
const DEADLINE: f64 = 2.0;
/// How long a backend works on a request.
const WORK: Duration = Duration::from_millis(15);
/// Between two changes of the list, and the share of the backends that each restarts.
const CHANGE: Duration = Duration::from_millis(500);
const CHANGED_SHARE: f64 = 0.01;
/// How often the process is looked at.
const LOOK: Duration = Duration::from_millis(50);
/// The longest wait for whatever must come about.
const LIMIT: Duration = Duration::from_secs(30);

/// How a size is measured.
#[derive(Debug, Clone)]
pub struct GrowthOptions {
    /// The program.
    pub exe: PathBuf,
    /// For the configuration.
    pub dir: PathBuf,
    /// How long requests are sent.
    pub lasts: Duration,
    /// What the traffic is drawn from.
    pub seed: u64,
}

/// Runs one gateway of a fleet of this size.
///
/// # Errors
/// A party does not start, or the process ends early.
pub async fn measure(size: FleetSize, options: &GrowthOptions) -> io::Result<Usage> {
    let mut backends = Vec::new();
    for _ in 0..size.backends {
        let script = |_: &_| Reply::Delayed(WORK, frame(200, "", "done"));
        backends.push(ScriptedServer::start(LOOPBACK, script).await?);
    }
    let mut discovery = Discovery::start(&backends, options.seed).await?;
    let counter = ScriptedServer::start(LOOPBACK, counting()).await?;
    let mut plan = Plan::new(options.seed, size.gateways, options.lasts.as_secs_f64());
    plan.deadline = DEADLINE;
    let listen = TcpListener::bind(LOOPBACK).await?.local_addr()?;
    let child = start(&plan, listen, &discovery, counter.address, options)?;
    let process = child.id().and_then(|id| Process::new(id as i32).ok());
    let process = process.ok_or_else(|| io::Error::other("the gateway has ended"))?;
    wait_until_ready(listen).await?;
    let ends = Instant::now() + options.lasts;
    let mut usage = Usage::default();
    let (sent, served) = tokio::select! {
        counts = clients(&plan, listen, ends) => counts,
        error = discovery.change_until_dropped() => return Err(error),
        error = look(&process, &mut usage) => return Err(error),
    };
    usage.read(&process).map_err(io::Error::other)?;
    usage.connections = backends.iter().map(ScriptedServer::connections).sum::<u64>() as f64;
    usage.list_bytes = discovery.bytes_sent() as f64;
    usage.served = f64::from(served) / f64::from(sent).max(1.0);
    Ok(usage)
}

fn start(
    plan: &Plan,
    listen: SocketAddr,
    discovery: &Discovery,
    counter: SocketAddr,
    options: &GrowthOptions,
) -> io::Result<Child> {
    let known = wire::list(1, &discovery.listed);
    let address = discovery.agent.address();
    let text = wire::configuration(plan, 0, listen, address, counter, known, options.seed);
    let file = options.dir.join("growth.json");
    std::fs::write(&file, text)?;
    Command::new(&options.exe)
        .arg("node")
        .env("NODE_CONFIG", file)
        .env("RUST_LOG", "warn")
        .stdout(Stdio::null())
        .kill_on_drop(true)
        .spawn()
}

async fn wait_until_ready(listen: SocketAddr) -> io::Result<()> {
    let ready = async {
        while !is_ready(listen).await {
            sleep(LOOK).await;
        }
    };
    timeout(LIMIT, ready).await.map_err(|_| io::Error::other("the gateway is not ready in time"))
}

/// Looks at the process again and again; returns what goes wrong.
async fn look(process: &Process, usage: &mut Usage) -> io::Error {
    loop {
        if let Err(error) = usage.read(process) {
            return io::Error::other(error);
        }
        sleep(LOOK).await;
    }
}

// ---- Clients ----

/// Requests sent, and those served, by all clients.
async fn clients(plan: &Plan, listen: SocketAddr, ends: Instant) -> (u32, u32) {
    let mut tasks = JoinSet::new();
    for number in 0..CLIENTS {
        tasks.spawn(client(plan.clone(), listen, ends, number));
    }
    let mut counts = (0, 0);
    while let Some(done) = tasks.join_next().await {
        let (sent, served) = done.unwrap_or_default();
        counts = (counts.0 + sent, counts.1 + served);
    }
    counts
}

/// One client with one connection, which it opens anew where it ends.
async fn client(plan: Plan, listen: SocketAddr, ends: Instant, number: usize) -> (u32, u32) {
    let mut rng = fastrand::Rng::with_seed(plan.seed ^ number as u64);
    let mut ticks = interval(Duration::from_secs_f64(CLIENTS as f64 / RATE));
    sleep(Duration::from_secs_f64(number as f64 / RATE)).await;
    let (mut sent, mut served) = (0, 0);
    let mut stream = None;
    while Instant::now() < ends {
        ticks.tick().await;
        let id = format!("{:016x}", (number as u64) << 32 | u64::from(sent));
        let draft = Draft::new(&plan, id, Class::Safe, None, DEADLINE, &mut rng);
        sent += 1;
        let status = timeout(LIMIT, exchange(&mut stream, listen, &draft.bytes)).await;
        match status {
            Ok(Ok(status)) => served += u32::from(status == 200),
            _ => stream = None,
        }
    }
    (sent, served)
}

async fn exchange(stream: &mut Option<TcpStream>, listen: SocketAddr, request: &[u8]) -> io::Result<u16> {
    let stream = match stream {
        Some(stream) => stream,
        None => stream.insert(TcpStream::connect(listen).await?),
    };
    stream.write_all(request).await?;
    let mut bytes = Vec::new();
    loop {
        if stream.read_buf(&mut bytes).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if let Some((status, ..)) = wire::response(&bytes) {
            return Ok(status);
        }
    }
}

// ---- Discovery ----

/// Discovery's agent, which tells changes: a part of the backends restarts in each step.
struct Discovery {
    agent: DiscoveryAgent,
    listed: Listed,
    /// Bytes of each version, the first from version 1 on.
    sizes: Vec<usize>,
    /// Draws the backends of each step.
    rng: fastrand::Rng,
}

impl Discovery {
    async fn start(backends: &[ScriptedServer], seed: u64) -> io::Result<Self> {
        let entry = |(number, backend): (usize, &ScriptedServer)| (number, backend.address, "SERVING", 0);
        let listed: Listed = backends.iter().enumerate().map(entry).collect();
        let list = wire::list(1, &listed).to_string();
        let sizes = vec![list.len()];
        let agent = DiscoveryAgent::start(LOOPBACK, 1, list).await?;
        let rng = fastrand::Rng::with_seed(seed);
        Ok(Self { agent, listed, sizes, rng })
    }

    /// Tells a change each step, for ever; returns what goes wrong.
    async fn change_until_dropped(&mut self) -> io::Error {
        loop {
            let restarting = self.rng.choose_multiple(0..self.listed.len(), self.step());
            for status in ["DRAINING", "SERVING"] {
                sleep(CHANGE).await;
                let index = self.tell(&restarting, status);
                if timeout(LIMIT, self.agent.wait_until_list_received(index)).await.is_err() {
                    return io::Error::other("the gateway does not ask for changes");
                }
            }
        }
    }

    fn step(&self) -> usize {
        ((self.listed.len() as f64 * CHANGED_SHARE) as usize).max(1)
    }

    /// Tells backends, by their places, in another state, as a change; returns its version.
    fn tell(&mut self, places: &[usize], status: &'static str) -> u64 {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let mut changed = Vec::new();
        for place in places {
            let entry = &mut self.listed[*place];
            entry.2 = status;
            if status == "SERVING" {
                entry.3 = now;
            }
            changed.push(*entry);
        }
        let index = self.sizes.len() as u64 + 1;
        let mut change = wire::list(index, &changed);
        change["snapshot"] = false.into();
        let text = change.to_string();
        self.sizes.push(text.len());
        self.agent.set_list(index, text);
        index
    }

    /// Bytes of lists that were sent: of each call that has its answer, what it was answered.
    fn bytes_sent(&self) -> usize {
        let sent = |came: &ReceivedRequest| {
            let query = came.request.path.split_once('?').map_or("", |(_, query)| query);
            let since = query.split('&').find_map(|pair| pair.strip_prefix("since=")?.parse::<usize>().ok());
            // A call that names a version is answered with the one behind it; another with the first.
            self.sizes.get(since.unwrap_or(0)).copied().unwrap_or(0)
        };
        self.agent.received().iter().map(sent).sum()
    }
}
