//! A backend, which records each attempt that it receives and responds with the behaviours that the platform
//! allows.

use crate::record::{Attempt, Recorder};
use crate::wire::backend_name;
use bytes::BytesMut;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, Interest};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};
use tokio_util::codec::Decoder;
use weirusher_wire::http1::{Request, ServerCodec};

const LISTEN_BACKLOG: u32 = 1024;
/// The additional delay of a slow response, as a multiple of its usual delay.
const SLOW_FACTOR: u32 = 60;
/// The time between the two responses of [`Reply::Twice`].
const SECOND_RESPONSE_DELAY: Duration = Duration::from_millis(3);
/// The interval at which the connection of an attempt is checked for a close while it has unread bytes.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// The health of a backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// Responses are complete, and one in 50 is slow.
    Healthy,
    /// One in three responses is invalid, late, an error or missing.
    Faulty,
    /// Requests are accepted and get no response.
    Hung,
    /// New connections are refused, and open ones are reset.
    Down,
}

/// How the backend responds to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reply {
    /// A complete response.
    Complete,
    /// A complete response, much later: see [`SLOW_FACTOR`].
    Slow,
    /// A complete response, a few bytes at a time.
    Trickled,
    /// No response; the connection stays open.
    Nothing,
    /// A response with status 500.
    Error,
    /// A response that tells that the request was rejected before execution.
    NotExecuted,
    /// A reset of the connection.
    Reset,
    /// The first half of a response, and then a close.
    Truncated,
    /// Bytes that are not HTTP.
    Garbage,
    /// Two complete responses.
    Twice,
    /// A response without a content length, ended by a close.
    WithoutLength,
}

impl Reply {
    /// Chooses a reply at random, depending on the health of the backend.
    fn draw(health: Health, rng: &mut fastrand::Rng) -> Self {
        const FAULTY: [Reply; 10] = [
            Reply::Slow,
            Reply::Trickled,
            Reply::Nothing,
            Reply::Error,
            Reply::NotExecuted,
            Reply::Reset,
            Reply::Truncated,
            Reply::Garbage,
            Reply::Twice,
            Reply::WithoutLength,
        ];
        match health {
            Health::Healthy if rng.u8(0..50) == 0 => Self::Slow,
            Health::Faulty if rng.u8(0..3) == 0 => FAULTY[rng.usize(0..FAULTY.len())],
            Health::Hung => Self::Nothing,
            _ => Self::Complete,
        }
    }
}

/// The state that a backend shares with the tasks of its connections.
struct Shared {
    number: usize,
    recorder: Recorder,
    health: watch::Sender<Health>,
    rng: Mutex<fastrand::Rng>,
}

/// A backend. Dropping it closes its listener and resets its connections.
pub struct Backend {
    /// The address that it listens at.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    tasks: Mutex<JoinSet<()>>,
}

impl Backend {
    /// Starts a healthy backend.
    ///
    /// # Errors
    /// No listener can be opened on loopback.
    pub async fn start(number: usize, recorder: Recorder, seed: u64) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (health, rng) = (watch::Sender::new(Health::Healthy), Mutex::new(fastrand::Rng::with_seed(seed)));
        let shared = Arc::new(Shared { number, recorder, health, rng });
        let tasks = Mutex::new(JoinSet::new());
        let backend = Self { address, shared, tasks };
        backend.spawn_accept_loop(listener);
        Ok(backend)
    }

    /// Spawns the task that accepts connections.
    fn spawn_accept_loop(&self, listener: TcpListener) {
        let shared = self.shared.clone();
        self.tasks.lock().expect("no task panics while holding the lock").spawn(async move {
            let mut connections = JoinSet::new();
            loop {
                tokio::select! {
                    accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                        connections.spawn(serve(stream, shared.clone()));
                    },
                    Some(_) = connections.join_next() => {}
                }
            }
        });
    }

    /// Changes the health. [`Health::Down`] closes the listener and all connections; any other health after
    /// it makes the backend listen at its old address again.
    pub async fn set_health(&self, health: Health) {
        let previous = self.shared.health.send_replace(health);
        if health == Health::Down {
            self.tasks.lock().expect("no task panics while holding the lock").abort_all();
        } else if previous == Health::Down {
            let socket = TcpSocket::new_v4();
            let bound = socket.and_then(|socket| {
                socket.set_reuseaddr(true)?;
                socket.bind(self.address)?;
                socket.listen(LISTEN_BACKLOG)
            });
            // Another process may have bound the port in the meantime; the backend stays down then.
            if let Ok(listener) = bound {
                self.spawn_accept_loop(listener);
            }
        }
    }
}

/// Records the end of an attempt when it is dropped, however its connection ends.
struct AttemptGuard<'a> {
    shared: &'a Shared,
    /// The index of the attempt in the records.
    index: usize,
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        let now = Instant::now();
        self.shared.recorder.with(|records| {
            records.attempts[self.index].ended_at.get_or_insert(now);
        });
    }
}

/// Serves the requests of one connection until it ends.
async fn serve(mut stream: TcpStream, shared: Arc<Shared>) {
    let _ = stream.set_nodelay(true); // An error only delays responses.
    let (mut codec, mut buffer) = (ServerCodec::default(), BytesMut::new());
    let mut first_byte_at = None;
    loop {
        if !buffer.is_empty() {
            first_byte_at.get_or_insert_with(Instant::now);
        }
        match codec.decode(&mut buffer) {
            Ok(Some(request)) => {
                let first_byte_at = first_byte_at.take().unwrap_or_else(Instant::now);
                if !handle_request(&stream, &shared, &request, first_byte_at).await {
                    return;
                }
            }
            Ok(None) => {
                if !matches!(stream.read_buf(&mut buffer).await, Ok(1..)) {
                    return;
                }
                first_byte_at.get_or_insert_with(Instant::now);
            }
            Err(_) => return,
        }
    }
}

/// The timeout that the gateway passed with an attempt, in seconds; infinite if it passed none.
fn attempt_timeout(request: &Request) -> f64 {
    let text = request.headers.get("x-expires-in").unwrap_or("");
    let (number, unit_seconds) = match text.strip_suffix('m') {
        Some(number) => (number, 1e-3),
        None => (text.trim_end_matches('u'), 1e-6),
    };
    number.parse().map_or(f64::INFINITY, |number: f64| number * unit_seconds)
}

/// Records a request and responds to it; returns `false` once the connection has ended.
async fn handle_request(
    stream: &TcpStream,
    shared: &Shared,
    request: &Request,
    first_byte_at: Instant,
) -> bool {
    let id = request.headers.get("x-trace-id").unwrap_or("").to_string();
    let (reply, delay) = {
        let rng = &mut shared.rng.lock().expect("no task panics while holding the lock");
        (Reply::draw(*shared.health.borrow(), rng), Duration::from_micros(rng.u64(500..20_000)))
    };
    let body = format!("done {id} {}", backend_name(shared.number));
    let attempt = Attempt {
        id,
        backend: shared.number,
        first_byte_at,
        received_at: Instant::now(),
        timeout: attempt_timeout(request),
        not_executed: reply == Reply::NotExecuted,
        ended_at: None,
    };
    let index = shared.recorder.with(|records| {
        records.attempts.push(attempt);
        records.attempts.len() - 1
    });
    let _guard = AttemptGuard { shared, index };
    // The gateway cancels an attempt by closing its connection.
    tokio::select! {
        stays_open = write_reply(stream, reply, &body, delay) => stays_open,
        () = wait_for_close(stream) => false,
    }
}

/// Waits until the peer has closed the connection.
async fn wait_for_close(stream: &TcpStream) {
    loop {
        match stream.ready(Interest::READABLE).await {
            Ok(ready) if !ready.is_read_closed() => sleep(CLOSE_CHECK_INTERVAL).await,
            _ => return,
        }
    }
}

/// Writes all bytes; returns `false` if the connection has ended.
async fn write_all(stream: &TcpStream, bytes: &[u8]) -> bool {
    let mut remaining = bytes;
    while !remaining.is_empty() {
        if stream.writable().await.is_err() {
            return false;
        }
        match stream.try_write(remaining) {
            Ok(written) => remaining = &remaining[written..],
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => return false,
        }
    }
    true
}

/// Writes a reply after `delay`; returns `false` if the connection is to be closed.
async fn write_reply(stream: &TcpStream, reply: Reply, body: &str, delay: Duration) -> bool {
    sleep(delay).await;
    let complete = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let complete = complete.as_bytes();
    match reply {
        Reply::Complete => write_all(stream, complete).await,
        Reply::Slow => {
            sleep(delay * SLOW_FACTOR).await;
            write_all(stream, complete).await
        }
        Reply::Trickled => write_slowly(stream, complete).await,
        Reply::Nothing => std::future::pending().await,
        Reply::Error => write_all(stream, b"HTTP/1.1 500 -\r\nContent-Length: 0\r\n\r\n").await,
        Reply::NotExecuted => {
            write_all(stream, b"HTTP/1.1 503 -\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n").await
        }
        Reply::Reset => {
            let _ = stream.set_zero_linger(); // On an error the connection is closed instead of reset.
            false
        }
        Reply::Truncated => {
            write_all(stream, &complete[..complete.len() / 2]).await;
            false
        }
        Reply::Garbage => write_all(stream, b"\x16\x03\x01 noise\r\n\r\n").await,
        Reply::Twice => {
            let is_open = write_all(stream, complete).await;
            sleep(SECOND_RESPONSE_DELAY).await;
            is_open && write_all(stream, complete).await
        }
        Reply::WithoutLength => {
            write_all(stream, format!("HTTP/1.1 200 OK\r\n\r\n{body}").as_bytes()).await;
            false
        }
    }
}

/// Writes all bytes, a few at a time; returns `false` if the connection has ended.
async fn write_slowly(stream: &TcpStream, bytes: &[u8]) -> bool {
    const PIECE: usize = 3;
    const INTERVAL: Duration = Duration::from_millis(2);
    for piece in bytes.chunks(PIECE) {
        if !write_all(stream, piece).await {
            return false;
        }
        sleep(INTERVAL).await;
    }
    true
}
