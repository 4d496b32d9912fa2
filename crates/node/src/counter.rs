//! The client of the counter service: pipelines calls over a few connections to its address.

use crate::context::{CounterCall, NodeContext};
use crate::panics::spawn_shared;
use crate::receive::receive;
use bytes::BytesMut;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use weirusher::Status;
use weirusher_buffers::{Growth, ReadBuffer};
use weirusher_core::{CounterConnections, EndedCall, Route, UnexpectedResponse};
use weirusher_platform::counter::{MAX_RESPONSE_BYTES, parse_add_result, write_add};
use weirusher_platform::response::{Response, ResponseReader};
use weirusher_wire::http1::MAX_HEAD_BYTES;

/// Maximum number of unwritten bytes on a connection. If there are more, the counter reads too slowly, and
/// the connection is closed.
const MAX_UNWRITTEN_BYTES: usize = 64 * 1024;
/// Sizes of the read buffer of a connection.
const BUFFER_GROWTH: Growth = Growth { initial: 1024, max: MAX_HEAD_BYTES + 1024 };
/// Timeout for opening a connection, as a multiple of the timeout of a call.
const CONNECT_TIMEOUTS: f64 = 5.0;

/// Why a connection to the counter was closed.
#[derive(Debug, thiserror::Error)]
enum ConnectionError {
    /// The connection could not be opened, or failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The connection could not be opened in time.
    #[error("timed out while connecting")]
    ConnectTimeout,
    /// More than [`MAX_UNWRITTEN_BYTES`] are waiting to be written.
    #[error("the counter reads too slowly: more than {MAX_UNWRITTEN_BYTES} bytes are unwritten")]
    ReadsTooSlowly,
    /// Responses are missing, or one is incomplete for too long.
    #[error("the counter does not respond")]
    Unresponsive,
    /// A response arrived while no call was pending.
    #[error(transparent)]
    UnexpectedResponse(#[from] UnexpectedResponse),
    /// The response has no readable total, or it closes the connection.
    #[error("the response has no readable total, or closes the connection")]
    LastResponse,
}

/// The client of the counter service at one address.
pub struct CounterClient {
    node: Rc<NodeContext>,
    address: SocketAddr,
    /// Selects the connection for each call, and tracks the timeouts of calls.
    connections: RefCell<CounterConnections>,
    /// The bytes to be written, by connection.
    outboxes: RefCell<Vec<Rc<Outbox>>>,
    /// Set when the address of the counter has changed: this client takes no further calls.
    is_retired: Cell<bool>,
    retired: Notify,
}

/// The bytes to be written on one connection.
#[derive(Default)]
struct Outbox {
    bytes: RefCell<BytesMut>,
    changed: Notify,
}

impl CounterClient {
    /// Creates a client for the counter service at `address`. [`CounterClient::run`] makes the calls.
    pub fn new(node: Rc<NodeContext>, address: SocketAddr, seed: u64) -> Rc<Self> {
        let connections = RefCell::new(CounterConnections::new(node.counter_timeout, seed));
        Rc::new(Self {
            node,
            address,
            connections,
            outboxes: RefCell::default(),
            is_retired: Cell::new(false),
            retired: Notify::new(),
        })
    }

    /// Stops taking calls. The connections close once no calls are in flight.
    pub fn retire(&self) {
        self.is_retired.set(true);
        self.retired.notify_one();
        self.outboxes.borrow().iter().for_each(|outbox| outbox.changed.notify_one());
    }

    /// Sends queued calls until the client is retired.
    pub async fn run(self: Rc<Self>) {
        while !self.is_retired.get() {
            let calls = std::mem::take(&mut self.node.state.borrow_mut().counter_calls);
            for call in calls {
                self.send(call);
            }
            tokio::select! {
                () = self.node.counter_calls_queued.notified() => {}
                () = self.retired.notified() => {}
            }
        }
        // The client of the new address may be waiting for the notification that this client has consumed.
        self.node.counter_calls_queued.notify_one();
    }

    fn send(self: &Rc<Self>, CounterCall { call, counter, amount, ttl }: CounterCall) {
        let route = self.connections.borrow_mut().send(self.node.now(), call, counter);
        let connection = match route {
            Route::Existing(connection) | Route::New(connection) => connection,
            // The call fails immediately, so that the policy uses its local fallback limit.
            Route::Unavailable => {
                return self.node.handle_counter_response(call, Status::ConnectFailed, 0.0, 0.0);
            }
        };
        if let Route::New(_) = route {
            self.open(connection);
        }
        let outbox = self.outboxes.borrow()[connection].clone();
        write_add(&mut outbox.bytes.borrow_mut(), counter, amount, ttl);
        outbox.changed.notify_one();
    }

    fn open(self: &Rc<Self>, connection: usize) {
        let mut outboxes = self.outboxes.borrow_mut();
        while outboxes.len() <= connection {
            outboxes.push(Rc::default());
        }
        outboxes[connection] = Rc::default();
        let serving = self.clone().run_connection(connection, outboxes[connection].clone());
        spawn_shared(&self.node, "counter connection", serving);
    }

    /// Opens a connection and serves its calls until it closes. The calls that are still pending then fail.
    async fn run_connection(self: Rc<Self>, connection: usize, outbox: Rc<Outbox>) {
        let limit = Duration::from_secs_f64(CONNECT_TIMEOUTS * self.node.counter_timeout);
        let connected = tokio::time::timeout(limit, weirusher_net::connect(self.address)).await;
        // If the connection was never opened, no amount was added; after a reset, some may have been.
        let (status, error) = match connected {
            Ok(Ok(stream)) => (Status::Reset, self.serve(connection, &outbox, stream).await.err()),
            Ok(Err(error)) => (Status::ConnectFailed, Some(error.into())),
            Err(_) => (Status::ConnectFailed, Some(ConnectionError::ConnectTimeout)),
        };
        if let Some(error) = error {
            tracing::debug!(%error, connection, "counter connection closed");
        }
        let failed = self.connections.borrow_mut().closed(self.node.now(), connection);
        for EndedCall { call, elapsed } in failed {
            self.node.handle_counter_response(call, status, 0.0, elapsed);
        }
    }

    /// Serves the calls of a connection until it closes.
    ///
    /// # Errors
    /// The connection failed, or the counter violated the protocol or did not respond in time.
    async fn serve(
        &self,
        connection: usize,
        outbox: &Outbox,
        stream: TcpStream,
    ) -> Result<(), ConnectionError> {
        let budget = self.node.memory.services.clone();
        let mut responses = ResponseReader::new(MAX_RESPONSE_BYTES, budget.clone());
        let (mut unread, mut unwritten) = (ReadBuffer::new(BUFFER_GROWTH, budget), BytesMut::new());
        loop {
            let deadline = self.connections.borrow().deadline(connection);
            if deadline.is_none() && self.is_retired.get() {
                return Ok(());
            }
            let deadline = deadline.map(|at| self.node.clock.instant(at));
            unwritten.unsplit(outbox.bytes.take());
            if unwritten.len() > MAX_UNWRITTEN_BYTES {
                return Err(ConnectionError::ReadsTooSlowly);
            }
            tokio::select! {
                // Responses first: after a stall of the process they are already buffered in the socket, and
                // their calls must not time out.
                biased;
                read = receive(&stream, &mut unread, &mut responses) => match read? {
                    Ok(0) => {
                        return match responses.finish() {
                            Some(last) => self.handle_response(connection, Some(last)),
                            None => Ok(()),
                        };
                    }
                    Ok(_) => self.handle_bytes(connection, &mut responses, &mut unread)?,
                    Err(_) => self.handle_response(connection, None)?,
                },
                () = async { tokio::time::sleep_until(deadline.unwrap_or_else(tokio::time::Instant::now)).await },
                    if deadline.is_some() =>
                {
                    if self.handle_timeout(connection, responses.has_started()) {
                        return Err(ConnectionError::Unresponsive);
                    }
                }
                written = weirusher_net::write(&stream, &mut unwritten), if !unwritten.is_empty() => written?,
                () = outbox.changed.notified() => {}
            }
        }
    }

    /// Ends the calls that have timed out. Returns whether the connection must be closed. If a response has
    /// started but is incomplete, the first of these calls was executed and its total is unknown.
    fn handle_timeout(&self, connection: usize, response_started: bool) -> bool {
        let now = self.node.now();
        let timed_out = self.connections.borrow_mut().take_timed_out(now, connection);
        let is_truncated = response_started && !timed_out.is_empty();
        for (index, EndedCall { call, elapsed }) in timed_out.into_iter().enumerate() {
            let status = if is_truncated && index == 0 { Status::Error } else { Status::Timeout };
            self.node.handle_counter_response(call, status, 0.0, elapsed);
        }
        is_truncated || self.connections.borrow().is_unresponsive(now, connection)
    }

    /// Handles the responses that are complete.
    ///
    /// # Errors
    /// The connection must be closed.
    fn handle_bytes(
        &self,
        connection: usize,
        responses: &mut ResponseReader,
        unread: &mut ReadBuffer,
    ) -> Result<(), ConnectionError> {
        loop {
            match responses.read(unread) {
                Ok(Some(response)) => self.handle_response(connection, Some(response))?,
                Ok(None) => {
                    if responses.has_started() {
                        self.connections.borrow_mut().response_started(self.node.now(), connection);
                    }
                    return Ok(());
                }
                Err(_) => self.handle_response(connection, None)?,
            }
        }
    }

    /// Handles one response, which is `None` if it is malformed.
    ///
    /// # Errors
    /// The connection must be closed.
    fn handle_response(&self, connection: usize, response: Option<Response>) -> Result<(), ConnectionError> {
        let closes = response.as_ref().is_none_or(|response| response.closes_connection);
        let result = response.as_ref().and_then(parse_add_result);
        let ended = self.connections.borrow_mut().response_completed(self.node.now(), connection);
        if let Some(EndedCall { call, elapsed }) = ended? {
            // Without a readable total, the amount counts as added, but the new value is unknown.
            let (status, total) = result.map_or((Status::Error, 0.0), |result| (result.status, result.total));
            self.node.handle_counter_response(call, status, total, elapsed);
        }
        if result.is_none() || closes {
            return Err(ConnectionError::LastResponse);
        }
        Ok(())
    }
}
