//! The one task that owns the engine.

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

/// Events of the services that may be queued. A check that finds the queue full is rejected at once; a report
/// waits, and holds back its stream.
pub const SERVICE_QUEUE: usize = 4096;
/// Events of the clients that may be queued; a client waits while the queue is full.
pub const CLIENT_QUEUE: usize = 1024;
/// Calls that may be queued for the counter client; a further one counts as rejected.
pub const CALL_QUEUE: usize = 1024;
/// Events of one queue that are handled before timers and outputs are.
const BATCH: usize = 64;

/// What a check's service waits for.
pub type OutcomeSender = oneshot::Sender<(CheckOutcome, DeliveryId)>;

/// A check, with where its outcome goes.
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
    /// Seconds.
    pub elapsed: Option<f64>,
    pub settled_units: Option<f64>,
}

/// An event from the gRPC services or the admin page.
#[derive(Debug)]
pub enum ServiceEvent {
    Check(Box<PendingCheck>),
    /// The client closed while its check was pending.
    ClientClosed(CallerId),
    /// The client closed before it read the outcome.
    Undelivered(DeliveryId),
    Report(AttemptReport),
    GetStatus(oneshot::Sender<GatewayStatus>),
}

/// An event from the counter client or the discovery client.
#[derive(Debug)]
pub enum ClientEvent {
    /// A counter call ended. `total` is in units, `elapsed` in seconds.
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

/// The gateway's state, as `GET /stats` shows it.
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
    /// Lines that the log could not write.
    pub log_lines_dropped: u64,
}

/// The engine with its clock and its channels.
pub struct EngineTask {
    pub engine: Engine,
    pub instance: u32,
    pub incarnation: u64,
    pub clock: Clock,
    pub service_events: mpsc::Receiver<ServiceEvent>,
    pub client_events: mpsc::Receiver<ClientEvent>,
    /// `None`: there is no counter.
    pub counter_calls: Option<mpsc::Sender<CounterCall>>,
    /// Set once the endpoint list is to be watched.
    pub watch_endpoints: watch::Sender<bool>,
    /// What a graceful shutdown waits for.
    pub pending: watch::Sender<usize>,
    pub metrics: Arc<Metrics>,
    pub pending_checks: HashMap<CallerId, OutcomeSender>,
}

impl EngineTask {
    /// Runs until all services or all clients are gone.
    pub async fn run(mut self) {
        let (mut from_services, mut from_clients) = (Vec::with_capacity(BATCH), Vec::with_capacity(BATCH));
        loop {
            self.carry_out_outputs();
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
                weirusher_panics::reach("engine");
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
                let _ = reply.send(self.status()); // The admin page's client may have closed.
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

    /// Carries out what the engine wants done, until there is nothing more.
    fn carry_out_outputs(&mut self) {
        loop {
            let outputs: Vec<EngineOutput> = self.engine.drain_outputs().collect();
            if outputs.is_empty() {
                break;
            }
            outputs.into_iter().for_each(|output| self.carry_out(output));
        }
        let pending = self.engine.pending();
        self.pending.send_if_modified(|published| std::mem::replace(published, pending) != pending);
    }

    fn carry_out(&mut self, output: EngineOutput) {
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
