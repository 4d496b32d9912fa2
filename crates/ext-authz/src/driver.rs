//! The one task that owns the engine.

use crate::stats::{Snapshot, Stats};
use serde::Serialize;
use std::collections::HashMap;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot, watch};
use weirusher::{Endpoint, EndpointListKind, Status};
use weirusher_clock::Clock;
use weirusher_core::{
    CallerId, Check, CheckOutcome, Command, Completion, DeliveryId, Engine, EngineMetrics, Output, Report,
};

/// Checks and reports that may wait for the driver. A Check that finds it full is refused at once; a report
/// waits, and holds back its stream.
pub const FRONT_QUEUE: usize = 4096;
/// Counter answers and lists that may wait for the driver; their tasks wait with the next one.
pub const WORLD_QUEUE: usize = 1024;
/// Calls that may wait for the counter's task; a further one counts as turned away.
pub const CALL_QUEUE: usize = 1024;
/// Events taken before timers and outputs are looked at again.
const BATCH: usize = 64;

/// A Check with what it needs to be decided.
#[derive(Debug)]
pub struct CheckIn {
    pub caller: CallerId,
    pub check: Check,
    pub reply: oneshot::Sender<(CheckOutcome, DeliveryId)>,
}

/// What fronts tell the driver.
#[derive(Debug)]
pub enum FrontEvent {
    Check(Box<CheckIn>),
    /// The client left while the Check waited.
    Gone(CallerId),
    /// The client left before it read the answer.
    Undelivered(DeliveryId),
    Report {
        ticket: String,
        completion: Completion,
        spent: Option<f64>,
        settled: Option<f64>,
    },
    Show(oneshot::Sender<Shown>),
}

/// What the world tells the driver.
#[derive(Debug)]
pub enum WorldEvent {
    Counted { call: u64, status: Status, total: f64, spent: f64 },
    List { kind: EndpointListKind, servers: Vec<Endpoint> },
}

/// A call for the counter's task.
#[derive(Debug)]
pub struct CounterCall {
    pub call: u64,
    pub counter: u64,
    pub amount: f64,
    pub ttl: f64,
}

/// What the admin page shows.
#[derive(Debug, Serialize)]
pub struct Shown {
    pub instance: u32,
    pub epoch: u64,
    pub open: usize,
    pub owed: usize,
    pub ledger: EngineMetrics,
    pub process: Snapshot,
}

pub struct Driver {
    pub engine: Engine,
    pub identity: (u32, u64),
    pub clock: Clock,
    pub fronts: mpsc::Receiver<FrontEvent>,
    pub world: mpsc::Receiver<WorldEvent>,
    pub calls: Option<mpsc::Sender<CounterCall>>,
    pub follow: watch::Sender<bool>,
    pub owed: watch::Sender<usize>,
    pub stats: Arc<Stats>,
    pub waiting: HashMap<CallerId, oneshot::Sender<(CheckOutcome, DeliveryId)>>,
}

impl Driver {
    /// Runs until all fronts are gone.
    pub async fn run(mut self) {
        let (mut fronts, mut world) = (Vec::with_capacity(BATCH), Vec::with_capacity(BATCH));
        loop {
            self.carry_out();
            let due = self.engine.next_deadline().map(|at| self.clock.instant(at));
            let timer = async {
                match due {
                    Some(at) => tokio::time::sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                taken = self.world.recv_many(&mut world, BATCH) => {
                    if taken == 0 {
                        return;
                    }
                    world.drain(..).for_each(|event| self.world_event(event));
                }
                taken = self.fronts.recv_many(&mut fronts, BATCH) => {
                    if taken == 0 {
                        return;
                    }
                    fronts.drain(..).for_each(|event| self.front_event(event));
                }
                () = timer => {}
            }
            self.engine.advance(self.clock.now());
        }
    }

    fn world_event(&mut self, event: WorldEvent) {
        let now = self.clock.now();
        match event {
            WorldEvent::Counted { call, status, total, spent } => {
                self.engine.counter_response(now, call, status, total, spent)
            }
            WorldEvent::List { kind, servers } => self.engine.update_endpoints(now, kind, servers),
        }
    }

    fn front_event(&mut self, event: FrontEvent) {
        let now = self.clock.now();
        match event {
            FrontEvent::Check(check) => {
                let CheckIn { caller, check, reply } = *check;
                self.waiting.insert(caller, reply);
                self.engine.check(now, caller, &check);
            }
            FrontEvent::Gone(caller) => {
                self.waiting.remove(&caller);
                self.engine.client_closed(now, caller);
            }
            FrontEvent::Undelivered(delivery) => self.engine.undelivered(now, delivery),
            FrontEvent::Report { ticket, completion, spent, settled } => {
                self.engine.report(
                    now,
                    &Report { ticket: &ticket, completion, elapsed: spent, settled_units: settled },
                );
            }
            FrontEvent::Show(reply) => {
                let _ = reply.send(self.show()); // Whoever asked may have left.
            }
        }
    }

    fn show(&self) -> Shown {
        Shown {
            instance: self.identity.0,
            epoch: self.identity.1,
            open: self.engine.open_requests(),
            owed: self.engine.pending(),
            ledger: self.engine.metrics(),
            process: self.stats.snapshot(),
        }
    }

    /// Carries out what the engine wants, until it wants nothing more.
    fn carry_out(&mut self) {
        loop {
            let outputs: Vec<Output> = self.engine.outputs().collect();
            if outputs.is_empty() {
                break;
            }
            outputs.into_iter().for_each(|output| self.output(output));
        }
        let owed = self.engine.pending();
        self.owed.send_if_modified(|shown| std::mem::replace(shown, owed) != owed);
    }

    fn output(&mut self, output: Output) {
        match output {
            Output::CheckOutcome { caller, outcome: answer, delivery } => {
                let reply = self.waiting.remove(&caller);
                if reply.is_none_or(|reply| reply.send((answer, delivery)).is_err()) {
                    self.engine.undelivered(self.clock.now(), delivery);
                }
            }
            Output::Command(Command::AddToCounter { call, counter, amount, ttl }) => {
                let call_out = CounterCall { call, counter, amount, ttl };
                let sent = self.calls.as_ref().is_some_and(|calls| calls.try_send(call_out).is_ok());
                if !sent {
                    self.stats.add(|s| &s.counter_lost);
                    self.engine.counter_response(self.clock.now(), call, Status::Rejected, 0.0, 0.0);
                }
            }
            Output::Command(Command::WatchEndpoints) => {
                self.follow.send_replace(true);
            }
            Output::Command(Command::Log(text)) => tracing::info!(%text, "module"),
        }
    }
}
