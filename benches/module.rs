//! The module's own cost: one request and its outcome, beside a plain map of token buckets.
//!
//! `cargo bench --bench module`. Absolute times are this machine's; the ratio to the plain map is the figure.

use std::collections::HashMap;
use std::time::Instant;
use weirusher::*;

const ROUNDS: u32 = 200_000;

fn settings(gateways: u32) -> Settings {
    let mut s = Settings::default();
    (s.instances, s.max_attempts) = (gateways, 3);
    s.classes = vec![Class::default()];
    let mut plan = Plan::default();
    (plan.rate, plan.burst) = (1e6, 1e6);
    s.plans = vec![plan];
    s
}

fn names(count: usize) -> Vec<CustomerId> {
    (0..count).map(|i| format!("customer-{i}").into()).collect()
}

/// Nanoseconds for a request and its outcome, with some requests out all the time.
fn module(gateways: u32, servers: usize, customers: usize) -> f64 {
    let mut gateway = Gateway::new(settings(gateways), 7).expect("usable settings");
    let (mut rng, mut actions, mut now) = (fastrand::Rng::with_seed(1), Vec::new(), 100.0);
    let entry = |i| Endpoint::warm(format!("10.0.{}.{}:8080", i / 250, i % 250));
    let list = Event::EndpointList {
        kind: EndpointListKind::Snapshot,
        endpoints: (0..servers).map(entry).collect(),
    };
    gateway.handle(now, list, &mut actions);
    actions.clear();
    let names = names(customers);
    let jobs: Vec<RequestId> = (0..ROUNDS).map(|i| format!("{i:x}").into()).collect();
    let mut out = std::collections::VecDeque::new();
    let held = (servers / 4).max(1);
    let began = Instant::now();
    for job in &jobs {
        now += 0.0001;
        let customer = names[rng.usize(..customers)].clone();
        gateway.handle(
            now,
            Event::Request(Request {
                id: job.clone(),
                units: 1.0,
                deadline: now + 3.0,
                plan: 0,
                customer_instances: gateways.min(4),
                first_instance: 0,
                class: 0,
                customer,
                is_retry: false,
            }),
            &mut actions,
        );
        for action in actions.drain(..) {
            if let Action::Forward { request: job, backend: server, .. } = action {
                out.push_back((job, server));
            }
        }
        if out.len() > held {
            let (job, server) = out.pop_front().expect("one is out");
            let spent = 0.01 + 0.01 * rng.f64();
            let (status, load) = (Status::Ok, LoadReport::default());
            let end = Event::AttemptEnded {
                request: job,
                attempt: 0,
                backend: server,
                status,
                elapsed: spent,
                request_ended: true,
                settled_units: None,
                load,
            };
            gateway.handle(now, end, &mut actions);
            actions.clear();
        }
    }
    began.elapsed().as_secs_f64() * 1e9 / f64::from(ROUNDS)
}

/// Nanoseconds for a token bucket in a map: the least that any limiter by customer does.
fn plain(customers: usize) -> f64 {
    let (names, mut rng, mut now) = (names(customers), fastrand::Rng::with_seed(1), 100.0);
    let mut buckets: HashMap<CustomerId, (f64, f64)> = HashMap::new();
    let (mut let_in, began) = (0u32, Instant::now());
    for _ in 0..ROUNDS {
        now += 0.0001;
        let bucket = buckets.entry(names[rng.usize(..customers)].clone()).or_insert((1e6, now));
        bucket.0 = (bucket.0 + (now - bucket.1) * 1e6).min(1e6);
        bucket.1 = now;
        if bucket.0 >= 1.0 {
            bucket.0 -= 1.0;
            let_in += 1;
        }
    }
    std::hint::black_box(let_in);
    began.elapsed().as_secs_f64() * 1e9 / f64::from(ROUNDS)
}

/// The middle of five.
fn middle(measure: impl Fn() -> f64) -> f64 {
    let mut times: Vec<f64> = (0..5).map(|_| measure()).collect();
    times.sort_by(f64::total_cmp);
    times[2]
}

fn main() {
    println!(
        "{:>8} {:>8} {:>9} {:>12} {:>12} {:>7}",
        "gateways", "servers", "customers", "module ns", "plain ns", "ratio"
    );
    for gateways in [1, 200] {
        for (servers, customers) in [
            (1, 10_000),
            (10, 10_000),
            (200, 10_000),
            (1_000, 10_000),
            (3_200, 10_000),
            (200, 10),
            (200, 100),
            (200, 100_000),
        ] {
            let (ours, plain) =
                (middle(|| module(gateways, servers, customers)), middle(|| plain(customers)));
            println!(
                "{gateways:>8} {servers:>8} {customers:>9} {ours:>12.0} {plain:>12.0} {:>7.1}",
                ours / plain
            );
        }
    }
}
