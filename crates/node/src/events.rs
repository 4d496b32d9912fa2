//! Reports events at the sockets to the proxy core, and carries out the outputs that follow.

use crate::client_socket::ClientSocket;
use crate::context::{ClientResponse, NodeContext, NodeState, PendingRequest, RunningAttempt};
use crate::log::log_step;
use std::rc::Rc;
use tokio::sync::oneshot;
use weirusher::{LoadReport, Reason, RequestId, Status};
use weirusher_buffers::SegmentedBytes;
use weirusher_core::{IncomingRequest, Outcome, RequestStatus, Shutdown};
use weirusher_platform::backend::ForwardedRequest;
use weirusher_platform::list::ListUpdate;

/// The result of an attempt.
pub struct AttemptResult {
    pub status: Status,
    pub load: LoadReport,
    /// The body of the response, if it was received completely.
    pub response: Option<SegmentedBytes>,
}

impl AttemptResult {
    /// The result of an attempt without a complete response.
    pub fn without_response(status: Status) -> Self {
        Self { status, load: LoadReport::default(), response: None }
    }
}

impl NodeContext {
    /// Handles a request that was read completely. Returns the receiver of its response, or `None` if a
    /// request with the same id is open.
    pub fn handle_request(
        self: &Rc<Self>,
        request: IncomingRequest,
        forwarded: ForwardedRequest,
        client: ClientSocket,
    ) -> Option<oneshot::Receiver<ClientResponse>> {
        let (response, receiver) = oneshot::channel();
        {
            let state = &mut *self.state.borrow_mut();
            let id = request.id.clone();
            if state.proxy.handle_request(self.now(), request) == RequestStatus::Duplicate {
                return None;
            }
            weirusher_panics::fault_point("state change");
            let pending = PendingRequest { client, forwarded: Rc::new(forwarded), response };
            state.pending.insert(id, pending);
        }
        self.carry_out_outputs();
        Some(receiver)
    }

    /// Withdraws a pending request whose client has disconnected.
    pub fn handle_client_gone(self: &Rc<Self>, id: &RequestId) {
        {
            let state = &mut *self.state.borrow_mut();
            state.pending.remove(id);
            log_step!(self, %id, "client disconnected, request withdrawn");
            state.proxy.handle_client_gone(self.now(), id);
        }
        self.carry_out_outputs();
    }

    /// Reports that a client connection was closed while `unanswered` requests that were read from it had no
    /// response.
    pub fn handle_connection_closed(&self, unanswered: usize) {
        if unanswered > 0 {
            tracing::error!(unanswered, "a client connection was closed with requests that have no response");
            self.state.borrow_mut().proxy.handle_connection_closed(unanswered);
        }
    }

    /// Handles the end of an attempt. Answers the client if the proxy core selects the response of this
    /// attempt.
    pub fn handle_attempt_ended(self: &Rc<Self>, id: &RequestId, attempt: u32, result: AttemptResult) {
        {
            let state = &mut *self.state.borrow_mut();
            state.attempts.remove(&(id.clone(), attempt));
            let status = result.status;
            let serves = state.proxy.handle_attempt_ended(self.now(), id, attempt, status, result.load);
            log_step!(self, %id, attempt, ?status, serves, "attempt ended");
            if serves {
                let missing = Outcome::Failed { reason: Reason::AttemptsFailed };
                let response =
                    result.response.map_or(ClientResponse::Outcome(missing), ClientResponse::Served);
                self.respond(state, id, response);
            }
        }
        self.carry_out_outputs();
    }

    /// Sets whether a counter is configured. If not, the queued calls fail.
    pub fn set_has_counter(self: &Rc<Self>, configured: bool) {
        self.has_counter.set(configured);
        if configured {
            return;
        }
        let calls = std::mem::take(&mut self.state.borrow_mut().counter_calls);
        for call in calls {
            self.handle_counter_response(call.call, Status::ConnectFailed, 0.0, 0.0);
        }
    }

    /// Handles the end of a counter call. `total` is the new value of the counter, `elapsed` the duration of
    /// the call in seconds.
    pub fn handle_counter_response(self: &Rc<Self>, call: u64, status: Status, total: f64, elapsed: f64) {
        self.state.borrow_mut().proxy.handle_counter_response(self.now(), call, status, total, elapsed);
        self.carry_out_outputs();
    }

    /// Applies an endpoint list. Idle connections to processes that drain or were replaced are closed. Attempts
    /// to them end, unless they have started to write.
    pub fn handle_endpoint_list(self: &Rc<Self>, mut update: ListUpdate) {
        if !update.problems.is_empty() {
            let entries: Vec<String> = update.problems.iter().map(ToString::to_string).collect();
            tracing::warn!(
                ?entries,
                "the endpoint list has invalid entries; their backends get no new requests"
            );
        }
        {
            let state = &mut *self.state.borrow_mut();
            state.backends.apply(&mut update);
            let now = self.now();
            let backends = &state.backends;
            state.pool.evict(now, |endpoint| backends.accepts(endpoint));
            state.proxy.handle_endpoint_list(now, update.kind, update.endpoints);
            state.cancel_unsent_attempts(now);
        }
        self.has_endpoint_list.set(true);
        self.carry_out_outputs();
    }

    /// Records that discovery has confirmed the endpoint list as unchanged.
    pub fn handle_endpoint_list_confirmed(&self) {
        self.state.borrow_mut().proxy.handle_endpoint_list_confirmed(self.now());
    }

    /// Runs the timers of the proxy core that are due.
    pub fn handle_timeout(self: &Rc<Self>) {
        self.state.borrow_mut().proxy.handle_timeout(self.now());
        self.carry_out_outputs();
    }

    /// Begins the shutdown and returns its schedule.
    pub fn begin_shutdown(self: &Rc<Self>) -> Shutdown {
        let shutdown = {
            let state = &mut *self.state.borrow_mut();
            let shutdown = state.proxy.begin_shutdown(self.now());
            state.slots.begin_shutdown(shutdown);
            self.shutdown_started_at.set(Some(shutdown.started_at));
            self.eviction_wakeup.set(state.slots.next_eviction());
            shutdown
        };
        self.carry_out_outputs();
        shutdown
    }
}

impl NodeState {
    /// Ends the attempts to processes that accept no new requests, unless they have started to write.
    fn cancel_unsent_attempts(&mut self, now: f64) {
        let backends = &self.backends;
        let accepts = |running: &RunningAttempt| {
            running.endpoint.as_ref().is_some_and(|endpoint| backends.accepts(endpoint))
        };
        let is_unsent = |(_, running): &(&(RequestId, u32), &mut RunningAttempt)| {
            !running.write_started.get() && !accepts(running)
        };
        let unsent: Vec<_> = self.attempts.iter_mut().filter(is_unsent).map(|(key, _)| key.clone()).collect();
        for key in unsent {
            if let Some(running) = self.attempts.remove(&key) {
                running.task.abort();
            }
            self.proxy.handle_attempt_ended(now, &key.0, key.1, Status::NotSent, LoadReport::default());
        }
    }
}
