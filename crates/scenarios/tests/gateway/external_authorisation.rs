//! External authorisation from the check to the report, with failing clients, proxies, counters and backends.

use crate::site::{Site, SiteOptions, WAIT_TIMEOUT};
use std::time::Duration;
use weirusher::Lifecycle;
use weirusher_fakes::{BehaviourProfile, ClientOutcome, ClientRequest, CounterFault};
use weirusher_scenarios::CheckCounts;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_request_is_checked_sent_and_reported_once() {
    let site = Site::start(SiteOptions::default()).await;
    let outcome = site.send(BehaviourProfile::default()).await;
    assert_eq!(outcome.outcome, ClientOutcome::Served);
    site.wait_until_idle().await;
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
    site.wait_until_idle().await;
    // Both of the plan's slots for pending requests are free again.
    assert_eq!(site.send(BehaviourProfile::default()).await.outcome, ClientOutcome::Served);
    site.wait_until_idle().await;
    let stats = site.stats(0).await;
    let closed = stats["ledger"]["left"].as_u64().unwrap() + stats["ledger"]["undelivered"].as_u64().unwrap();
    assert!(closed > 0, "no client closed before its response: {stats}");
    site.assert_rules_kept();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn faulty_reports_close_each_ticket_once() {
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
    // The lost, the late and the misdirected report: these attempts are closed by their time limit.
    site.wait_until(0, "/ledger/unreported", |n| n == 3).await;
    site.wait_until(0, "/ledger/late_reports", |n| n == 2).await;
    site.wait_until(1, "/ledger/foreign_reports", |n| n == 1).await;
    site.wait_until_idle().await;
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
    site.wait_until_idle().await;
    let report = site.audit();
    let admissions = &report.admissions;
    assert_eq!((report.violation_count, admissions["runs"], admissions["replayed"]), (0, 1, 1));
    assert!(admissions["invalid"] >= 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_proxy_that_dies_with_open_tickets_frees_its_slots() {
    // The limits are so long that no attempt ends during the test.
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
        site.wait_until(0, "/ledger/allowed", |n| n == open).await;
    }
    assert_eq!(
        site.send(BehaviourProfile::default()).await.outcome,
        ClientOutcome::Rejected,
        "all three slots are in use"
    );
    dying.shutdown().await;
    site.wait_until_idle().await;
    // The slots are free again: the next request is admitted. Its client closes during the slow attempt.
    site.send(BehaviourProfile {
        closes_during_attempt_after_seconds: Some(0.01),
        ..BehaviourProfile::default()
    })
    .await;
    site.wait_until(0, "/ledger/allowed", |n| n == 4).await;
    site.wait_until_idle().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_are_served_despite_a_faulty_counter() {
    let site = Site::start(SiteOptions::default()).await;
    for fault in [
        CounterFault::Silent,
        CounterFault::PartialReply,
        CounterFault::ConnectionClosed,
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
    site.wait_until_idle().await;
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
    site.wait_until(0, "/process/lists", |n| n >= 2).await;
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
    assert_eq!(sent.count(), 0, "sent to a draining backend long after the gateway knew of the drain");
    site.wait_until_idle().await;
    site.assert_rules_kept();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_are_retried_when_a_backend_vanishes() {
    let mut site = Site::start(SiteOptions { service_seconds: 0.02, ..SiteOptions::default() }).await;
    assert_eq!(site.send(BehaviourProfile::default()).await.outcome, ClientOutcome::Served);
    drop(site.backends.remove(0));
    for _ in 0..10 {
        assert_eq!(site.send(BehaviourProfile::default()).await.outcome, ClientOutcome::Served);
    }
    site.wait_until_idle().await;
    assert!(site.audit().checks.sent > 11, "there was no retry");
    site.assert_rules_kept();
}

/// The request fails when its backend vanishes, because the backend may already have executed it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_non_idempotent_request_is_not_retried() {
    let class = "aim_ms = 1000\npatience_ms = 3000\neffect = \"unsafe\"";
    let mut site = Site::start(SiteOptions { service_seconds: 0.3, class, ..SiteOptions::default() }).await;
    let (generator, request) = (site.load_generator.clone(), site.request(BehaviourProfile::default()));
    let pending = tokio::spawn(async move { generator.send_request(&request).await });
    let end = tokio::time::Instant::now() + WAIT_TIMEOUT;
    while !site.capture().contains("\"runs\"") {
        assert!(tokio::time::Instant::now() < end);
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    site.backends.clear();
    assert_eq!(pending.await.unwrap().outcome, ClientOutcome::Failed);
    assert_eq!(site.audit().admissions["runs"], 1);
    site.wait_until_idle().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_graceful_shutdown_answers_pending_requests() {
    let mut site = Site::start(SiteOptions { service_seconds: 0.3, ..SiteOptions::default() }).await;
    let (generator, request) = (site.load_generator.clone(), site.request(BehaviourProfile::default()));
    let pending = tokio::spawn(async move { generator.send_request(&request).await });
    site.wait_until(0, "/owed", |n| n == 1).await;
    let stopping = site.gateways.remove(0);
    assert_eq!(stopping.stop().await, 0, "requests were still pending");
    assert_eq!(pending.await.unwrap().outcome, ClientOutcome::Served);
    site.assert_rules_kept();
}
