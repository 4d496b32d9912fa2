//! Clients: each has one connection at a time, with one of the behaviours that the platform allows.

use crate::node::{Availability, Node};
use crate::plan::Plan;
use crate::record::{Class, Incarnation, Outcome, Recorder, Request};
use crate::wire::{Draft, LIMITED_CUSTOMERS, Response};
use socket2::SockRef;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

/// Clients open connections to a stopping node for so long.
const STOPPING_ACCEPT_TIME: Duration = Duration::from_millis(400);
/// How long a client waits before it looks for an available node again.
const UNAVAILABLE_DELAY: Duration = Duration::from_millis(20);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// A client gives up so long after its request's deadline.
const RESPONSE_GRACE: Duration = Duration::from_millis(900);
/// After a close, the wait for a reset, which shows that bytes were left unread: the gateway's lingering close is shorter.
const RESET_WAIT: Duration = Duration::from_millis(700);
/// How often the socket is checked for the reset.
const RESET_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// The wait for an error or a close of an incomplete request, which is due within 3 s.
const STALLED_WAIT: Duration = Duration::from_millis(3500);
/// One in so many connections is that of a persistent client, where the plan has them.
const PERSISTENT_INTERVAL: u8 = 4;
/// Percentage of the requests that come from customers with a ceiling.
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
    /// Sends one request after another without a pause until the connection ends, though a response asks it to close.
    Persistent,
}

impl Behaviour {
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

    /// Its name in reports.
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

/// What all clients share.
pub struct Clients {
    /// The nodes that requests are sent to.
    pub nodes: Vec<Arc<Node>>,
    /// The soak.
    pub plan: Plan,
    /// Records the requests.
    pub recorder: Recorder,
    /// No request begins after this.
    pub end: Instant,
    /// The number of the next request.
    pub next_request: AtomicU64,
}

impl Clients {
    /// Runs one client until the soak ends.
    pub async fn run(self: Arc<Self>, seed: u64) {
        let mut rng = fastrand::Rng::with_seed(seed);
        sleep(Duration::from_millis(rng.u64(0..300))).await;
        while Instant::now() < self.end {
            let node = &self.nodes[rng.usize(0..self.nodes.len())];
            let Some(incarnation) = accepting_incarnation(*node.availability.borrow()) else {
                sleep(UNAVAILABLE_DELAY).await;
                continue;
            };
            let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(node.listen)).await else {
                continue;
            };
            let _ = stream.set_nodelay(true); // Without it requests are merely later.
            let is_persistent = self.plan.persistent_clients && rng.u8(0..PERSISTENT_INTERVAL) == 0;
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

/// The process that a client may connect to now.
fn accepting_incarnation(availability: Availability) -> Option<Incarnation> {
    match availability {
        Availability::Unavailable => None,
        Availability::Ready(incarnation) => Some(incarnation),
        Availability::Stopping(incarnation, since) => {
            (since.elapsed() < STOPPING_ACCEPT_TIME).then_some(incarnation)
        }
    }
}

struct Connection<'a> {
    shared: &'a Clients,
    stream: TcpStream,
    incarnation: Incarnation,
    behaviour: Behaviour,
    rng: fastrand::Rng,
    /// Bytes that were received and belong to no response yet.
    buffer: Vec<u8>,
    /// How the connection ended, for all requests on it that have no response.
    connection_outcome: Option<Outcome>,
}

/// A request that was written completely.
struct Sent {
    draft: Draft,
    at: Instant,
}

impl Sent {
    fn now(draft: Draft) -> Self {
        Self { draft, at: Instant::now() }
    }

    /// Until when the client waits for the response.
    fn wait_until(&self) -> Instant {
        self.at + Duration::from_secs_f64(self.draft.time_budget) + RESPONSE_GRACE
    }
}

impl Connection<'_> {
    async fn run(mut self) {
        let rounds = match self.behaviour {
            Behaviour::Persistent => usize::MAX,
            _ => self.rng.usize(1..6),
        };
        for _ in 0..rounds {
            if Instant::now() >= self.shared.end || !self.round().await {
                return;
            }
        }
    }

    // ---- Behaviours ----

    /// Sends one or several requests and waits for their outcomes; returns `false` once the connection is over.
    async fn round(&mut self) -> bool {
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
        let draft = self.draft();
        self.write(&draft.bytes).await && self.finish(Sent::now(draft)).await
    }

    async fn send_in_two_parts(&mut self) -> bool {
        let draft = self.draft();
        let split_at = self.rng.usize(1..draft.bytes.len());
        let pause = Duration::from_millis(self.rng.u64(0..3000));
        let (first, second) = draft.bytes.split_at(split_at);
        let sent = self.write(first).await && self.pause(pause).await && self.write(second).await;
        sent && self.finish(Sent::now(draft)).await
    }

    async fn send_slowly(&mut self) -> bool {
        let draft = self.draft();
        let size = self.rng.usize(1..12);
        for piece in draft.bytes.chunks(size) {
            if !self.write(piece).await {
                return false;
            }
            sleep(Duration::from_millis(1)).await;
        }
        self.finish(Sent::now(draft)).await
    }

    async fn send_pipelined(&mut self) -> bool {
        let drafts: Vec<Draft> = (0..self.rng.usize(2..5)).map(|_| self.draft()).collect();
        let bytes: Vec<u8> = drafts.iter().flat_map(|draft| draft.bytes.clone()).collect();
        if !self.write(&bytes).await {
            return false;
        }
        // The time of each request begins with the end of the one before it.
        for draft in drafts {
            let sent = Sent::now(draft);
            let outcome = match self.connection_outcome.clone() {
                Some(outcome) => outcome,
                None => self.response(sent.wait_until()).await,
            };
            self.record(sent, outcome);
        }
        self.connection_outcome.is_none()
    }

    async fn send_and_close(&mut self) -> bool {
        const ANY_RESPONSE: Duration = Duration::from_secs(60);
        let draft = self.draft();
        if !self.write(&draft.bytes).await {
            return false;
        }
        let sent = Sent::now(draft);
        let pause = Duration::from_millis(self.rng.u64(0..400));
        match timeout(pause, self.response(sent.at + ANY_RESPONSE)).await {
            Ok(outcome) => self.record(sent, outcome),
            Err(_) => {
                // An error means that the connection is over already; otherwise the stream is dropped right after this.
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

    /// Sends a part of a request. The gateway has to respond with an error or close, and to make no attempt.
    async fn send_incomplete(&mut self) -> bool {
        let draft = self.draft();
        let part = self.rng.usize(1..draft.bytes.len());
        if self.write(&draft.bytes[..part]).await {
            let sent = Sent::now(draft);
            if self.pause(STALLED_WAIT).await {
                // The oracle recognizes it by its behaviour.
                self.record(sent, Outcome::TimedOut);
            }
        }
        false
    }

    // ---- Requests and responses ----

    fn draft(&mut self) -> Draft {
        let number = self.shared.next_request.fetch_add(1, Ordering::Relaxed);
        let id = format!("{:08x}{number:08x}", self.shared.plan.seed as u32);
        let class = Class::ALL[self.rng.usize(0..3)];
        let is_limited = self.rng.u8(0..100) < LIMITED_PERCENT;
        let limited_customer = is_limited.then(|| self.rng.usize(0..LIMITED_CUSTOMERS));
        // A client that retries has less time left, down to very little.
        let is_retry = self.rng.u8(0..10) == 0;
        let remaining = if is_retry { 0.02 + 0.5 * self.rng.f64() } else { 1.0 };
        let time_budget = self.shared.plan.deadline * remaining;
        let node = self.incarnation.node;
        Draft::new(&self.shared.plan, node, id, class, limited_customer, time_budget, &mut self.rng)
    }

    /// Pauses; returns `false` where the connection ended meanwhile.
    async fn pause(&mut self, pause: Duration) -> bool {
        let mut discarded = [0; 512];
        timeout(pause, self.stream.read(&mut discarded)).await.is_err()
    }

    /// Writes a part of a request; returns `false` where the connection is over, and the part was not written.
    async fn write(&mut self, bytes: &[u8]) -> bool {
        matches!(timeout(WRITE_TIMEOUT, self.stream.write_all(bytes)).await, Ok(Ok(())))
    }

    /// Waits for a response and records the outcome; returns `false` once the connection is over.
    async fn finish(&mut self, sent: Sent) -> bool {
        let outcome = self.response(sent.wait_until()).await;
        self.record(sent, outcome);
        self.connection_outcome.is_none()
    }

    /// The next response, or how the connection ended.
    async fn response(&mut self, limit: Instant) -> Outcome {
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

    /// After the gateway's close: whether a reset follows, as the gateway left bytes unread.
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

    /// Records a request that ended now.
    fn record(&self, sent: Sent, outcome: Outcome) {
        let request = Request {
            id: sent.draft.id,
            incarnation: self.incarnation,
            class: sent.draft.class,
            limited_customer: sent.draft.limited_customer,
            sent_at: sent.at,
            time_budget: sent.draft.time_budget,
            outcome,
            ended_at: Instant::now(),
            behaviour: self.behaviour.name(),
        };
        self.shared.recorder.with(|records| records.requests.push(request));
    }
}
