//! A TCP link between two processes that can be slow, stall in one direction, break or refuse connections.

use crate::connections;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Bytes that are forwarded at once.
const CHUNK_BYTES: usize = 16 * 1024;
/// A link of limited bandwidth forwards its bytes in so many chunks a second.
const CHUNKS_PER_SECOND: f64 = 20.0;

/// What is wrong with a link.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LinkFault {
    /// Seconds by which each chunk is delayed, in both directions.
    pub delay_seconds: f64,
    /// Nothing is forwarded towards the target.
    pub stall_to_target: bool,
    /// Nothing is forwarded from the target.
    pub stall_from_target: bool,
    /// New connections are closed at once.
    pub refuse_connections: bool,
    /// Bytes a second from the target; 0: unlimited.
    pub bytes_per_second: f64,
    /// Raising this number breaks the connections that exist.
    pub resets: u64,
    /// Raising this number makes the connections that exist forward nothing any more, without closing them.
    pub blackholes: u64,
}

/// A link to a target. Dropping it breaks its connections.
pub struct Link {
    /// Where it listens.
    pub address: SocketAddr,
    fault: watch::Sender<LinkFault>,
    target: watch::Sender<Option<SocketAddr>>,
    _tasks: JoinSet<()>,
}

/// The direction of a half of a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToTarget,
    FromTarget,
}

impl Link {
    /// Starts a link on a free port of loopback; without a target, connections are closed at once.
    ///
    /// # Errors
    /// It cannot listen.
    pub async fn start(target: Option<SocketAddr>) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (fault, faults) = watch::channel(LinkFault::default());
        let (target, targets) = watch::channel(target);
        let mut tasks = JoinSet::new();
        tasks.spawn(connections::serve(listener, move |near| {
            forward_connection(near, *targets.borrow(), faults.clone())
        }));
        Ok(Self { address, fault, target, _tasks: tasks })
    }

    /// Changes what is wrong.
    pub fn set(&self, change: impl FnOnce(&mut LinkFault)) {
        self.fault.send_modify(change);
    }

    /// Breaks all connections.
    pub fn reset(&self) {
        self.set(|fault| fault.resets += 1);
    }

    /// Forwards nothing any more on the connections that exist, without closing them, as a middlebox does that lost
    /// its state.
    pub fn blackhole(&self) {
        self.set(|fault| fault.blackholes += 1);
    }

    /// New connections go to another target; without one, they are closed at once.
    pub fn retarget(&self, target: Option<SocketAddr>) {
        self.target.send_replace(target);
    }
}

async fn forward_connection(
    near: TcpStream,
    target: Option<SocketAddr>,
    mut faults: watch::Receiver<LinkFault>,
) {
    let Some(target) = target.filter(|_| !faults.borrow().refuse_connections) else { return };
    let Ok(far) = TcpStream::connect(target).await else { return };
    let _ = far.set_nodelay(true); // Without it chunks are only later.
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let (to_target, from_target) = (faults.clone(), faults.clone());
    let resets = faults.borrow().resets;
    // The end of one direction, or a reset, closes both: bytes on their way are lost, as when a machine fails.
    tokio::select! {
        _ = forward(near_read, far_write, to_target, Direction::ToTarget) => {}
        _ = forward(far_read, near_write, from_target, Direction::FromTarget) => {}
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
        let limited = (bandwidth / CHUNKS_PER_SECOND).ceil() as usize;
        let size = if bandwidth > 0.0 { CHUNK_BYTES.min(limited) } else { CHUNK_BYTES };
        let read = from.read(&mut chunk[..size]).await?;
        if read == 0 {
            return Ok(());
        }
        let delay_seconds = faults.borrow().delay_seconds;
        let delay_seconds = delay_seconds + if bandwidth > 0.0 { read as f64 / bandwidth } else { 0.0 };
        if delay_seconds > 0.0 {
            tokio::time::sleep(Duration::from_secs_f64(delay_seconds)).await;
        }
        // A stalled direction keeps what it has read, as TCP would, and goes on when the fault is over.
        let open = |fault: &LinkFault| {
            let stalled = match direction {
                Direction::ToTarget => fault.stall_to_target,
                Direction::FromTarget => fault.stall_from_target,
            };
            fault.blackholes == blackholes && !stalled
        };
        if faults.wait_for(open).await.is_err() {
            return Ok(());
        }
        to.write_all(&chunk[..read]).await?;
    }
}
