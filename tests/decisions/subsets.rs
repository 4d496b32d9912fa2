//! Subsets: how many backends a gateway uses, and how many gateways use the same backend.

use crate::fleet::{endpoints, fleet, serve_one};
use crate::harness::{Harness, settings_without_quota};
use std::collections::{BTreeMap, BTreeSet};
use weirusher::{BackendId, EndpointListKind};

/// Sends `requests` requests through a gateway and returns the backends that it used.
fn used_backends(harness: &mut Harness, requests: u32) -> BTreeSet<BackendId> {
    (0..requests).filter_map(|i| serve_one(harness, &format!("j{i}"), 1)).collect()
}

#[test]
fn a_gateway_of_a_large_fleet_uses_few_backends() {
    let mut fleet = fleet(100, &settings_without_quota(), &endpoints(60));
    let used = used_backends(&mut fleet[3], 200);
    assert!((2..=12).contains(&used.len()), "{} backends used", used.len());
    let first: BTreeSet<BackendId> =
        fleet.iter_mut().filter_map(|harness| serve_one(harness, "first", 1)).collect();
    assert!(first.len() >= 30, "only {} backends used by all gateways together", first.len());
}

/// Returns for each backend how many of the gateways use it.
fn gateways_by_backend(gateways: u32, count: u32) -> Vec<usize> {
    let settings = settings_without_quota();
    let mut users: BTreeMap<BackendId, usize> =
        endpoints(count).into_iter().map(|endpoint| (endpoint.id, 0)).collect();
    for harness in &mut fleet(gateways, &settings, &endpoints(count)) {
        for backend in used_backends(harness, 400) {
            *users.get_mut(&backend).expect("a listed backend") += 1;
        }
    }
    users.into_values().collect()
}

#[test]
fn the_subsets_of_a_fleet_cover_its_backends_evenly() {
    for (gateways, count) in [(300, 200), (900, 200), (100, 150)] {
        let users = gateways_by_backend(gateways, count);
        let mean = users.iter().sum::<usize>() as f64 / f64::from(count);
        let (min, max) = (users.iter().min().unwrap(), users.iter().max().unwrap());
        assert!(
            *min as f64 >= 0.8 * mean && *max as f64 <= 1.2 * mean,
            "{gateways} gateways, {count} backends: {min} to {max} gateways per backend, mean {mean:.1}"
        );
    }
}

/// In front of thousands of backends a gateway may open 2.5 times as many connections, plus 40, as in a fleet of
/// 300 gateways in front of 200 backends. Both numbers apply while half of the backends restart.
#[test]
fn a_gateway_with_thousands_of_backends_uses_few_of_them() {
    let mut settings = settings_without_quota();
    let mut used = |gateways: u32, count: u32| {
        settings.instances = gateways;
        let mut harness = Harness::without_backends(settings.clone());
        harness.update_endpoints(EndpointListKind::StaleSnapshot, endpoints(count));
        used_backends(&mut harness, 4000).len() as f64
    };
    let baseline = used(300, 200);
    let max = (2.5 * 1.5 * baseline + 40.0) / 1.5;
    for gateways in [300, 900] {
        let used = used(gateways, 3200);
        assert!(used <= max, "{used} backends used with {gateways} gateways, allowed are {max}");
    }
}
