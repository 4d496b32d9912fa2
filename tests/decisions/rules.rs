//! Rules for requests, backends and plans that a single gateway keeps on its own.

use crate::harness::{
    Harness, endpoint, failed, forwarded, new_request, rejected, settings, settings_without_quota,
};
use weirusher::{
    Action, BackendId, DedupScope, Endpoint, EndpointListKind, Event, Idempotency, Lifecycle, Location,
    Settings, Status,
};

fn with_idempotency(idempotency: Idempotency) -> Settings {
    let mut settings = settings_without_quota();
    settings.classes[0].idempotency = idempotency;
    settings
}

#[test]
fn a_request_is_closed_once_whatever_events_follow() {
    let mut harness = Harness::new(with_idempotency(Idempotency::Idempotent));
    let (_, backend) = forwarded(&harness.request("j")).remove(0);
    assert!(harness.request("j").is_empty(), "a request with a known id is ignored");
    harness.end_attempt("j", 0, &backend, Status::Ok);
    assert!(harness.end_attempt("j", 0, &backend, Status::Error).is_empty(), "a late outcome is ignored");
    assert!(harness.handle(Event::ClientGone { request: "j".into() }).is_empty());
}

#[test]
fn a_waiting_request_is_decided_within_the_lease_wait() {
    let mut settings = settings();
    // Under a ceiling the fallback limit of a new customer is empty.
    settings.plans[0].ceiling_rate = 20.0;
    settings.plans[0].ceiling_burst = 40.0;
    let mut harness = Harness::new(settings);
    let actions = harness.request("j");
    assert!(forwarded(&actions).is_empty() && rejected(&actions) == 0, "the request waits for the counter");
    let timer = actions.iter().find_map(|a| match a {
        Action::SetTimer { token, at } => Some((*token, *at)),
        _ => None,
    });
    let (token, at) = timer.expect("a timer ends the wait");
    assert!(at - harness.now <= 0.025, "the lease wait is longer than 25 ms");
    harness.now = at;
    let actions = harness.handle(Event::Timer { token });
    assert_eq!(
        forwarded(&actions).len() + rejected(&actions),
        1,
        "the request is decided when the wait ends"
    );
}

/// A request whose deadline passes before the lease wait would end is rejected at once.
#[test]
fn a_deadline_within_the_lease_wait_is_rejected() {
    let mut harness = Harness::new(settings());
    let mut near = new_request("j", harness.now);
    near.deadline = harness.now + 0.003;
    assert_eq!(rejected(&harness.handle(Event::Request(near))), 1);
}

/// A non-idempotent request that may have been executed fails: it is neither retried nor rejected.
#[test]
fn a_non_idempotent_request_that_may_have_run_fails() {
    let mut harness = Harness::new(with_idempotency(Idempotency::NonIdempotent));
    let (_, backend) = forwarded(&harness.request("j")).remove(0);
    let actions = harness.end_attempt("j", 0, &backend, Status::Reset);
    assert_eq!((forwarded(&actions).len(), rejected(&actions), failed(&actions)), (0, 0, 1));
    let (_, backend) = forwarded(&harness.request("k")).remove(0);
    let actions = harness.end_attempt("k", 0, &backend, Status::Rejected);
    assert_eq!(forwarded(&actions).len(), 1, "a request that was certainly not executed is retried");
}

#[test]
fn a_keyed_request_is_retried_in_its_dedup_scope_and_window() {
    let mut settings = with_idempotency(Idempotency::Keyed { scope: DedupScope::Zone, window: 1.0 });
    settings.max_attempts = 9;
    let mut harness = Harness::without_backends(settings);
    let mut list: Vec<Endpoint> =
        ["a", "b", "c", "d"].map(|name| endpoint(name, Lifecycle::Running, 0.0)).into_iter().collect();
    (list[2].location, list[3].location) = (Location::from_numbers(1, 0), Location::from_numbers(1, 0));
    harness.update_endpoints(EndpointListKind::StaleSnapshot, list);
    let zone = |id: &BackendId| usize::from(id.as_ref() >= "c");
    let (_, first) = forwarded(&harness.request("j")).remove(0);
    harness.now += 0.4;
    let (_, second) = forwarded(&harness.end_attempt("j", 0, &first, Status::Error)).remove(0);
    assert_eq!(zone(&first), zone(&second), "only backends of the first one's zone deduplicate the retry");
    let start_within = |action: &Action| match action {
        Action::Forward { start_within, .. } => Some(*start_within),
        _ => None,
    };
    let start_within: Vec<f64> = harness.actions.iter().filter_map(start_within).collect();
    assert_eq!(start_within[0], f64::INFINITY, "a first attempt may be sent at any time");
    assert!((start_within[1] - 0.6).abs() < 1e-9, "0.6 s of the window are left: {start_within:?}");
    harness.now += 2.0;
    let actions = harness.end_attempt("j", 1, &second, Status::Error);
    assert_eq!(
        (forwarded(&actions).len(), rejected(&actions), failed(&actions)),
        (0, 0, 1),
        "after the window the zone has discarded the key"
    );
}

#[test]
fn no_hedged_request_where_hedging_is_off() {
    let mut settings = with_idempotency(Idempotency::Idempotent);
    settings.hedging = false;
    let mut harness = Harness::new(settings);
    let actions = harness.request("j");
    assert_eq!(forwarded(&actions).len(), 1);
    assert!(
        !actions.iter().any(|a| matches!(a, Action::SetTimer { .. })),
        "no timer for a hedged request is set"
    );
}

#[test]
fn a_draining_or_unlisted_backend_gets_no_new_attempts() {
    let mut harness = Harness::new(with_idempotency(Idempotency::Idempotent));
    harness.update_endpoints(EndpointListKind::Delta, vec![endpoint("a", Lifecycle::Draining, 0.0)]);
    harness.update_endpoints(
        EndpointListKind::Snapshot,
        vec![endpoint("a", Lifecycle::Draining, 0.0), endpoint("b", Lifecycle::Running, 0.0)],
    );
    for i in 0..20 {
        for (id, backend) in forwarded(&harness.request(&format!("j{i}"))) {
            assert_eq!(backend.as_ref(), "b");
            harness.end_attempt(&id, 0, &backend, Status::Ok);
        }
    }
    harness.update_endpoints(EndpointListKind::Snapshot, vec![]);
    assert_eq!(rejected(&harness.request("last")), 1, "without backends a request is rejected at once");
}

#[test]
fn a_backend_in_slow_start_gets_few_requests() {
    let mut harness = Harness::new(with_idempotency(Idempotency::Idempotent));
    harness.update_endpoints(EndpointListKind::Delta, vec![endpoint("a", Lifecycle::Running, 99.9)]);
    let mut sent = 0;
    for i in 0..90 {
        harness.now += 0.01;
        for (id, backend) in forwarded(&harness.request(&format!("j{i}"))) {
            sent += usize::from(backend.as_ref() == "a");
            harness.end_attempt(&id, 0, &backend, Status::Ok);
        }
    }
    assert!(sent <= 12, "{sent} of 90 requests sent to the one of three backends that is in slow start");
}

/// A backend that is reachable again may have restarted, so its slow start begins.
#[test]
fn a_backend_that_is_reachable_again_starts_slowly() {
    let mut harness = Harness::new(with_idempotency(Idempotency::Idempotent));
    harness.update_endpoints(EndpointListKind::Snapshot, vec![endpoint("a", Lifecycle::Running, 0.0)]);
    harness.request("j0");
    harness.end_attempt("j0", 0, &"a".into(), Status::ConnectFailed);
    harness.now += 2.0;
    harness.request("j1");
    harness.end_attempt("j1", 0, &"a".into(), Status::Ok);
    let sent = (2..20).map(|i| forwarded(&harness.request(&format!("j{i}"))).len()).sum::<usize>();
    assert!(sent <= 1, "{sent} requests sent at once to a backend that may have restarted");
}

/// Without the counter a gateway that has just started does not know what it spent of the ceiling before.
#[test]
fn a_restarted_gateway_has_no_ceiling_headroom_at_first() {
    let mut settings = settings();
    settings.has_counter = false;
    (settings.plans[0].ceiling_rate, settings.plans[0].ceiling_burst) = (17.0, 34.0);
    let mut harness = Harness::new(settings);
    let at_once = (0..30).map(|i| forwarded(&harness.request(&format!("a{i}"))).len()).sum::<usize>();
    assert_eq!(at_once, 0);
    harness.now += 100.0;
    let later = (0..30).map(|i| forwarded(&harness.request(&format!("b{i}"))).len()).sum::<usize>();
    assert!(later <= 7, "{later} sent; an even share of the headroom between quota and ceiling is at most 7");
}

#[test]
fn timeouts_in_an_overload_eject_no_backend() {
    let mut harness = Harness::new(with_idempotency(Idempotency::Idempotent));
    for i in 0..12 {
        for (id, backend) in forwarded(&harness.request(&format!("j{i}"))) {
            harness.end_attempt(&id, 0, &backend, Status::Timeout);
        }
    }
    harness.now += 0.1;
    assert_eq!(forwarded(&harness.request("after")).len(), 1);
}

/// Lets `failures` attempts at one backend fail to connect, each after `elapsed` seconds. Returns how many of the
/// 20 requests that follow are sent to that backend.
fn sent_after_failed_connections(failures: u32, elapsed: f64) -> usize {
    let mut harness = Harness::new(with_idempotency(Idempotency::Idempotent));
    let mut failed = 0;
    for i in 0..90 {
        for (id, backend) in forwarded(&harness.request(&format!("a{i}"))) {
            let fails = backend.as_ref() == "a" && failed < failures;
            failed += u32::from(fails);
            let (status, elapsed) = if fails { (Status::ConnectFailed, elapsed) } else { (Status::Ok, 0.1) };
            harness.end_first_attempt(&id, &backend, status, elapsed, true);
            if failed == failures {
                let sent = |i: u32| {
                    let sent = forwarded(&harness.request(&format!("b{i}")));
                    for (id, backend) in &sent {
                        harness.end_attempt(id, 0, backend, Status::Ok);
                    }
                    sent.iter().filter(|(_, backend)| backend.as_ref() == "a").count()
                };
                return (0..20).map(sent).sum();
            }
        }
    }
    panic!("fewer than {failures} attempts were sent to the backend");
}

#[test]
fn a_connection_that_times_out_is_not_a_refused_one() {
    assert_eq!(sent_after_failed_connections(1, 0.002), 0, "one refused connection ejects the backend");
    assert!(sent_after_failed_connections(1, 0.25) > 0, "one connect timeout does not eject the backend");
    assert_eq!(
        sent_after_failed_connections(3, 0.25),
        0,
        "three connect timeouts in a row eject the backend"
    );
}
