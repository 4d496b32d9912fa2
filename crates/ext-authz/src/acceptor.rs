//! Accepts connections, and passes each to the gRPC server once it has sent the HTTP/2 preface.

use crate::connection::Connection;
use crate::metrics::Metrics;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, watch};
use weirusher_net::Listener;

/// The connection preface, which every HTTP/2 client sends first (RFC 9113, section 3.4).
const PREFACE: &[u8; 24] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
/// Time limit for the preface to arrive.
const PREFACE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit for the preface to arrive once the server is stopping.
const PREFACE_TIMEOUT_STOPPING: Duration = Duration::from_millis(250);
/// Interval at which an incomplete preface is checked again.
const PREFACE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Accepts connections up to a limit; a connection beyond the limit is closed at once.
pub struct Acceptor {
    /// One permit per connection that may be open.
    pub slots: Arc<Semaphore>,
    pub metrics: Arc<Metrics>,
    /// Receives the connections that have sent the preface.
    pub ready: mpsc::Sender<Connection>,
    /// Set once the server is stopping.
    pub stopped: watch::Receiver<bool>,
}

impl Acceptor {
    /// Accepts until `stopped` is set and the backlog is empty, then drops the listener. Later connections
    /// are refused at once, so that their clients can try another instance instead of waiting in a backlog
    /// from which no more connections are accepted.
    pub async fn accept(mut self, mut listener: Listener) {
        loop {
            let stream = tokio::select! {
                // The backlog is emptied before `stopped` is handled: dropping the listener would reset the
                // connections in it, and lose the checks that they carry.
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
        tokio::spawn(forward_connection(stream, slot, ready, metrics, stopped));
    }
}

/// Passes a connection to the server once its peer has sent the preface, or closes it if the preface is late.
async fn forward_connection(
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
        let _ = ready.send(Connection::new(stream, slot)).await; // Fails only if the server has ended.
    } else {
        metrics.increment(|m| &m.connections_without_preface);
    }
}

/// Completes when the time limit for the preface has passed.
async fn preface_timeout(mut stopped: watch::Receiver<bool>) {
    let after_stop = async {
        let _ = stopped.wait_for(|stop| *stop).await; // A dropped sender counts as a stop.
        tokio::time::sleep(PREFACE_TIMEOUT_STOPPING).await;
    };
    let _ = tokio::time::timeout(PREFACE_TIMEOUT, after_stop).await; // Whichever ends first.
}

/// Waits for the preface without consuming it. Returns `false` if other bytes arrive or the connection ends.
/// The gRPC server itself waits for the preface without a timeout, so peers that send nothing could otherwise
/// occupy all connection slots.
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
