//! Runs a node from its start to the end of its graceful shutdown.

use crate::config_file::ConfigReader;
use crate::context::NodeContext;
use crate::fleet_membership::FleetMembership;
use crate::listener;
use crate::panics::spawn_shared;
use crate::run_error::RunError;
use crate::services::ServiceClients;
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::JoinHandle;
use weirusher_net::Listener;
use weirusher_platform::config::Config;

/// Time that the shutdown allows, after the last response is due, for clients to read their responses. The
/// timeouts of the connections normally end the wait sooner.
const LAST_WRITES_TIMEOUT: Duration = Duration::from_secs(5);
/// How often the shutdown checks for pending requests and open connections.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of unanswered requests that are logged at the end of a shutdown.
const MAX_LOGGED_REQUESTS: usize = 16;

/// The signal handlers. They are installed before anything else, so that an early signal neither kills the
/// process nor is lost.
struct Signals {
    reload: Signal,
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn new() -> io::Result<Self> {
        Ok(Self {
            reload: signal(SignalKind::hangup())?,
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for SIGTERM or SIGINT.
    async fn stop_requested(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Runs the node configured by `file` until SIGTERM or SIGINT, and returns the number of requests that were
/// left without a response. Must be called inside a [`tokio::task::LocalSet`].
///
/// # Errors
/// The node cannot start, or it shut down because of a panic.
pub async fn run(file: &Path, fleet: Option<FleetMembership>) -> Result<usize, RunError> {
    let mut signals = Signals::new().map_err(RunError::Signals)?;
    let mut reader = ConfigReader::new(file);
    reader.start();
    let mut config = tokio::select! {
        config = reader.finished() => config?,
        () = signals.stop_requested() => return Ok(0), // Nothing was accepted yet.
    };
    let node = NodeContext::new(&config).map_err(|error| RunError::Settings(file.to_path_buf(), error))?;
    let listener = tokio::select! {
        listener = weirusher_net::bind(config.listen) => listener,
        () = signals.stop_requested() => return Ok(0),
    };
    let listener = listener.map_err(|error| RunError::Listen(config.listen, error))?;
    if let Some(fleet) = fleet {
        fleet.start(&node, &config).await?;
    }
    tracing::info!(name = config.name, listen = %config.listen, ?node.budget, "serving");
    match std::mem::replace(&mut config.cached_list, Ok(None)) {
        Ok(Some(cached_list)) => node.handle_endpoint_list(cached_list),
        Ok(None) => {}
        Err(error) => tracing::warn!(%error, "cached endpoint list is invalid; waiting for discovery"),
    }
    let accepting = serve(&node, config, listener, &mut signals, reader).await;
    let pending = shut_down(&node, accepting).await;
    if node.failure.is_raised() { Err(RunError::Panicked) } else { Ok(pending) }
}

/// Serves clients and reloads the configuration until SIGTERM, SIGINT or a fatal panic. Returns the task that
/// accepts connections.
async fn serve(
    node: &Rc<NodeContext>,
    config: Config,
    listener: Listener,
    signals: &mut Signals,
    mut reader: ConfigReader,
) -> JoinHandle<()> {
    let mut clients = ServiceClients::start(node.clone(), config);
    let accepting = spawn_tasks(node, listener);
    loop {
        tokio::select! {
            _ = signals.reload.recv() => reader.start(),
            config = reader.finished() => match config {
                Ok(config) => clients.reload(&config),
                Err(error) => tracing::warn!(%error, "configuration not reloaded; the current one is kept"),
            },
            _ = signals.terminate.recv() => return accepting,
            _ = signals.interrupt.recv() => return accepting,
            () = node.failure.wait() => return accepting,
        }
    }
}

/// Spawns the tasks for accepting connections, timers and evictions. Returns the task that accepts
/// connections.
pub(crate) fn spawn_tasks(node: &Rc<NodeContext>, listener: Listener) -> JoinHandle<()> {
    spawn_shared(node, "timers", run_proxy_timers(node.clone()));
    spawn_shared(node, "evictions", run_evictions(node.clone()));
    spawn_shared(node, "accept", listener::accept(node.clone(), listener))
}

/// Runs the timers of the proxy core.
async fn run_proxy_timers(node: Rc<NodeContext>) {
    loop {
        let due = node.state.borrow().proxy.next_timeout();
        node.proxy_wakeup.wait(&node.clock, due).await;
        weirusher_panics::fault_point("timers");
        node.handle_timeout();
    }
}

/// Closes the connections that the connection pool and the client connection slots evict.
async fn run_evictions(node: Rc<NodeContext>) {
    loop {
        let due = {
            let state = node.state.borrow();
            state.pool.next_eviction().into_iter().chain(state.slots.next_eviction()).reduce(f64::min)
        };
        node.eviction_wakeup.wait(&node.clock, due).await;
        let state = &mut *node.state.borrow_mut();
        let now = node.now();
        state.pool.evict(now, |_| true); // Dropping the returned connections closes them.
        let evicted = state.slots.take_evicted(now);
        state.request_close(&evicted);
    }
}

/// Shuts down gracefully: answers pending requests, keeps accepting connections for a grace period, and
/// closes idle ones. Returns the number of requests that were left without a response.
async fn shut_down(node: &Rc<NodeContext>, accepting: JoinHandle<()>) -> usize {
    let shutdown = node.begin_shutdown();
    {
        let state = node.state.borrow();
        tracing::info!(
            pending = state.proxy.pending(),
            slots = ?state.slots.counts(),
            connections = ?node.connections,
            respond_within = shutdown.respond_by() - shutdown.started_at,
            "stopping"
        );
    }
    tokio::time::sleep_until(node.clock.instant(shutdown.accept_until())).await;
    node.stop_accepting.notify_one();
    tracing::info!(
        pending = node.state.borrow().proxy.pending(),
        "accept period over; closing the listener once its backlog is empty"
    );
    let finished = async {
        let _ = accepting.await; // Ends once the backlog of the listener is empty.
        while node.state.borrow().proxy.pending() > 0 || !node.state.borrow().slots.is_empty() {
            tokio::time::sleep(SHUTDOWN_POLL_INTERVAL).await;
        }
    };
    let end = node.clock.instant(shutdown.respond_by()) + LAST_WRITES_TIMEOUT;
    let _ = tokio::time::timeout_at(end, finished).await; // Requests still pending are logged below.
    let state = node.state.borrow();
    for id in state.proxy.pending_ids().take(MAX_LOGGED_REQUESTS) {
        tracing::warn!(%id, "a request is left without a response");
    }
    tracing::info!(
        elapsed = node.now() - shutdown.started_at,
        metrics = ?state.proxy.metrics(),
        connections = ?node.connections,
        violations = ?state.proxy.violations(),
        memory = ?node.memory,
        panics = weirusher_panics::count(),
        log_lines_dropped = weirusher_log::dropped_lines(),
        "stopped"
    );
    state.proxy.pending()
}
