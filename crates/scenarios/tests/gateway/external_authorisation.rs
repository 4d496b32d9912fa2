//! External authorisation from the check to the report, with clients, proxies, the counter and backends that fail.

use crate::site::{LIMIT, Site, SiteOptions};
use std::time::Duration;
use weirusher::Lifecycle;
use weirusher_fakes::{BehaviourProfile, ClientOutcome, ClientRequest, CounterFault};
use weirusher_scenarios::CheckCounts;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_request_is_checked_sent_and_reported_once() {
    let site = Site::start(SiteOptions::default()).await;
    let outcome = site.send(BehaviourProfile::default()).await;
    assert_eq!(outcome.outcome, ClientOutcome::Served);
    site.settled().await;
    let stats = site.stats(0).await;
    for (figure, count) in
        [("checks", 1), ("allowed", 1), ("reported", 1), ("unreported", 0), ("late_reports", 0)]
    {
        assert_eq!(stats["ledger"][figure], count, "{figure}");
    }
    let report = site.audit();
    let checks = CheckCounts { sent: 1, allowed: 1 };
    assert_eq!((report.violation_count, report.admissions["runs"], report.checks), (0, 1, checks));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn clients_that_close_at_any_moment_leave_nothing_pending() {
    let site = Site::start(SiteOptions {
        service_seconds: 0.05,
        plan: "rate = 100\nburst = 200\nopen = 2",
        ..SiteOptions::default()
    })
    .await;
    // The counter delays decisions by milliseconds, so that clients close before, at and after them.
    site.counter.set_fault(CounterFault::Delayed(0.01));
    for n in 0..60 {
        let closes_after_seconds = Some(f64::from(n) * 0.0004);
        site.send(BehaviourProfile { closes_after_seconds, ..BehaviourProfile::default() }).await;
    }
    for n in 0..10 {
        let closes_during_attempt_after_seconds = Some(f64::from(n) * 0.002);
        let profile = BehaviourProfile { closes_during_attempt_after_seconds, ..BehaviourProfile::default() };
        site.send(profile).await;
    }
    site.counter.set_fault(CounterFault::None);
    site.settled().await;
    // The plan's two open slots are free again.
    assert_eq!(site.send(BehaviourProfile::default()).await.outcome, ClientOutcome::Served);
    site.settled().await;
    let stats = site.stats(0).await;
    let closed = stats["ledger"]["left"].as_u64().unwrap() + stats["ledger"]["undelivered"].as_u64().unwrap();
    assert!(closed > 0, "no client closed before its response: {stats}");
    site.assert_rules_kept();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_duplicated_late_or_misdirected_reports_close_each_ticket_once() {
    let site = Site::start(SiteOptions { gateways: 2, ..SiteOptions::default() }).await;
    let plain = BehaviourProfile::default();
    for profile in [
        BehaviourProfile { report_duplicated: true, ..plain },
        BehaviourProfile { report_lost: true, ..plain },
        BehaviourProfile { report_delay_seconds: 2.0, ..plain },
        BehaviourProfile { report_misdirected: true, ..plain },
    ] {
        assert_eq!(site.send(profile).await.outcome, ClientOutcome::Served);
    }
    // Lost, late and misdirected: the attempt's own limit closes them.
    site.until(0, "/ledger/unreported", |n| n == 3).await;
    site.until(0, "/ledger/late_reports", |n| n == 2).await;
    site.until(1, "/ledger/foreign_reports", |n| n == 1).await;
    site.settled().await;
    assert_eq!(site.stats(0).await["ledger"]["reported"], 1);
    site.assert_rules_kept();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn altered_and_replayed_tickets_are_rejected_and_never_run() {
    let site = Site::start(SiteOptions::default()).await;
    let altered = site.send(BehaviourProfile { ticket_altered: true, ..BehaviourProfile::default() }).await;
    assert_ne!(altered.outcome, ClientOutcome::Served);
    assert_eq!(
        site.send(BehaviourProfile { ticket_replayed: true, ..BehaviourProfile::default() }).await.outcome,
        ClientOutcome::Served
    );
    site.settled().await;
    let report = site.audit();
    let admissions = &report.admissions;
    assert_eq!((report.violation_count, admissions["runs"], admissions["replayed"]), (0, 1, 1));
    assert!(admissions["invalid"] >= 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_proxy_that_dies_with_open_tickets_blocks_no_slot() {
    // Attempts may take so long that all of this happens before they end.
    let class = "aim_ms = 8000\npatience_ms = 8000";
    let site = Site::start(SiteOptions {
        service_seconds: 60.0,
        plan: "rate = 100\nburst = 200\nopen = 3",
        class,
        ..SiteOptions::default()
    })
    .await;
    let mut dying = tokio::task::JoinSet::new();
    for open in 1..=3 {
        let (generator, request) = (
            site.load_generator.clone(),
            ClientRequest { deadline_seconds: 8.0, ..site.request(BehaviourProfile::default()) },
        );
        dying.spawn(async move { generator.send_request(&request).await });
        site.until(0, "/ledger/allowed", |n| n == open).await;
    }
    assert_eq!(
        site.send(BehaviourProfile::default()).await.outcome,
        ClientOutcome::Rejected,
        "the cap of three is in use"
    );
    dying.shutdown().await;
    site.settled().await;
    // The slots are free: the next request is admitted, and closes during its slow attempt.
    site.send(BehaviourProfile {
        closes_during_attempt_after_seconds: Some(0.01),
        ..BehaviourProfile::default()
    })
    .await;
    site.until(0, "/ledger/allowed", |n| n == 4).await;
    site.settled().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_faulty_counter_costs_no_request_its_response() {
    let site = Site::start(SiteOptions::default()).await;
    for fault in [
        CounterFault::Silent,
        CounterFault::PartialReply,
        CounterFault::ConnectionReset,
        CounterFault::WrongType,
        CounterFault::Delayed(0.12),
        CounterFault::None,
    ] {
        site.counter.set_fault(fault);
        for _ in 0..10 {
            let outcome = site.send(BehaviourProfile::default()).await;
            assert_eq!(outcome.outcome, ClientOutcome::Served, "{fault:?}");
        }
    }
    site.counter.clear();
    assert_eq!(site.send(BehaviourProfile::default()).await.outcome, ClientOutcome::Served);
    site.settled().await;
    site.assert_rules_kept();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drain_with_attempts_in_flight_is_respected() {
    let site = Site::start(SiteOptions { service_seconds: 0.05, ..SiteOptions::default() }).await;
    let mut clients = tokio::task::JoinSet::new();
    for _ in 0..20 {
        let (generator, request) = (site.load_generator.clone(), site.request(BehaviourProfile::default()));
        clients.spawn(async move { generator.send_request(&request).await });
    }
    site.publish(&[Lifecycle::Draining, Lifecycle::Running]);
    site.until(0, "/process/lists", |n| n >= 2).await;
    let before = site.capture().lines().count();
    for _ in 0..10 {
        site.send(BehaviourProfile::default()).await;
    }
    while let Some(outcome) = clients.join_next().await {
        assert!(matches!(outcome.unwrap().outcome, ClientOutcome::Served | ClientOutcome::Rejected));
    }
    let drained = site.backends[0].address.to_string();
    let capture = site.capture();
    let sent = capture.lines().skip(before).filter(|l| l.contains("\"allowed\"") && l.contains(&drained));
    assert_eq!(sent.count(), 0, "sent to a draining backend, long after the drain was known");
    site.settled().await;
    site.assert_rules_kept();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_backend_that_vanishes_costs_a_retry_and_not_the_request() {
    let mut site = Site::start(SiteOptions { service_seconds: 0.02, ..SiteOptions::default() }).await;
    assert_eq!(site.send(BehaviourProfile::default()).await.outcome, ClientOutcome::Served);
    drop(site.backends.remove(0));
    for _ in 0..10 {
        assert_eq!(site.send(BehaviourProfile::default()).await.outcome, ClientOutcome::Served);
    }
    site.settled().await;
    assert!(site.audit().checks.sent > 11, "there was no retry");
    site.assert_rules_kept();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_is_not_idempotent_fails_without_a_second_run_when_its_backend_vanishes() {
    let class = "aim_ms = 1000\npatience_ms = 3000\neffect = \"unsafe\"";
    let mut site = Site::start(SiteOptions { service_seconds: 0.3, class, ..SiteOptions::default() }).await;
    let (generator, request) = (site.load_generator.clone(), site.request(BehaviourProfile::default()));
    let playing = tokio::spawn(async move { generator.send_request(&request).await });
    let end = tokio::time::Instant::now() + LIMIT;
    while !site.capture().contains("\"runs\"") {
        assert!(tokio::time::Instant::now() < end);
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    site.backends.clear();
    assert_eq!(playing.await.unwrap().outcome, ClientOutcome::Failed);
    assert_eq!(site.audit().admissions["runs"], 1);
    site.settled().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_graceful_shutdown_answers_pending_requests() {
    let mut site = Site::start(SiteOptions { service_seconds: 0.3, ..SiteOptions::default() }).await;
    let (generator, request) = (site.load_generator.clone(), site.request(BehaviourProfile::default()));
    let playing = tokio::spawn(async move { generator.send_request(&request).await });
    site.until(0, "/owed", |n| n == 1).await;
    let stopping = site.gateways.remove(0);
    assert_eq!(stopping.stop().await, 0, "requests were left pending");
    assert_eq!(playing.await.unwrap().outcome, ClientOutcome::Served);
    site.assert_rules_kept();
}
