//! Starts a gateway's tasks and stops them in order.

use crate::admin::Admin;
use crate::clients::{counter::CounterClient, discovery::DiscoveryClient};
use crate::driver::{CALL_QUEUE, Driver, FRONT_QUEUE, WORLD_QUEUE};
use crate::fronts::{access_log::AccessLog, ext_authz::ExtAuthz};
use crate::kept_list::ListKeeper;
use crate::server::GrpcServer;
use crate::stats::Stats;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::Instant;
use weirusher_clock::Clock;
use weirusher_config::{Config, ConnectionLimits};
use weirusher_core::{Engine, EngineError, Keyring};
use weirusher_net::Listener;
use weirusher_peers::{Peers, page};

/// Why a gateway cannot start.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum StartError {
    /// An address cannot be listened on.
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddr, io::Error),
    /// The configuration has no ticket key.
    #[error("there is no ticket key")]
    NoKey,
    /// The decisions cannot start.
    #[error(transparent)]
    Engine(#[from] EngineError),
    /// It cannot take part in its fleet.
    #[error(transparent)]
    Fleet(#[from] weirusher_peers::StartError),
}

/// A gateway that runs.
pub struct Running {
    /// Where Check and StreamAccessLogs are served.
    pub ext_authz: SocketAddr,
    /// Where the admin page is.
    pub admin: SocketAddr,
    /// Where the fleet's datagrams are received, if there is a fleet.
    pub fleet: Option<SocketAddr>,
    stop: watch::Sender<bool>,
    /// Ends the streams of log entries: nothing more is waited for.
    settled: watch::Sender<bool>,
    owed: watch::Receiver<usize>,
    drain: Duration,
    server: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
}

impl Running {
    /// Takes no new connections, tells each edge so, waits until nothing is owed and each connection has ended, or the
    /// configured time is over, and ends. Tells how many requests were still owed.
    pub async fn stop(mut self) -> usize {
        let end = Instant::now() + self.drain;
        self.stop.send_replace(true);
        self.settle(end).await;
        self.settled.send_replace(true);
        // Checks that were read meanwhile are answered before their connections end.
        if tokio::time::timeout_at(end, &mut self.server).await.is_err() {
            tracing::warn!("connections of edges are still open at the end of the drain");
            self.server.abort();
        }
        self.settle(end).await;
        let owed = *self.owed.borrow();
        self.tasks.iter().for_each(JoinHandle::abort);
        owed
    }

    /// Waits until nothing is owed.
    async fn settle(&mut self, end: Instant) {
        let settled = self.owed.wait_for(|owed| *owed == 0);
        let _ = tokio::time::timeout_at(end, settled).await; // What is still owed is told in the end.
    }
}

async fn listen(address: SocketAddr) -> Result<(Listener, SocketAddr), StartError> {
    let fail = |error| StartError::Listen(address, error);
    let listener = weirusher_net::bind(address).await.map_err(fail)?;
    let bound = listener.local_addr().map_err(fail)?;
    Ok((listener, bound))
}

/// Starts a gateway.
///
/// # Errors
/// It cannot listen, or its settings cannot work.
pub async fn start(config: Config) -> Result<Running, StartError> {
    let (clock, stats) = (Clock::start(), Arc::new(Stats::default()));
    let seed = fastrand::u64(..);
    let epoch = fastrand::u64(..);
    let ring = Keyring::new(config.ticket_keys.clone()).ok_or(StartError::NoKey)?;
    let me = config.settings.instance;
    let count_limit = config.settings.counter_timeout;
    let engine = Engine::new(config.settings, ring, epoch, seed, clock.now())?;
    let (grpc, ext_authz) = listen(config.ext_authz_address).await?;
    let (admin_listener, admin) = listen(config.admin_address).await?;

    let (driver, fronts) = mpsc::channel(FRONT_QUEUE);
    let (world_sender, world) = mpsc::channel(WORLD_QUEUE);
    let (follow_sender, follow) = watch::channel(false);
    let (owed_sender, owed) = watch::channel(0);
    let (stop, stopped) = watch::channel(false);
    let (settled, log_ends) = watch::channel(false);
    let mut tasks = Vec::new();
    let mut peers = None;
    if let Some(fleet) = config.fleet {
        let (handle, task) = Peers::start(fleet).await?;
        peers = Some(handle);
        tasks.push(tokio::spawn(task));
    }
    let mut calls = None;
    if let Some(counter) = &config.counter {
        let (sender, receiver) = mpsc::channel(CALL_QUEUE);
        calls = Some(sender);
        let client = CounterClient {
            address: counter.address,
            limit: count_limit,
            clock,
            calls: receiver,
            world: world_sender.clone(),
            stats: stats.clone(),
            seed,
        };
        tasks.push(tokio::spawn(client.run()));
    }
    let keeper = config.discovery.cache_file.clone().map(ListKeeper::start);
    let discovery = DiscoveryClient {
        config: config.discovery,
        node: format!("gatekeeper-{me}"),
        world: world_sender,
        follow,
        stats: stats.clone(),
        seed: seed ^ 1,
        keeper,
    };
    tasks.push(tokio::spawn(discovery.run()));
    let rules = Arc::new(config.request_rules);
    let check = ExtAuthz {
        rules: rules.clone(),
        driver: driver.clone(),
        next: Arc::new(AtomicU64::new(1)),
        stats: stats.clone(),
    };
    let log = AccessLog { rules, driver: driver.clone(), stats: stats.clone(), ends: log_ends };
    let ConnectionLimits { connections, streams_per_connection: streams } = config.connection_limits;
    let server = GrpcServer { connections, streams, check, log, stats: stats.clone() };
    let server = tokio::spawn(server.serve(grpc, stopped));
    let fleet = peers.as_ref().map(|peers| peers.address);
    tasks.push(tokio::spawn(page::serve(admin_listener, Admin { driver, peers })));
    let driver = Driver {
        engine,
        identity: (me, epoch),
        clock,
        fronts,
        world,
        calls,
        follow: follow_sender,
        owed: owed_sender,
        stats,
        waiting: HashMap::new(),
    };
    tasks.push(tokio::spawn(driver.run()));
    let drain = Duration::from_secs_f64(config.drain_seconds);
    Ok(Running { ext_authz, admin, fleet, stop, settled, owed, drain, server, tasks })
}
