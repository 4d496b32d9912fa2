//! An HTTP/1.1 server whose script decides each response, well-formed, malformed or none; it keeps what it received.

use crate::connections;
use crate::endpoint_list::PendingPoll;
use crate::http_frame::frame;
use crate::lock::lock;
use bytes::{Bytes, BytesMut};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio_util::codec::Decoder;
use weirusher_wire::http1::{Request, ServerCodec};

/// Requests that are kept; later ones are answered and not kept.
const MAX_KEPT_REQUESTS: usize = 100_000;

/// What a script answers to a request.
#[derive(Debug, Clone)]
pub enum Reply {
    /// These bytes, well-formed or not; the connection stays open.
    Bytes(Bytes),
    /// These bytes after a delay.
    Delayed(Duration, Bytes),
    /// These bytes, one by one, with a delay between two.
    Trickle(Duration, Bytes),
    /// These bytes, and once more after a delay.
    Duplicate(Duration, Bytes),
    /// These bytes, once the gate is `true`.
    Gated(watch::Receiver<bool>, Bytes),
    /// The first bytes at once, and the rest once the gate is `true`.
    GatedRest(Bytes, watch::Receiver<bool>, Bytes),
    /// A discovery agent's endpoint list, at once or when there is a newer one.
    EndpointList(PendingPoll),
    /// Nothing; the connection stays open.
    NoReply,
    /// Nothing; the connection is closed.
    Close,
    /// These bytes, and then the connection is closed.
    BytesThenClose(Bytes),
    /// These bytes, and then, once they have arrived, the connection is reset.
    BytesThenReset(Bytes),
}

impl Reply {
    /// A well-framed response of status 200.
    pub fn ok(body: &str) -> Self {
        Self::Bytes(frame(200, "", body))
    }
}

/// A request as the server received it.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    /// The number of its connection, from 1.
    pub connection: u64,
    /// When it was complete.
    pub received_at: Instant,
    /// The request.
    pub request: Request,
}

/// Decides the reply to a request.
pub type Script = dyn Fn(&Request) -> Reply + Send + Sync;

struct Shared {
    script: Mutex<Arc<Script>>,
    received: Mutex<Vec<ReceivedRequest>>,
    /// Length of `received`.
    count: watch::Sender<usize>,
    connections: AtomicU64,
}

/// A scripted server. Dropping it kills it.
pub struct ScriptedServer {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    _tasks: JoinSet<()>,
}

impl ScriptedServer {
    /// Starts a server on `address`; port 0 chooses one.
    ///
    /// # Errors
    /// It cannot listen.
    pub async fn start(
        address: SocketAddr,
        script: impl Fn(&Request) -> Reply + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let script: Arc<Script> = Arc::new(script);
        let shared = Arc::new(Shared {
            script: Mutex::new(script),
            received: Mutex::default(),
            count: watch::Sender::new(0),
            connections: AtomicU64::new(0),
        });
        let mut tasks = JoinSet::new();
        tasks.spawn({
            let shared = shared.clone();
            connections::serve(listener, move |stream| serve_connection(stream, shared.clone()))
        });
        Ok(Self { address, shared, _tasks: tasks })
    }

    /// Replaces the script for the requests that come from now on.
    ///
    /// # Panics
    /// If another thread has panicked while it held the lock.
    pub fn set_script(&self, script: impl Fn(&Request) -> Reply + Send + Sync + 'static) {
        *lock(&self.shared.script) = Arc::new(script);
    }

    /// The requests received so far.
    ///
    /// # Panics
    /// If another thread has panicked while it held the lock.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        lock(&self.shared.received).clone()
    }

    /// Waits until `count` requests have been received.
    pub async fn wait_for_requests(&self, count: usize) {
        let mut received = self.shared.count.subscribe();
        let _ = received.wait_for(|received| *received >= count).await; // The sender lives as long as this.
    }

    /// Connections accepted so far.
    pub fn connections(&self) -> u64 {
        self.shared.connections.load(Ordering::Relaxed)
    }
}

async fn serve_connection(mut stream: TcpStream, shared: Arc<Shared>) {
    let connection = shared.connections.fetch_add(1, Ordering::Relaxed) + 1;
    let (mut codec, mut buffer) = (ServerCodec::default(), BytesMut::new());
    loop {
        while let Ok(Some(request)) = codec.decode(&mut buffer) {
            let script = lock(&shared.script).clone();
            let reply = script(&request);
            let count = {
                let mut received = lock(&shared.received);
                if received.len() < MAX_KEPT_REQUESTS {
                    received.push(ReceivedRequest { connection, received_at: Instant::now(), request });
                }
                received.len()
            };
            shared.count.send_replace(count);
            if !write_reply(&mut stream, reply).await {
                return;
            }
        }
        if !matches!(stream.read_buf(&mut buffer).await, Ok(1..)) {
            return;
        }
    }
}

/// Writes a reply; `false`: the connection is to be closed.
async fn write_reply(stream: &mut TcpStream, reply: Reply) -> bool {
    match reply {
        Reply::Bytes(bytes) => stream.write_all(&bytes).await.is_ok(),
        Reply::Delayed(pause, bytes) => {
            tokio::time::sleep(pause).await;
            stream.write_all(&bytes).await.is_ok()
        }
        Reply::Trickle(pause, bytes) => {
            for byte in bytes {
                if stream.write_all(&[byte]).await.is_err() {
                    return false;
                }
                tokio::time::sleep(pause).await;
            }
            true
        }
        Reply::Duplicate(pause, bytes) => {
            let once = stream.write_all(&bytes).await.is_ok();
            tokio::time::sleep(pause).await;
            once && stream.write_all(&bytes).await.is_ok()
        }
        Reply::Gated(mut gate, bytes) => {
            let opened = gate.wait_for(|open| *open).await.is_ok();
            opened && stream.write_all(&bytes).await.is_ok()
        }
        Reply::GatedRest(first, mut gate, rest) => {
            let begun = stream.write_all(&first).await.is_ok();
            let opened = gate.wait_for(|open| *open).await.is_ok();
            begun && opened && stream.write_all(&rest).await.is_ok()
        }
        Reply::EndpointList(poll) => match poll.response().await {
            Some(bytes) => stream.write_all(&bytes).await.is_ok(),
            None => true,
        },
        Reply::NoReply => true,
        Reply::Close => false,
        Reply::BytesThenClose(bytes) => {
            let _ = stream.write_all(&bytes).await; // The connection is closed in any case.
            false
        }
        Reply::BytesThenReset(bytes) => {
            let _ = stream.write_all(&bytes).await; // The connection is closed in any case.
            // On loopback, bytes that were written have arrived.
            let _ = stream.set_zero_linger();
            false
        }
    }
}

/// The script of the platform's counter: adds the query parameter `delta` to the total of the path, and answers the
/// total; 400 without a valid `delta`.
///
/// # Panics
/// If another thread has panicked while it held the lock.
pub fn counting() -> impl Fn(&Request) -> Reply + Send + Sync + 'static {
    let totals: Mutex<HashMap<String, f64>> = Mutex::default();
    move |request| {
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let delta = query.split('&').find_map(|part| part.strip_prefix("delta="));
        let Some(delta) = delta.and_then(|text| text.parse::<f64>().ok()) else {
            return Reply::Bytes(frame(400, "", ""));
        };
        let mut totals = lock(&totals);
        let total = totals.entry(path.to_string()).or_default();
        *total += delta;
        Reply::ok(&total.to_string())
    }
}
