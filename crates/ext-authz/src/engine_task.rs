//! The task that owns the engine and serializes all access to it.

use crate::metrics::{Metrics, MetricsSnapshot};
use serde::Serialize;
use std::collections::HashMap;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot, watch};
use weirusher::{Endpoint, EndpointListKind, Status};
use weirusher_clock::Clock;
use weirusher_core::{
    CallerId, Check, CheckOutcome, Command, Completion, DeliveryId, Engine, EngineMetrics, EngineOutput,
    Report,
};

/// Capacity of the queue of events from the services. While it is full, checks are rejected at once, and a
/// report waits, which applies backpressure to its stream.
pub const SERVICE_QUEUE: usize = 4096;
/// Capacity of the queue of events from the counter and discovery clients, which wait while it is full.
pub const CLIENT_QUEUE: usize = 1024;
/// Capacity of the queue of calls for the counter client; a call that finds it full counts as rejected.
pub const CALL_QUEUE: usize = 1024;
/// Maximum number of events of one queue that are handled before timers and outputs are.
const BATCH: usize = 64;

/// Sends the outcome of a check to the service that waits for it.
pub type OutcomeSender = oneshot::Sender<(CheckOutcome, DeliveryId)>;

/// A check, and the channel for its outcome.
#[derive(Debug)]
pub struct PendingCheck {
    pub caller: CallerId,
    pub check: Check,
    pub outcome: OutcomeSender,
}

/// A report about an attempt; see [`Report`].
#[derive(Debug)]
pub struct AttemptReport {
    pub ticket: String,
    pub completion: Completion,
    /// Duration of the attempt in seconds, if it is known.
    pub elapsed: Option<f64>,
    /// Units that the request used, if the backend stated them.
    pub settled_units: Option<f64>,
}

/// An event from the gRPC services or the admin page.
#[derive(Debug)]
pub enum ServiceEvent {
    Check(Box<PendingCheck>),
    /// The client closed its stream while its check was pending.
    ClientClosed(CallerId),
    /// The client closed its stream before the outcome was delivered.
    Undelivered(DeliveryId),
    Report(AttemptReport),
    GetStatus(oneshot::Sender<GatewayStatus>),
}

/// An event from the counter client or the discovery client.
#[derive(Debug)]
pub enum ClientEvent {
    /// A counter call ended. `total` is the counter's new value in units, `elapsed` is in seconds.
    CounterResponse {
        call: u64,
        status: Status,
        total: f64,
        elapsed: f64,
    },
    EndpointList {
        kind: EndpointListKind,
        endpoints: Vec<Endpoint>,
    },
}

/// A call for the counter client; see [`Command::AddToCounter`].
#[derive(Debug)]
pub struct CounterCall {
    pub call: u64,
    pub counter: u64,
    pub amount: f64,
    pub ttl: f64,
}

/// The state of the gateway, as `GET /stats` returns it.
#[derive(Debug, Serialize)]
pub struct GatewayStatus {
    pub instance: u32,
    #[serde(rename = "epoch")]
    pub incarnation: u64,
    #[serde(rename = "open")]
    pub open_requests: usize,
    #[serde(rename = "owed")]
    pub pending: usize,
    #[serde(rename = "ledger")]
    pub engine: EngineMetrics,
    pub process: MetricsSnapshot,
    /// Log lines that could not be written.
    pub log_lines_dropped: u64,
}

/// The engine, its clock and its channels.
pub struct EngineTask {
    pub engine: Engine,
    pub instance: u32,
    pub incarnation: u64,
    pub clock: Clock,
    pub service_events: mpsc::Receiver<ServiceEvent>,
    pub client_events: mpsc::Receiver<ClientEvent>,
    /// `None` if no counter is configured.
    pub counter_calls: Option<mpsc::Sender<CounterCall>>,
    /// Set when the engine first asks for updates of the endpoint list.
    pub watch_endpoints: watch::Sender<bool>,
    /// The number of pending checks and attempts, which a graceful shutdown waits for.
    pub pending: watch::Sender<usize>,
    pub metrics: Arc<Metrics>,
    pub pending_checks: HashMap<CallerId, OutcomeSender>,
}

impl EngineTask {
    /// Runs until all services or all clients have dropped their senders.
    pub async fn run(mut self) {
        let (mut from_services, mut from_clients) = (Vec::with_capacity(BATCH), Vec::with_capacity(BATCH));
        loop {
            self.handle_outputs();
            let deadline = self.engine.next_timeout();
            tokio::select! {
                biased;
                received = self.client_events.recv_many(&mut from_clients, BATCH) => {
                    if received == 0 {
                        return;
                    }
                    from_clients.drain(..).for_each(|event| self.handle_client_event(event));
                }
                received = self.service_events.recv_many(&mut from_services, BATCH) => {
                    if received == 0 {
                        return;
                    }
                    from_services.drain(..).for_each(|event| self.handle_service_event(event));
                }
                () = self.clock.sleep_until(deadline) => {}
            }
            self.engine.handle_timeout(self.clock.now());
        }
    }

    fn handle_client_event(&mut self, event: ClientEvent) {
        let now = self.clock.now();
        match event {
            ClientEvent::CounterResponse { call, status, total, elapsed } => {
                self.engine.handle_counter_response(now, call, status, total, elapsed);
            }
            ClientEvent::EndpointList { kind, endpoints } => {
                self.engine.handle_endpoint_list(now, kind, endpoints);
            }
        }
    }

    fn handle_service_event(&mut self, event: ServiceEvent) {
        let now = self.clock.now();
        match event {
            ServiceEvent::Check(pending) => {
                weirusher_panics::fault_point("engine");
                let PendingCheck { caller, check, outcome } = *pending;
                self.pending_checks.insert(caller, outcome);
                self.engine.handle_check(now, caller, &check);
            }
            ServiceEvent::ClientClosed(caller) => {
                self.pending_checks.remove(&caller);
                self.engine.handle_client_closed(now, caller);
            }
            ServiceEvent::Undelivered(delivery) => self.engine.handle_undelivered(now, delivery),
            ServiceEvent::Report(AttemptReport { ticket, completion, elapsed, settled_units }) => {
                self.engine
                    .handle_report(now, &Report { ticket: &ticket, completion, elapsed, settled_units });
            }
            ServiceEvent::GetStatus(reply) => {
                let _ = reply.send(self.status()); // The client of the admin page may have disconnected.
            }
        }
    }

    fn status(&self) -> GatewayStatus {
        GatewayStatus {
            instance: self.instance,
            incarnation: self.incarnation,
            open_requests: self.engine.open_requests(),
            pending: self.engine.pending(),
            engine: self.engine.metrics(),
            process: self.metrics.snapshot(),
            log_lines_dropped: weirusher_log::dropped_lines(),
        }
    }

    /// Handles the engine's outputs until it produces no more, as handling one may cause another.
    fn handle_outputs(&mut self) {
        loop {
            let outputs: Vec<EngineOutput> = self.engine.drain_outputs().collect();
            if outputs.is_empty() {
                break;
            }
            outputs.into_iter().for_each(|output| self.handle_output(output));
        }
        let pending = self.engine.pending();
        self.pending.send_if_modified(|published| std::mem::replace(published, pending) != pending);
    }

    fn handle_output(&mut self, output: EngineOutput) {
        match output {
            EngineOutput::CheckOutcome { caller, outcome, delivery } => {
                let sender = self.pending_checks.remove(&caller);
                if sender.is_none_or(|sender| sender.send((outcome, delivery)).is_err()) {
                    self.engine.handle_undelivered(self.clock.now(), delivery);
                }
            }
            EngineOutput::Command(Command::AddToCounter { call, counter, amount, ttl }) => {
                let counter_call = CounterCall { call, counter, amount, ttl };
                let queued =
                    self.counter_calls.as_ref().is_some_and(|calls| calls.try_send(counter_call).is_ok());
                if !queued {
                    self.metrics.increment(|m| &m.counter_lost);
                    self.engine.handle_counter_response(self.clock.now(), call, Status::Rejected, 0.0, 0.0);
                }
            }
            EngineOutput::Command(Command::WatchEndpoints) => {
                self.watch_endpoints.send_replace(true);
            }
            EngineOutput::Command(Command::Log(text)) => tracing::info!(%text, "decisions"),
        }
    }
}

#[cfg(test)]
mod tests;
