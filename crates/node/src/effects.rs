//! Carries out the outputs of the proxy core.

use crate::attempt::{self, Attempt};
use crate::context::{ClientResponse, CounterCall, NodeContext, NodeState, RunningAttempt};
use crate::log::log_step;
use std::cell::Cell;
use std::rc::Rc;
use weirusher::{RequestId, Status};
use weirusher_core::{Command, NewAttempt, Outcome, ProxyOutput};

/// Maximum number of queued counter calls; further calls are rejected immediately.
const MAX_QUEUED_COUNTER_CALLS: usize = 4096;

impl NodeContext {
    /// Carries out all outputs of the proxy core, in order.
    pub fn carry_out_outputs(self: &Rc<Self>) {
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        let mut outputs = std::mem::take(&mut state.outputs);
        state.proxy.take_outputs(&mut outputs);
        let (mut calls_queued, mut rejected_calls) = (false, Vec::new());
        for output in outputs.drain(..) {
            match output {
                ProxyOutput::Forward(attempt) => self.start_attempt(state, attempt),
                ProxyOutput::Abort { request, attempt } => self.abort_attempt(state, request, attempt),
                ProxyOutput::AttemptPrevented { request, attempt, violation } => {
                    tracing::error!(id = %request, attempt, %violation, "the guard prevented an attempt");
                }
                ProxyOutput::Respond { request, outcome } => {
                    self.respond(state, &request, ClientResponse::Outcome(outcome));
                }
                ProxyOutput::Command(Command::AddToCounter { call, counter, amount, ttl }) => {
                    if self.queue_counter_call(state, CounterCall { call, counter, amount, ttl }) {
                        calls_queued = true;
                    } else {
                        rejected_calls.push(call);
                    }
                }
                ProxyOutput::Command(Command::WatchEndpoints) => {} // The list is watched from the start.
                ProxyOutput::Command(Command::Log(text)) => tracing::info!(%text, "decisions"),
            }
        }
        state.outputs = outputs;
        self.proxy_wakeup.set(state.proxy.next_timeout());
        if calls_queued {
            self.counter_calls_queued.notify_one();
        }
        if rejected_calls.is_empty() {
            return;
        }
        for call in rejected_calls {
            state.proxy.handle_counter_response(self.now(), call, Status::Rejected, 0.0, 0.0);
        }
        // Requests that waited for these calls are decided now. The recursion ends because the policy does not
        // immediately call a counter again that has rejected a call.
        drop(guard);
        self.carry_out_outputs();
    }

    /// Passes the response to the connection task of a pending request.
    pub fn respond(&self, state: &mut NodeState, id: &RequestId, response: ClientResponse) {
        match &response {
            ClientResponse::Served(response) => {
                log_step!(self, %id, bytes = response.len(), "request served");
            }
            ClientResponse::Outcome(Outcome::Rejected { retry_after, reason }) => {
                log_step!(self, %id, %reason, retry_after, "request rejected");
            }
            ClientResponse::Outcome(Outcome::Failed { reason }) => {
                log_step!(self, %id, %reason, "request failed");
            }
        }
        if let Some(pending) = state.pending.remove(id) {
            let _ = pending.response.send(response); // Fails only if the client has just disconnected.
        }
    }

    /// Starts an attempt in a task of its own.
    fn start_attempt(self: &Rc<Self>, state: &mut NodeState, new: NewAttempt) {
        let NewAttempt { request: id, number, backend, timeout, write_timeout } = new;
        let Some(forwarded) = state.pending.get(&id).map(|pending| pending.forwarded.clone()) else { return };
        let endpoint = state.backends.endpoint(&backend);
        log_step!(self, %id, attempt = number, %backend, timeout, write_timeout, "attempt started");
        let write_started = Rc::new(Cell::new(false));
        let attempt = Attempt {
            id: id.clone(),
            number,
            endpoint: endpoint.clone(),
            write_timeout,
            forwarded,
            write_started: write_started.clone(),
        };
        let task = tokio::task::spawn_local(attempt::run(self.clone(), attempt)).abort_handle();
        state.attempts.insert((id, number), RunningAttempt { endpoint, task, write_started });
    }

    /// Aborts the task of an attempt, which closes its connection.
    fn abort_attempt(&self, state: &mut NodeState, id: RequestId, attempt: u32) {
        log_step!(self, %id, attempt, "attempt aborted");
        if let Some(running) = state.attempts.remove(&(id, attempt)) {
            running.task.abort();
        }
    }

    /// Queues a counter call. Returns `false` if there is no counter or the queue is full.
    fn queue_counter_call(&self, state: &mut NodeState, call: CounterCall) -> bool {
        let has_capacity = self.has_counter.get() && state.counter_calls.len() < MAX_QUEUED_COUNTER_CALLS;
        if has_capacity {
            state.counter_calls.push_back(call);
        }
        has_capacity
    }
}
