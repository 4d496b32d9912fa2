//! An HTTP/1.1 server that lets a script decide the reply to each request (well-formed, malformed or none) and stores
//! the requests that it received.

use crate::connections;
use crate::endpoint_list::PendingPoll;
use crate::http_frame::http_response;
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

/// Maximum number of requests that are stored; later ones are answered but not stored.
const MAX_STORED_REQUESTS: usize = 100_000;

/// The reply of a script to a request.
///
/// The connection stays open unless the variant says otherwise.
#[derive(Debug, Clone)]
pub enum Reply {
    /// Sends these bytes, well-formed or not.
    Bytes(Bytes),
    /// Sends these bytes after a delay.
    Delayed(Duration, Bytes),
    /// Sends these bytes one by one, with a delay after each.
    Trickle(Duration, Bytes),
    /// Sends these bytes, and sends them again after a delay.
    Duplicate(Duration, Bytes),
    /// Sends these bytes once the gate is `true`.
    Gated(watch::Receiver<bool>, Bytes),
    /// Sends the first bytes at once, and the rest once the gate is `true`.
    GatedRest(Bytes, watch::Receiver<bool>, Bytes),
    /// Sends a discovery agent's endpoint list, at once or when there is a newer one.
    EndpointList(PendingPoll),
    /// Sends nothing.
    NoReply,
    /// Closes the connection without a reply.
    Close,
    /// Sends these bytes and closes the connection.
    BytesThenClose(Bytes),
    /// Sends these bytes and resets the connection once they have arrived.
    BytesThenReset(Bytes),
}

impl Reply {
    /// Returns a well-formed response with status 200.
    pub fn ok(body: &str) -> Self {
        Self::Bytes(http_response(200, "", body))
    }
}

/// A request as the server received it.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    /// Number of its connection, counted from 1.
    pub connection: u64,
    /// When it was completely received.
    pub received_at: Instant,
    /// The request.
    pub request: Request,
}

/// The function that decides the reply to each request.
pub type Script = dyn Fn(&Request) -> Reply + Send + Sync;

struct Shared {
    script: Mutex<Arc<Script>>,
    received: Mutex<Vec<ReceivedRequest>>,
    /// Length of `received`, which [`ScriptedServer::wait_for_requests`] watches.
    count: watch::Sender<usize>,
    connections: AtomicU64,
}

/// A server that runs a script. Dropping it closes its listener and connections.
pub struct ScriptedServer {
    /// The address that it listens on.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    _tasks: JoinSet<()>,
}

impl ScriptedServer {
    /// Starts a server on `address`; port 0 selects a free port.
    ///
    /// # Errors
    /// If it cannot listen on the address.
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

    /// Replaces the script for the requests that are received from now on.
    ///
    /// # Panics
    /// If another thread has panicked while it held the lock.
    pub fn set_script(&self, script: impl Fn(&Request) -> Reply + Send + Sync + 'static) {
        *lock(&self.shared.script) = Arc::new(script);
    }

    /// Returns the requests received so far.
    ///
    /// # Panics
    /// If another thread has panicked while it held the lock.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        lock(&self.shared.received).clone()
    }

    /// Waits until `count` requests have been received.
    pub async fn wait_for_requests(&self, count: usize) {
        let mut received = self.shared.count.subscribe();
        let _ = received.wait_for(|received| *received >= count).await; // It cannot fail: `self` holds the sender.
    }

    /// Returns the number of connections accepted so far.
    pub fn accepted_connections(&self) -> u64 {
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
                if received.len() < MAX_STORED_REQUESTS {
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

/// Writes a reply. Returns `false` if the connection is to be closed.
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
            let sent = stream.write_all(&bytes).await.is_ok();
            tokio::time::sleep(pause).await;
            sent && stream.write_all(&bytes).await.is_ok()
        }
        Reply::Gated(mut gate, bytes) => {
            let opened = gate.wait_for(|open| *open).await.is_ok();
            opened && stream.write_all(&bytes).await.is_ok()
        }
        Reply::GatedRest(first, mut gate, rest) => {
            let sent = stream.write_all(&first).await.is_ok();
            let opened = gate.wait_for(|open| *open).await.is_ok();
            sent && opened && stream.write_all(&rest).await.is_ok()
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
            // Closing with zero linger resets the connection. On loopback, bytes that were written have arrived by now.
            let _ = stream.set_zero_linger();
            false
        }
    }
}

/// Returns a script that acts as the platform's counter: adds the query parameter `delta` to the total of the path and
/// replies with the total, or with status 400 without a valid `delta`.
///
/// # Panics
/// If another thread has panicked while it held the lock.
pub fn counter_script() -> impl Fn(&Request) -> Reply + Send + Sync + 'static {
    let totals: Mutex<HashMap<String, f64>> = Mutex::default();
    move |request| {
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let delta = query.split('&').find_map(|part| part.strip_prefix("delta="));
        let Some(delta) = delta.and_then(|text| text.parse::<f64>().ok()) else {
            return Reply::Bytes(http_response(400, "", ""));
        };
        let mut totals = lock(&totals);
        let total = totals.entry(path.to_string()).or_default();
        *total += delta;
        Reply::ok(&total.to_string())
    }
}
