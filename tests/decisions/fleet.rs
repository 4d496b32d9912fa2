//! Fleets of gateways with little load each: their behaviour in total.

use crate::harness::{Harness, endpoint, forwarded, new_request, rejected, settings, settings_without_quota};
use weirusher::{BackendId, Endpoint, EndpointListKind, Event, Gateway, Lifecycle, Settings, Status};

/// Creates a fleet of `n` gateways with the same endpoint list.
pub fn fleet(n: u32, settings: &Settings, endpoints: &[Endpoint]) -> Vec<Harness> {
    seeded_fleet(n, settings, endpoints, 0)
}

pub fn seeded_fleet(n: u32, settings: &Settings, endpoints: &[Endpoint], seed: u64) -> Vec<Harness> {
    let harness = |instance: u32| {
        let mut settings = settings.clone();
        (settings.instance, settings.instances) = (instance, n);
        let seed = seed << 32 | (u64::from(instance) * 7919 + 1);
        let gateway = Gateway::new(settings, seed).expect("valid settings");
        let mut harness = Harness { gateway, now: 100.0, actions: Vec::new() };
        harness.update_endpoints(EndpointListKind::StaleSnapshot, endpoints.to_vec());
        harness
    };
    (0..n).map(harness).collect()
}

/// Creates `n` warmed-up backends named `s000`, `s001` and so on.
pub fn endpoints(n: u32) -> Vec<Endpoint> {
    (0..n).map(|i| endpoint(&format!("s{i:03}"), Lifecycle::Running, 0.0)).collect()
}

/// Passes one request of a customer that `customer_instances` gateways serve, and ends its attempt successfully
/// if it is forwarded. Returns the backend that it was sent to.
pub fn serve_one(harness: &mut Harness, id: &str, customer_instances: u32) -> Option<BackendId> {
    let mut request = new_request(id, harness.now);
    request.customer_instances = customer_instances;
    let actions = harness.handle(Event::Request(request));
    let (id, backend) = forwarded(&actions).pop()?;
    harness.end_attempt(&id, 0, &backend, Status::Ok);
    Some(backend)
}

/// The ceiling is not exceeded without a counter, even if most gateways restart.
#[test]
fn fractional_shares_keep_the_ceiling_over_restarts() {
    const GATEWAYS: u32 = 60;
    let mut settings = settings();
    settings.has_counter = false;
    (settings.plans[0].ceiling_rate, settings.plans[0].ceiling_burst) = (18.0, 36.0);
    let new_fleet = || fleet(GATEWAYS, &settings, &endpoints(9));
    let mut gateways = new_fleet();
    let mut sent = 0.0;
    for step in 0..100 {
        if step == 50 {
            for (old, new) in gateways.iter_mut().zip(new_fleet()).take(50) {
                *old = new;
            }
        }
        for (i, harness) in gateways.iter_mut().enumerate() {
            harness.now = 100.0 + f64::from(step) * 0.1;
            let backend = serve_one(harness, &format!("{i}-{step}"), GATEWAYS);
            sent += f64::from(u8::from(backend.is_some()));
        }
    }
    let headroom = 16.0 + 8.0 * 10.0; // Burst plus rate over ten seconds.
    assert!(sent <= headroom, "{sent} sent without the counter, allowed are {headroom}");
    assert!(sent >= 0.5 * headroom, "only {sent} sent of a headroom of {headroom}");
}

/// Returns how many of 300 requests at one gateway are rejected at once if `lost` in ten attempts get no response.
fn rejected_with_lost_responses(lost: usize) -> usize {
    let mut settings = settings_without_quota();
    settings.instances = 20;
    let mut harness = Harness::new(settings);
    let mut total = 0;
    for i in 0..300 {
        harness.now += 0.1;
        let actions = harness.request(&format!("j{i}"));
        total += rejected(&actions);
        for (id, backend) in forwarded(&actions) {
            let (status, elapsed) =
                if i * 3 % 10 < lost { (Status::Timeout, 1.0) } else { (Status::Ok, 0.03) };
            harness.end_first_attempt(&id, &backend, status, elapsed, status == Status::Ok);
        }
    }
    total
}

#[test]
fn lost_responses_are_no_overload_but_a_fleet_that_times_out_is() {
    let some_lost = rejected_with_lost_responses(4);
    assert!(some_lost <= 3, "{some_lost} rejected when four in ten responses are lost");
    let most_lost = rejected_with_lost_responses(8);
    assert!(most_lost >= 30, "{most_lost} rejected when eight in ten attempts time out");
}

/// A new customer with fractional shares is admitted at some gateways only, and at no others after a restart.
/// Guards against a burst of one request at every gateway, and another one after each restart.
#[test]
fn a_restart_admits_a_new_customer_at_the_same_gateways() {
    const GATEWAYS: u32 = 200;
    let mut settings = settings();
    settings.has_counter = false;
    let first_requests = || {
        let mut gateways = fleet(GATEWAYS, &settings, &endpoints(9));
        let served = |harness: &mut Harness| serve_one(harness, "first", GATEWAYS).is_some();
        gateways.iter_mut().map(served).collect::<Vec<bool>>()
    };
    let served = first_requests();
    let count = served.iter().filter(|served| **served).count();
    assert!((150..190).contains(&count), "{count} of {GATEWAYS} gateways admit a request; the burst is 20");
    assert_eq!(first_requests(), served, "a restart changes which gateways admit a first request");
}
