//! Runs a gateway process with backends, discovery, counter and clients for one fleet size, and measures its
//! usage.

use super::fleet_size::FleetSize;
use super::usage::Usage;
use crate::endpoint_list::{self, Endpoint, Status};
use crate::plan::Plan;
use crate::readiness::is_ready;
use crate::record::Class;
use crate::wire::{self, NodeConfig, PreparedRequest, Response};
use procfs::process::Process;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, Command};
use tokio::task::JoinSet;
use tokio::time::{Instant, interval, sleep, timeout};
use weirusher_fakes::{
    DiscoveryAgent, ReceivedRequest, Reply, ScriptedServer, counter_script, http_response,
};

/// Any free port of the loopback interface.
const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
/// Requests per second, over all clients.
const REQUESTS_PER_SECOND: f64 = 30.0;
/// The number of the only node that runs.
const MEASURED_NODE: usize = 0;
/// The number of clients, each of which has one connection.
const CLIENTS: usize = 8;
/// The deadline of each request, in seconds.
const DEADLINE_SECONDS: f64 = 2.0;
/// The time that a backend takes to respond.
const RESPONSE_TIME: Duration = Duration::from_millis(15);
/// The interval between two changes of the endpoint list.
const CHANGE_INTERVAL: Duration = Duration::from_millis(500);
/// The fraction of the backends that restart at the same time.
const RESTARTED_FRACTION: f64 = 0.01;
/// The interval between two samples of the process, and between two readiness checks.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// The longest wait for readiness, for a response, or for a poll of the endpoint list.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Options of a measurement.
#[derive(Debug, Clone)]
pub struct GrowthOptions {
    /// Path of the gateway executable.
    pub exe: PathBuf,
    /// The directory for the gateway's configuration.
    pub dir: PathBuf,
    /// How long requests are sent.
    pub duration: Duration,
    /// The seed of the generated traffic.
    pub seed: u64,
}

/// Runs one gateway that is configured for a fleet of this size, and returns its resource usage.
///
/// # Errors
/// A component fails to start, or the gateway is not ready in time, stops polling the endpoint list, or exits
/// early.
pub async fn measure(size: FleetSize, options: &GrowthOptions) -> io::Result<Usage> {
    let mut backends = Vec::new();
    for _ in 0..size.backends {
        let script = |_: &_| Reply::Delayed(RESPONSE_TIME, http_response(200, "", "done"));
        backends.push(ScriptedServer::start(LOOPBACK, script).await?);
    }
    let mut discovery = Discovery::start(&backends, options.seed).await?;
    let counter = ScriptedServer::start(LOOPBACK, counter_script()).await?;
    let mut plan = Plan::new(options.seed, size.gateways, options.duration.as_secs_f64());
    plan.deadline = DEADLINE_SECONDS;
    let listen = TcpListener::bind(LOOPBACK).await?.local_addr()?;
    let child = start_gateway(&plan, listen, &discovery, counter.address, options)?;
    let process = child.id().and_then(|id| Process::new(id as i32).ok());
    let process = process.ok_or_else(|| io::Error::other("the gateway exited before it was measured"))?;
    wait_until_ready(listen).await?;
    let end = Instant::now() + options.duration;
    let mut usage = Usage::default();
    let counts = tokio::select! {
        counts = run_clients(&plan, listen, end) => counts,
        error = discovery.publish_until_polls_stop() => return Err(error),
        error = sample_usage(&process, &mut usage) => return Err(error),
    };
    usage.update(&process).map_err(io::Error::other)?;
    usage.connections = backends.iter().map(ScriptedServer::accepted_connections).sum::<u64>() as f64;
    usage.list_bytes = discovery.bytes_sent() as f64;
    usage.served = f64::from(counts.served) / f64::from(counts.sent).max(1.0);
    Ok(usage)
}

fn start_gateway(
    plan: &Plan,
    listen: SocketAddr,
    discovery: &Discovery,
    counter: SocketAddr,
    options: &GrowthOptions,
) -> io::Result<Child> {
    let config = NodeConfig {
        node: 0,
        listen,
        discovery: discovery.agent.address(),
        counter,
        initial_list: wire::list(1, &discovery.endpoints),
        seed: options.seed,
    };
    let file = options.dir.join("growth.json");
    std::fs::write(&file, config.to_json(plan))?;
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
            sleep(SAMPLE_INTERVAL).await;
        }
    };
    timeout(WAIT_TIMEOUT, ready)
        .await
        .map_err(|_| io::Error::other("the gateway did not become ready in time"))
}

/// Samples the usage of the process until a sample fails; returns that error.
async fn sample_usage(process: &Process, usage: &mut Usage) -> io::Error {
    loop {
        if let Err(error) = usage.update(process) {
            return io::Error::other(error);
        }
        sleep(SAMPLE_INTERVAL).await;
    }
}

// ---- Clients ----

/// The numbers of requests of one or more clients.
#[derive(Debug, Clone, Copy, Default)]
struct RequestCounts {
    sent: u32,
    /// Requests that got a response with status 200.
    served: u32,
}

/// Runs all clients until `end` and sums their requests up.
async fn run_clients(plan: &Plan, listen: SocketAddr, end: Instant) -> RequestCounts {
    let mut tasks = JoinSet::new();
    for number in 0..CLIENTS {
        tasks.spawn(run_client(plan.clone(), listen, end, number));
    }
    let mut total = RequestCounts::default();
    while let Some(done) = tasks.join_next().await {
        let counts = done.unwrap_or_default();
        total.sent += counts.sent;
        total.served += counts.served;
    }
    total
}

/// Runs one client, which sends at a fixed rate on one connection and reconnects after an error.
async fn run_client(plan: Plan, listen: SocketAddr, end: Instant, number: usize) -> RequestCounts {
    let mut rng = fastrand::Rng::with_seed(plan.seed ^ number as u64);
    let mut ticks = interval(Duration::from_secs_f64(CLIENTS as f64 / REQUESTS_PER_SECOND));
    sleep(Duration::from_secs_f64(number as f64 / REQUESTS_PER_SECOND)).await;
    let mut counts = RequestCounts::default();
    let mut stream = None;
    while Instant::now() < end {
        ticks.tick().await;
        let id = format!("{:016x}", (number as u64) << 32 | u64::from(counts.sent));
        let request = PreparedRequest::new(
            &plan,
            MEASURED_NODE,
            id,
            Class::Idempotent,
            None,
            DEADLINE_SECONDS,
            &mut rng,
        );
        counts.sent += 1;
        match timeout(WAIT_TIMEOUT, exchange(&mut stream, listen, &request.bytes)).await {
            Ok(Ok(status)) => counts.served += u32::from(status == 200),
            _ => stream = None,
        }
    }
    counts
}

/// Sends a request on the stream, which is opened if there is none, and returns the status of the response.
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
        if let Some(response) = Response::parse(&bytes) {
            return Ok(response.status);
        }
    }
}

// ---- Discovery ----

/// Discovery: publishes changes of the endpoint list, in which a fraction of the backends drains and restarts
/// each time.
struct Discovery {
    agent: DiscoveryAgent,
    endpoints: Vec<Endpoint>,
    /// The length of each version's document (a list or a change) in bytes, from version 1 on.
    version_sizes: Vec<usize>,
    /// Chooses the backends that restart.
    rng: fastrand::Rng,
}

impl Discovery {
    async fn start(backends: &[ScriptedServer], seed: u64) -> io::Result<Self> {
        let endpoints = endpoint_list::serving(backends.iter().map(|backend| backend.address));
        let list = wire::list(1, &endpoints).to_string();
        let version_sizes = vec![list.len()];
        let agent = DiscoveryAgent::start(LOOPBACK, 1, list).await?;
        let rng = fastrand::Rng::with_seed(seed);
        Ok(Self { agent, endpoints, version_sizes, rng })
    }

    /// Publishes a change every [`CHANGE_INTERVAL`] until the gateway stops polling; returns an error then.
    async fn publish_until_polls_stop(&mut self) -> io::Error {
        loop {
            let restarting = self.rng.choose_multiple(0..self.endpoints.len(), self.restart_count());
            for status in [Status::Draining, Status::Serving] {
                sleep(CHANGE_INTERVAL).await;
                let index = self.publish(&restarting, status);
                if timeout(WAIT_TIMEOUT, self.agent.wait_until_list_received(index)).await.is_err() {
                    return io::Error::other("the gateway did not poll the endpoint list in time");
                }
            }
        }
    }

    fn restart_count(&self) -> usize {
        ((self.endpoints.len() as f64 * RESTARTED_FRACTION) as usize).max(1)
    }

    /// Publishes a change that sets the status of the endpoints at `positions`; returns its version.
    fn publish(&mut self, positions: &[usize], status: Status) -> u64 {
        let mut changed = Vec::new();
        for position in positions {
            let endpoint = &mut self.endpoints[*position];
            match status {
                Status::Serving => endpoint.restart(),
                Status::Draining => endpoint.status = status,
            }
            changed.push(*endpoint);
        }
        let index = self.version_sizes.len() as u64 + 1;
        let mut change = wire::list(index, &changed);
        change["snapshot"] = false.into();
        let text = change.to_string();
        self.version_sizes.push(text.len());
        self.agent.set_list(index, text);
        index
    }

    /// Bytes of lists and changes that were sent in responses to polls.
    fn bytes_sent(&self) -> usize {
        let sent = |poll: &ReceivedRequest| {
            let query = poll.request.path.split_once('?').map_or("", |(_, query)| query);
            let since = query.split('&').find_map(|pair| pair.strip_prefix("since=")?.parse::<usize>().ok());
            // A poll that names a version gets the next one; a poll without a version gets the first.
            // Version n is at index n - 1.
            self.version_sizes.get(since.unwrap_or(0)).copied().unwrap_or(0)
        };
        self.agent.received().iter().map(sent).sum()
    }
}
