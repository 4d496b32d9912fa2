//! Starts a gatekeeper's tasks and stops them in order.

use crate::admin::Admin;
use crate::clients::{counter::CounterClient, discovery::DiscoveryClient};
use crate::driver::{CALL_QUEUE, Driver, FRONT_QUEUE, WORLD_QUEUE};
use crate::fronts::{access_log::AccessLog, ext_authz::ExtAuthz};
use crate::stats::Stats;
use envoy_types::pb::envoy::service::accesslog::v3::access_log_service_server::AccessLogServiceServer;
use envoy_types::pb::envoy::service::auth::v3::authorization_server::AuthorizationServer;
use futures::StreamExt;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, watch};
use tokio::task::JoinHandle;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::Server;
use weirusher_clock::Clock;
use weirusher_config::Config;
use weirusher_core::{Engine, EngineError, Keyring};
use weirusher_peers::{Peers, page};

/// Most bytes of a Check, its headers and body included.
const MOST_CHECK: usize = 256 * 1024;
/// Most bytes of a message of log entries.
const MOST_ENTRIES: usize = 1024 * 1024;
/// Most bytes of a call's own headers.
const MOST_HEADERS: u32 = 16 * 1024;
/// Streams that a peer may have reset before they are taken up; past that its connection is closed.
const MOST_RESETS: usize = 64;
/// Pings on quiet connections, and how long their answer may take: half-open peers are let go.
const KEEPALIVE: (Duration, Duration) = (Duration::from_secs(10), Duration::from_secs(5));

/// Pause after a connection that could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What every HTTP/2 client says first (RFC 9113, 3.4).
const GREETING: &[u8; 24] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
/// How long it may take, and how often an incomplete one is looked at.
const GREETING_LIMIT: Duration = Duration::from_secs(5);
const GREETING_PAUSE: Duration = Duration::from_millis(20);
/// Connections that have greeted and wait for the server.
const GREETED: usize = 64;

/// Why a gatekeeper cannot start.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum StartError {
    /// An address cannot be listened on.
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddr, io::Error),
    /// The configuration has no ticket key.
    #[error("there is no ticket key")]
    NoKey,
    /// The decisions cannot start.
    #[error(transparent)]
    Engine(#[from] EngineError),
    /// It cannot take part in its fleet.
    #[error(transparent)]
    Fleet(#[from] weirusher_peers::StartError),
}

/// A gatekeeper that runs.
pub struct Running {
    /// Where Check and StreamAccessLogs are served.
    pub ext_authz: SocketAddr,
    /// Where the admin page is.
    pub admin: SocketAddr,
    /// Where the fleet's datagrams are received, if there is a fleet.
    pub fleet: Option<SocketAddr>,
    stop: watch::Sender<bool>,
    owed: watch::Receiver<usize>,
    drain: Duration,
    tasks: Vec<JoinHandle<()>>,
}

impl Running {
    /// Takes no new connections, waits until nothing is owed or the configured time is over, and ends. Tells
    /// how many requests were still owed.
    pub async fn stop(mut self) -> usize {
        self.stop.send_replace(true);
        let settled = self.owed.wait_for(|owed| *owed == 0);
        let _ = tokio::time::timeout(self.drain, settled).await; // What is still owed is told below.
        let owed = *self.owed.borrow();
        self.tasks.iter().for_each(JoinHandle::abort);
        owed
    }
}

async fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), StartError> {
    let fail = |error| StartError::Listen(address, error);
    let listener = TcpListener::bind(address).await.map_err(fail)?;
    let bound = listener.local_addr().map_err(fail)?;
    Ok((listener, bound))
}

/// Starts a gatekeeper.
///
/// # Errors
/// It cannot listen, or its settings cannot work.
pub async fn start(config: Config) -> Result<Running, StartError> {
    let (clock, stats) = (Clock::start(), Arc::new(Stats::default()));
    let seed = fastrand::u64(..);
    let epoch = fastrand::u64(..);
    let ring = Keyring::new(config.keys.clone()).ok_or(StartError::NoKey)?;
    let me = config.settings.me;
    let count_limit = config.settings.count_limit;
    let engine = Engine::new(config.settings, ring, epoch, seed, clock.now())?;
    let (grpc, ext_authz) = listen(config.ext_authz).await?;
    let (admin_listener, admin) = listen(config.admin).await?;

    let (driver, fronts) = mpsc::channel(FRONT_QUEUE);
    let (world_sender, world) = mpsc::channel(WORLD_QUEUE);
    let (follow_sender, follow) = watch::channel(false);
    let (owed_sender, owed) = watch::channel(0);
    let (stop, stopped) = watch::channel(false);
    let mut tasks = Vec::new();
    let mut peers = None;
    if let Some(fleet) = config.fleet {
        let (handle, task) = Peers::start(fleet).await?;
        peers = Some(handle);
        tasks.push(tokio::spawn(task));
    }
    let mut calls = None;
    if let Some(counter) = &config.counter {
        let (sender, receiver) = mpsc::channel(CALL_QUEUE);
        calls = Some(sender);
        let client = CounterClient {
            address: counter.address,
            limit: count_limit,
            clock,
            calls: receiver,
            world: world_sender.clone(),
            stats: stats.clone(),
            seed,
        };
        tasks.push(tokio::spawn(client.run()));
    }
    let discovery = DiscoveryClient {
        config: config.discovery,
        node: format!("gatekeeper-{me}"),
        world: world_sender,
        follow,
        stats: stats.clone(),
        seed: seed ^ 1,
    };
    tasks.push(tokio::spawn(discovery.run()));
    let rules = Arc::new(config.request);
    let check = ExtAuthz {
        rules: rules.clone(),
        driver: driver.clone(),
        next: Arc::new(AtomicU64::new(1)),
        stats: stats.clone(),
    };
    let log = AccessLog { rules, driver: driver.clone(), stats: stats.clone() };
    let server = serve_grpc(grpc, config.connections, check, log, stats.clone(), stopped);
    tasks.push(tokio::spawn(server));
    let fleet = peers.as_ref().map(|peers| peers.address);
    tasks.push(tokio::spawn(page::serve(admin_listener, Admin { driver, peers })));
    let driver = Driver {
        engine,
        identity: (me, epoch),
        clock,
        fronts,
        world,
        calls,
        follow: follow_sender,
        owed: owed_sender,
        stats,
        waiting: HashMap::new(),
    };
    tasks.push(tokio::spawn(driver.run()));
    let drain = Duration::from_secs_f64(config.drain);
    Ok(Running { ext_authz, admin, fleet, stop, owed, drain, tasks })
}

async fn serve_grpc(
    listener: TcpListener,
    (connections, streams): (u32, u32),
    check: ExtAuthz,
    log: AccessLog,
    stats: Arc<Stats>,
    mut stopped: watch::Receiver<bool>,
) {
    let slots = Arc::new(Semaphore::new(connections as usize));
    let (greeted, incoming) = mpsc::channel(GREETED);
    let accepting = accept(listener, slots, stats, greeted, stopped.clone());
    tokio::spawn(accepting);
    let incoming = ReceiverStream::new(incoming).map(Ok::<_, io::Error>);
    let served = Server::builder()
        .max_concurrent_streams(streams)
        .http2_max_header_list_size(MOST_HEADERS)
        .http2_max_pending_accept_reset_streams(Some(MOST_RESETS))
        .http2_keepalive_interval(Some(KEEPALIVE.0))
        .http2_keepalive_timeout(Some(KEEPALIVE.1))
        .add_service(AuthorizationServer::new(check).max_decoding_message_size(MOST_CHECK))
        .add_service(AccessLogServiceServer::new(log).max_decoding_message_size(MOST_ENTRIES))
        .serve_with_incoming_shutdown(incoming, async move {
            let _ = stopped.wait_for(|stop| *stop).await; // A dropped sender stops it as well.
        })
        .await;
    if let Err(error) = served {
        tracing::error!(%error, "the gRPC fronts ended");
    }
}

/// Accepts connections until it is told to stop. The listener is dropped then: what comes later is refused at once,
/// and may go to another instance, instead of waiting in a backlog that nobody empties.
async fn accept(
    listener: TcpListener,
    slots: Arc<Semaphore>,
    stats: Arc<Stats>,
    greeted: mpsc::Sender<counted::Connection>,
    mut stopped: watch::Receiver<bool>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.wait_for(|stop| *stop) => return,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                // Out of descriptors, say: an error here would end the server, and a loop would spin.
                tracing::warn!(%error, "a connection could not be accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Ok(slot) = slots.clone().try_acquire_owned() else {
            stats.add(|s| &s.connections_refused);
            continue;
        };
        let _ = stream.set_nodelay(true); // Without it answers are merely slower.
        let (greeted, stats) = (greeted.clone(), stats.clone());
        tokio::spawn(async move {
            if matches!(tokio::time::timeout(GREETING_LIMIT, greets(&stream)).await, Ok(true)) {
                let _ = greeted.send(counted::Connection::new(stream, slot)).await; // The server may have ended.
            } else {
                stats.add(|s| &s.connections_mute);
            }
        });
    }
}

/// Waits for the bytes with which every HTTP/2 client begins; `false` where others come. The server waits for them
/// without a limit, so that mute peers would hold their slots for ever.
async fn greets(stream: &TcpStream) -> bool {
    let mut seen = [0; GREETING.len()];
    loop {
        match stream.peek(&mut seen).await {
            Ok(n) if n > 0 && GREETING.starts_with(&seen[..n]) => {
                if n == GREETING.len() {
                    return true;
                }
                tokio::time::sleep(GREETING_PAUSE).await;
            }
            _ => return false,
        }
    }
}

/// A connection that holds its slot.
mod counted {
    use super::{OwnedSemaphorePermit, TcpStream, io};
    use std::pin::Pin;
    use std::task::{Context, Poll};
    use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
    use tonic::transport::server::{Connected, TcpConnectInfo};

    pub struct Connection {
        stream: TcpStream,
        _slot: OwnedSemaphorePermit,
    }

    impl Connection {
        pub fn new(stream: TcpStream, slot: OwnedSemaphorePermit) -> Self {
            Self { stream, _slot: slot }
        }

        fn inner(self: Pin<&mut Self>) -> Pin<&mut TcpStream> {
            Pin::new(&mut self.get_mut().stream)
        }
    }

    impl Connected for Connection {
        type ConnectInfo = TcpConnectInfo;

        fn connect_info(&self) -> TcpConnectInfo {
            self.stream.connect_info()
        }
    }

    impl AsyncRead for Connection {
        fn poll_read(
            self: Pin<&mut Self>,
            cx: &mut Context<'_>,
            buf: &mut ReadBuf<'_>,
        ) -> Poll<io::Result<()>> {
            self.inner().poll_read(cx, buf)
        }
    }

    impl AsyncWrite for Connection {
        fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
            self.inner().poll_write(cx, buf)
        }

        fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
            self.inner().poll_flush(cx)
        }

        fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
            self.inner().poll_shutdown(cx)
        }

        fn poll_write_vectored(
            self: Pin<&mut Self>,
            cx: &mut Context<'_>,
            bufs: &[io::IoSlice<'_>],
        ) -> Poll<io::Result<usize>> {
            self.inner().poll_write_vectored(cx, bufs)
        }

        fn is_write_vectored(&self) -> bool {
            self.stream.is_write_vectored()
        }
    }
}
