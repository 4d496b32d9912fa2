//! Regression traces of the policy: feeds one gateway of a fleet with random events from fixed seeds, and prints a
//! digest of all its actions.
//!
//! A change that is meant to keep the behaviour of the policy must leave the output identical to the byte:
//! `cargo run --release --example trace`.

use std::collections::BTreeMap;
use std::hash::Hasher;
use weirusher::{
    Action, BackendId, Class, DedupScope, Endpoint, EndpointListKind, Event, Gateway, Idempotency, Lifecycle,
    LoadReport, Location, Plan, Request, RequestId, Settings, Status, Time,
};

/// Number of requests and endpoint lists in a trace.
const STEPS: u64 = 20_000;
/// Every step whose number is a multiple of this is an endpoint list, the others are requests.
const STEPS_PER_LIST: u64 = 2000;
/// Timeout of a call to the counter, in seconds.
const COUNTER_TIMEOUT_SECONDS: f64 = 0.05;

/// The environment of a gateway: its backends, the counter, and the events that are still to come.
struct Environment {
    rng: fastrand::Rng,
    now: Time,
    pending_events: Vec<(Time, Event)>,
    counts: BTreeMap<u64, f64>,
    /// Number of attempts of each request.
    attempts: BTreeMap<RequestId, u32>,
    digest: fnv::FnvHasher,
    /// Number of actions so far.
    actions: u64,
    /// When each backend was last started.
    started_at: Vec<Time>,
    /// Whether responses state the actual units of their requests.
    settles_units: bool,
}

/// The traced kinds of deployment. Their names are part of the output.
#[derive(Debug, Clone, Copy)]
enum Deployment {
    /// Quotas with rates and ceilings, and classes of every kind of idempotency.
    Quotas,
    /// Limits on concurrent attempts, units that are settled with the response, and requests beyond the quota whose
    /// weight is higher than their cost.
    Caps,
    /// No counter, a polled endpoint list, and idempotency keys that backends deduplicate by cell.
    Alone,
}

fn deployment(kind: Deployment, gateways: u32) -> Settings {
    let mut settings = settings(gateways);
    match kind {
        Deployment::Quotas => {}
        Deployment::Caps => {
            settings.max_request_units = 3.0;
            for plan in &mut settings.plans {
                (plan.over_quota_weight, plan.over_quota_cost) = (0.3, 0.1);
            }
            (settings.plans[0].max_concurrent, settings.plans[0].rate, settings.plans[1].max_concurrent) =
                (4, 0.0, 9);
        }
        Deployment::Alone => {
            (settings.has_counter, settings.polls_endpoints, settings.hedging, settings.sends_retry_after) =
                (false, true, false, false);
            settings.max_open_requests = 40;
            settings.classes[2].idempotency = Idempotency::Keyed { scope: DedupScope::Cell, window: 1.0 };
            settings.classes[0].late_weight = 0.5;
        }
    }
    settings
}

fn settings(gateways: u32) -> Settings {
    let mut settings = Settings::default();
    (settings.instances, settings.has_counter, settings.hedging, settings.max_attempts) =
        (gateways, true, true, 4);
    (
        settings.slow_start_seconds,
        settings.slow_start_min_capacity,
        settings.overload_multiple,
        settings.overload_seconds,
        settings.max_retry_after,
    ) = (10.0, 0.2, 2.0, 1.0, 5.0);
    let class = |idempotency| {
        let mut class = Class::default();
        class.idempotency = idempotency;
        class
    };
    settings.classes = vec![
        class(Idempotency::Idempotent),
        class(Idempotency::NonIdempotent),
        class(Idempotency::Keyed { scope: DedupScope::Zone, window: 3.0 }),
    ];
    for (rate, ceiling) in [(2.0, 0.0), (20.0, 0.0), (50.0, 90.0)] {
        let mut plan = Plan::default();
        (plan.rate, plan.burst, plan.priority_weight, plan.ceiling_rate) = (rate, rate * 3.0, 1.0, ceiling);
        (plan.ceiling_burst, plan.over_quota_weight) = (ceiling * 3.0, ceiling / 400.0);
        settings.plans.push(plan);
    }
    settings
}

/// The text form of an action for the digest. It does not use the `Debug` form, so that the digest does not
/// change when a type or field is renamed.
fn action_text(action: &Action) -> String {
    match action {
        Action::Forward { request, backend, timeout, start_within } => {
            format!("send {request} {backend} {timeout:?} {start_within:?}")
        }
        Action::Reject { request, retry_after, reason } => {
            format!("refuse {request} {retry_after:?} {reason}")
        }
        Action::Fail { request, reason } => format!("fail {request} {reason}"),
        Action::SetTimer { token, at } => format!("timer {token} {at:?}"),
        Action::AddToCounter { counter, amount, ttl } => format!("count {counter} {amount:?} {ttl:?}"),
        Action::WatchEndpoints => "watch".to_string(),
        _ => unreachable!("every action has a text form"),
    }
}

impl Environment {
    fn new(kind: Deployment, backends: usize, seed: u64) -> Self {
        Self {
            rng: fastrand::Rng::with_seed(seed),
            now: 100.0,
            pending_events: Vec::new(),
            counts: BTreeMap::new(),
            attempts: BTreeMap::new(),
            digest: fnv::FnvHasher::default(),
            actions: 0,
            started_at: vec![0.0; backends],
            settles_units: matches!(kind, Deployment::Caps),
        }
    }

    /// Adds an action to the digest, and schedules the event that results from it.
    fn perform(&mut self, action: &Action) {
        self.actions += 1;
        self.digest.write(action_text(action).as_bytes());
        match action {
            Action::Forward { request, backend, timeout, .. } => {
                let ended = self.end_attempt(request, backend, *timeout);
                self.pending_events.push(ended);
            }
            Action::AddToCounter { counter, amount, .. } => {
                let response = self.add_to_counter(*counter, *amount);
                self.pending_events.push(response);
            }
            Action::SetTimer { token, at } => self.pending_events.push((*at, Event::Timer { token: *token })),
            _ => {}
        }
    }

    /// Draws the outcome of an attempt; returns its event and when that is due.
    fn end_attempt(&mut self, request: &RequestId, backend: &BackendId, timeout: f64) -> (Time, Event) {
        let drawn = self.rng.f64();
        let work = 0.02 + 0.1 * drawn * drawn;
        let (status, elapsed) = match self.rng.u32(..100) {
            0..=1 => (Status::Timeout, timeout),
            2..=3 => (Status::Error, work),
            4 => (Status::ConnectFailed, 0.001),
            5 => (Status::Reset, work),
            6 => (Status::Rejected, 0.001),
            _ => (Status::Ok, work),
        };
        let attempts = self.attempts.entry(request.clone()).or_default();
        let attempt = *attempts;
        *attempts += 1;
        let request_ended = status == Status::Ok;
        let actual_units = 1.0 + (work * 100.0).floor() / 8.0;
        let event = Event::AttemptEnded {
            request: request.clone(),
            attempt,
            backend: backend.clone(),
            status,
            elapsed,
            request_ended,
            settled_units: (request_ended && self.settles_units).then_some(actual_units),
            load: LoadReport::default(),
        };
        (self.now + elapsed, event)
    }

    /// Adds to a count; returns the event of the response and when that is due. In 20 of every 60 s, each call is
    /// counted but times out; in a trace, these are the times from 120 to 140.
    fn add_to_counter(&mut self, counter: u64, amount: f64) -> (Time, Event) {
        let total = self.counts.entry(counter).or_default();
        *total += amount;
        let times_out = (self.now as u64 / 20) % 3 == 0;
        let (status, elapsed) =
            if times_out { (Status::Timeout, COUNTER_TIMEOUT_SECONDS) } else { (Status::Ok, 0.002) };
        (self.now + elapsed, Event::CounterResponse { counter, status, total: *total, elapsed })
    }

    /// A complete endpoint list, in which a few backends have restarted or are draining.
    fn endpoint_list(&mut self) -> Event {
        for start in &mut self.started_at {
            if self.rng.u32(..40) == 0 {
                *start = self.now;
            }
        }
        let endpoints = (0..self.started_at.len()).map(|i| self.endpoint(i)).collect();
        Event::EndpointList { kind: EndpointListKind::Snapshot, endpoints }
    }

    fn endpoint(&mut self, i: usize) -> Endpoint {
        let draining = self.rng.u32(..20) == 0;
        Endpoint {
            id: format!("10.0.{}.{}:80", i / 250, i % 250).into(),
            location: Location::from_numbers((i % 3) as u32, (i % 4) as u32),
            started: self.started_at[i],
            lifecycle: if draining { Lifecycle::Draining } else { Lifecycle::Running },
        }
    }

    fn request(&mut self, id: u64, gateways: u32, customers: u64) -> Event {
        let customer = self.rng.u64(..customers);
        Event::Request(Request {
            id: format!("{id}").into(),
            units: 1.0 + f64::from(self.rng.u32(..2)),
            deadline: self.now + 3.0,
            plan: (customer % 3) as usize,
            customer_instances: 1 + customer as u32 % gateways.min(4),
            first_instance: 0,
            class: self.rng.usize(..3),
            customer: format!("c{customer}").into(),
            is_retry: false,
        })
    }

    /// Removes the events that are due, and returns them in chronological order.
    fn take_due(&mut self) -> Vec<Event> {
        let now = self.now;
        let (mut due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.pending_events).into_iter().partition(|(at, _)| *at <= now);
        self.pending_events = later;
        due.sort_by(|a, b| a.0.total_cmp(&b.0));
        due.into_iter().map(|(_, event)| event).collect()
    }
}

/// Runs one trace; returns the digest and the number of the gateway's actions.
fn trace(kind: Deployment, gateways: u32, backends: usize, customers: u64, seed: u64) -> (u64, u64) {
    let mut gateway = Gateway::new(deployment(kind, gateways), seed).expect("the settings are valid");
    let mut environment = Environment::new(kind, backends, seed);
    let (mut actions, mut requests) = (Vec::new(), 0);
    for step in 0..STEPS {
        let event = if step % STEPS_PER_LIST == 0 {
            environment.endpoint_list()
        } else {
            requests += 1;
            environment.request(requests, gateways, customers)
        };
        environment.now += environment.rng.f64() * 0.004;
        for event in environment.take_due().into_iter().chain([event]) {
            gateway.handle_event(environment.now, event, &mut actions);
            for action in actions.drain(..) {
                environment.perform(&action);
            }
        }
    }
    (environment.digest.finish(), environment.actions)
}

fn main() {
    for kind in [Deployment::Quotas, Deployment::Caps, Deployment::Alone] {
        for (gateways, backends, customers) in
            [(1, 10, 20), (3, 12, 200), (1, 200, 1000), (20, 200, 1000), (2, 3, 5)]
        {
            for seed in 1..=2 {
                let (digest, actions) = trace(kind, gateways, backends, customers, seed);
                println!(
                    "{kind:?}, {gateways} gateways, {backends} servers, {customers} customers, seed {seed}: {actions} actions, {digest:016x}"
                );
            }
        }
    }
}
