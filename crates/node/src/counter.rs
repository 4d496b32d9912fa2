//! The client of the counter: calls are pipelined over a few connections to its address.

use crate::context::{CounterCall, NodeContext};
use crate::panics::spawn_shared;
use bytes::BytesMut;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use weirusher::Status;
use weirusher_core::{CounterConnections, EndedCall, Route, UnexpectedResponse};
use weirusher_platform::counter::{MAX_RESPONSE_BYTES, parse_add_result, write_add};
use weirusher_platform::response::{Response, ResponseReader};

/// Most bytes that wait to be written on a connection. Beyond that the counter reads too slowly, and the connection is
/// closed.
const MAX_UNWRITTEN_BYTES: usize = 64 * 1024;
/// Longest time for opening a connection, as a multiple of a call's timeout.
const CONNECT_TIMEOUTS: f64 = 5.0;

/// Why a connection to the counter is closed.
#[derive(Debug, thiserror::Error)]
enum ConnectionError {
    /// It could not be opened, or failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// It could not be opened in time.
    #[error("no connection in time")]
    ConnectTimeout,
    /// More than [`MAX_UNWRITTEN_BYTES`] wait to be written.
    #[error("the counter reads too slowly")]
    ReadsTooSlowly,
    /// Responses are missing, or one does not end.
    #[error("the counter does not respond")]
    Unresponsive,
    /// A response without a call.
    #[error(transparent)]
    UnexpectedResponse(#[from] UnexpectedResponse),
    /// A response without a total, or one that closes the connection.
    #[error("the response has no total or is the last one")]
    LastResponse,
}

/// The client of the counter at one address.
pub struct CounterClient {
    node: Rc<NodeContext>,
    address: SocketAddr,
    /// Decides which connection carries a call, and when calls time out.
    connections: RefCell<CounterConnections>,
    /// What is to be written, by connection.
    outboxes: RefCell<Vec<Rc<Outbox>>>,
    /// The counter has another address: no further calls are taken.
    is_retired: Cell<bool>,
    retired: Notify,
}

/// What is to be written on a connection.
#[derive(Default)]
struct Outbox {
    bytes: RefCell<BytesMut>,
    changed: Notify,
}

impl CounterClient {
    /// A client for the counter at `address`; [`CounterClient::run`] makes its calls.
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

    /// Takes no further calls. Calls in flight are waited for, and then the connections close.
    pub fn retire(&self) {
        self.is_retired.set(true);
        self.retired.notify_one();
        self.outboxes.borrow().iter().for_each(|outbox| outbox.changed.notify_one());
    }

    /// Takes queued calls until the client is retired.
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
        // The notification may have been meant for the client of the next address.
        self.node.counter_calls_queued.notify_one();
    }

    fn send(self: &Rc<Self>, CounterCall { call, counter, amount, ttl }: CounterCall) {
        let route = self.connections.borrow_mut().send(self.node.now(), call, counter);
        let connection = match route {
            Route::Existing(connection) | Route::New(connection) => connection,
            // The call fails at once, so that the decisions use their local fallback limit.
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

    /// Opens a connection and serves its calls until it closes; those that are left then fail.
    async fn run_connection(self: Rc<Self>, connection: usize, outbox: Rc<Outbox>) {
        let limit = Duration::from_secs_f64(CONNECT_TIMEOUTS * self.node.counter_timeout);
        let connected = tokio::time::timeout(limit, weirusher_net::connect(self.address)).await;
        // Without a connection no amount was added; after a reset it may have been.
        let (status, error) = match connected {
            Ok(Ok(stream)) => (Status::Reset, self.serve(connection, &outbox, stream).await.err()),
            Ok(Err(error)) => (Status::ConnectFailed, Some(error.into())),
            Err(_) => (Status::ConnectFailed, Some(ConnectionError::ConnectTimeout)),
        };
        if let Some(error) = error {
            tracing::debug!(%error, connection, "the connection to the counter is closed");
        }
        let failed = self.connections.borrow_mut().closed(self.node.now(), connection);
        for EndedCall { call, elapsed } in failed {
            self.node.handle_counter_response(call, status, 0.0, elapsed);
        }
    }

    /// Serves the calls of a connection until it closes.
    ///
    /// # Errors
    /// Why it closes out of order.
    async fn serve(
        &self,
        connection: usize,
        outbox: &Outbox,
        stream: TcpStream,
    ) -> Result<(), ConnectionError> {
        let mut responses = ResponseReader::new(MAX_RESPONSE_BYTES);
        let (mut unread, mut unwritten) = (BytesMut::new(), BytesMut::new());
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
                // Responses first: after a stall of the process they wait in the socket, and must not count as timed out.
                biased;
                read = weirusher_net::read(&stream, &mut unread) => match read? {
                    0 => {
                        return match responses.finish() {
                            Some(last) => self.handle_response(connection, Some(last)),
                            None => Ok(()),
                        };
                    }
                    _ => self.handle_bytes(connection, &mut responses, &mut unread)?,
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

    /// Ends the calls that have timed out. Returns whether the connection must not be used further. If a response has
    /// started and does not end, the first of these calls was executed with an unknown total.
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

    /// Handles the responses that are complete. An error: the connection must not be used further.
    fn handle_bytes(
        &self,
        connection: usize,
        responses: &mut ResponseReader,
        unread: &mut BytesMut,
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

    /// Handles one response; `None`: it is malformed. An error: the connection must not be used further.
    fn handle_response(&self, connection: usize, response: Option<Response>) -> Result<(), ConnectionError> {
        let closes = response.as_ref().is_none_or(|response| response.closes_connection);
        let result = response.as_ref().and_then(parse_add_result);
        let ended = self.connections.borrow_mut().response_completed(self.node.now(), connection);
        if let Some(EndedCall { call, elapsed }) = ended? {
            // Without a total the amount was added, but the new value is unknown.
            let (status, total) = result.map_or((Status::Error, 0.0), |result| (result.status, result.total));
            self.node.handle_counter_response(call, status, total, elapsed);
        }
        if result.is_none() || closes {
            return Err(ConnectionError::LastResponse);
        }
        Ok(())
    }
}
