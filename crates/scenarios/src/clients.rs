//! The clients of a run: open-loop arrivals for each customer, retries, and faults of clients and proxies.

use crate::scenario::{ClientSpec, ProxyFaults, Scenario};
use fastrand::Rng;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;
use weirusher_fakes::{BehaviourProfile, ClientOutcome, ClientRequest, LoadGenerator, RequestOutcome};

/// Maximum concurrent clients; requests beyond it are not sent, only counted.
const MAX_CLIENTS: usize = 4096;
/// A client that closes early does so within this many seconds of sending its request.
const EARLY_CLOSE_SECONDS: f64 = 0.004;
/// A client that closes during an attempt does so within this many seconds of the start of the attempt.
const CLOSE_DURING_ATTEMPT_SECONDS: f64 = 0.03;
/// Mean pause in seconds before a retry, on top of any `Retry-After`; drawn uniformly from 50 % to 150 % of this.
const RETRY_PAUSE_SECONDS: f64 = 0.3;
/// Seconds after which a customer without demand checks its rate again, since a fault may have raised it.
const IDLE_SECONDS: f64 = 0.5;

/// All clients of a run.
pub(crate) struct ClientPopulation {
    scenario: Scenario,
    load_generator: Arc<LoadGenerator>,
    /// Factor on the demand of each plan's customers, by plan.
    demand_factors: watch::Receiver<Vec<f64>>,
    slots: Arc<Semaphore>,
    not_sent: AtomicU64,
    outcomes: Mutex<Vec<RequestOutcome>>,
}

impl ClientPopulation {
    pub fn new(
        scenario: Scenario,
        load_generator: Arc<LoadGenerator>,
        demand_factors: watch::Receiver<Vec<f64>>,
    ) -> Arc<Self> {
        Arc::new(Self {
            scenario,
            load_generator,
            demand_factors,
            slots: Arc::new(Semaphore::new(MAX_CLIENTS)),
            not_sent: AtomicU64::new(0),
            outcomes: Mutex::default(),
        })
    }

    /// Generates the load of all customers until `end`, and waits until each request has ended.
    pub async fn run(self: &Arc<Self>, end: Instant) {
        let mut customers = JoinSet::new();
        let mut rng = Rng::with_seed(self.scenario.seed);
        for (plan, spec) in self.scenario.plans.iter().enumerate() {
            for number in 0..spec.customers {
                customers.spawn(self.clone().run_customer(plan, number, rng.fork(), end));
            }
        }
        while customers.join_next().await.is_some() {}
    }

    /// Number of requests that have ended so far.
    pub fn ended(&self) -> usize {
        self.outcomes.lock().expect("no thread panics while it holds the lock").len()
    }

    /// Removes and returns the outcomes of all ended requests.
    pub fn take_outcomes(&self) -> Vec<RequestOutcome> {
        std::mem::take(&mut self.outcomes.lock().expect("no thread panics while it holds the lock"))
    }

    /// Number of requests that were not sent because too many clients were active.
    pub fn not_sent(&self) -> u64 {
        self.not_sent.load(Relaxed)
    }

    async fn run_customer(self: Arc<Self>, plan: usize, number: usize, mut rng: Rng, end: Instant) {
        let (mut clients, spec) = (JoinSet::new(), &self.scenario.plans[plan]);
        let name = spec.customer(number);
        let mut next = Instant::now();
        loop {
            let rate = spec.rate * spec.demand_share * self.demand_factors.borrow()[plan];
            next += Duration::from_secs_f64(arrival_gap_seconds(rate, &mut rng));
            if next >= end {
                break;
            }
            tokio::time::sleep_until(next).await;
            if rate <= 0.0 {
                continue;
            }
            let Ok(slot) = self.slots.clone().try_acquire_owned() else {
                self.not_sent.fetch_add(1, Relaxed);
                continue;
            };
            let (population, name, rng) = (self.clone(), name.clone(), rng.fork());
            clients.spawn(async move {
                population.run_client(name, rng).await;
                drop(slot);
            });
            while clients.try_join_next().is_some() {}
        }
        while clients.join_next().await.is_some() {}
    }

    /// Sends one client's request and its retries.
    async fn run_client(&self, customer: String, mut rng: Rng) {
        let Scenario { clients, proxy_faults, fleet, .. } = &self.scenario;
        let class = self.draw_class(&mut rng);
        let spec = &self.scenario.classes[class];
        for retry in 0..=clients.retries {
            let request = ClientRequest {
                customer: customer.clone(),
                class,
                path: format!("/{}", spec.name),
                units: 1.0,
                deadline_seconds: spec.deadline_ms / 1000.0,
                gateway: rng.usize(..fleet.gateways),
                behaviour: draw_behaviour(clients, proxy_faults, &mut rng),
            };
            let outcome = self.load_generator.send_request(&request).await;
            self.outcomes.lock().expect("no thread panics while it holds the lock").push(outcome);
            // A failed request may have been executed, so only an idempotent one is retried.
            let may_retry = match outcome.outcome {
                ClientOutcome::Rejected => true,
                ClientOutcome::Failed | ClientOutcome::ConnectionLost => spec.effect == "safe",
                ClientOutcome::Served | ClientOutcome::ClientClosed => false,
            };
            if !may_retry || retry == clients.retries {
                return;
            }
            let honoured = rng.f64() < clients.honour_retry_after;
            let advised_seconds = if honoured { outcome.retry_after_seconds } else { 0.0 };
            let pause = advised_seconds + RETRY_PAUSE_SECONDS * (0.5 + rng.f64());
            tokio::time::sleep(Duration::from_secs_f64(pause)).await;
        }
    }

    /// Draws a class at random, by weight.
    fn draw_class(&self, rng: &mut Rng) -> usize {
        let total: f64 = self.scenario.classes.iter().map(|class| class.weight).sum();
        let mut drawn = rng.f64() * total;
        let class = self.scenario.classes.iter().position(|class| {
            drawn -= class.weight;
            drawn <= 0.0
        });
        class.unwrap_or(0)
    }
}

/// Seconds until the next arrival, exponentially distributed and capped so that a demand surge takes effect soon.
fn arrival_gap_seconds(rate: f64, rng: &mut Rng) -> f64 {
    if rate <= 0.0 {
        return IDLE_SECONDS;
    }
    (-rng.f64().max(1e-12).ln() / rate).min(1.0 + 10.0 / rate)
}

fn draw_behaviour(clients: &ClientSpec, proxy: &ProxyFaults, rng: &mut Rng) -> BehaviourProfile {
    let mut chance = |probability: f64| rng.f64() < probability;
    let mut behaviour = BehaviourProfile {
        report_lost: chance(proxy.report_lost),
        report_duplicated: chance(proxy.report_duplicated),
        report_delay_seconds: if chance(proxy.report_delayed) { proxy.report_delay_seconds } else { 0.0 },
        report_misdirected: chance(proxy.report_misdirected),
        ticket_altered: chance(proxy.ticket_altered),
        ticket_replayed: chance(proxy.ticket_replayed),
        ..BehaviourProfile::default()
    };
    let (early, during_attempt) = (chance(clients.close_early), chance(clients.close_during_attempt));
    behaviour.closes_after_seconds = early.then(|| rng.f64() * EARLY_CLOSE_SECONDS);
    behaviour.closes_during_attempt_after_seconds =
        during_attempt.then(|| rng.f64() * CLOSE_DURING_ATTEMPT_SECONDS);
    behaviour
}
