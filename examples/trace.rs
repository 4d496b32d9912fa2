//! Drives the module with a made-up evening and prints a digest of every action it takes.
//!
//! Run before and after a change that should decide nothing differently: `cargo run --release --example trace`.

use std::collections::BTreeMap;
use std::hash::Hasher;
use weirusher::*;

const EVENTS: usize = 400_000;

struct World {
    rng: fastrand::Rng,
    now: Time,
    out: Vec<(Time, Event)>,
    counts: BTreeMap<u64, f64>,
    attempts: BTreeMap<RequestId, u32>,
    digest: fnv::FnvHasher,
    actions: u64,
    starts: Vec<Time>,
    /// True units come with the answer.
    settles: bool,
}

/// The kinds of deployment that are traced.
#[derive(Debug, Clone, Copy)]
enum Deployment {
    /// Rates, ceilings and every effect.
    Quotas,
    /// Caps on open attempts, units settled afterwards, requests beyond the quota that pay.
    Caps,
    /// No counter; the list is asked for, and repeats are recognized by cell.
    Alone,
}

fn deployment(kind: Deployment, gateways: u32) -> Settings {
    let mut s = settings(gateways);
    match kind {
        Deployment::Quotas => {}
        Deployment::Caps => {
            s.max_request_units = 3.0;
            for plan in &mut s.plans {
                (plan.over_quota_weight, plan.over_quota_cost) = (0.3, 0.1);
            }
            (s.plans[0].max_concurrent, s.plans[0].rate, s.plans[1].max_concurrent) = (4, 0.0, 9);
        }
        Deployment::Alone => {
            (s.has_counter, s.polls_endpoints, s.hedging, s.sends_retry_after) = (false, true, false, false);
            s.max_open_requests = 40;
            s.classes[2].idempotency = Idempotency::Keyed { scope: DedupScope::Cell, window: 1.0 };
            s.classes[0].late_weight = 0.5;
        }
    }
    s
}

fn settings(gateways: u32) -> Settings {
    let mut s = Settings::default();
    (s.instances, s.has_counter, s.hedging, s.max_attempts) = (gateways, true, true, 4);
    (
        s.slow_start_seconds,
        s.slow_start_min_capacity,
        s.overload_multiple,
        s.overload_seconds,
        s.max_retry_after,
    ) = (10.0, 0.2, 2.0, 1.0, 5.0);
    let class = |effect| {
        let mut class = Class::default();
        class.idempotency = effect;
        class
    };
    s.classes = vec![
        class(Idempotency::Idempotent),
        class(Idempotency::NonIdempotent),
        class(Idempotency::Keyed { scope: DedupScope::Zone, window: 3.0 }),
    ];
    for (rate, ceiling) in [(2.0, 0.0), (20.0, 0.0), (50.0, 90.0)] {
        let mut plan = Plan::default();
        (plan.rate, plan.burst, plan.priority_weight, plan.ceiling_rate) = (rate, rate * 3.0, 1.0, ceiling);
        (plan.ceiling_burst, plan.over_quota_weight) = (ceiling * 3.0, ceiling / 400.0);
        s.plans.push(plan);
    }
    s
}

/// An action as text of its own form, so that a renamed type or field leaves the digest as it is.
fn decision(action: &Action) -> String {
    match action {
        Action::Forward { request: job, backend: server, timeout, start_within: within } => {
            format!("send {job} {server} {timeout:?} {within:?}")
        }
        Action::Reject { request: job, retry_after, reason } => {
            format!("refuse {job} {retry_after:?} {reason}")
        }
        Action::Fail { request: job, reason } => format!("fail {job} {reason}"),
        Action::CancelAttempt { request: job, attempt } => format!("cancel {job} {attempt}"),
        Action::SetTimer { token, at } => format!("timer {token} {at:?}"),
        Action::HealthCheck { backend: server } => format!("probe {server}"),
        Action::AddToCounter { counter, amount, ttl } => format!("count {counter} {amount:?} {ttl:?}"),
        Action::WatchEndpoints => "watch".to_string(),
        Action::Log(text) => format!("log {text}"),
        _ => unreachable!("every action has its text"),
    }
}

impl World {
    fn act(&mut self, action: &Action) {
        self.actions += 1;
        self.digest.write(decision(action).as_bytes());
        match action {
            Action::Forward { request: job, backend: server, timeout, .. } => {
                let drawn = self.rng.f64();
                let work = 0.02 + 0.1 * drawn * drawn;
                let (status, spent) = match self.rng.u32(..100) {
                    0..=1 => (Status::Timeout, *timeout),
                    2..=3 => (Status::Error, work),
                    4 => (Status::ConnectFailed, 0.001),
                    5 => (Status::Reset, work),
                    6 => (Status::Rejected, 0.001),
                    _ => (Status::Ok, work),
                };
                let attempts = self.attempts.entry(job.clone()).or_default();
                let attempt = *attempts;
                *attempts += 1;
                let over = status == Status::Ok;
                let settled = Some(1.0 + (work * 100.0).floor() / 8.0).filter(|_| over && self.settles);
                let (job, server, load) = (job.clone(), server.clone(), LoadReport::default());
                let end = Event::AttemptEnded {
                    request: job,
                    attempt,
                    backend: server,
                    status,
                    elapsed: spent,
                    request_ended: over,
                    settled_units: settled,
                    load,
                };
                self.out.push((self.now + spent, end));
            }
            Action::AddToCounter { counter, amount, .. } => {
                let total = self.counts.entry(*counter).or_default();
                *total += amount;
                let slow: f64 = if (self.now as u64 / 20) % 3 == 0 { 0.08 } else { 0.002 };
                let status = if slow > 0.05 { Status::Timeout } else { Status::Ok };
                let end = Event::CounterResponse {
                    counter: *counter,
                    status,
                    total: *total,
                    elapsed: slow.min(0.05),
                };
                self.out.push((self.now + slow.min(0.05), end));
            }
            Action::SetTimer { token, at } => self.out.push((*at, Event::Timer { token: *token })),
            _ => {}
        }
    }
}

fn list(world: &mut World, servers: usize) -> Event {
    for start in &mut world.starts {
        if world.rng.u32(..40) == 0 {
            *start = world.now;
        }
    }
    let lifecycle = |n: u32| if n == 0 { Lifecycle::Draining } else { Lifecycle::Running };
    let entry = |i: usize, world: &mut World| Endpoint {
        id: format!("10.0.{}.{}:80", i / 250, i % 250).into(),
        zone: (i % 3) as u32,
        cell: (i % 4) as u32,
        started: world.starts[i],
        lifecycle: lifecycle(world.rng.u32(..20)),
    };
    let servers = (0..servers).map(|i| entry(i, world)).collect();
    Event::EndpointList { kind: EndpointListKind::Snapshot, endpoints: servers }
}

fn play(kind: Deployment, gateways: u32, servers: usize, customers: u64, seed: u64) -> (u64, u64) {
    let mut gateway = Gateway::new(deployment(kind, gateways), seed).expect("usable settings");
    let mut world = World {
        rng: fastrand::Rng::with_seed(seed),
        now: 100.0,
        out: Vec::new(),
        counts: BTreeMap::new(),
        attempts: BTreeMap::new(),
        digest: fnv::FnvHasher::default(),
        actions: 0,
        starts: vec![0.0; servers],
        settles: matches!(kind, Deployment::Caps),
    };
    let (mut actions, mut next) = (Vec::new(), 0u64);
    for step in 0..EVENTS / 20 {
        let event = if step % 2000 == 0 {
            list(&mut world, servers)
        } else {
            next += 1;
            let customer = world.rng.u64(..customers);
            Event::Request(Request {
                id: format!("{next}").into(),
                units: 1.0 + world.rng.u32(..2) as f64,
                deadline: world.now + 3.0,
                plan: (customer % 3) as usize,
                customer_instances: 1 + customer as u32 % gateways.min(4),
                first_instance: 0,
                class: world.rng.usize(..3),
                customer: format!("c{customer}").into(),
                is_retry: false,
            })
        };
        world.now += world.rng.f64() * 0.004;
        let mut due: Vec<(Time, Event)> = Vec::new();
        let now = world.now;
        world.out.retain(|(at, e)| {
            if *at <= now {
                due.push((*at, e.clone()));
                false
            } else {
                true
            }
        });
        due.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, event) in due.into_iter().chain([(now, event)]) {
            gateway.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                world.act(&action);
            }
        }
    }
    (world.digest.finish(), world.actions)
}

fn main() {
    for kind in [Deployment::Quotas, Deployment::Caps, Deployment::Alone] {
        for (gateways, servers, customers) in
            [(1, 10, 20), (3, 12, 200), (1, 200, 1000), (20, 200, 1000), (2, 3, 5)]
        {
            for seed in 1..=2 {
                let (digest, actions) = play(kind, gateways, servers, customers, seed);
                println!(
                    "{kind:?}, {gateways} gateways, {servers} servers, {customers} customers, seed {seed}: {actions} actions, {digest:016x}"
                );
            }
        }
    }
}
