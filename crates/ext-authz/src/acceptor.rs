//! Accepts connections, and hands them to the gRPC server once they speak HTTP/2.

use crate::connection::Connection;
use crate::metrics::Metrics;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, watch};
use weirusher_net::Listener;

/// What every HTTP/2 client sends first (RFC 9113, 3.4).
const PREFACE: &[u8; 24] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
/// Time in which the preface has to arrive.
const PREFACE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time in which the preface has to arrive once the server stops.
const PREFACE_TIMEOUT_STOPPING: Duration = Duration::from_millis(250);
/// Interval at which an incomplete preface is looked at again.
const PREFACE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Accepts connections up to a limit.
pub struct Acceptor {
    /// One permit for each connection that may be open.
    pub slots: Arc<Semaphore>,
    pub metrics: Arc<Metrics>,
    /// Takes the connections that have sent the preface.
    pub ready: mpsc::Sender<Connection>,
    /// Set once the server stops.
    pub stopped: watch::Receiver<bool>,
}

impl Acceptor {
    /// Accepts until `stopped` is set and the backlog is empty. Then the listener is dropped: a later
    /// connection is refused at once, and may go to another instance, where it would wait in vain in a
    /// backlog.
    pub async fn accept(mut self, mut listener: Listener) {
        loop {
            let stream = tokio::select! {
                // Guards the checks on connections in the backlog: they are accepted first, not reset.
                biased;
                stream = listener.accept() => stream,
                _ = self.stopped.wait_for(|stop| *stop) => return,
            };
            self.start_connection(stream);
        }
    }

    fn start_connection(&self, stream: TcpStream) {
        let Ok(slot) = self.slots.clone().try_acquire_owned() else {
            self.metrics.increment(|m| &m.connections_rejected);
            return;
        };
        let (ready, metrics, stopped) = (self.ready.clone(), self.metrics.clone(), self.stopped.clone());
        tokio::spawn(hand_over(stream, slot, ready, metrics, stopped));
    }
}

/// Hands a connection to the server once its peer has sent the preface.
async fn hand_over(
    stream: TcpStream,
    slot: OwnedSemaphorePermit,
    ready: mpsc::Sender<Connection>,
    metrics: Arc<Metrics>,
    stopped: watch::Receiver<bool>,
) {
    let speaks_http2 = tokio::select! {
        received = receive_preface(&stream) => received,
        () = preface_timeout(stopped) => false,
    };
    if speaks_http2 {
        let _ = ready.send(Connection::new(stream, slot)).await; // The server may have ended.
    } else {
        metrics.increment(|m| &m.connections_without_preface);
    }
}

/// Ends when the preface is late.
async fn preface_timeout(mut stopped: watch::Receiver<bool>) {
    let after_stop = async {
        let _ = stopped.wait_for(|stop| *stop).await; // A dropped sender stops as well.
        tokio::time::sleep(PREFACE_TIMEOUT_STOPPING).await;
    };
    let _ = tokio::time::timeout(PREFACE_TIMEOUT, after_stop).await; // Whichever ends first.
}

/// Waits for the preface without consuming it; `false` if other bytes arrive. Guards the slots against peers
/// that send nothing, as the server itself waits for the preface without a timeout.
async fn receive_preface(stream: &TcpStream) -> bool {
    let mut seen = [0; PREFACE.len()];
    loop {
        match stream.peek(&mut seen).await {
            Ok(n) if n > 0 && PREFACE.starts_with(&seen[..n]) => {
                if n == PREFACE.len() {
                    return true;
                }
                tokio::time::sleep(PREFACE_POLL_INTERVAL).await;
            }
            _ => return false,
        }
    }
}
