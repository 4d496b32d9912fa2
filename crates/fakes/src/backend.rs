//! A checker: cores, service times, a cold start, and a door that asks for tickets.

use crate::connections;
use crate::record::{Door, Fact, Recorder, ServerState};
use futures::{SinkExt, StreamExt};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio_util::codec::Framed;
use weirusher_core::{ClockAnchor, Keyring, TicketRejection, TicketValidator};
use weirusher_wire::http1::{Request, Response, ServerCodec};

/// Used tickets that a checker remembers.
const MOST_TICKETS: usize = 100_000;
/// Mean requests that a cold checker may be sent beside its budget: chance alone brings a few at once.
pub const CHANCE: f64 = 3.0;

/// A cold start and what it does not stand.
#[derive(Debug, Clone, Copy)]
pub struct Cold {
    /// Share of its capacity it starts with.
    pub from: f64,
    /// Seconds until it is warm.
    pub seconds: f64,
    /// It falls over when sent more than this multiple of what it can do ...
    pub multiple: f64,
    /// ... for this many seconds.
    pub fall: f64,
}

/// A checker's make.
#[derive(Debug, Clone)]
pub struct FakeBackendSpec {
    /// Requests it works on at once.
    pub cores: usize,
    /// Mean seconds of work for one unit.
    pub service: f64,
    /// Requests that may wait for a core; further ones are turned away unexamined.
    pub queue: usize,
    /// How it starts; `None`: warm, and it never falls.
    pub cold: Option<Cold>,
    /// Keys of tickets.
    pub ring: Keyring,
    /// The address that tickets name: where the edge connects, which may be a link.
    pub me: String,
    /// Header that carries the ticket, and that states units.
    pub headers: [String; 2],
}

struct Shared {
    spec: FakeBackendSpec,
    validator: Mutex<TicketValidator>,
    cores: Semaphore,
    recorder: Recorder,
    born: Instant,
    clock: ClockAnchor,
    /// Times and work of what was taken within the fall's span.
    recent: Mutex<VecDeque<(f64, f64)>>,
    slow: Mutex<f64>,
    fell: tokio::sync::Notify,
    rng: Mutex<fastrand::Rng>,
}

/// A checker's process. Dropped, it is killed: its connections break, its work is lost.
pub struct FakeBackend {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    _tasks: JoinSet<()>,
}

impl FakeBackend {
    /// Starts a checker on `address`; port 0 chooses one.
    ///
    /// # Errors
    /// It cannot listen.
    pub async fn start(
        address: SocketAddr,
        spec: FakeBackendSpec,
        recorder: Recorder,
        seed: u64,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let me = if spec.me.is_empty() { address.to_string() } else { spec.me.clone() };
        if spec.cold.is_some() {
            recorder.note(Fact::Server { server: me.clone(), state: ServerState::Started });
        }
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let shared = Arc::new(Shared {
            validator: Mutex::new(TicketValidator::new(spec.ring.clone(), me.clone(), MOST_TICKETS)),
            cores: Semaphore::new(spec.cores),
            spec: FakeBackendSpec { me, ..spec },
            recorder,
            born: Instant::now(),
            clock: ClockAnchor::new(unix),
            recent: Mutex::default(),
            slow: Mutex::new(1.0),
            fell: tokio::sync::Notify::new(),
            rng: Mutex::new(fastrand::Rng::with_seed(seed)),
        });
        let mut tasks = JoinSet::new();
        tasks.spawn(serve(listener, shared.clone()));
        Ok(Self { address, shared, _tasks: tasks })
    }

    /// Makes all work take `factor` times as long.
    pub fn slow_down(&self, factor: f64) {
        *self.shared.slow.lock().expect("no holder panics") = factor;
    }
}

async fn serve(listener: TcpListener, shared: Arc<Shared>) {
    tokio::select! {
        () = connections::serve(listener, |stream| connection(stream, shared.clone())) => {}
        // Down, and it stays down.
        () = shared.fell.notified() => {
            shared.recorder.note(Fact::Server { server: shared.spec.me.clone(), state: ServerState::Fell });
        }
    }
}

async fn connection(stream: TcpStream, shared: Arc<Shared>) {
    let mut framed = Framed::new(stream, ServerCodec::default());
    while let Some(request) = framed.next().await {
        let response = match request {
            Ok(request) => shared.answer(&request).await,
            Err(error) => Response::text(400, error.to_string()),
        };
        let bad = response.status == 400;
        if framed.send(response).await.is_err() || bad {
            return;
        }
    }
}

impl Shared {
    fn age(&self) -> f64 {
        self.born.elapsed().as_secs_f64()
    }

    /// Share of its full capacity that it has now.
    fn warmth(&self) -> f64 {
        let Some(cold) = self.spec.cold else { return 1.0 };
        (cold.from + (1.0 - cold.from) * self.age() / cold.seconds.max(1e-3)).min(1.0)
    }

    async fn answer(&self, request: &Request) -> Response {
        let header = |name: &str| request.headers.get(name);
        let req = header("x-request-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        let ticket = header(&self.spec.headers[0]);
        let door = self.admit(ticket);
        let (server, text) = (self.spec.me.clone(), ticket.unwrap_or("").to_string());
        self.recorder.note(Fact::Got { req, server: server.clone(), ticket: text, door });
        if door != Door::Runs {
            let mut response = Response::text(if door == Door::Full { 503 } else { 403 }, "turned away\n");
            response.headers.add("x-weirusher-turned-away", format!("{door:?}").to_lowercase());
            return response;
        }
        let units = header(&self.spec.headers[1]).and_then(|units| units.parse().ok()).unwrap_or(1.0);
        self.work(units).await;
        self.recorder.note(Fact::Ran { req, server });
        Response::text(200, "marked\n")
    }

    fn admit(&self, ticket: Option<&str>) -> Door {
        if self.cores.available_permits() == 0 && self.waiting() >= self.spec.queue {
            return Door::Full;
        }
        let now = self.clock.unix_time_after(self.born.elapsed());
        match self.validator.lock().expect("no holder panics").validate(now, ticket) {
            Ok(_) => Door::Runs,
            Err(TicketRejection::Expired) => Door::Expired,
            Err(TicketRejection::Replayed) => Door::Replayed,
            Err(TicketRejection::Misdirected) => Door::Misdirected,
            Err(TicketRejection::Full) => Door::Full,
            Err(TicketRejection::Missing | TicketRejection::Invalid) => Door::Invalid,
        }
    }

    fn waiting(&self) -> usize {
        let recent = self.recent.lock().expect("no holder panics");
        recent.len().saturating_sub(self.spec.cores)
    }

    async fn work(&self, units: f64) {
        let drawn = -self.rng.lock().expect("no holder panics").f64().max(1e-9).ln();
        // Between a half and twice the mean, mostly: work varies, but rarely by ten.
        let seconds = units * self.spec.service * (0.5 + 0.5 * drawn.min(4.0));
        self.weigh(units * self.spec.service);
        let Ok(_core) = self.cores.acquire().await else { return };
        let slow = *self.slow.lock().expect("no holder panics");
        tokio::time::sleep(Duration::from_secs_f64(seconds * slow / self.warmth())).await;
    }

    /// Falls over when it is sent more than it stands, as rule four has it.
    fn weigh(&self, work: f64) {
        let (now, span) = (self.age(), self.spec.cold.map_or(1.0, |c| c.fall));
        let mut recent = self.recent.lock().expect("no holder panics");
        recent.push_back((now, work));
        while recent.front().is_some_and(|(at, _)| *at < now - span) {
            recent.pop_front();
        }
        let Some(cold) = self.spec.cold else { return };
        let sent: f64 = recent.iter().map(|(_, work)| work).sum();
        let can = self.spec.cores as f64 * self.warmth() * span;
        if self.warmth() < 1.0 && sent > cold.multiple * can + CHANCE * self.spec.service {
            self.fell.notify_one();
        }
    }
}
