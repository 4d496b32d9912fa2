//! The state that the tasks of a node share.
//!
//! All tasks run on one thread. A borrow of [`NodeState`] is never held across an await.

use crate::backends::{BackendEndpoint, Backends};
use crate::budget::ResourceBudget;
use crate::client_socket::ClientSocket;
use crate::close_signal::CloseSignal;
use crate::memory::MemoryBudgets;
use crate::metrics::ConnectionMetrics;
use crate::panics::{Failure, SharedState};
use crate::wakeup::Wakeup;
use std::cell::Cell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::{Notify, oneshot};
use tokio::task::AbortHandle;
use weirusher::RequestId;
use weirusher_buffers::SegmentedBytes;
use weirusher_clock::Clock;
use weirusher_core::{
    ConnectionPool, ConnectionSlots, EngineError, Outcome, ProxyCore, ProxyOutput, SendError, SendLimits,
    SlotId,
};
use weirusher_platform::backend::ForwardedRequest;
use weirusher_platform::client::RequestCatalog;
use weirusher_platform::config::Config;

/// Fraction of the backends' idle timeout after which a connection is not reused, so that a request does not
/// race with the backend closing the connection.
const IDLE_TIMEOUT_FRACTION: f64 = 0.8;

/// The response to a client.
#[derive(Debug)]
pub enum ClientResponse {
    /// The body of a backend's response.
    Served(SegmentedBytes),
    /// The gateway's own response, without a backend.
    Outcome(Outcome),
}

/// A request that has no response yet.
pub struct PendingRequest {
    pub client: ClientSocket,
    pub forwarded: Rc<ForwardedRequest>,
    /// Sends the response to the task of the client's connection.
    pub response: oneshot::Sender<ClientResponse>,
}

/// An attempt in flight.
pub struct RunningAttempt {
    /// `None` if its backend accepts no new requests.
    pub endpoint: Option<BackendEndpoint>,
    pub task: AbortHandle,
    /// Whether the first byte was written. After that the attempt ends with its response or timeout, even if
    /// the backend starts to drain.
    pub write_started: Rc<Cell<bool>>,
}

/// A call that adds units to one counter of the counter service.
#[derive(Debug, Clone, Copy)]
pub struct CounterCall {
    /// Identifies the call within the process.
    pub call: u64,
    /// Key of the counter.
    pub counter: u64,
    /// Quota units to add.
    pub amount: f64,
    /// Seconds until the counter expires, if the call creates it.
    pub ttl: f64,
}

/// The mutable state, borrowed as a whole.
pub struct NodeState {
    pub proxy: ProxyCore,
    pub pending: HashMap<RequestId, PendingRequest>,
    /// Attempts in flight, by request and number.
    pub attempts: HashMap<(RequestId, u32), RunningAttempt>,
    pub pool: ConnectionPool<BackendEndpoint, TcpStream>,
    /// The backends that accept new requests.
    pub backends: Backends,
    pub slots: ConnectionSlots,
    pub last_slot: SlotId,
    pub close_signals: HashMap<SlotId, Rc<CloseSignal>>,
    /// Counter calls that are not assigned to a connection yet.
    pub counter_calls: VecDeque<CounterCall>,
    /// Buffer for the outputs of the proxy core, reused to avoid allocations.
    pub outputs: Vec<ProxyOutput>,
}

/// The context that the tasks of a node share.
pub struct NodeContext {
    pub clock: Clock,
    pub catalog: RequestCatalog,
    pub budget: ResourceBudget,
    /// Memory for what clients, backends and discovery send.
    pub memory: MemoryBudgets,
    /// Timeout for opening a connection to a backend, in seconds.
    pub connect_timeout: f64,
    /// Timeout of a counter call, in seconds.
    pub counter_timeout: f64,
    pub state: SharedState,
    /// Raised by a panic that may affect all requests: the node shuts down.
    pub failure: Rc<Failure>,
    /// Wakes the task that runs the timers of the proxy core.
    pub proxy_wakeup: Wakeup,
    /// Wakes the task that evicts connections from the client slots and the pool.
    pub eviction_wakeup: Wakeup,
    /// Whether a counter is configured. Without one, counter calls fail immediately.
    pub has_counter: Cell<bool>,
    /// Notified when counter calls are queued.
    pub counter_calls_queued: Notify,
    /// Notified when a slot for a client connection is freed.
    pub slot_freed: Notify,
    /// Notified when the node is to stop accepting connections as soon as the backlog is empty.
    pub stop_accepting: Notify,
    /// Whether an endpoint list is in use. The node is ready once it has one.
    pub has_endpoint_list: Cell<bool>,
    /// The time until which the endpoint list is within its staleness bound. After it, discovery has not
    /// responded in time.
    pub list_current_until: Cell<f64>,
    /// When the shutdown signal was noticed. From then on a response closes its connection, unless another
    /// request was already read ahead.
    pub shutdown_started_at: Cell<Option<f64>>,
    pub connections: ConnectionMetrics,
}

impl NodeContext {
    /// Creates the context of a node.
    ///
    /// # Errors
    /// The policy rejects the settings.
    pub fn new(config: &Config) -> Result<Rc<Self>, EngineError> {
        let (clock, budget) = (Clock::start(), ResourceBudget::new(&config.limits));
        let (platform, settings) = (&config.platform, &config.platform.settings);
        let mut bounded = settings.clone();
        bounded.max_customers = budget.customers;
        let proxy = ProxyCore::new(bounded, config.seed, clock.now())?;
        let failure = Rc::new(Failure::default());
        let pool_timeout = IDLE_TIMEOUT_FRACTION * platform.connection_idle_timeout;
        Ok(Rc::new(Self {
            clock,
            catalog: RequestCatalog::new(platform),
            budget,
            memory: MemoryBudgets::new(&budget),
            connect_timeout: settings.connect_timeout,
            counter_timeout: settings.counter_timeout,
            state: SharedState::new(
                NodeState {
                    proxy,
                    pending: HashMap::new(),
                    attempts: HashMap::new(),
                    pool: ConnectionPool::new(budget.backend_connections, pool_timeout),
                    backends: Backends::default(),
                    slots: ConnectionSlots::new(budget.client_connections),
                    last_slot: 0,
                    close_signals: HashMap::new(),
                    counter_calls: VecDeque::new(),
                    outputs: Vec::new(),
                },
                failure.clone(),
            ),
            failure,
            proxy_wakeup: Wakeup::default(),
            eviction_wakeup: Wakeup::default(),
            has_counter: Cell::new(true),
            counter_calls_queued: Notify::new(),
            slot_freed: Notify::new(),
            stop_accepting: Notify::new(),
            has_endpoint_list: Cell::new(false),
            list_current_until: Cell::new(f64::NEG_INFINITY),
            shutdown_started_at: Cell::new(None),
            connections: ConnectionMetrics::default(),
        }))
    }

    /// The present time on the node's clock.
    pub fn now(&self) -> f64 {
        self.clock.now()
    }

    /// Whether the shutdown has begun.
    pub fn is_shutting_down(&self) -> bool {
        self.shutdown_started_at.get().is_some()
    }

    /// Whether more bytes may be read from client connections.
    pub fn may_read(&self) -> bool {
        self.state.borrow().proxy.may_read(self.now())
    }

    /// Checks that the first byte of an attempt to `endpoint` may be written now, and returns its time
    /// limits.
    ///
    /// The client's socket is checked last and with a system call: after a stall of the process, the runtime
    /// may not have delivered the notification of its close yet.
    pub fn check_send(
        &self,
        id: &RequestId,
        attempt: u32,
        endpoint: &BackendEndpoint,
    ) -> Result<SendLimits, SendError> {
        let state = self.state.borrow();
        let backend_available = state.backends.accepts(endpoint);
        let limits = state.proxy.check_send(self.now(), id, attempt, backend_available)?;
        let pending = state.pending.get(id).ok_or(SendError::NotPending)?;
        if pending.client.is_disconnected() { Err(SendError::ClientGone) } else { Ok(limits) }
    }
}

impl NodeState {
    /// Asks the tasks of these client connections to close them.
    pub fn request_close(&self, ids: &[SlotId]) {
        ids.iter().filter_map(|id| self.close_signals.get(id)).for_each(|close| close.request());
    }
}
