//! The task that drives the membership state machine and owns its socket.

use crate::clock;
use crate::event_log::EventLog;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use weirusher_fleet::{MAX_DATAGRAM_BYTES, Membership, View, ViewSummary};

/// Maximum number of datagrams read before timers are checked again.
const MAX_READ_BATCH: usize = 64;

/// A query from the rest of the process, with the channel for its reply.
#[derive(Debug)]
pub(crate) enum Query {
    View(oneshot::Sender<View>),
    Summary(oneshot::Sender<ViewSummary>),
}

pub(crate) struct Driver {
    membership: Membership,
    socket: UdpSocket,
    queries: mpsc::Receiver<Query>,
    log: EventLog,
}

impl Driver {
    pub fn new(membership: Membership, socket: UdpSocket, queries: mpsc::Receiver<Query>) -> Self {
        Self { membership, socket, queries, log: EventLog::default() }
    }

    /// Drives the state machine until the task is aborted.
    pub async fn run(mut self) {
        let mut queries_open = true;
        loop {
            let wait = self.membership.poll_timeout().saturating_sub(clock::monotonic_now());
            let timeout = Instant::now() + Duration::from_millis(wait);
            tokio::select! {
                ready = self.socket.readable() => {
                    if ready.is_ok() {
                        self.receive();
                        // A socket that is always ready would keep the thread from all other tasks.
                        tokio::task::yield_now().await;
                    }
                }
                () = tokio::time::sleep_until(timeout) => {}
                query = self.queries.recv(), if queries_open => match query {
                    Some(query) => self.answer(query),
                    None => queries_open = false,
                },
            }
            let now = clock::monotonic_now();
            if now >= self.membership.poll_timeout() {
                self.membership.handle_timeout(now);
            }
            self.transmit();
            self.log.record(std::iter::from_fn(|| self.membership.poll_event()), now);
        }
    }

    fn answer(&mut self, query: Query) {
        let now = clock::monotonic_now();
        // The reply fails if the caller was cancelled in the meantime.
        let _ = match query {
            Query::View(reply) => reply.send(self.membership.view(now)).is_ok(),
            Query::Summary(reply) => reply.send(self.membership.view_summary(now)).is_ok(),
        };
    }

    fn receive(&mut self) {
        // One byte more than the longest valid datagram: a longer one is truncated to this size and rejected
        // as oversized.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        for _ in 0..MAX_READ_BATCH {
            match self.socket.try_recv_from(&mut buffer) {
                Ok((bytes, from)) => {
                    self.membership.handle_datagram(from, &buffer[..bytes], clock::monotonic_now());
                }
                // There is nothing more to read, or the kernel reports that a peer's port is closed.
                Err(_) => return,
            }
        }
    }

    fn transmit(&mut self) {
        while let Some((to, bytes)) = self.membership.poll_transmit() {
            // A datagram that cannot be sent counts as lost; the protocol tolerates loss.
            let _ = self.socket.try_send_to(&bytes, to);
        }
    }
}
