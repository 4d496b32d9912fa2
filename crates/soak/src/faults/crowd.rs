//! Crowds: more connections at once than a node has descriptors for. They send no complete request, and are owed nothing.

use crate::node::Node;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Connections of a crowd, beyond the descriptors of the settings.
const CONNECTIONS: usize = 300;
/// A crowd stays so much longer than the plan says: longer than an idle connection may keep others out.
const MIN_STAY: Duration = Duration::from_millis(2500);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// About when the node closes a connection that says nothing while others wait: bytes arrive in that moment.
const CLOSE_DELAY: Duration = Duration::from_millis(250);
const PART_OF_A_HEAD: &[u8] = b"GET /api/0 HTTP/1.1\r\nHost: x\r\nX-Tr";

/// Opens the connections at once, and closes those that are still open after a while.
pub(super) async fn gather(node: &Arc<Node>, duration: Duration, rng: &mut fastrand::Rng) {
    let mut members = JoinSet::new();
    for _ in 0..CONNECTIONS {
        let (listen, mut rng) = (node.listen, rng.fork());
        members.spawn(async move {
            if let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(listen)).await {
                let _ = timeout(MIN_STAY + duration, stay(stream, &mut rng)).await; // It leaves then.
            }
        });
    }
    while members.join_next().await.is_some() {}
}

/// Stays until the connection ends.
async fn stay(mut stream: TcpStream, rng: &mut fastrand::Rng) {
    let written = match rng.u8(0..3) {
        0 => Ok(()),
        1 => stream.write_all(PART_OF_A_HEAD).await,
        _ => {
            let early = Duration::from_millis(rng.u64(0..20));
            sleep(CLOSE_DELAY - Duration::from_millis(10) + early).await;
            stream.write_all(PART_OF_A_HEAD).await
        }
    };
    if written.is_ok() {
        while matches!(stream.read(&mut [0; 512]).await, Ok(1..)) {}
    }
}
