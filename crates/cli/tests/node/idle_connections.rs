//! Long idle times, and idle connections that backends or middleboxes end.

use crate::platform::STOP_WITHIN;
use crate::support::{
    ANY_PORT, Client, ClientResponse, REUSE_PAUSE, Site, delayed_echo, echo, id,
    last_attempt_at_draining_backend, request, store,
};
use nix::sys::signal::Signal;
use std::collections::HashSet;
use std::time::{Duration, Instant};
use weirusher_fakes::{Link, Reply, ScriptedServer};

/// Longer than an idle client connection is kept.
const LONG_IDLE: Duration = Duration::from_millis(20_500);
/// How late a response may be after its deadline.
const RESPONSE_SLACK: Duration = Duration::from_millis(500);

#[tokio::test]
async fn after_a_long_idle_time_all_is_as_before() {
    let site = Site::start(2).await;
    let mut old = site.client().await;
    assert_eq!(old.exchange(&store(&id(), "x")).await.unwrap().status, 200);
    tokio::time::sleep(LONG_IDLE).await;
    old.closed().await;
    let mut client = site.client().await;
    for _ in 0..4 {
        assert_eq!(client.exchange(&store(&id(), "x")).await.unwrap().status, 200);
        tokio::time::sleep(REUSE_PAUSE).await;
    }
    // A drain is respected, and a shutdown answers what is pending.
    let last = last_attempt_at_draining_backend(&site, &site.discovery).await;
    assert!(last <= STOP_WITHIN, "{last} s after it was notified");
    site.backends[1].set_script(delayed_echo(200));
    let (open, mut client) = (id(), site.client().await);
    client.send(&store(&open, "x")).await;
    while site.attempts(&open) == 0 {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    site.signal(Signal::SIGTERM);
    assert_eq!(client.response().await.expect("a complete response").body, format!("done {open}"));
}

#[tokio::test]
async fn idle_connections_that_their_backend_closes_or_resets_cost_no_request() {
    for resets in [false, true] {
        let site = Site::start(2).await;
        site.backends.iter().for_each(|backend| {
            backend.set_script(move |request| match echo(request) {
                Reply::Bytes(bytes) if resets => Reply::BytesThenReset(bytes),
                Reply::Bytes(bytes) => Reply::BytesThenClose(bytes),
                other => other,
            });
        });
        let mut client = site.client().await;
        for _ in 0..8 {
            let id = id();
            assert_eq!(client.exchange(&store(&id, "x")).await.unwrap().status, 200, "resets: {resets}");
            assert_eq!(site.attempts(&id), 1);
            tokio::time::sleep(REUSE_PAUSE).await;
        }
    }
}

/// Sends a request and returns its status; its response must be in time.
async fn status_in_time(client: &mut Client, text: &str, deadline: Duration) -> u16 {
    let sent = Instant::now();
    let ClientResponse { status, .. } = client.exchange(text).await.expect("a complete response");
    assert!(sent.elapsed() < deadline + RESPONSE_SLACK, "{status} after {:?}", sent.elapsed());
    status
}

#[tokio::test]
async fn idle_connections_that_a_middlebox_drops_cost_one_attempt_each_and_no_response() {
    const DEADLINE: Duration = Duration::from_secs(3);
    for is_unsafe in [false, true] {
        let mut backends = Vec::new();
        for _ in 0..2 {
            let backend = ScriptedServer::start(ANY_PORT, delayed_echo(30)).await.unwrap();
            let link = Link::start(Some(backend.address)).await.unwrap();
            backends.push((backend, link));
        }
        let listed = [("s-0", backends[0].1.address), ("s-1", backends[1].1.address)];
        let site = Site::with(0, 256, &listed).await;
        let text = |id: &str| if is_unsafe { store(id, "x") } else { request(id, "iso", 3000) };
        let together = async |many: usize| {
            let ask = async |_| {
                let (id, mut client) = (id(), site.client().await);
                (status_in_time(&mut client, &text(&id), DEADLINE).await, id)
            };
            futures::future::join_all((0..many).map(ask)).await
        };
        let statuses =
            |answers: &[(u16, String)]| answers.iter().map(|(status, _)| *status).collect::<Vec<_>>();
        assert_eq!(statuses(&together(1).await), [200]);
        assert_eq!(statuses(&together(2).await), [200; 2]);
        tokio::time::sleep(REUSE_PAUSE).await;
        let pooled: u64 = backends.iter().map(|(backend, _)| backend.connections()).sum();
        backends.iter().for_each(|(_, link)| link.blackhole());
        // Each dropped connection costs one attempt at most; a new one serves.
        let mut failed = 0;
        while failed <= pooled {
            let answers = together(1).await;
            if statuses(&answers) == [200] {
                break;
            }
            failed += 1;
        }
        assert!(failed <= pooled, "{failed} requests failed behind {pooled} connections");
        tokio::time::sleep(REUSE_PAUSE).await;
        let mut later = 0;
        for _ in 0..pooled + 4 {
            later += u64::from(statuses(&together(1).await) != [200]);
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
