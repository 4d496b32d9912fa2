//! Starts a gateway's tasks, follows its signals, and stops in order.

use crate::budget::Budget;
use crate::byte_budget::ByteBudget;
use crate::context::{NodeContext, State};
use crate::counter::Counter;
use crate::metrics::ConnectionMetrics;
use crate::wakeup::Wakeup;
use crate::{discovery, listener};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::Notify;
use tokio::task::{AbortHandle, JoinHandle, spawn_local};
use weirusher_clock::Clock;
use weirusher_config::FleetConfig;
use weirusher_core::{EngineError, PollTiming, ProxyCore};
use weirusher_peers::{Peers, page};
use weirusher_platform::client::Names;
use weirusher_platform::config::{Config, ConfigError};

/// Share of the idle limit after which a backend's connection is not used any more: a request must not cross
/// its close.
const IDLE_MARGIN: f64 = 0.8;
/// After the last responses of a shutdown, the longest wait for clients that read theirs slowly; a connection's own limits
/// end it sooner.
const LAST_WRITES: Duration = Duration::from_secs(5);

/// Most requests that the log names as left without a response.
const MOST_NAMED: usize = 16;

/// Why a gateway cannot start.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum StartError {
    /// The configuration cannot be found.
    #[error("{0}: {1}")]
    Read(PathBuf, io::Error),
    /// The configuration cannot be used.
    #[error("{0}: {1}")]
    Config(PathBuf, ConfigError),
    /// Signals cannot be waited for.
    #[error("signals: {0}")]
    Signals(io::Error),
    /// The address cannot be listened on.
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddr, io::Error),
    /// The decisions cannot start by its settings.
    #[error("{0}: {1}")]
    Settings(PathBuf, EngineError),
    /// It cannot take part in its fleet.
    #[error(transparent)]
    Fleet(#[from] weirusher_peers::StartError),
    /// The fleet's file is another gateway's, or another fleet's.
    #[error("[fleet] is of gateway {0} of {1}, the configuration of {2} of {3}")]
    OtherFleet(u16, usize, u32, u32),
    /// The fleet's page cannot be listened on.
    #[error("cannot listen on {0}: {1}")]
    Page(SocketAddr, io::Error),
}

/// What a gateway on the platform is told of others. The platform itself tells nothing of them.
pub struct InFleet {
    /// The members, and which it is.
    pub config: FleetConfig,
    /// Called with where datagrams are received, and where the page is.
    pub listening: fn(SocketAddr, SocketAddr),
}

impl InFleet {
    async fn start(self, config: &Config) -> Result<(), StartError> {
        let (of, settings) = (&self.config.settings, &config.site.settings);
        let (me, size) = (of.instance, of.members.len());
        if (u32::from(me), size) != (settings.instance, settings.instances as usize) {
            return Err(StartError::OtherFleet(me, size, settings.instance, settings.instances));
        }
        let page = self.config.admin.unwrap_or(config.listen);
        let fail = |error| StartError::Page(page, error);
        let listener = weirusher_net::bind(page).await.map_err(fail)?;
        let page = listener.local_addr().map_err(fail)?;
        let (peers, task) = Peers::start(self.config).await?;
        (self.listening)(peers.address, page);
        tokio::spawn(task);
        tokio::spawn(page::serve(listener, peers));
        Ok(())
    }
}

/// Signals, waited for from the start: one that comes early must neither end the process nor be lost.
struct Signals {
    reload: Signal,
    stop: Signal,
    interrupt: Signal,
}

impl Signals {
    fn new() -> io::Result<Self> {
        Ok(Self {
            reload: signal(SignalKind::hangup())?,
            stop: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }
}

fn read(file: &Path) -> Result<Config, StartError> {
    let text = std::fs::read(file).map_err(|e| StartError::Read(file.to_path_buf(), e))?;
    Config::parse(&text).map_err(|e| StartError::Config(file.to_path_buf(), e))
}

/// Runs the gateway that the file configures until SIGTERM or SIGINT, and tells how many requests were
/// still owed at the end. Must run inside a [`tokio::task::LocalSet`].
///
/// # Errors
/// It cannot start.
pub async fn run(file: &Path, fleet: Option<InFleet>) -> Result<usize, StartError> {
    let mut signals = Signals::new().map_err(StartError::Signals)?;
    let mut config = read(file)?;
    let node = node(&config).map_err(|e| StartError::Settings(file.to_path_buf(), e))?;
    let listener = tokio::select! {
        listener = weirusher_net::bind(config.listen) => listener,
        // Nothing was taken on so far.
        _ = signals.stop.recv() => return Ok(0),
        _ = signals.interrupt.recv() => return Ok(0),
    };
    let listener = listener.map_err(|e| StartError::Listen(config.listen, e))?;
    if let Some(fleet) = fleet {
        fleet.start(&config).await?;
    }
    tracing::info!(name = config.name, listen = %config.listen, ?node.budget, "serving");
    match std::mem::replace(&mut config.known, Ok(None)) {
        Ok(Some(known)) => node.list(known),
        Ok(None) => {}
        Err(error) => tracing::warn!(%error, "the known list is not used; discovery is asked first"),
    }
    let mut world = World::new(node.clone(), config);
    spawn_local(timers(node.clone()));
    spawn_local(idlers(node.clone()));
    let accepting = spawn_local(listener::accept(node.clone(), listener));
    loop {
        tokio::select! {
            _ = signals.reload.recv() => match read(file) {
                Ok(config) => world.follow(&config),
                Err(error) => tracing::warn!(%error, "the configuration stays as it was"),
            },
            _ = signals.stop.recv() => break,
            _ = signals.interrupt.recv() => break,
        }
    }
    Ok(stop(&node, accepting).await)
}

pub(crate) fn node(config: &Config) -> Result<Rc<NodeContext>, EngineError> {
    let (clock, budget, site) = (Clock::start(), Budget::new(&config.limits), &config.site);
    let proxy = ProxyCore::new(site.settings.clone(), config.seed, clock.now())?;
    Ok(Rc::new(NodeContext {
        clock,
        names: Names::new(site),
        budget,
        requests: ByteBudget::new(budget.body_bytes),
        answers: ByteBudget::new(budget.body_bytes),
        connect_timeout: site.settings.connect_timeout,
        count_limit: site.settings.counter_timeout,
        state: RefCell::new(State::new(proxy, &budget, IDLE_MARGIN * site.connection_idle_timeout)),
        timers: Wakeup::default(),
        idlers: Wakeup::default(),
        has_counter: Cell::new(true),
        called: Notify::new(),
        slot: Notify::new(),
        last: Notify::new(),
        ready: Cell::new(false),
        current_until: Cell::new(f64::NEG_INFINITY),
        stopping_since: Cell::new(None),
        connections: ConnectionMetrics::default(),
    }))
}

/// Where counter and discovery are, and who talks to them.
struct World {
    node: Rc<NodeContext>,
    /// As it was at the start, but for the addresses: requests under way, leases and the list's zones are judged by it.
    config: Config,
    watch: AbortHandle,
    counter: Option<Rc<Counter>>,
}

impl World {
    fn new(node: Rc<NodeContext>, config: Config) -> Self {
        let watch = Self::watch(&node, &config);
        let counter = config.counter;
        let mut world = Self { node, config, watch, counter: None };
        world.call(counter);
        world
    }

    fn watch(node: &Rc<NodeContext>, config: &Config) -> AbortHandle {
        let (site, address) = (&config.site, config.discovery);
        let terms = PollTiming::new(site.drain_grace, site.settings.polls_endpoints);
        spawn_local(discovery::run(node.clone(), address, site.zones.clone(), terms, config.seed))
            .abort_handle()
    }

    fn call(&mut self, address: Option<SocketAddr>) {
        if let Some(counter) = self.counter.take() {
            counter.moved();
        }
        self.counter = address.map(|address| Counter::new(self.node.clone(), address, self.config.seed));
        self.node.set_counter(self.counter.is_some());
        if let Some(counter) = &self.counter {
            spawn_local(counter.clone().run());
        }
    }

    /// Moves to the addresses of a new configuration, and to nothing else of it; one of another gateway is refused.
    fn follow(&mut self, newer: &Config) {
        let left = self.config.not_followed(newer);
        if left.contains(&"name") {
            tracing::warn!(name = newer.name, "a configuration of another gateway: all stays as it was");
            return;
        }
        if !left.is_empty() {
            tracing::warn!(fields = ?left, "only addresses are followed; these stay as they were until a restart");
        }
        tracing::info!(discovery = %newer.discovery, counter = ?newer.counter, "the configuration was read anew");
        if newer.counter != self.config.counter {
            self.config.counter = newer.counter;
            self.call(newer.counter);
        }
        if newer.discovery != self.config.discovery {
            self.config.discovery = newer.discovery;
            self.watch.abort();
            self.watch = Self::watch(&self.node, &self.config);
        }
    }
}

/// The ledger's timers.
async fn timers(node: Rc<NodeContext>) {
    loop {
        let due = node.state.borrow().proxy.next_timeout();
        node.timers.wait(&node.clock, due).await;
        node.advance();
    }
}

/// Connections that are idle for too long.
async fn idlers(node: Rc<NodeContext>) {
    loop {
        let due = {
            let state = node.state.borrow();
            state.pool.next_eviction().into_iter().chain(state.slots.next_eviction()).reduce(f64::min)
        };
        node.idlers.wait(&node.clock, due).await;
        let state = &mut *node.state.borrow_mut();
        let now = node.now();
        state.pool.evict(now, |_| true); // What comes back is dropped.
        let overdue = state.slots.evict(now);
        state.ask_to_close(&overdue);
    }
}

/// Answers what was taken, takes what still comes for a while, and closes what is idle.
async fn stop(node: &Rc<NodeContext>, accepting: JoinHandle<()>) -> usize {
    let shutdown = node.stop();
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
    node.last.notify_one();
    tracing::info!(pending = node.state.borrow().proxy.pending(), "accepting whoever waits, then no more");
    let settled = async {
        let _ = accepting.await; // It ends once nobody waits to be accepted.
        while node.state.borrow().proxy.pending() > 0 || !node.state.borrow().slots.is_empty() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let end = node.clock.instant(shutdown.respond_by()) + LAST_WRITES;
    let _ = tokio::time::timeout_at(end, settled).await; // What is still owed is told below.
    let state = node.state.borrow();
    for id in state.proxy.pending_ids().take(MOST_NAMED) {
        tracing::warn!(%id, "a request is left without a response");
    }
    tracing::info!(
        after = node.now() - shutdown.started_at,
        metrics = ?state.proxy.metrics(),
        connections = ?node.connections,
        violations = ?state.proxy.violations(),
        "stopped"
    );
    state.proxy.pending()
}
