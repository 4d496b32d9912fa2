//! Memory used by an open request and by a customer, measured by the process's resident set size.
//!
//! `cargo bench -p weirusher-core --bench memory` (Linux).

use weirusher::{Class, Endpoint, EndpointListKind, Plan, Settings};
use weirusher_core::{Check, Engine, InstanceRange, Key, Keyring};

/// Number of requests that are opened.
const REQUESTS: u64 = 15_000;
/// Size of a memory page in bytes.
const PAGE_BYTES: f64 = 4096.0;

/// The process's resident set size in bytes.
fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").expect("Linux");
    let pages: f64 = text.split_whitespace().nth(1).and_then(|p| p.parse().ok()).expect("a number of pages");
    pages * PAGE_BYTES
}

/// Bytes per open request, with the requests spread over `customers` customers.
fn bytes_per_request(customers: u64) -> f64 {
    let mut settings = Settings::default();
    let mut plan = Plan::default();
    (plan.rate, plan.burst) = (1e9, 1e9);
    (settings.plans, settings.classes) = (vec![plan], vec![Class::default()]);
    let keyring = Keyring::new(vec![Key { id: 1, secret: vec![7; 32] }]).expect("one key is given");
    let mut engine = Engine::new(settings, keyring, 1, 1, 1e6).expect("usable settings");
    let endpoint = |n: u32| Endpoint::warm(format!("127.0.0.1:{n}"));
    // Enough backends for all requests to be in flight.
    engine.handle_endpoint_list(1e6, EndpointListKind::Snapshot, (1..=2_000).map(endpoint).collect());
    let before = resident_bytes();
    for caller in 0..REQUESTS {
        let customer = format!("customer-{}", caller % customers).into();
        let (instances, ticket) = (InstanceRange { count: 1, first: 0 }, None);
        let check = Check { customer, plan: 0, class: 0, units: 1.0, time_budget: 3.0, instances, ticket };
        engine.handle_check(1e6, caller, &check);
        engine.drain_outputs().for_each(drop);
    }
    assert!(
        engine.pending() > REQUESTS as usize / 2,
        "most requests must be in flight: {}",
        engine.pending()
    );
    (resident_bytes() - before) / engine.open_requests() as f64
}

fn main() {
    let (few, many) = (bytes_per_request(10), bytes_per_request(REQUESTS));
    println!("open request {few:.0} bytes, customer {:.0} bytes", many - few);
}
