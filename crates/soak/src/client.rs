//! Clients. Each has one connection at a time, on which it shows one of the behaviours that the platform allows.

use crate::node::{Availability, Node};
use crate::plan::Plan;
use crate::record::{Class, Incarnation, Outcome, Recorder, Request};
use crate::wire::{LIMITED_CUSTOMERS, PreparedRequest, Response};
use socket2::SockRef;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

/// How long after SIGTERM clients continue to open connections to a node.
const STOPPING_CONNECT_TIME: Duration = Duration::from_millis(400);
/// How long a client waits after it chose a node that is unavailable, before it chooses again.
const UNAVAILABLE_NODE_DELAY: Duration = Duration::from_millis(20);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// How long after the deadline of its request a client gives up.
const RESPONSE_GRACE: Duration = Duration::from_millis(900);
/// How long a client waits for a reset after the gateway has closed the connection. The reset shows that the
/// gateway left bytes unread. The wait is longer than the gateway's lingering close.
const RESET_WAIT: Duration = Duration::from_millis(700);
/// The interval at which the socket is checked for the reset.
const RESET_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// How long a client waits for an error response to an incomplete request, or for the close of its
/// connection. One of them is due within 3 s.
const INCOMPLETE_REQUEST_WAIT: Duration = Duration::from_millis(3500);
/// One in this many connections is persistent, if the plan has persistent clients.
const CONNECTIONS_PER_PERSISTENT: u8 = 4;
/// The percentage of the requests that come from customers with a ceiling.
const LIMITED_PERCENT: u8 = 15;

/// The behaviour of a client on one connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Behaviour {
    /// Sends one request after another, with short pauses.
    Steady,
    /// Sends each request after a long pause.
    Resting,
    /// Sends a part of a request, and the rest after a long pause.
    Split,
    /// Sends a few bytes at a time.
    Slow,
    /// Sends several requests at once.
    Pipelined,
    /// Closes, shuts down or resets its connection before the response.
    ClosingEarly,
    /// Sends a part of a request and keeps the connection open.
    Stalled,
    /// Sends one request after another with very short pauses until the connection ends, even if a response
    /// asks it to close the connection.
    Persistent,
}

impl Behaviour {
    /// Chooses a behaviour at random, by weight.
    fn draw(rng: &mut fastrand::Rng) -> Self {
        match rng.u8(0..20) {
            0..=6 => Self::Steady,
            7..=10 => Self::Resting,
            11..=13 => Self::Split,
            14 => Self::Slow,
            15..=16 => Self::Pipelined,
            17..=18 => Self::ClosingEarly,
            _ => Self::Stalled,
        }
    }

    /// The name of the behaviour in reports.
    fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Resting => "resting",
            Self::Split => "split",
            Self::Slow => "slow",
            Self::Pipelined => "pipelined",
            Self::ClosingEarly => "closing",
            Self::Stalled => "stalled",
            Self::Persistent => "persistent",
        }
    }
}

/// The state that all clients share.
pub struct Clients {
    /// The nodes that requests are sent to.
    pub nodes: Vec<Arc<Node>>,
    /// The plan of the soak.
    pub plan: Plan,
    /// Records the requests.
    pub recorder: Recorder,
    /// When clients stop starting new requests.
    pub end: Instant,
    /// The number of the next request.
    pub next_request: AtomicU64,
}

impl Clients {
    /// Runs one client until `end`: it connects to a random node again and again.
    pub async fn run(self: Arc<Self>, seed: u64) {
        let mut rng = fastrand::Rng::with_seed(seed);
        sleep(Duration::from_millis(rng.u64(0..300))).await;
        while Instant::now() < self.end {
            let node = &self.nodes[rng.usize(0..self.nodes.len())];
            let Some(incarnation) = connectable_incarnation(*node.availability.borrow()) else {
                sleep(UNAVAILABLE_NODE_DELAY).await;
                continue;
            };
            let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(node.listen)).await else {
                continue;
            };
            let _ = stream.set_nodelay(true); // An error only delays requests.
            let is_persistent = self.plan.persistent_clients && rng.u8(0..CONNECTIONS_PER_PERSISTENT) == 0;
            let behaviour = if is_persistent { Behaviour::Persistent } else { Behaviour::draw(&mut rng) };
            let connection = Connection {
                shared: &self,
                stream,
                incarnation,
                behaviour,
                rng: rng.fork(),
                buffer: Vec::new(),
                connection_outcome: None,
            };
            connection.run().await;
        }
    }
}

/// The process of a node that a client may connect to now.
fn connectable_incarnation(availability: Availability) -> Option<Incarnation> {
    match availability {
        Availability::Unavailable => None,
        Availability::Ready(incarnation) => Some(incarnation),
        Availability::Stopping(incarnation, since) => {
            (since.elapsed() < STOPPING_CONNECT_TIME).then_some(incarnation)
        }
    }
}

struct Connection<'a> {
    shared: &'a Clients,
    stream: TcpStream,
    incarnation: Incarnation,
    behaviour: Behaviour,
    rng: fastrand::Rng,
    /// Received bytes that have not been parsed as a response yet.
    buffer: Vec<u8>,
    /// How the connection ended: the outcome of all requests on it that have no response.
    connection_outcome: Option<Outcome>,
}

/// A request that was written completely.
struct SentRequest {
    request: PreparedRequest,
    at: Instant,
}

impl SentRequest {
    fn now(request: PreparedRequest) -> Self {
        Self { request, at: Instant::now() }
    }

    /// When the client gives up the wait for a response.
    fn wait_until(&self) -> Instant {
        self.at + Duration::from_secs_f64(self.request.time_budget) + RESPONSE_GRACE
    }
}

impl Connection<'_> {
    /// Runs a random number of rounds, or for a persistent client as many as the connection allows.
    async fn run(mut self) {
        let rounds = match self.behaviour {
            Behaviour::Persistent => usize::MAX,
            _ => self.rng.usize(1..6),
        };
        for _ in 0..rounds {
            if Instant::now() >= self.shared.end || !self.run_round().await {
                return;
            }
        }
    }

    // ---- Behaviours ----

    /// Sends one or more requests and waits for their outcomes; returns `false` once the connection has ended.
    async fn run_round(&mut self) -> bool {
        match self.behaviour {
            Behaviour::Steady => self.send_after_pause(0..150).await,
            Behaviour::Resting => self.send_after_pause(300..3500).await,
            Behaviour::Split => self.send_in_two_parts().await,
            Behaviour::Slow => self.send_slowly().await,
            Behaviour::Pipelined => self.send_pipelined().await,
            Behaviour::ClosingEarly => self.send_and_close().await,
            Behaviour::Stalled => self.send_incomplete().await,
            Behaviour::Persistent => self.send_after_pause(0..20).await,
        }
    }

    async fn send_after_pause(&mut self, millis: std::ops::Range<u64>) -> bool {
        let pause = Duration::from_millis(self.rng.u64(millis));
        if !self.pause(pause).await {
            return false;
        }
        let request = self.prepare_request();
        self.write(&request.bytes).await && self.await_outcome(SentRequest::now(request)).await
    }

    async fn send_in_two_parts(&mut self) -> bool {
        let request = self.prepare_request();
        let split_at = self.rng.usize(1..request.bytes.len());
        let pause = Duration::from_millis(self.rng.u64(0..3000));
        let (first, second) = request.bytes.split_at(split_at);
        let sent = self.write(first).await && self.pause(pause).await && self.write(second).await;
        sent && self.await_outcome(SentRequest::now(request)).await
    }

    async fn send_slowly(&mut self) -> bool {
        let request = self.prepare_request();
        let size = self.rng.usize(1..12);
        for piece in request.bytes.chunks(size) {
            if !self.write(piece).await {
                return false;
            }
            sleep(Duration::from_millis(1)).await;
        }
        self.await_outcome(SentRequest::now(request)).await
    }

    async fn send_pipelined(&mut self) -> bool {
        let requests: Vec<PreparedRequest> =
            (0..self.rng.usize(2..5)).map(|_| self.prepare_request()).collect();
        let bytes: Vec<u8> = requests.iter().flat_map(|request| request.bytes.clone()).collect();
        if !self.write(&bytes).await {
            return false;
        }
        // The deadline of each request is counted from the end of the request before it.
        for request in requests {
            let sent = SentRequest::now(request);
            let outcome = match self.connection_outcome.clone() {
                Some(outcome) => outcome,
                None => self.next_response(sent.wait_until()).await,
            };
            self.record(sent, outcome);
        }
        self.connection_outcome.is_none()
    }

    async fn send_and_close(&mut self) -> bool {
        // Longer than the pause below, so the outcome is never a timeout.
        const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);
        let request = self.prepare_request();
        if !self.write(&request.bytes).await {
            return false;
        }
        let sent = SentRequest::now(request);
        let pause = Duration::from_millis(self.rng.u64(0..400));
        match timeout(pause, self.next_response(sent.at + RESPONSE_TIMEOUT)).await {
            Ok(outcome) => self.record(sent, outcome),
            Err(_) => {
                // Errors are ignored: they mean that the connection has already ended. Otherwise it ends right
                // after this, when the stream is dropped.
                match self.rng.u8(0..3) {
                    0 => drop(SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))),
                    1 => drop(self.stream.shutdown().await),
                    _ => {}
                }
                self.record(sent, Outcome::ClientClosed);
            }
        }
        false
    }

    /// Sends a part of a request. The gateway must respond with an error or close the connection, and must
    /// not start an attempt.
    async fn send_incomplete(&mut self) -> bool {
        let request = self.prepare_request();
        let part = self.rng.usize(1..request.bytes.len());
        if self.write(&request.bytes[..part]).await {
            let sent = SentRequest::now(request);
            if self.pause(INCOMPLETE_REQUEST_WAIT).await {
                // The oracle recognizes an incomplete request by the name of the client's behaviour.
                self.record(sent, Outcome::TimedOut);
            }
        }
        false
    }

    // ---- Requests and responses ----

    fn prepare_request(&mut self) -> PreparedRequest {
        let number = self.shared.next_request.fetch_add(1, Ordering::Relaxed);
        let id = format!("{:08x}{number:08x}", self.shared.plan.seed as u32);
        let class = Class::ALL[self.rng.usize(0..3)];
        let is_limited = self.rng.u8(0..100) < LIMITED_PERCENT;
        let limited_customer = is_limited.then(|| self.rng.usize(0..LIMITED_CUSTOMERS));
        // A client that retries has only a part of its time left, which may be very short.
        let is_retry = self.rng.u8(0..10) == 0;
        let remaining = if is_retry { 0.02 + 0.5 * self.rng.f64() } else { 1.0 };
        let time_budget = self.shared.plan.deadline * remaining;
        let node = self.incarnation.node;
        PreparedRequest::new(&self.shared.plan, node, id, class, limited_customer, time_budget, &mut self.rng)
    }

    /// Pauses for `duration`; returns `false` if the connection ended or data arrived in the meantime.
    async fn pause(&mut self, duration: Duration) -> bool {
        let mut discarded = [0; 512];
        timeout(duration, self.stream.read(&mut discarded)).await.is_err()
    }

    /// Writes `bytes`; returns `false` if the connection has ended or not all bytes could be written in time.
    async fn write(&mut self, bytes: &[u8]) -> bool {
        matches!(timeout(WRITE_TIMEOUT, self.stream.write_all(bytes)).await, Ok(Ok(())))
    }

    /// Waits for a response and records the outcome; returns `false` once the connection has ended.
    async fn await_outcome(&mut self, sent: SentRequest) -> bool {
        let outcome = self.next_response(sent.wait_until()).await;
        self.record(sent, outcome);
        self.connection_outcome.is_none()
    }

    /// Waits for the next response; an outcome without a response also becomes that of the connection.
    async fn next_response(&mut self, limit: Instant) -> Outcome {
        let outcome = self.read_response(limit).await;
        if !matches!(outcome, Outcome::Response { .. }) {
            self.connection_outcome = Some(outcome.clone());
        }
        outcome
    }

    async fn read_response(&mut self, limit: Instant) -> Outcome {
        loop {
            if let Some(Response { status, body, len }) = Response::parse(&self.buffer) {
                self.buffer.drain(..len);
                return Outcome::Response { status, body };
            }
            match timeout_at(limit, self.stream.read_buf(&mut self.buffer)).await {
                Err(_) => return Outcome::TimedOut,
                Ok(Ok(1..)) => {}
                Ok(Ok(_)) => return self.outcome_of_close().await,
                Ok(Err(_)) => return Outcome::ResetUnread,
            }
        }
    }

    /// Determines, after the gateway has closed the connection, whether a reset follows because the gateway
    /// left bytes unread.
    async fn outcome_of_close(&mut self) -> Outcome {
        let limit = Instant::now() + RESET_WAIT;
        let mut discarded = [0; 512];
        loop {
            match self.stream.take_error() {
                Ok(None) => {}
                _ => return Outcome::ResetUnread,
            }
            if Instant::now() >= limit {
                return Outcome::ClosedUnanswered;
            }
            match self.stream.try_read(&mut discarded) {
                Err(error) if error.kind() != io::ErrorKind::WouldBlock => return Outcome::ResetUnread,
                _ => sleep_until(Instant::now() + RESET_CHECK_INTERVAL).await,
            }
        }
    }

    /// Records a request that has just ended.
    fn record(&self, sent: SentRequest, outcome: Outcome) {
        let request = Request {
            id: sent.request.id,
            incarnation: self.incarnation,
            class: sent.request.class,
            limited_customer: sent.request.limited_customer,
            sent_at: sent.at,
            time_budget: sent.request.time_budget,
            outcome,
            ended_at: Instant::now(),
            behaviour: self.behaviour.name(),
        };
        self.shared.recorder.with(|records| records.requests.push(request));
    }
}
