//! The five rules, each kept by one gateway alone.

mod common;
use common::*;
use weirusher::*;

fn plain(effect: Idempotency) -> Settings {
    let mut s = settings();
    s.plans = vec![Plan::default()];
    s.classes[0].idempotency = effect;
    s
}

#[test]
fn a_request_ends_once_whatever_comes_later() {
    let mut rig = Rig::new(plain(Idempotency::Idempotent));
    let (_, server) = sends(&rig.ask("j")).remove(0);
    assert!(rig.ask("j").is_empty(), "an id is taken once");
    rig.outcome("j", 0, &server, Status::Ok);
    assert!(rig.outcome("j", 0, &server, Status::Error).is_empty(), "a late outcome leads to nothing");
    assert!(rig.event(Event::ClientGone { request: "j".into() }).is_empty());
}

#[test]
fn a_held_request_is_answered_within_the_hold() {
    let mut s = settings();
    s.plans[0].ceiling_rate = 20.0; // An unseen customer of such a plan has no share to start with.
    s.plans[0].ceiling_burst = 40.0;
    let mut rig = Rig::new(s);
    let out = rig.ask("j");
    assert!(sends(&out).is_empty() && refused(&out) == 0, "held for the counter");
    let timer = out.iter().find_map(|a| match a {
        Action::SetTimer { token, at } => Some((*token, *at)),
        _ => None,
    });
    let (token, at) = timer.expect("a hold has its timer");
    assert!(at - rig.now <= 0.025, "a few milliseconds");
    rig.now = at;
    let out = rig.event(Event::Timer { token });
    assert_eq!(sends(&out).len() + refused(&out), 1, "a silent counter does not hold it longer");
}

#[test]
fn a_deadline_nearer_than_the_holds_is_refused_at_once() {
    let mut rig = Rig::new(settings());
    let mut near = request("j", rig.now);
    near.deadline = rig.now + 0.003;
    assert_eq!(refused(&rig.event(Event::Request(near))), 1);
}

#[test]
fn an_unsafe_request_that_may_have_run_is_neither_repeated_nor_refused() {
    let mut rig = Rig::new(plain(Idempotency::NonIdempotent));
    let (_, server) = sends(&rig.ask("j")).remove(0);
    let out = rig.outcome("j", 0, &server, Status::Reset);
    assert_eq!((sends(&out).len(), refused(&out), failed(&out)), (0, 0, 1));
    let (_, server) = sends(&rig.ask("k")).remove(0);
    let out = rig.outcome("k", 0, &server, Status::Rejected);
    assert_eq!(sends(&out).len(), 1, "one that surely never ran goes out again");
}

#[test]
fn a_keyed_request_stays_in_its_group_and_window() {
    let mut s = plain(Idempotency::Keyed { scope: DedupScope::Zone, window: 1.0 });
    s.max_attempts = 9;
    let mut rig = Rig::empty(s);
    let mut list: Vec<Endpoint> =
        ["a", "b", "c", "d"].map(|n| server(n, Lifecycle::Running, 0.0)).into_iter().collect();
    (list[2].zone, list[3].zone) = (1, 1);
    rig.list(EndpointListKind::StaleSnapshot, list);
    let zone = |id: &BackendId| usize::from(id.as_ref() >= "c");
    let (_, first) = sends(&rig.ask("j")).remove(0);
    rig.now += 0.4;
    let (_, second) = sends(&rig.outcome("j", 0, &first, Status::Error)).remove(0);
    assert_eq!(zone(&first), zone(&second), "only the group discards the repeat");
    let within = |action: &Action| match action {
        Action::Forward { start_within: within, .. } => Some(*within),
        _ => None,
    };
    let within: Vec<f64> = rig.actions.iter().filter_map(within).collect();
    assert_eq!(within[0], f64::INFINITY, "a first attempt is no repeat");
    assert!((within[1] - 0.6).abs() < 1e-9, "one that is begun later is a new one to its group: {within:?}");
    rig.now += 2.0;
    let out = rig.outcome("j", 1, &second, Status::Error);
    assert_eq!((sends(&out).len(), refused(&out), failed(&out)), (0, 0, 1), "the group has forgotten it");
}

#[test]
fn no_second_copy_where_none_is_allowed() {
    let mut s = plain(Idempotency::Idempotent);
    s.hedging = false;
    let mut rig = Rig::new(s);
    let out = rig.ask("j");
    assert_eq!(sends(&out).len(), 1);
    assert!(!out.iter().any(|a| matches!(a, Action::SetTimer { .. })), "no hedge is even planned");
}

#[test]
fn a_draining_or_missing_server_gets_nothing_new() {
    let mut rig = Rig::new(plain(Idempotency::Idempotent));
    rig.list(EndpointListKind::Delta, vec![server("a", Lifecycle::Draining, 0.0)]);
    rig.list(
        EndpointListKind::Snapshot,
        vec![server("a", Lifecycle::Draining, 0.0), server("b", Lifecycle::Running, 0.0)],
    );
    for i in 0..20 {
        for (job, to) in sends(&rig.ask(&format!("j{i}"))) {
            assert_eq!(to.as_ref(), "b");
            rig.outcome(&job, 0, &to, Status::Ok);
        }
    }
    rig.list(EndpointListKind::Snapshot, vec![]);
    assert_eq!(refused(&rig.ask("last")), 1, "with all servers gone it is refused, not held");
}

#[test]
fn a_cold_server_gets_a_small_part() {
    let mut rig = Rig::new(plain(Idempotency::Idempotent));
    rig.list(EndpointListKind::Delta, vec![server("a", Lifecycle::Running, 99.9)]);
    let mut cold = 0;
    for i in 0..90 {
        rig.now += 0.01;
        for (job, to) in sends(&rig.ask(&format!("j{i}"))) {
            cold += usize::from(to.as_ref() == "a");
            rig.outcome(&job, 0, &to, Status::Ok);
        }
    }
    assert!(cold <= 12, "{cold} of 90 went to the cold one of three servers");
}

#[test]
fn a_server_that_comes_back_untold_is_suspected_cold() {
    let mut rig = Rig::new(plain(Idempotency::Idempotent));
    rig.list(EndpointListKind::Snapshot, vec![server("a", Lifecycle::Running, 0.0)]);
    rig.ask("j0");
    rig.outcome("j0", 0, &"a".into(), Status::ConnectFailed);
    rig.now += 2.0;
    rig.ask("j1");
    rig.outcome("j1", 0, &"a".into(), Status::Ok);
    let sent = (2..20).map(|i| sends(&rig.ask(&format!("j{i}"))).len()).sum::<usize>();
    assert!(sent <= 1, "{sent} sent at once to a server that may be cold");
}

#[test]
fn off_the_count_a_restarted_gateway_spends_nothing_of_a_ceiling_at_first() {
    let mut s = settings();
    s.has_counter = false;
    (s.plans[0].ceiling_rate, s.plans[0].ceiling_burst) = (17.0, 34.0);
    let mut rig = Rig::new(s);
    let at_once = (0..30).map(|i| sends(&rig.ask(&format!("a{i}"))).len()).sum::<usize>();
    assert_eq!(at_once, 0);
    rig.now += 100.0;
    let later = (0..30).map(|i| sends(&rig.ask(&format!("b{i}"))).len()).sum::<usize>();
    assert!(later <= 7, "{later}: an even share of the room between quota and ceiling is 7 at most");
}

#[test]
fn time_outs_in_overload_do_not_put_the_fleet_out() {
    let mut rig = Rig::new(plain(Idempotency::Idempotent));
    for i in 0..12 {
        for (job, to) in sends(&rig.ask(&format!("j{i}"))) {
            rig.outcome(&job, 0, &to, Status::Timeout);
        }
    }
    rig.now += 0.1;
    assert_eq!(sends(&rig.ask("after")).len(), 1);
}

/// Of 20 requests that follow `failures` attempts at one server, each of which took `spent` seconds to fail to connect,
/// how many go there.
fn sent_after_failed_connections(failures: u32, spent: f64) -> usize {
    let mut rig = Rig::new(plain(Idempotency::Idempotent));
    let mut out = 0;
    for i in 0..90 {
        let asked = format!("a{i}");
        for (job, server) in sends(&rig.ask(&asked)) {
            let fails = server.as_ref() == "a" && out < failures;
            out += u32::from(fails);
            let (status, spent) = if fails { (Status::ConnectFailed, spent) } else { (Status::Ok, 0.1) };
            let load = LoadReport::default();
            rig.event(Event::AttemptEnded {
                request: job,
                attempt: 0,
                backend: server,
                status,
                elapsed: spent,
                request_ended: true,
                settled_units: None,
                load,
            });
            if out == failures {
                let sent = |i: u32| {
                    let sent = sends(&rig.ask(&format!("b{i}")));
                    sent.iter().for_each(|(job, server)| drop(rig.outcome(job, 0, server, Status::Ok)));
                    sent.iter().filter(|(_, server)| server.as_ref() == "a").count()
                };
                return (0..20).map(sent).sum();
            }
        }
    }
    panic!("it was sent nothing");
}

#[test]
fn a_connection_that_comes_up_late_is_no_refusal() {
    assert_eq!(sent_after_failed_connections(1, 0.002), 0, "refused: it is put out at once");
    assert!(sent_after_failed_connections(1, 0.25) > 0, "late: another try tells more");
    assert_eq!(sent_after_failed_connections(3, 0.25), 0, "three in a row: its machine is gone");
}
