//! Starts the tasks of a gateway and shuts them down gracefully.

use crate::admin::AdminPage;
use crate::clients::{counter::CounterClient, discovery::DiscoveryClient};
use crate::endpoint_cache::EndpointCache;
use crate::engine_task::{CALL_QUEUE, CLIENT_QUEUE, ClientEvent, EngineTask, SERVICE_QUEUE, ServiceEvent};
use crate::metrics::Metrics;
use crate::server::GrpcServer;
use crate::services::{access_log::AccessLog, ext_authz::ExtAuthz};
use crate::shared_task::SharedTasks;
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
use weirusher_config::{Config, ConnectionLimits, CounterConfig, DiscoveryConfig, FleetConfig, RequestRules};
use weirusher_core::{Engine, EngineError, Keyring};
use weirusher_net::Listener;
use weirusher_peers::{Peers, page};

/// Why a gateway cannot start.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum StartError {
    /// A listening socket cannot be opened on an address.
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddr, io::Error),
    /// The configuration has no ticket key.
    #[error("the configuration has no ticket key")]
    NoKey,
    /// The engine cannot start.
    #[error(transparent)]
    Engine(#[from] EngineError),
    /// The gateway cannot take part in its fleet.
    #[error(transparent)]
    Fleet(#[from] weirusher_peers::StartError),
}

/// A running gateway.
pub struct GatewayHandle {
    /// The address of the gRPC services.
    pub ext_authz: SocketAddr,
    /// The address of the admin page.
    pub admin: SocketAddr,
    /// The UDP address for datagrams of the fleet, if a fleet is configured.
    pub fleet: Option<SocketAddr>,
    /// Set to stop the gRPC server gracefully.
    stop: watch::Sender<bool>,
    /// Set to end the access log streams, once the gateway no longer waits for reports.
    reports_done: watch::Sender<bool>,
    /// The number of pending checks and attempts.
    pending: watch::Receiver<usize>,
    drain_timeout: Duration,
    server: JoinHandle<()>,
    tasks: SharedTasks,
}

impl GatewayHandle {
    /// Waits until a task that all requests depend on has panicked. The caller should then stop the gateway.
    pub async fn failed(&self) {
        self.tasks.failed().await;
    }

    /// Shuts down gracefully: accepts no new connections, notifies each connected proxy, and waits until no
    /// check or attempt is pending and every connection has ended. The wait lasts at most the configured drain
    /// time. Returns the number of checks and attempts that were still pending.
    pub async fn stop(mut self) -> usize {
        let deadline = Instant::now() + self.drain_timeout;
        self.stop.send_replace(true);
        self.wait_until_idle(deadline).await;
        self.reports_done.send_replace(true);
        // Checks that have arrived in the meantime get their outcome before their connections are closed.
        if tokio::time::timeout_at(deadline, &mut self.server).await.is_err() {
            tracing::warn!("drain time is over; stopping the server although connections are still open");
            self.server.abort();
        }
        self.wait_until_idle(deadline).await;
        let pending = *self.pending.borrow();
        self.tasks.abort();
        pending
    }

    /// Waits until no check or attempt is pending, or until `deadline`.
    async fn wait_until_idle(&mut self, deadline: Instant) {
        let idle = self.pending.wait_for(|pending| *pending == 0);
        let _ = tokio::time::timeout_at(deadline, idle).await; // The caller reports what is still pending.
    }
}

/// Starts a gateway.
///
/// # Errors
/// A listening socket cannot be opened, the settings are invalid, or the gateway cannot take part in its
/// fleet.
pub async fn start(config: Config) -> Result<GatewayHandle, StartError> {
    let (clock, metrics) = (Clock::start(), Arc::new(Metrics::default()));
    let (seed, incarnation) = (fastrand::u64(..), fastrand::u64(..));
    let keyring = Keyring::new(config.ticket_keys.clone()).ok_or(StartError::NoKey)?;
    let instance = config.settings.instance;
    let call_timeout = config.settings.counter_timeout;
    let engine = Engine::new(config.settings, keyring, incarnation, seed, clock.now())?;
    let (grpc_listener, ext_authz) = listen(config.ext_authz_address).await?;
    let (admin_listener, admin) = listen(config.admin_address).await?;

    let (service_sender, service_events) = mpsc::channel(SERVICE_QUEUE);
    let (client_sender, client_events) = mpsc::channel(CLIENT_QUEUE);
    let (watch_sender, watch_endpoints) = watch::channel(false);
    let (pending_sender, pending) = watch::channel(0);
    let (stop, stopped) = watch::channel(false);
    let (reports_done, reports_done_receiver) = watch::channel(false);
    let tasks = SharedTasks::new();

    let peers = start_membership(config.fleet, &tasks).await?;
    let counter_calls = config.counter.map(|CounterConfig { address, .. }| {
        let (call_sender, calls) = mpsc::channel(CALL_QUEUE);
        let (engine, metrics) = (client_sender.clone(), metrics.clone());
        let client = CounterClient { address, call_timeout, clock, calls, engine, metrics, seed };
        tasks.spawn("counter", client.run());
        call_sender
    });
    let discovery =
        discovery_client(config.discovery, instance, client_sender, watch_endpoints, &metrics, seed);
    tasks.spawn("discovery", discovery.run());
    let server = grpc_server(
        config.request_rules,
        config.connection_limits,
        service_sender.clone(),
        &metrics,
        reports_done_receiver,
    );
    let server = tasks.spawn("server", server.serve(grpc_listener, stopped, tasks.clone()));
    let fleet = peers.as_ref().map(|peers| peers.address);
    let admin_page = AdminPage { engine: service_sender, peers };
    tasks.spawn("admin page", page::serve(admin_listener, admin_page));
    let engine_task = EngineTask {
        engine,
        instance,
        incarnation,
        clock,
        service_events,
        client_events,
        counter_calls,
        watch_endpoints: watch_sender,
        pending: pending_sender,
        metrics,
        pending_checks: HashMap::new(),
    };
    tasks.spawn("engine", engine_task.run());
    let drain_timeout = Duration::from_secs_f64(config.drain_seconds);
    Ok(GatewayHandle { ext_authz, admin, fleet, stop, reports_done, pending, drain_timeout, server, tasks })
}

/// Starts the membership protocol of the fleet, if a fleet is configured.
async fn start_membership(
    config: Option<FleetConfig>,
    tasks: &SharedTasks,
) -> Result<Option<Peers>, StartError> {
    let Some(config) = config else { return Ok(None) };
    let (peers, task) = Peers::start(config).await?;
    tasks.spawn("membership", task);
    Ok(Some(peers))
}

/// Builds the discovery client, and starts its cache if a cache file is configured.
fn discovery_client(
    config: DiscoveryConfig,
    instance: u32,
    engine: mpsc::Sender<ClientEvent>,
    watch_endpoints: watch::Receiver<bool>,
    metrics: &Arc<Metrics>,
    seed: u64,
) -> DiscoveryClient {
    DiscoveryClient {
        cache: config.cache_file.clone().map(EndpointCache::start),
        config,
        node: format!("gatekeeper-{instance}"),
        engine,
        watch_endpoints,
        metrics: metrics.clone(),
        seed: seed ^ 1, // So that its jitter differs from the counter client's.
    }
}

/// Builds the gRPC server with both services.
fn grpc_server(
    rules: RequestRules,
    limits: ConnectionLimits,
    engine: mpsc::Sender<ServiceEvent>,
    metrics: &Arc<Metrics>,
    reports_done: watch::Receiver<bool>,
) -> GrpcServer {
    let rules = Arc::new(rules);
    let check = ExtAuthz {
        rules: rules.clone(),
        engine: engine.clone(),
        next_caller: Arc::new(AtomicU64::new(1)),
        metrics: metrics.clone(),
    };
    let access_log = AccessLog { rules, engine, metrics: metrics.clone(), reports_done };
    GrpcServer {
        max_connections: limits.connections,
        max_streams_per_connection: limits.streams_per_connection,
        check,
        access_log,
        metrics: metrics.clone(),
    }
}

async fn listen(address: SocketAddr) -> Result<(Listener, SocketAddr), StartError> {
    let error = |error| StartError::Listen(address, error);
    let listener = weirusher_net::bind(address).await.map_err(error)?;
    let bound = listener.local_addr().map_err(error)?;
    Ok((listener, bound))
}
