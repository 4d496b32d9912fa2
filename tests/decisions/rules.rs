//! The rules of a request, a backend and a plan, as one gateway keeps them by itself.

use crate::harness::{
    Harness, endpoint, failed, forwarded, new_request, rejected, settings, settings_without_quota,
};
use weirusher::{
    Action, BackendId, DedupScope, Endpoint, EndpointListKind, Event, Idempotency, Lifecycle, Settings,
    Status,
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
    assert!(harness.request("j").is_empty(), "an id is taken once");
    harness.end_attempt("j", 0, &backend, Status::Ok);
    assert!(harness.end_attempt("j", 0, &backend, Status::Error).is_empty(), "a late outcome has no action");
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
    assert!(forwarded(&actions).is_empty() && rejected(&actions) == 0, "it waits for the counter");
    let timer = actions.iter().find_map(|a| match a {
        Action::SetTimer { token, at } => Some((*token, *at)),
        _ => None,
    });
    let (token, at) = timer.expect("a wait has its timer");
    assert!(at - harness.now <= 0.025, "a few milliseconds");
    harness.now = at;
    let actions = harness.handle(Event::Timer { token });
    assert_eq!(
        forwarded(&actions).len() + rejected(&actions),
        1,
        "it does not wait longer for an unavailable counter"
    );
}

#[test]
fn a_deadline_before_the_end_of_the_lease_wait_is_rejected_at_once() {
    let mut harness = Harness::new(settings());
    let mut near = new_request("j", harness.now);
    near.deadline = harness.now + 0.003;
    assert_eq!(rejected(&harness.handle(Event::Request(near))), 1);
}

#[test]
fn a_non_idempotent_request_that_may_have_run_is_neither_retried_nor_rejected() {
    let mut harness = Harness::new(with_idempotency(Idempotency::NonIdempotent));
    let (_, backend) = forwarded(&harness.request("j")).remove(0);
    let actions = harness.end_attempt("j", 0, &backend, Status::Reset);
    assert_eq!((forwarded(&actions).len(), rejected(&actions), failed(&actions)), (0, 0, 1));
    let (_, backend) = forwarded(&harness.request("k")).remove(0);
    let actions = harness.end_attempt("k", 0, &backend, Status::Rejected);
    assert_eq!(forwarded(&actions).len(), 1, "one that surely never ran is retried");
}

#[test]
fn a_keyed_request_is_retried_in_its_dedup_scope_and_window() {
    let mut settings = with_idempotency(Idempotency::Keyed { scope: DedupScope::Zone, window: 1.0 });
    settings.max_attempts = 9;
    let mut harness = Harness::without_backends(settings);
    let mut list: Vec<Endpoint> =
        ["a", "b", "c", "d"].map(|name| endpoint(name, Lifecycle::Running, 0.0)).into_iter().collect();
    (list[2].zone, list[3].zone) = (1, 1);
    harness.update_endpoints(EndpointListKind::StaleSnapshot, list);
    let zone = |id: &BackendId| usize::from(id.as_ref() >= "c");
    let (_, first) = forwarded(&harness.request("j")).remove(0);
    harness.now += 0.4;
    let (_, second) = forwarded(&harness.end_attempt("j", 0, &first, Status::Error)).remove(0);
    assert_eq!(zone(&first), zone(&second), "only its zone discards the retry");
    let start_within = |action: &Action| match action {
        Action::Forward { start_within, .. } => Some(*start_within),
        _ => None,
    };
    let start_within: Vec<f64> = harness.actions.iter().filter_map(start_within).collect();
    assert_eq!(start_within[0], f64::INFINITY, "a first attempt is no retry");
    assert!((start_within[1] - 0.6).abs() < 1e-9, "later its zone has forgotten the key: {start_within:?}");
    harness.now += 2.0;
    let actions = harness.end_attempt("j", 1, &second, Status::Error);
    assert_eq!(
        (forwarded(&actions).len(), rejected(&actions), failed(&actions)),
        (0, 0, 1),
        "the zone has forgotten the key"
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
        "no timer of a hedged request is set"
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
    assert_eq!(rejected(&harness.request("last")), 1, "without backends it is rejected and does not wait");
}

#[test]
fn a_backend_in_slow_start_gets_a_small_part() {
    let mut harness = Harness::new(with_idempotency(Idempotency::Idempotent));
    harness.update_endpoints(EndpointListKind::Delta, vec![endpoint("a", Lifecycle::Running, 99.9)]);
    let mut to_cold = 0;
    for i in 0..90 {
        harness.now += 0.01;
        for (id, backend) in forwarded(&harness.request(&format!("j{i}"))) {
            to_cold += usize::from(backend.as_ref() == "a");
            harness.end_attempt(&id, 0, &backend, Status::Ok);
        }
    }
    assert!(to_cold <= 12, "{to_cold} of 90 went to the backend in slow start, one of three");
}

#[test]
fn a_backend_that_is_reachable_again_is_treated_as_in_slow_start() {
    let mut harness = Harness::new(with_idempotency(Idempotency::Idempotent));
    harness.update_endpoints(EndpointListKind::Snapshot, vec![endpoint("a", Lifecycle::Running, 0.0)]);
    harness.request("j0");
    harness.end_attempt("j0", 0, &"a".into(), Status::ConnectFailed);
    harness.now += 2.0;
    harness.request("j1");
    harness.end_attempt("j1", 0, &"a".into(), Status::Ok);
    let sent = (2..20).map(|i| forwarded(&harness.request(&format!("j{i}"))).len()).sum::<usize>();
    assert!(sent <= 1, "{sent} sent at once to a backend that may have restarted");
}

#[test]
fn without_the_counter_a_restarted_gateway_has_no_ceiling_headroom_at_first() {
    let mut settings = settings();
    settings.has_counter = false;
    (settings.plans[0].ceiling_rate, settings.plans[0].ceiling_burst) = (17.0, 34.0);
    let mut harness = Harness::new(settings);
    let at_once = (0..30).map(|i| forwarded(&harness.request(&format!("a{i}"))).len()).sum::<usize>();
    assert_eq!(at_once, 0);
    harness.now += 100.0;
    let later = (0..30).map(|i| forwarded(&harness.request(&format!("b{i}"))).len()).sum::<usize>();
    assert!(later <= 7, "{later}: an even share of the headroom between quota and ceiling is 7 at most");
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

/// Of 20 requests that follow `failures` attempts at one backend, each of which failed to connect after
/// `elapsed` seconds, how many go there.
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
    panic!("no attempt was sent to it");
}

#[test]
fn a_connection_that_times_out_is_not_a_refused_one() {
    assert_eq!(sent_after_failed_connections(1, 0.002), 0, "refused: it is ejected at once");
    assert!(sent_after_failed_connections(1, 0.25) > 0, "timed out: another attempt shows more");
    assert_eq!(sent_after_failed_connections(3, 0.25), 0, "three in a row: it is unreachable");
}
