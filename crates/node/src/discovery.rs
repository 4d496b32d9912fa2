//! The client of discovery: polls for the endpoint list over the connections that [`EndpointWatch`] opens and
//! closes.

mod poll;

use crate::context::NodeContext;
use poll::{Poll, PollError, PollResponse};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::{AbortHandle, JoinSet};
use weirusher::EndpointListKind;
use weirusher_core::{EndpointWatch, PollTiming, WatchConnection, WatchOutput};
use weirusher_platform::list::{ListState, ListUpdate};

/// Pause before the next poll if discovery has responded at once, with a change or without. It bounds the load from
/// a discovery service that never waits, and is short enough that the next poll is still in time.
const IMMEDIATE_RESPONSE_PAUSE: Duration = Duration::from_millis(10);
/// Maximum number of different errors that are logged between two responses.
const MAX_LOGGED_ERRORS: usize = 8;

/// The client of discovery at one address.
pub struct DiscoveryClient {
    node: Rc<NodeContext>,
    address: SocketAddr,
    watch: EndpointWatch,
    list: ListState,
    polls: JoinSet<(WatchConnection, Result<PollResponse, PollError>)>,
    /// The tasks of the polls in flight. A poll that is not in this map was abandoned.
    tasks: HashMap<WatchConnection, AbortHandle>,
    /// Reports connections on which a part of a response was received.
    started: UnboundedSender<WatchConnection>,
    /// When the last poll was sent.
    last_poll_at: f64,
    /// Errors that were logged since the last response, so that the same error is not logged for every poll.
    logged_errors: Vec<String>,
}

impl DiscoveryClient {
    /// Watches the endpoint list of the discovery service at `address` until the task is aborted.
    pub async fn run(node: Rc<NodeContext>, address: SocketAddr, timing: PollTiming, seed: u64) {
        let (started, receiver) = unbounded_channel();
        let client = Self {
            watch: EndpointWatch::new(node.now(), timing, seed),
            node,
            address,
            list: ListState::default(),
            polls: JoinSet::new(),
            tasks: HashMap::new(),
            started,
            last_poll_at: f64::NEG_INFINITY,
            logged_errors: Vec::new(),
        };
        client.watch_list(receiver).await;
    }

    async fn watch_list(mut self, mut started: UnboundedReceiver<WatchConnection>) {
        loop {
            let outputs = self.watch.handle_timeout(self.node.now());
            self.carry_out(outputs);
            let next = self.node.clock.instant(self.watch.next_timeout());
            tokio::select! {
                // Responses first: after a stall of the process they are already buffered in the sockets, and
                // no further poll is needed.
                biased;
                Some(ended) = self.polls.join_next() => {
                    match ended {
                        Ok((connection, response)) => self.handle_poll_ended(connection, response),
                        Err(error) if error.is_panic() => self.node.failure.raise(),
                        Err(_) => {} // The poll was aborted.
                    }
                }
                Some(connection) = started.recv() => {
                    self.watch.handle_partial_response(self.node.now(), connection);
                }
                () = tokio::time::sleep_until(next) => {}
            }
        }
    }

    fn carry_out(&mut self, outputs: Vec<WatchOutput>) {
        for output in outputs {
            match output {
                WatchOutput::Open(connection) => {
                    if !self.tasks.is_empty() {
                        self.log_error(&PollError::Timeout);
                    }
                    let target = ListState::COMPLETE_LIST_TARGET.to_string();
                    self.start_poll(connection, None, target, Duration::ZERO);
                }
                WatchOutput::Close(connection) => {
                    if let Some(task) = self.tasks.remove(&connection) {
                        task.abort();
                    }
                }
            }
        }
    }

    fn start_poll(
        &mut self,
        connection: WatchConnection,
        stream: Option<TcpStream>,
        target: String,
        pause: Duration,
    ) {
        self.last_poll_at = self.node.now() + pause.as_secs_f64();
        let (started, budget) = (self.started.clone(), self.node.memory.services.clone());
        let poll = Poll { connection, address: self.address, stream, target, budget, started };
        let task = self.polls.spawn_local(async move {
            if !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
            (connection, poll.send().await)
        });
        self.tasks.insert(connection, task);
    }

    fn handle_poll_ended(&mut self, connection: WatchConnection, response: Result<PollResponse, PollError>) {
        // The response to an abandoned poll may be older than the list in use, and must not change its
        // version.
        if self.tasks.remove(&connection).is_none() {
            return;
        }
        let response = match response {
            Ok(response) => response,
            Err(error) => return self.handle_failure(connection, &error),
        };
        match self.list.apply(&response.body) {
            Ok(Some(update)) => self.handle_update(connection, response.stream, update),
            Ok(None) => self.handle_failure(connection, &PollError::OutdatedChanges),
            Err(error) => self.handle_failure(connection, &error.into()),
        }
    }

    fn handle_update(&mut self, connection: WatchConnection, stream: Option<TcpStream>, update: ListUpdate) {
        let now = self.node.now();
        let Some(outputs) = self.watch.handle_response(now, connection) else { return };
        self.node.list_current_until.set(now + self.watch.max_staleness());
        self.carry_out(outputs);
        if !std::mem::take(&mut self.logged_errors).is_empty() {
            tracing::info!("discovery responds again");
        }
        // Most responses contain no change; they are not passed to the policy.
        if update.kind != EndpointListKind::Delta || !update.backends.is_empty() {
            self.node.handle_endpoint_list(update);
        } else {
            self.node.handle_endpoint_list_confirmed();
        }
        let has_waited = now - self.last_poll_at >= self.watch.wait() / 2.0;
        let pause = if has_waited { Duration::ZERO } else { IMMEDIATE_RESPONSE_PAUSE };
        self.start_poll(connection, stream, self.list.poll_target(self.watch.wait()), pause);
    }

    fn handle_failure(&mut self, connection: WatchConnection, error: &PollError) {
        self.watch.handle_closed(self.node.now(), connection);
        self.log_error(error);
    }

    fn log_error(&mut self, error: &PollError) {
        let error = error.to_string();
        if self.logged_errors.len() < MAX_LOGGED_ERRORS && !self.logged_errors.contains(&error) {
            tracing::info!(error, "discovery poll failed, will retry; the last endpoint list stays in use");
            self.logged_errors.push(error);
        }
    }
}
