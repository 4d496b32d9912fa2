//! The `crowd` fault: a flood of more connections at once than a node has descriptors for. They send no
//! complete request, so the oracle does not require a response for them.

use crate::node::Node;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// The number of connections of a crowd: more than the `sockets` limit in the settings of a node.
const CONNECTIONS: usize = 300;
/// The minimum time for which the connections are held; the duration of the fault is added to it. It is
/// longer than the time for which an idle connection can keep others from being accepted.
const MIN_HOLD_TIME: Duration = Duration::from_millis(2500);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The approximate age at which a node closes an idle connection while others wait. Some connections send
/// their first bytes at about this time, to hit the close.
const IDLE_CLOSE_AGE: Duration = Duration::from_millis(250);
const PARTIAL_HEAD: &[u8] = b"GET /api/0 HTTP/1.1\r\nHost: x\r\nX-Tr";

/// Opens all connections at once, and closes those that are still open after [`MIN_HOLD_TIME`] and `duration`.
pub(super) async fn open_connections(node: &Arc<Node>, duration: Duration, rng: &mut fastrand::Rng) {
    let mut connections = JoinSet::new();
    for _ in 0..CONNECTIONS {
        let (listen, mut rng) = (node.listen, rng.fork());
        connections.spawn(async move {
            if let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(listen)).await {
                // The stream is dropped on a timeout, which closes the connection.
                let _ = timeout(MIN_HOLD_TIME + duration, hold_connection(stream, &mut rng)).await;
            }
        });
    }
    while connections.join_next().await.is_some() {}
}

/// Holds a connection until the node closes it; it sends nothing, or an incomplete request head early or late.
async fn hold_connection(mut stream: TcpStream, rng: &mut fastrand::Rng) {
    let written = match rng.u8(0..3) {
        0 => Ok(()),
        1 => stream.write_all(PARTIAL_HEAD).await,
        _ => {
            let jitter = Duration::from_millis(rng.u64(0..20));
            sleep(IDLE_CLOSE_AGE - Duration::from_millis(10) + jitter).await;
            stream.write_all(PARTIAL_HEAD).await
        }
    };
    if written.is_ok() {
        while matches!(stream.read(&mut [0; 512]).await, Ok(1..)) {}
    }
}
