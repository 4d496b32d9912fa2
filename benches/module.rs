//! The cost of the policy for a request and its outcome, compared with a token bucket in a hash map.
//!
//! `cargo bench --bench module`. The result is the ratio of the two; the times depend on the machine.

use std::collections::{HashMap, VecDeque};
use std::time::Instant;
use weirusher::{
    Action, BackendId, Class, CustomerId, Endpoint, EndpointListKind, Event, Gateway, LoadReport, Plan,
    Request, RequestId, Settings, Status, Time,
};

/// Number of requests in a measurement.
const REQUESTS: u32 = 200_000;

fn settings(gateways: u32) -> Settings {
    let mut settings = Settings::default();
    (settings.instances, settings.max_attempts) = (gateways, 3);
    settings.classes = vec![Class::default()];
    let mut plan = Plan::default();
    (plan.rate, plan.burst) = (1e6, 1e6);
    settings.plans = vec![plan];
    settings
}

fn customer_ids(count: usize) -> Vec<CustomerId> {
    (0..count).map(|i| format!("customer-{i}").into()).collect()
}

/// A gateway with an endpoint list.
fn new_gateway(gateways: u32, backends: usize, now: Time) -> Gateway {
    let mut gateway = Gateway::new(settings(gateways), 7).expect("the settings are valid");
    let endpoint = |i| Endpoint::warm(format!("10.0.{}.{}:8080", i / 250, i % 250));
    let list = Event::EndpointList {
        kind: EndpointListKind::Snapshot,
        endpoints: (0..backends).map(endpoint).collect(),
    };
    gateway.handle_event(now, list, &mut Vec::new());
    gateway
}

fn new_request(id: &RequestId, customer: CustomerId, gateways: u32, now: Time) -> Event {
    Event::Request(Request {
        id: id.clone(),
        units: 1.0,
        deadline: now + 3.0,
        plan: 0,
        customer_instances: gateways.min(4),
        first_instance: 0,
        class: 0,
        customer,
        is_retry: false,
    })
}

fn served(request: RequestId, backend: BackendId, elapsed: f64) -> Event {
    Event::AttemptEnded {
        request,
        attempt: 0,
        backend,
        status: Status::Ok,
        elapsed,
        request_ended: true,
        settled_units: None,
        load: LoadReport::default(),
    }
}

/// Nanoseconds that the policy takes for a request and its outcome, while other requests are in flight.
fn policy(gateways: u32, backends: usize, customers: usize) -> f64 {
    let mut now = 100.0;
    let mut gateway = new_gateway(gateways, backends, now);
    let (mut rng, mut actions) = (fastrand::Rng::with_seed(1), Vec::new());
    let customer_ids = customer_ids(customers);
    let ids: Vec<RequestId> = (0..REQUESTS).map(|i| format!("{i:x}").into()).collect();
    let mut in_flight = VecDeque::new();
    let max_in_flight = (backends / 4).max(1);
    let start = Instant::now();
    for id in &ids {
        now += 0.0001;
        let customer = customer_ids[rng.usize(..customers)].clone();
        gateway.handle_event(now, new_request(id, customer, gateways, now), &mut actions);
        for action in actions.drain(..) {
            if let Action::Forward { request, backend, .. } = action {
                in_flight.push_back((request, backend));
            }
        }
        if in_flight.len() > max_in_flight {
            let (request, backend) = in_flight.pop_front().expect("a request is in flight");
            let elapsed = 0.01 + 0.01 * rng.f64();
            gateway.handle_event(now, served(request, backend, elapsed), &mut actions);
            actions.clear();
        }
    }
    start.elapsed().as_secs_f64() * 1e9 / f64::from(REQUESTS)
}

/// Nanoseconds for a token bucket in a hash map: the minimum work of any rate limiter with limits for each customer.
fn token_bucket(customers: usize) -> f64 {
    let (customer_ids, mut rng, mut now) = (customer_ids(customers), fastrand::Rng::with_seed(1), 100.0);
    let mut buckets: HashMap<CustomerId, (f64, f64)> = HashMap::new();
    let (mut admitted, start) = (0u32, Instant::now());
    for _ in 0..REQUESTS {
        now += 0.0001;
        let bucket = buckets.entry(customer_ids[rng.usize(..customers)].clone()).or_insert((1e6, now));
        bucket.0 = (bucket.0 + (now - bucket.1) * 1e6).min(1e6);
        bucket.1 = now;
        if bucket.0 >= 1.0 {
            bucket.0 -= 1.0;
            admitted += 1;
        }
    }
    std::hint::black_box(admitted);
    start.elapsed().as_secs_f64() * 1e9 / f64::from(REQUESTS)
}

/// The median of five measurements.
fn median(measure: impl Fn() -> f64) -> f64 {
    let mut times: Vec<f64> = (0..5).map(|_| measure()).collect();
    times.sort_by(f64::total_cmp);
    times[2]
}

fn main() {
    println!(
        "{:>8} {:>8} {:>9} {:>12} {:>12} {:>7}",
        "gateways", "backends", "customers", "decisions ns", "bucket ns", "ratio"
    );
    for gateways in [1, 200] {
        for (backends, customers) in [
            (1, 10_000),
            (10, 10_000),
            (200, 10_000),
            (1_000, 10_000),
            (3_200, 10_000),
            (200, 10),
            (200, 100),
            (200, 100_000),
        ] {
            let (policy, token_bucket) =
                (median(|| policy(gateways, backends, customers)), median(|| token_bucket(customers)));
            println!(
                "{gateways:>8} {backends:>8} {customers:>9} {policy:>12.0} {token_bucket:>12.0} {:>7.1}",
                policy / token_bucket
            );
        }
    }
}
