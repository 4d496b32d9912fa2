//! Selects a pipelined connection for each counter call, and limits when new connections are opened.

use crate::backoff::Backoff;
use crate::pipeline::{EndedCall, Pipeline, UnexpectedResponse};
use std::collections::HashMap;
use weirusher::Time;

/// Maximum number of connections to one address of the counter. There are several, so that a response that
/// never completes delays only the calls on its own connection.
const MAX_CONNECTIONS: usize = 6;

/// The connection on which a call is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route {
    /// On this connection, which is open or being opened.
    Existing(usize),
    /// On this connection, which the caller must open first.
    New(usize),
    /// None: no connection may be opened yet, or all are full.
    Unavailable,
}

/// A call to a counter, as stored in a connection's pipeline.
#[derive(Debug, Clone, Copy)]
struct CounterCall {
    call: u64,
    counter: u64,
}

#[derive(Debug)]
struct Connection {
    /// Whether the connection is open or being opened.
    open: bool,
    /// Whether it has answered a call since it was opened.
    responded: bool,
    pipeline: Pipeline<CounterCall>,
}

/// The connection that a counter's pending calls are on.
#[derive(Debug)]
struct CounterRoute {
    connection: usize,
    pending: u32,
}

/// The pipelined connections to one address of the counter.
///
/// Calls to one counter stay in order: while one is pending, the next follows it on its connection. Any other
/// call goes on the connection with the fewest pending calls, preferably one that has no timed-out call
/// outstanding.
#[derive(Debug)]
pub struct CounterConnections {
    call_timeout: f64,
    connections: Vec<Connection>,
    /// The routes of counters with pending calls, by counter.
    routes: HashMap<u64, CounterRoute>,
    backoff: Backoff,
    /// No connection is opened before this time.
    reconnect_at: Time,
}

impl CounterConnections {
    /// Creates the set with no connection open. A call times out after `call_timeout` seconds. `seed` seeds
    /// the jitter of the backoff.
    pub fn new(call_timeout: f64, seed: u64) -> Self {
        let connection =
            |_| Connection { open: false, responded: false, pipeline: Pipeline::new(call_timeout) };
        Self {
            call_timeout,
            connections: (0..MAX_CONNECTIONS).map(connection).collect(),
            routes: HashMap::new(),
            backoff: Backoff::new(seed),
            reconnect_at: 0.0,
        }
    }

    /// Selects the connection for a call to `counter`, and records the call as pending on it.
    pub fn send(&mut self, now: Time, call: u64, counter: u64) -> Route {
        let route = self.choose(now, counter);
        let (Route::Existing(index) | Route::New(index)) = route else { return Route::Unavailable };
        if self.connections[index].pipeline.send(now, CounterCall { call, counter }).is_err() {
            return Route::Unavailable;
        }
        self.connections[index].open = true;
        self.routes.entry(counter).or_insert(CounterRoute { connection: index, pending: 0 }).pending += 1;
        route
    }

    fn choose(&self, now: Time, counter: u64) -> Route {
        if let Some(route) = self.routes.get(&counter) {
            return Route::Existing(route.connection);
        }
        let load = |index: &usize| {
            let pipeline = &self.connections[*index].pipeline;
            (pipeline.has_timed_out_calls(), pipeline.pending_calls())
        };
        let least_loaded =
            (0..MAX_CONNECTIONS).filter(|index| self.connections[*index].open).min_by_key(load);
        if let Some(idle) = least_loaded.filter(|index| load(index) == (false, 0)) {
            return Route::Existing(idle);
        }
        let closed = self.connections.iter().position(|connection| !connection.open);
        match (closed.filter(|_| now >= self.reconnect_at), least_loaded) {
            (Some(closed), _) => Route::New(closed),
            (None, Some(open)) => Route::Existing(open),
            (None, None) => Route::Unavailable,
        }
    }

    /// Records that the next response on a connection has started to arrive.
    pub fn response_started(&mut self, now: Time, connection: usize) {
        self.connections[connection].pipeline.response_started(now);
    }

    /// Records that the next response on a connection is complete. Returns its call, or `None` if the call
    /// has timed out.
    ///
    /// # Errors
    /// No call is pending: the connection must be closed.
    pub fn response_completed(
        &mut self,
        now: Time,
        connection: usize,
    ) -> Result<Option<EndedCall<u64>>, UnexpectedResponse> {
        let ended = self.connections[connection].pipeline.response_completed(now)?;
        self.connections[connection].responded = true;
        self.backoff.reset();
        Ok(ended.map(|ended| self.end_call(ended)))
    }

    /// Takes the calls of a connection that have timed out by `now`.
    pub fn take_timed_out(&mut self, now: Time, connection: usize) -> Vec<EndedCall<u64>> {
        let ended = self.connections[connection].pipeline.take_timed_out(now);
        ended.into_iter().map(|ended| self.end_call(ended)).collect()
    }

    /// When [`CounterConnections::take_timed_out`] or [`CounterConnections::is_unresponsive`] should be
    /// called next.
    pub fn deadline(&self, connection: usize) -> Option<Time> {
        self.connections[connection].pipeline.deadline()
    }

    /// Whether the connection has stopped responding and should be closed.
    pub fn is_unresponsive(&self, now: Time, connection: usize) -> bool {
        self.connections[connection].pipeline.is_unresponsive(now)
    }

    /// Records that a connection was closed, and returns the calls that were still pending on it. A
    /// connection that never answered counts as a failure, which starts the backoff.
    pub fn closed(&mut self, now: Time, connection: usize) -> Vec<EndedCall<u64>> {
        let closed = &mut self.connections[connection];
        closed.open = false;
        if !std::mem::take(&mut closed.responded) {
            self.reconnect_at = now + self.backoff.next_delay();
        }
        let ended = closed.pipeline.close(now);
        closed.pipeline = Pipeline::new(self.call_timeout);
        ended.into_iter().map(|ended| self.end_call(ended)).collect()
    }

    fn end_call(&mut self, ended: EndedCall<CounterCall>) -> EndedCall<u64> {
        let EndedCall { call: CounterCall { call, counter }, elapsed } = ended;
        if let Some(route) = self.routes.get_mut(&counter) {
            route.pending -= 1;
            if route.pending == 0 {
                self.routes.remove(&counter);
            }
        }
        EndedCall { call, elapsed }
    }
}

#[cfg(test)]
mod tests;
