//! A fake backend: a number of cores, random service times, admission by ticket, and a slow start during which overload
//! makes it fail.

use crate::capture::{Admission, BackendState, CaptureEvent};
use crate::connections;
use crate::lock::lock;
use crate::recorder::Recorder;
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

/// Maximum number of used tickets that a backend stores to detect replays.
const MAX_USED_TICKETS: usize = 100_000;
/// Work that a backend in slow start can take beyond its limit, as a multiple of the mean service time of one unit:
/// random arrivals come in bursts.
pub const ARRIVAL_BURST_ALLOWANCE: f64 = 3.0;
/// Seconds for which arrivals are stored by a backend without a slow start.
const ARRIVAL_WINDOW_SECONDS: f64 = 1.0;

/// A slow start, and the load that makes the backend fail during it.
#[derive(Debug, Clone, Copy)]
pub struct SlowStart {
    /// Share of its full capacity that the backend starts with.
    pub initial_share: f64,
    /// Seconds until it has its full capacity.
    pub duration_seconds: f64,
    /// The backend fails if more work than this multiple of its current capacity arrives within
    /// `overload_window_seconds`.
    pub overload_multiple: f64,
    /// Length in seconds of the window over which arriving work is summed.
    pub overload_window_seconds: f64,
}

/// Capacity and admission of a backend.
#[derive(Debug, Clone)]
pub struct FakeBackendSpec {
    /// Number of requests that it executes concurrently.
    pub cores: usize,
    /// Mean service time of one unit in seconds.
    pub service_seconds: f64,
    /// Maximum number of requests that wait for a core; further ones are rejected before their tickets are verified.
    pub queue_limit: usize,
    /// Its slow start; `None`: it starts with its full capacity and never fails.
    pub slow_start: Option<SlowStart>,
    /// Keys that verify tickets.
    pub keyring: Keyring,
    /// The address that tickets name if the backend is reached through a link; empty: the address that it listens on.
    pub advertised_address: String,
    /// Header that carries the ticket.
    pub ticket_header: String,
    /// Header that states the units of a request.
    pub units_header: String,
}

/// Work that arrived: its time since the start of the backend, and its mean service time.
struct Arrival {
    at_seconds: f64,
    work_seconds: f64,
}

struct Shared {
    spec: FakeBackendSpec,
    validator: Mutex<TicketValidator>,
    cores: Semaphore,
    recorder: Recorder,
    started: Instant,
    clock: ClockAnchor,
    /// Work that arrived within the overload window.
    arrivals: Mutex<VecDeque<Arrival>>,
    /// Factor by which service times are multiplied.
    slowdown: Mutex<f64>,
    /// Notified when the backend fails.
    overloaded: tokio::sync::Notify,
    rng: Mutex<fastrand::Rng>,
}

/// A backend. Dropping it closes its connections and loses its work, as killing its process does.
pub struct FakeBackend {
    /// The address that it listens on.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    _tasks: JoinSet<()>,
}

impl FakeBackend {
    /// Starts a backend on `address`; port 0 selects a free port. `seed` seeds its random service times.
    ///
    /// # Errors
    /// If it cannot listen on the address.
    pub async fn start(
        address: SocketAddr,
        spec: FakeBackendSpec,
        recorder: Recorder,
        seed: u64,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let advertised_address = match spec.advertised_address.as_str() {
            "" => address.to_string(),
            advertised => advertised.to_string(),
        };
        if spec.slow_start.is_some() {
            let (backend, state) = (advertised_address.clone(), BackendState::Started);
            recorder.record(CaptureEvent::BackendChanged { backend, state });
        }
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let validator =
            TicketValidator::new(spec.keyring.clone(), advertised_address.clone(), MAX_USED_TICKETS);
        let shared = Arc::new(Shared {
            validator: Mutex::new(validator),
            cores: Semaphore::new(spec.cores),
            spec: FakeBackendSpec { advertised_address, ..spec },
            recorder,
            started: Instant::now(),
            clock: ClockAnchor::new(unix),
            arrivals: Mutex::default(),
            slowdown: Mutex::new(1.0),
            overloaded: tokio::sync::Notify::new(),
            rng: Mutex::new(fastrand::Rng::with_seed(seed)),
        });
        let mut tasks = JoinSet::new();
        tasks.spawn(serve(listener, shared.clone()));
        Ok(Self { address, shared, _tasks: tasks })
    }

    /// Multiplies the service time of requests that start executing from now on by `factor`.
    ///
    /// # Panics
    /// If another thread has panicked while it held the lock.
    pub fn slow_down(&self, factor: f64) {
        *lock(&self.shared.slowdown) = factor;
    }
}

/// Accepts connections until the backend is overloaded. After that it stays down.
async fn serve(listener: TcpListener, shared: Arc<Shared>) {
    tokio::select! {
        () = connections::serve(listener, |stream| serve_connection(stream, shared.clone())) => {}
        () = shared.overloaded.notified() => {
            let (backend, state) = (shared.spec.advertised_address.clone(), BackendState::Overloaded);
            shared.recorder.record(CaptureEvent::BackendChanged { backend, state });
        }
    }
}

async fn serve_connection(stream: TcpStream, shared: Arc<Shared>) {
    let mut framed = Framed::new(stream, ServerCodec::default());
    while let Some(request) = framed.next().await {
        let response = match request {
            Ok(request) => shared.respond(&request).await,
            Err(error) => Response::text(400, error.to_string()),
        };
        let malformed = response.status == 400;
        if framed.send(response).await.is_err() || malformed {
            return;
        }
    }
}

impl Shared {
    fn age_seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Returns the current share of the backend's full capacity.
    fn capacity_share(&self) -> f64 {
        let Some(slow_start) = self.spec.slow_start else { return 1.0 };
        let progress = self.age_seconds() / slow_start.duration_seconds.max(1e-3);
        (slow_start.initial_share + (1.0 - slow_start.initial_share) * progress).min(1.0)
    }

    async fn respond(&self, http: &Request) -> Response {
        let header = |name: &str| http.headers.get(name);
        let request = header("x-request-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        let ticket = header(&self.spec.ticket_header);
        let admission = self.admit(ticket);
        let backend = self.spec.advertised_address.clone();
        let ticket = ticket.unwrap_or("").to_string();
        let received = CaptureEvent::AttemptReceived { request, backend: backend.clone(), ticket, admission };
        self.recorder.record(received);
        if admission != Admission::Admitted {
            let status = if admission == Admission::QueueFull { 503 } else { 403 };
            let mut response = Response::text(status, "turned away\n");
            response.headers.add("x-weirusher-turned-away", admission.as_str());
            return response;
        }
        let units = header(&self.spec.units_header).and_then(|units| units.parse().ok()).unwrap_or(1.0);
        self.execute(units).await;
        self.recorder.record(CaptureEvent::AttemptExecuted { request, backend });
        Response::text(200, "marked\n")
    }

    fn admit(&self, ticket: Option<&str>) -> Admission {
        if self.cores.available_permits() == 0 && self.queue_length() >= self.spec.queue_limit {
            return Admission::QueueFull;
        }
        let now = self.clock.unix_time_after(self.started.elapsed());
        match lock(&self.validator).validate(now, ticket) {
            Ok(_) => Admission::Admitted,
            Err(TicketRejection::Expired) => Admission::ExpiredTicket,
            Err(TicketRejection::Replayed) => Admission::ReplayedTicket,
            Err(TicketRejection::Misdirected) => Admission::WrongBackend,
            Err(TicketRejection::Full) => Admission::QueueFull,
            Err(TicketRejection::Missing | TicketRejection::Invalid) => Admission::InvalidTicket,
        }
    }

    /// Estimates the number of requests that wait for a core from the arrivals within the window.
    fn queue_length(&self) -> usize {
        let arrivals = lock(&self.arrivals);
        arrivals.len().saturating_sub(self.spec.cores)
    }

    /// Waits for a core and executes a request for a random time between 0.5 and 2.5 times the mean. The
    /// time is longer during a slow start or a slowdown.
    async fn execute(&self, units: f64) {
        let exponential = -lock(&self.rng).f64().max(1e-9).ln();
        let seconds = units * self.spec.service_seconds * (0.5 + 0.5 * exponential.min(4.0));
        self.check_overload(units * self.spec.service_seconds);
        let Ok(_core) = self.cores.acquire().await else { return };
        let slowdown = *lock(&self.slowdown);
        tokio::time::sleep(Duration::from_secs_f64(seconds * slowdown / self.capacity_share())).await;
    }

    /// Records arriving work. During a slow start the backend fails once the work within the window exceeds what the
    /// overload multiple and the allowance permit.
    fn check_overload(&self, work_seconds: f64) {
        let slow_start = self.spec.slow_start;
        let window = slow_start.map_or(ARRIVAL_WINDOW_SECONDS, |s| s.overload_window_seconds);
        let now = self.age_seconds();
        let mut arrivals = lock(&self.arrivals);
        arrivals.push_back(Arrival { at_seconds: now, work_seconds });
        while arrivals.front().is_some_and(|arrival| arrival.at_seconds < now - window) {
            arrivals.pop_front();
        }
        let Some(slow_start) = slow_start else { return };
        let arrived: f64 = arrivals.iter().map(|arrival| arrival.work_seconds).sum();
        let capacity = self.spec.cores as f64 * self.capacity_share() * window;
        let allowance = ARRIVAL_BURST_ALLOWANCE * self.spec.service_seconds;
        if self.capacity_share() < 1.0 && arrived > slow_start.overload_multiple * capacity + allowance {
            self.overloaded.notify_one();
        }
    }
}
