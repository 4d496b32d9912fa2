//! What the tasks share: the ledger, who waits for what, the pools; and the carrying out of outputs.

use crate::attempt;
use crate::budget::Budget;
use crate::byte_budget::{ByteBudget, BytePermit};
use crate::client_socket::ClientSocket;
use crate::close_request::CloseRequest;
use crate::metrics::ConnectionMetrics;
use crate::wakeup::Wakeup;
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::{Notify, oneshot};
use tokio::task::AbortHandle;
use weirusher::{BackendId, LoadReport, Reason, RequestId, Status};
use weirusher_clock::Clock;
use weirusher_core::{
    Command, ConnectionPool, ConnectionSlots, IncomingRequest, Outcome, ProxyCore, ProxyOutput,
    RequestStatus, SendError, SendLimits, Shutdown, SlotId,
};
use weirusher_platform::backend::Passed;
use weirusher_platform::client::Names;
use weirusher_platform::list::ListUpdate;

/// Counter calls that may wait to be written; a further one is turned away at once.
const MOST_CALLS: usize = 4096;

/// Where a connection leads: a backend by name, at the address it has now.
pub type Endpoint = (BackendId, SocketAddr);

/// A backend's answer, whole, and the room that it takes until it is written.
#[derive(Debug)]
pub struct CompleteResponse {
    pub body: Bytes,
    pub _permit: BytePermit,
}

/// What a client is answered.
#[derive(Debug)]
pub enum Reply {
    Served(CompleteResponse),
    Decided(Outcome),
}

/// A client that waits for its answer.
struct PendingRequest {
    client: ClientSocket,
    passed: Rc<Passed>,
    answer: oneshot::Sender<Reply>,
}

/// An attempt that is made.
struct RunningAttempt {
    server: BackendId,
    task: AbortHandle,
    /// Its first byte is on its way: from now on its backend owes it an answer, though it leaves.
    begun: Rc<Cell<bool>>,
}

/// A counter call on its way out.
#[derive(Debug, Clone, Copy)]
pub struct Call {
    pub call: u64,
    pub counter: u64,
    pub amount: f64,
    pub ttl: f64,
}

pub struct State {
    pub proxy: ProxyCore,
    pending: HashMap<RequestId, PendingRequest>,
    attempts: HashMap<(RequestId, u32), RunningAttempt>,
    pub pool: ConnectionPool<Endpoint, TcpStream>,
    /// Where backends listen that take what is new.
    addresses: HashMap<BackendId, SocketAddr>,
    pub slots: ConnectionSlots,
    last_slot: SlotId,
    /// By connection, how to ask for its close.
    pub close_requests: HashMap<SlotId, Rc<CloseRequest>>,
    pub calls: VecDeque<Call>,
    outputs: Vec<ProxyOutput>,
}

pub struct NodeContext {
    pub clock: Clock,
    pub names: Names,
    pub budget: Budget,
    /// For requests' bodies, from the first byte to the answer.
    pub requests: Rc<ByteBudget>,
    /// For answers' bodies, from the first byte to the last that is written.
    pub answers: Rc<ByteBudget>,
    pub connect_timeout: f64,
    pub count_limit: f64,
    pub state: RefCell<State>,
    /// The ledger's timers.
    pub timers: Wakeup,
    /// What is idle too long.
    pub idlers: Wakeup,
    /// A counter is configured; without one calls to it fail at once.
    pub has_counter: Cell<bool>,
    /// There are calls for the counter.
    pub called: Notify,
    /// A client's slot came free.
    pub slot: Notify,
    /// No connection is accepted any more, once nobody waits.
    pub last: Notify,
    /// A list is held, and requests may be decided on.
    pub ready: Cell<bool>,
    /// Until when the list is surely no older than its watch lets it be: discovery was heard of so lately.
    pub current_until: Cell<f64>,
    /// When the signal to stop was noticed; from then on no answer keeps its connection.
    pub stopping_since: Cell<Option<f64>>,
    /// Client connections, counted.
    pub connections: ConnectionMetrics,
}

/// A line for each step of a request or a connection: for whoever looks for one (`debug`), and while the gateway stops
/// for everybody (`info`), as nobody can ask it afterwards.
macro_rules! event {
    ($node:expr, $($line:tt)+) => {
        if $node.is_stopping() {
            tracing::info!($($line)+);
        } else {
            tracing::debug!($($line)+);
        }
    };
}
pub(crate) use event;

/// A slot for a client's connection; dropped, it is free again.
pub struct Slot {
    pub node: Rc<NodeContext>,
    pub id: SlotId,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let state = &mut *self.node.state.borrow_mut();
        state.slots.remove(self.id);
        state.close_requests.remove(&self.id);
        self.node.slot.notify_one();
    }
}

impl State {
    pub fn new(proxy: ProxyCore, budget: &Budget, idle: f64) -> Self {
        Self {
            proxy,
            pending: HashMap::new(),
            attempts: HashMap::new(),
            pool: ConnectionPool::new(budget.backends, idle),
            addresses: HashMap::new(),
            slots: ConnectionSlots::new(budget.clients),
            last_slot: 0,
            close_requests: HashMap::new(),
            calls: VecDeque::new(),
            outputs: Vec::new(),
        }
    }
}

impl NodeContext {
    pub fn now(&self) -> f64 {
        self.clock.now()
    }

    /// A connection was accepted: its slot, and how it is asked to close.
    pub fn take_slot(self: &Rc<Self>) -> (Slot, Rc<CloseRequest>) {
        let state = &mut *self.state.borrow_mut();
        state.last_slot += 1;
        let (id, close) = (state.last_slot, Rc::new(CloseRequest::default()));
        state.slots.insert(self.now(), id);
        state.close_requests.insert(id, close.clone());
        self.idlers.set(state.slots.next_eviction());
        (Slot { node: self.clone(), id }, close)
    }

    /// A request came; its answer comes on the receiver. `None`: its id is open already.
    pub fn request(
        self: &Rc<Self>,
        request: IncomingRequest,
        passed: Passed,
        client: ClientSocket,
    ) -> Option<oneshot::Receiver<Reply>> {
        let (answer, reply) = oneshot::channel();
        {
            let state = &mut *self.state.borrow_mut();
            let job = request.id.clone();
            if state.proxy.handle_request(self.now(), request) == RequestStatus::Duplicate {
                return None;
            }
            state.pending.insert(job, PendingRequest { client, passed: Rc::new(passed), answer });
        }
        self.pump();
        Some(reply)
    }

    /// Whether a connection may bring further requests.
    pub fn may_read(&self) -> bool {
        self.state.borrow().proxy.may_read(self.now())
    }

    /// Whether the first byte of an attempt may be written now, and how long it then has. The client's socket is asked
    /// itself, last: a process that was held up has not heard of its end yet.
    pub fn may_send(&self, attempt: &attempt::Attempt) -> Result<SendLimits, SendError> {
        let state = self.state.borrow();
        let listed =
            attempt.address.is_some() && state.addresses.get(&attempt.server).copied() == attempt.address;
        let limits = state.proxy.check_send(self.now(), &attempt.job, attempt.attempt, listed)?;
        let pending = state.pending.get(&attempt.job).ok_or(SendError::NotPending)?;
        if pending.client.is_gone() { Err(SendError::ClientGone) } else { Ok(limits) }
    }

    /// A connection was closed, with so many requests that were read and have no answer.
    pub fn closed(&self, unanswered: usize) {
        if unanswered > 0 {
            tracing::error!(unanswered, "a connection was closed with requests that have no response");
            self.state.borrow_mut().proxy.handle_connection_closed(unanswered);
        }
    }

    /// Whether the process was told to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping_since.get().is_some()
    }

    /// The process was told to stop.
    pub fn stop(self: &Rc<Self>) -> Shutdown {
        let shutdown = {
            let state = &mut *self.state.borrow_mut();
            let shutdown = state.proxy.begin_shutdown(self.now());
            state.slots.begin_shutdown(shutdown);
            self.stopping_since.set(Some(shutdown.started_at));
            self.idlers.set(state.slots.next_eviction());
            shutdown
        };
        self.pump();
        shutdown
    }

    /// The client of a request left.
    pub fn left(self: &Rc<Self>, job: &RequestId) {
        {
            let state = &mut *self.state.borrow_mut();
            state.pending.remove(job);
            event!(self, id = %job, "client gone, request withdrawn");
            state.proxy.handle_client_gone(self.now(), job);
        }
        self.pump();
    }

    /// An attempt ended; one whose answer serves has it `whole`.
    pub fn ended(
        self: &Rc<Self>,
        job: &RequestId,
        attempt: u32,
        status: Status,
        load: LoadReport,
        whole: Option<CompleteResponse>,
    ) {
        {
            let state = &mut *self.state.borrow_mut();
            state.attempts.remove(&(job.clone(), attempt));
            let serves = state.proxy.handle_attempt_ended(self.now(), job, attempt, status, load);
            event!(self, id = %job, attempt, ?status, serves, "attempt ended");
            if serves {
                let reason = Reason::AttemptsFailed;
                let reply = whole.map_or(Reply::Decided(Outcome::Failed { reason }), Reply::Served);
                self.reply(state, job, reply);
            }
        }
        self.pump();
    }

    /// Whether a counter is configured from now on: calls that wait for one that is not fail.
    pub fn set_counter(self: &Rc<Self>, configured: bool) {
        self.has_counter.set(configured);
        if configured {
            return;
        }
        let calls = std::mem::take(&mut self.state.borrow_mut().calls);
        for call in calls {
            self.counted(call.call, Status::ConnectFailed, 0.0, 0.0);
        }
    }

    /// A counter call ended.
    pub fn counted(self: &Rc<Self>, call: u64, status: Status, total: f64, spent: f64) {
        self.state.borrow_mut().proxy.handle_counter_response(self.now(), call, status, total, spent);
        self.pump();
    }

    /// A list came: idle connections to backends that leave, or are elsewhere, are dropped, and attempts at them that
    /// did not begin end here, wherever they wait.
    pub fn list(self: &Rc<Self>, update: ListUpdate) {
        if !update.unread.is_empty() {
            tracing::warn!(entries = ?update.unread, "the list has entries that cannot be used: their backends get nothing new");
        }
        {
            let state = &mut *self.state.borrow_mut();
            if update.kind != weirusher::EndpointListKind::Delta {
                state.addresses.clear();
            }
            for backend in update.addresses {
                match backend.address {
                    Some(address) => state.addresses.insert(backend.name, address),
                    None => state.addresses.remove(&backend.name),
                };
            }
            let now = self.now();
            let addresses = &state.addresses;
            state.pool.evict(now, |(name, address)| addresses.get(name) == Some(address));
            state.proxy.handle_endpoint_list(now, update.kind, update.endpoints);
            state.call_back(now);
        }
        self.ready.set(true);
        self.pump();
    }

    /// Discovery answered that the list is as it was.
    pub fn list_confirmed(&self) {
        self.state.borrow_mut().proxy.handle_endpoint_list_confirmed(self.now());
    }

    /// Lets the proxy core's timers come due.
    pub fn advance(self: &Rc<Self>) {
        self.state.borrow_mut().proxy.handle_timeout(self.now());
        self.pump();
    }

    /// Carries out what the proxy core wants done.
    fn pump(self: &Rc<Self>) {
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        let mut outputs = std::mem::take(&mut state.outputs);
        state.proxy.take_outputs(&mut outputs);
        let (mut called, mut turned_away) = (false, Vec::new());
        let most_calls = if self.has_counter.get() { MOST_CALLS } else { 0 };
        for output in outputs.drain(..) {
            match output {
                ProxyOutput::Forward {
                    request: job,
                    attempt,
                    backend: server,
                    timeout,
                    write_timeout: within,
                } => {
                    self.begin(state, job, attempt, server, (timeout, within));
                }
                ProxyOutput::Abort { request: job, attempt } => {
                    event!(self, id = %job, attempt, "attempt aborted");
                    if let Some(running) = state.attempts.remove(&(job, attempt)) {
                        running.task.abort();
                    }
                }
                ProxyOutput::Prevented { request: job, attempt, violation } => {
                    tracing::error!(id = %job, attempt, %violation, "an attempt would have broken a rule");
                }
                ProxyOutput::Respond { request: job, outcome } => {
                    self.reply(state, &job, Reply::Decided(outcome))
                }
                ProxyOutput::Command(Command::AddToCounter { call, counter, amount, ttl }) => {
                    if state.calls.len() < most_calls {
                        state.calls.push_back(Call { call, counter, amount, ttl });
                        called = true;
                    } else {
                        turned_away.push(call);
                    }
                }
                ProxyOutput::Command(Command::WatchEndpoints) => {} // The list is watched from the start.
                ProxyOutput::Command(Command::Log(text)) => tracing::info!(%text, "module"),
            }
        }
        state.outputs = outputs;
        self.timers.set(state.proxy.next_timeout());
        if called {
            self.called.notify_one();
        }
        if turned_away.is_empty() {
            return;
        }
        for call in turned_away {
            state.proxy.handle_counter_response(self.now(), call, Status::Rejected, 0.0, 0.0);
        }
        // What was held for these calls is decided now, not with the next event. It ends: a counter that turned calls
        // away is not asked again at once.
        drop(guard);
        self.pump();
    }

    fn reply(&self, state: &mut State, job: &RequestId, reply: Reply) {
        match &reply {
            Reply::Served(whole) => event!(self, id = %job, bytes = whole.body.len(), "request served"),
            Reply::Decided(Outcome::Rejected { retry_after, reason }) => {
                event!(self, id = %job, %reason, retry_after, "request refused");
            }
            Reply::Decided(Outcome::Failed { reason }) => event!(self, id = %job, %reason, "request failed"),
        }
        if let Some(pending) = state.pending.remove(job) {
            let _ = pending.answer.send(reply); // Its client's connection broke just now.
        }
    }

    fn begin(
        self: &Rc<Self>,
        state: &mut State,
        job: RequestId,
        attempt: u32,
        server: BackendId,
        limits: (f64, f64),
    ) {
        let Some(passed) = state.pending.get(&job).map(|w| w.passed.clone()) else { return };
        let address = state.addresses.get(&server).copied();
        event!(self, id = %job, attempt, server = %server, timeout = limits.0, within = limits.1, "attempt started");
        let (begun, at) = (Rc::new(Cell::new(false)), server.clone());
        let made = attempt::Attempt {
            job: job.clone(),
            attempt,
            server,
            address,
            within: limits.1,
            passed,
            begun: begun.clone(),
        };
        let task = tokio::task::spawn_local(attempt::run(self.clone(), made)).abort_handle();
        state.attempts.insert((job, attempt), RunningAttempt { server: at, task, begun });
    }
}

impl State {
    /// Ends the attempts that did not begin, their connections still coming up, at backends that take nothing new.
    fn call_back(&mut self, now: f64) {
        let addresses = &self.addresses;
        let late = |(_, running): &(&(RequestId, u32), &mut RunningAttempt)| {
            !running.begun.get() && !addresses.contains_key(&running.server)
        };
        let ended: Vec<_> = self.attempts.iter_mut().filter(late).map(|(key, _)| key.clone()).collect();
        for key in ended {
            if let Some(running) = self.attempts.remove(&key) {
                running.task.abort();
            }
            self.proxy.handle_attempt_ended(now, &key.0, key.1, Status::NotSent, LoadReport::default());
        }
    }

    /// Asks for the close of clients' connections.
    pub fn ask_to_close(&self, ids: &[SlotId]) {
        ids.iter().filter_map(|id| self.close_requests.get(id)).for_each(|close| close.make());
    }
}
