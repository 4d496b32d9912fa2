//! The state that the tasks of a node share.
//!
//! All tasks run on one thread. They borrow [`NodeState`] between two awaits only.

use crate::budget::ResourceBudget;
use crate::byte_budget::{ByteBudget, BytePermit};
use crate::client_socket::ClientSocket;
use crate::close_signal::CloseSignal;
use crate::metrics::ConnectionMetrics;
use crate::panics::{Failure, SharedState};
use crate::wakeup::Wakeup;
use bytes::Bytes;
use std::cell::Cell;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::{Notify, oneshot};
use tokio::task::AbortHandle;
use weirusher::{BackendId, RequestId};
use weirusher_clock::Clock;
use weirusher_core::{
    ConnectionPool, ConnectionSlots, EngineError, Outcome, ProxyCore, ProxyOutput, SendError, SendLimits,
    SlotId,
};
use weirusher_platform::backend::ForwardedRequest;
use weirusher_platform::client::RequestCatalog;
use weirusher_platform::config::Config;

/// Fraction of the backends' idle timeout after which a connection is not reused, so that no request meets the backend's
/// close.
const IDLE_TIMEOUT_FRACTION: f64 = 0.8;

/// A backend and its address.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct BackendEndpoint {
    pub name: BackendId,
    pub address: SocketAddr,
}

/// The body of a backend's complete response, with its memory until it is written to the client.
#[derive(Debug)]
pub struct CompleteResponse {
    pub body: Bytes,
    pub _permit: BytePermit,
}

/// The response to a client.
#[derive(Debug)]
pub enum ClientResponse {
    /// From a backend.
    Served(CompleteResponse),
    /// From the gateway itself.
    Outcome(Outcome),
}

/// A request without a response.
pub struct PendingRequest {
    pub client: ClientSocket,
    pub forwarded: Rc<ForwardedRequest>,
    /// Takes the response to the task of the client's connection.
    pub response: oneshot::Sender<ClientResponse>,
}

/// An attempt in flight.
pub struct RunningAttempt {
    pub backend: BackendId,
    pub task: AbortHandle,
    /// Its first byte was written. From then on it ends by its response or timeout, even if its backend drains.
    pub write_started: Rc<Cell<bool>>,
}

/// A call that adds units to one count of the counter service.
#[derive(Debug, Clone, Copy)]
pub struct CounterCall {
    /// Identifies the call within the process.
    pub call: u64,
    /// Name of the count.
    pub counter: u64,
    /// Quota units to add.
    pub amount: f64,
    /// Seconds until a new count expires.
    pub ttl: f64,
}

/// The mutable state, borrowed as one.
pub struct NodeState {
    pub proxy: ProxyCore,
    pub pending: HashMap<RequestId, PendingRequest>,
    /// Attempts in flight, by request and number.
    pub attempts: HashMap<(RequestId, u32), RunningAttempt>,
    pub pool: ConnectionPool<BackendEndpoint, TcpStream>,
    /// Addresses of the backends that accept new requests.
    pub addresses: HashMap<BackendId, SocketAddr>,
    pub slots: ConnectionSlots,
    pub last_slot: SlotId,
    pub close_signals: HashMap<SlotId, Rc<CloseSignal>>,
    /// Counter calls that were not written yet.
    pub counter_calls: VecDeque<CounterCall>,
    /// Spare memory for the outputs of the proxy core.
    pub outputs: Vec<ProxyOutput>,
}

/// What the tasks of a node share.
pub struct NodeContext {
    pub clock: Clock,
    pub catalog: RequestCatalog,
    pub budget: ResourceBudget,
    /// For the bodies of requests, from their first byte to the response.
    pub request_bodies: Rc<ByteBudget>,
    /// For the bodies of responses, from their first byte until they are written.
    pub response_bodies: Rc<ByteBudget>,
    /// Seconds that a connection to a backend may take.
    pub connect_timeout: f64,
    /// Seconds that a counter call may take.
    pub counter_timeout: f64,
    pub state: SharedState,
    /// Raised by a panic that all requests may suffer from: the node shuts down.
    pub failure: Rc<Failure>,
    /// For the timers of the proxy core.
    pub proxy_wakeup: Wakeup,
    /// For the eviction of connections from the slots and the pool.
    pub eviction_wakeup: Wakeup,
    /// A counter is configured; without one its calls fail at once.
    pub has_counter: Cell<bool>,
    /// Counter calls were queued.
    pub counter_calls_queued: Notify,
    /// A slot for a client connection became free.
    pub slot_freed: Notify,
    /// No connection is to be accepted any more, once none waits.
    pub stop_accepting: Notify,
    /// An endpoint list is in use: the node is ready.
    pub has_endpoint_list: Cell<bool>,
    /// Until when the endpoint list is within its bound on staleness. Past it, discovery was not heard of in time.
    pub list_current_until: Cell<f64>,
    /// When the signal to stop was noticed. From then on responses close their connections.
    pub shutdown_started_at: Cell<Option<f64>>,
    pub connections: ConnectionMetrics,
}

impl NodeContext {
    /// The state of a node that starts now.
    ///
    /// # Errors
    /// The decisions cannot use the settings.
    pub fn new(config: &Config) -> Result<Rc<Self>, EngineError> {
        let (clock, budget) = (Clock::start(), ResourceBudget::new(&config.limits));
        let (platform, settings) = (&config.platform, &config.platform.settings);
        let proxy = ProxyCore::new(settings.clone(), config.seed, clock.now())?;
        let failure = Rc::new(Failure::default());
        let pool_timeout = IDLE_TIMEOUT_FRACTION * platform.connection_idle_timeout;
        Ok(Rc::new(Self {
            clock,
            catalog: RequestCatalog::new(platform),
            budget,
            request_bodies: ByteBudget::new(budget.body_bytes),
            response_bodies: ByteBudget::new(budget.body_bytes),
            connect_timeout: settings.connect_timeout,
            counter_timeout: settings.counter_timeout,
            state: SharedState::new(
                NodeState {
                    proxy,
                    pending: HashMap::new(),
                    attempts: HashMap::new(),
                    pool: ConnectionPool::new(budget.backend_connections, pool_timeout),
                    addresses: HashMap::new(),
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

    /// The time on the node's clock.
    pub fn now(&self) -> f64 {
        self.clock.now()
    }

    /// Whether the signal to stop was received.
    pub fn is_shutting_down(&self) -> bool {
        self.shutdown_started_at.get().is_some()
    }

    /// Whether further requests may be read from a connection.
    pub fn may_read(&self) -> bool {
        self.state.borrow().proxy.may_read(self.now())
    }

    /// Whether the first byte of an attempt to `endpoint` may be written now, and its time limits.
    ///
    /// The socket of the client is checked last and directly: after a stall the process may not have been notified of its
    /// close yet.
    pub fn check_send(
        &self,
        id: &RequestId,
        attempt: u32,
        endpoint: &BackendEndpoint,
    ) -> Result<SendLimits, SendError> {
        let state = self.state.borrow();
        let backend_available = state.addresses.get(&endpoint.name) == Some(&endpoint.address);
        let limits = state.proxy.check_send(self.now(), id, attempt, backend_available)?;
        let pending = state.pending.get(id).ok_or(SendError::NotPending)?;
        if pending.client.is_gone() { Err(SendError::ClientGone) } else { Ok(limits) }
    }
}

impl NodeState {
    /// Asks the tasks of client connections to close them.
    pub fn request_close(&self, ids: &[SlotId]) {
        ids.iter().filter_map(|id| self.close_signals.get(id)).for_each(|close| close.request());
    }
}
