//! Gateways: running their engines and carrying out the outputs.

use super::{Event, Simulation};
use crate::counter::CounterConnection;
use weirusher::{Class, Endpoint, EndpointListKind, Plan, Settings, Status};
use weirusher_core::{CheckOutcome, Command, Completion, Engine, EngineOutput, Key, Keyring, Report};

/// Timeout of a call to the counter, in seconds.
pub(super) const COUNTER_TIMEOUT: f64 = 0.05;
/// Tick of the engine's timer wheel, in seconds.
const TIMER_TICK: f64 = 0.001;
/// Time in seconds that a backend takes for a request.
const SERVICE_TIME: f64 = 0.01;
const BACKENDS: u16 = 8;
const FIRST_BACKEND_PORT: u16 = 7000;

/// A simulated gateway.
pub(super) struct Gateway {
    pub engine: Engine,
    pub connection: CounterConnection,
    /// Incremented at each restart; timers of an earlier process are dropped.
    pub incarnation: u64,
    /// When the next queued timer event is due; infinity if there is none.
    timer_at: f64,
}

impl Simulation<'_> {
    pub(super) fn start_gateway(&mut self, instance: usize, incarnation: u64) -> Gateway {
        let mut plan = Plan::default();
        (plan.rate, plan.burst) = (self.schedule.quota.rate, self.schedule.quota.burst);
        if let Some(ceiling) = self.schedule.ceiling {
            (plan.ceiling_rate, plan.ceiling_burst) = (ceiling.rate, ceiling.burst);
        }
        plan.priority_weight = 1.0;
        let mut settings = Settings::default();
        (settings.plans, settings.classes) = (vec![plan], vec![Class::default()]);
        (settings.instance, settings.instances) = (instance as u32, self.schedule.gateways);
        (settings.has_counter, settings.counter_timeout) = (true, COUNTER_TIMEOUT);
        settings.max_attempts = 3;
        let keyring = Keyring::new(vec![Key { id: 1, secret: vec![7; 32] }]).expect("the keyring has a key");
        let seed = self.rng.u64(..);
        let mut engine =
            Engine::new(settings, keyring, incarnation, seed, self.now).expect("the settings are valid");
        let backends =
            (0..BACKENDS).map(|n| Endpoint::warm(format!("127.0.0.1:{}", FIRST_BACKEND_PORT + n))).collect();
        engine.handle_endpoint_list(self.now, EndpointListKind::StaleSnapshot, backends);
        let connection = CounterConnection::new(COUNTER_TIMEOUT, seed);
        Gateway { engine, connection, incarnation, timer_at: f64::INFINITY }
    }

    pub(super) fn handle_timer(&mut self, instance: usize, incarnation: u64) {
        let gateway = &mut self.gateways[instance];
        if gateway.incarnation == incarnation {
            gateway.timer_at = f64::INFINITY;
            gateway.engine.handle_timeout(self.now);
            self.settle(instance);
        }
    }

    /// Carries out an engine's outputs until there are none left, then queues its next timer.
    pub(super) fn settle(&mut self, instance: usize) {
        loop {
            let outputs: Vec<EngineOutput> = self.gateways[instance].engine.drain_outputs().collect();
            if outputs.is_empty() {
                break;
            }
            outputs.into_iter().for_each(|output| self.handle_output(instance, output));
        }
        let gateway = &mut self.gateways[instance];
        if let Some(at) = gateway.engine.next_timeout().filter(|at| *at < gateway.timer_at) {
            // A timer that is due within the current tick would still be due after it was handled now. It is
            // delayed by a tick, because the virtual clock would not advance otherwise.
            let (at, incarnation) = (at.max(self.now + TIMER_TICK), gateway.incarnation);
            gateway.timer_at = at;
            self.push(at, Event::Timer { instance, incarnation });
        }
    }

    fn handle_output(&mut self, instance: usize, output: EngineOutput) {
        match output {
            EngineOutput::CheckOutcome { caller, outcome, .. } => {
                let Some(customer) = self.callers.remove(&caller) else { return };
                if let CheckOutcome::Allowed(grant) = outcome {
                    self.customers[customer].monitor.handle_forwarded(self.now);
                    let report = Report {
                        ticket: &grant.ticket,
                        completion: Completion::Request(Status::Ok),
                        elapsed: Some(SERVICE_TIME),
                        settled_units: None,
                    };
                    self.gateways[instance].engine.handle_report(self.now, &report);
                }
            }
            EngineOutput::Command(Command::AddToCounter { call, counter, amount, ttl }) => {
                self.call_counter(instance, call, counter, amount, ttl);
            }
            EngineOutput::Command(_) => {}
        }
    }
}
