//! A TCP proxy between two processes that can delay data, stall one direction, and break or refuse connections.

use crate::connections;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Size of a chunk: the maximum number of bytes that are forwarded at once.
const CHUNK_BYTES: usize = 16 * 1024;
/// Number of chunks per second in which a link of limited bandwidth forwards bytes.
const CHUNKS_PER_SECOND: f64 = 20.0;

/// The faults of a link; the default has none.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LinkFault {
    /// Seconds by which each chunk is delayed in both directions.
    pub delay_seconds: f64,
    /// Whether forwarding to the target is stopped; the bytes are kept until the fault ends.
    pub stall_to_target: bool,
    /// Whether forwarding from the target is stopped; the bytes are kept until the fault ends.
    pub stall_from_target: bool,
    /// Whether new connections are closed at once.
    pub refuse_connections: bool,
    /// Bandwidth from the target in bytes per second; 0: unlimited.
    pub bytes_per_second: f64,
    /// Number of resets so far: incrementing it breaks all open connections.
    pub resets: u64,
    /// Number of times that [`Link::blackhole`] was called: incrementing it makes all open connections stop
    /// forwarding without closing.
    pub blackholes: u64,
}

/// A link to a target. Dropping it breaks its connections.
pub struct Link {
    /// The address that it listens on.
    pub address: SocketAddr,
    fault: watch::Sender<LinkFault>,
    target: watch::Sender<Option<SocketAddr>>,
    _tasks: JoinSet<()>,
}

/// The direction of one half of a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToTarget,
    FromTarget,
}

impl Link {
    /// Starts a link on a free port of the loopback address. Without a target, connections are closed at once.
    ///
    /// # Errors
    /// If it cannot listen.
    pub async fn start(target: Option<SocketAddr>) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (fault, faults) = watch::channel(LinkFault::default());
        let (target, targets) = watch::channel(target);
        let mut tasks = JoinSet::new();
        tasks.spawn(connections::serve(listener, move |client| {
            forward_connection(client, *targets.borrow(), faults.clone())
        }));
        Ok(Self { address, fault, target, _tasks: tasks })
    }

    /// Changes the faults of the link.
    pub fn update_fault(&self, change: impl FnOnce(&mut LinkFault)) {
        self.fault.send_modify(change);
    }

    /// Breaks all open connections.
    pub fn reset(&self) {
        self.update_fault(|fault| fault.resets += 1);
    }

    /// Stops forwarding on all open connections without closing them, as a middlebox does that has lost its state.
    pub fn blackhole(&self) {
        self.update_fault(|fault| fault.blackholes += 1);
    }

    /// Changes the target of new connections. Without a target, they are closed at once.
    pub fn retarget(&self, target: Option<SocketAddr>) {
        self.target.send_replace(target);
    }
}

async fn forward_connection(
    client: TcpStream,
    target: Option<SocketAddr>,
    mut faults: watch::Receiver<LinkFault>,
) {
    let Some(target) = target.filter(|_| !faults.borrow().refuse_connections) else { return };
    let Ok(server) = TcpStream::connect(target).await else { return };
    let _ = server.set_nodelay(true); // If this fails, chunks are only slower.
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let (to_target, from_target) = (faults.clone(), faults.clone());
    let resets = faults.borrow().resets;
    // The end of one direction or a reset closes both directions. Bytes that are still to be forwarded are lost, as
    // when a machine fails.
    tokio::select! {
        _ = forward(client_read, server_write, to_target, Direction::ToTarget) => {}
        _ = forward(server_read, client_write, from_target, Direction::FromTarget) => {}
        _ = faults.wait_for(|fault| fault.resets > resets) => {}
    }
}

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut faults: watch::Receiver<LinkFault>,
    direction: Direction,
) -> io::Result<()> {
    let mut chunk = vec![0; CHUNK_BYTES];
    let blackholes = faults.borrow().blackholes;
    loop {
        let bandwidth = match direction {
            Direction::ToTarget => 0.0,
            Direction::FromTarget => faults.borrow().bytes_per_second,
        };
        let max_bytes = (bandwidth / CHUNKS_PER_SECOND).ceil() as usize;
        let size = if bandwidth > 0.0 { CHUNK_BYTES.min(max_bytes) } else { CHUNK_BYTES };
        let read = from.read(&mut chunk[..size]).await?;
        if read == 0 {
            return Ok(());
        }
        let delay_seconds = faults.borrow().delay_seconds;
        let delay_seconds = delay_seconds + if bandwidth > 0.0 { read as f64 / bandwidth } else { 0.0 };
        if delay_seconds > 0.0 {
            tokio::time::sleep(Duration::from_secs_f64(delay_seconds)).await;
        }
        // A stalled direction holds the bytes that it has read, as TCP does, and forwards them when the fault ends.
        let may_forward = |fault: &LinkFault| {
            let stalled = match direction {
                Direction::ToTarget => fault.stall_to_target,
                Direction::FromTarget => fault.stall_from_target,
            };
            fault.blackholes == blackholes && !stalled
        };
        if faults.wait_for(may_forward).await.is_err() {
            return Ok(());
        }
        to.write_all(&chunk[..read]).await?;
    }
}
