//! Long idle times, and idle connections that backends close or middleboxes drop.

use crate::platform::DRAIN_GRACE;
use crate::support::{
    ANY_PORT, Client, ClientResponse, Harness, REUSE_PAUSE, delayed_echo, echo,
    last_attempt_at_draining_backend, request, store_request, unique_id,
};
use nix::sys::signal::Signal;
use std::collections::HashSet;
use std::time::{Duration, Instant};
use weirusher_fakes::{Link, Reply, ScriptedServer};

/// Longer than the idle time-out of client connections.
const LONG_IDLE: Duration = Duration::from_millis(20_500);
/// Time after its deadline within which a response may still arrive.
const RESPONSE_SLACK: Duration = Duration::from_millis(500);

#[tokio::test]
async fn requests_drains_and_shutdown_work_after_a_long_idle_time() {
    let harness = Harness::start(2).await;
    let mut old = harness.client().await;
    assert_eq!(old.exchange(&store_request(&unique_id(), "x")).await.unwrap().status, 200);
    tokio::time::sleep(LONG_IDLE).await;
    old.wait_for_close().await;
    let mut client = harness.client().await;
    for _ in 0..4 {
        assert_eq!(client.exchange(&store_request(&unique_id(), "x")).await.unwrap().status, 200);
        tokio::time::sleep(REUSE_PAUSE).await;
    }
    // A drain is respected, and a shutdown answers pending requests.
    let last = last_attempt_at_draining_backend(&harness, &harness.discovery).await;
    assert!(last <= DRAIN_GRACE, "last attempt {last} s after the notification");
    harness.backends[1].set_script(delayed_echo(200));
    let (open, mut client) = (unique_id(), harness.client().await);
    client.send(&store_request(&open, "x")).await;
    while harness.attempts(&open) == 0 {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    harness.signal(Signal::SIGTERM);
    assert_eq!(client.response().await.expect("a complete response").body, format!("done {open}"));
}

#[tokio::test]
async fn idle_connections_closed_by_their_backend_fail_no_request() {
    for resets in [false, true] {
        let harness = Harness::start(2).await;
        harness.backends.iter().for_each(|backend| {
            backend.set_script(move |request| match echo(request) {
                Reply::Bytes(bytes) if resets => Reply::BytesThenReset(bytes),
                Reply::Bytes(bytes) => Reply::BytesThenClose(bytes),
                other => other,
            });
        });
        let mut client = harness.client().await;
        for _ in 0..8 {
            let id = unique_id();
            assert_eq!(
                client.exchange(&store_request(&id, "x")).await.unwrap().status,
                200,
                "resets: {resets}"
            );
            assert_eq!(harness.attempts(&id), 1);
            tokio::time::sleep(REUSE_PAUSE).await;
        }
    }
}

/// Sends a request and returns the status of its response, which must arrive in time.
async fn status_in_time(client: &mut Client, text: &str, deadline: Duration) -> u16 {
    let sent = Instant::now();
    let ClientResponse { status, .. } = client.exchange(text).await.expect("a complete response");
    assert!(sent.elapsed() < deadline + RESPONSE_SLACK, "{status} after {:?}", sent.elapsed());
    status
}

/// A middlebox drops all packets of established connections. Each connection fails at most one attempt, and every
/// request gets a response in time.
#[tokio::test]
async fn idle_connections_dropped_by_a_middlebox() {
    const DEADLINE: Duration = Duration::from_secs(3);
    for is_unsafe in [false, true] {
        let mut backends = Vec::new();
        for _ in 0..2 {
            let backend = ScriptedServer::start(ANY_PORT, delayed_echo(30)).await.unwrap();
            let link = Link::start(Some(backend.address)).await.unwrap();
            backends.push((backend, link));
        }
        let listed = [("s-0", backends[0].1.address), ("s-1", backends[1].1.address)];
        let harness = Harness::start_with(0, 256, &listed).await;
        let text = |id: &str| if is_unsafe { store_request(id, "x") } else { request(id, "iso", 3000) };
        let send_concurrently = async |count: usize| {
            let send = async |_| {
                let (id, mut client) = (unique_id(), harness.client().await);
                (status_in_time(&mut client, &text(&id), DEADLINE).await, id)
            };
            futures::future::join_all((0..count).map(send)).await
        };
        let statuses =
            |answers: &[(u16, String)]| answers.iter().map(|(status, _)| *status).collect::<Vec<_>>();
        assert_eq!(statuses(&send_concurrently(1).await), [200]);
        assert_eq!(statuses(&send_concurrently(2).await), [200; 2]);
        tokio::time::sleep(REUSE_PAUSE).await;
        let pooled: u64 = backends.iter().map(|(backend, _)| backend.accepted_connections()).sum();
        backends.iter().for_each(|(_, link)| link.blackhole());
        // Each dropped connection fails at most one attempt; a new connection works.
        let mut failed = 0;
        while failed <= pooled {
            let answers = send_concurrently(1).await;
            if statuses(&answers) == [200] {
                break;
            }
            failed += 1;
        }
        assert!(failed <= pooled, "{failed} requests failed behind {pooled} connections");
        tokio::time::sleep(REUSE_PAUSE).await;
        let mut later = 0;
        for _ in 0..pooled + 4 {
            later += u64::from(statuses(&send_concurrently(1).await) != [200]);
        }
        assert!(failed + later <= pooled, "{failed} and {later} requests failed behind {pooled} connections");
        let received: Vec<_> = backends.iter().flat_map(|(backend, _)| backend.received()).collect();
        let mut seen = HashSet::new();
        for received in received {
            let id = received.request.headers.get("x-trace-id").unwrap().to_string();
            assert!(seen.insert(id.clone()) || !is_unsafe, "{id} received twice");
        }
    }
}
