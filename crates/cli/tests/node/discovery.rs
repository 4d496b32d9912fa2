//! Discovery and reloads of the configuration: drains, a discovery that does not respond, changes of addresses.

use crate::platform::{DRAIN_GRACE, configuration};
use crate::support::{
    ANY_PORT, ClientResponse, Harness, READINESS_CHECK, REUSE_PAUSE, TEST_TIMEOUT, delayed_echo,
    endpoint_list, last_attempt_at_draining_backend, request, store_request, unique_id,
};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;
use weirusher_fakes::{
    DiscoveryAgent, ReceivedRequest, Reply, ScriptedServer, counter_script, http_response,
};

/// A new backend with the address of a removed one does not get that one's connections.
#[tokio::test]
async fn a_draining_backend_gets_no_new_requests() {
    let harness = Harness::start(2).await;
    let mut client = harness.client().await;
    for _ in 0..8 {
        assert_eq!(client.exchange(&request(&unique_id(), "iso", 3000)).await.unwrap().status, 200);
        tokio::time::sleep(REUSE_PAUSE).await;
    }
    let before = harness.backends[0].accepted_connections();
    // The pending watch reports the new list: `s-0` is removed, the new `s-9` has its address, and `s-1` drains.
    let backends = [&harness.backends[0], &harness.backends[1]].map(|backend| backend.address);
    harness
        .discovery
        .set_list(3, endpoint_list(3, &[("s-9", backends[0], "SERVING"), ("s-1", backends[1], "DRAINING")]));
    harness.discovery.wait_until_list_received(3).await;
    let drained = harness.backends[1].received().len();
    for _ in 0..8 {
        assert_eq!(client.exchange(&request(&unique_id(), "iso", 3000)).await.unwrap().status, 200);
        tokio::time::sleep(REUSE_PAUSE).await;
    }
    assert_eq!(harness.backends[1].received().len(), drained, "a draining backend got requests");
    assert_eq!(
        harness.backends[0].accepted_connections(),
        before + 1,
        "expected one new connection, to the new backend"
    );
}

/// A reload names a discovery agent that does not respond to the first poll, and later responds with the drain.
#[tokio::test]
async fn a_drain_is_respected_once_a_silent_discovery_responds() {
    let harness = Harness::start(2).await;
    let entries =
        [("s-0", harness.backends[0].address, "SERVING"), ("s-1", harness.backends[1].address, "SERVING")];
    let agent = DiscoveryAgent::start(ANY_PORT, 2, endpoint_list(2, &entries)).await.unwrap();
    agent.stop_answering();
    let moved = configuration(harness.listen, agent.address(), harness.counter.address, 256);
    std::fs::write(&harness.file, moved).unwrap();
    harness.signal(nix::sys::signal::Signal::SIGHUP);
    agent.wait_for_requests(1).await;
    let last = last_attempt_at_draining_backend(&harness, &agent).await;
    assert!(last <= DRAIN_GRACE, "last attempt {last} s after the notification");
}

#[tokio::test]
async fn lists_that_end_with_their_connection_are_applied() {
    // Each response closes its connection: with a length and `Connection: close`, without a length, and chunked.
    let harness = Harness::start(2).await;
    let serving = harness.backends[0].address;
    let (polls, backends) = (Arc::new(AtomicUsize::new(0)), endpoint_list(3, &[("s-0", serving, "SERVING")]));
    let discovery = ScriptedServer::start(ANY_PORT, {
        let polls = polls.clone();
        move |_| {
            let nth = polls.fetch_add(1, Ordering::Relaxed);
            let chunks = format!("{:x}\r\n{backends}\r\n0\r\n\r\n", backends.len());
            Reply::BytesThenClose(match nth % 3 {
                0 => http_response(200, "Connection: close\r\n", &backends),
                1 => format!("HTTP/1.1 200 OK\r\n\r\n{backends}").into(),
                _ => format!(
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n{chunks}"
                )
                .into(),
            })
        }
    })
    .await
    .unwrap();
    let moved = configuration(harness.listen, discovery.address, harness.counter.address, 256);
    std::fs::write(&harness.file, moved).unwrap();
    harness.signal(nix::sys::signal::Signal::SIGHUP);
    // The gateway polls again after each kind of response, from the version that it received.
    discovery.wait_for_requests(7).await;
    let since = |received: &ReceivedRequest| received.request.path.contains("since=3");
    assert!(
        discovery.received()[1..7].iter().all(since),
        "{:?}",
        discovery.received()[..7].iter().map(|c| &c.request.path).collect::<Vec<_>>()
    );
    let mut client = harness.client().await;
    let before = harness.backends[1].received().len();
    for _ in 0..8 {
        assert_eq!(client.exchange(&request(&unique_id(), "iso", 3000)).await.unwrap().status, 200);
    }
    assert_eq!(harness.backends[1].received().len(), before, "a removed backend got requests");
}

/// Guards against a busy loop where discovery responds to a watch at once although nothing has changed.
#[tokio::test]
async fn polls_that_are_answered_at_once_are_spaced() {
    let harness = Harness::start(1).await;
    let backends = endpoint_list(3, &[("s-0", harness.backends[0].address, "SERVING")]);
    let discovery = ScriptedServer::start(ANY_PORT, move |_| Reply::ok(&backends)).await.unwrap();
    let moved = configuration(harness.listen, discovery.address, harness.counter.address, 256);
    std::fs::write(&harness.file, moved).unwrap();
    harness.signal(nix::sys::signal::Signal::SIGHUP);
    discovery.wait_for_requests(22).await;
    let received = discovery.received();
    let took = received[21].received_at - received[1].received_at;
    assert!(took >= 20 * Duration::from_millis(10), "20 calls in {took:?}");
    assert_eq!(
        harness.client().await.exchange(&request(&unique_id(), "iso", 3000)).await.unwrap().status,
        200
    );
}

#[tokio::test]
async fn a_drain_that_a_pending_watch_misses_is_respected() {
    let harness = Harness::start(2).await;
    harness.discovery.stop_answering();
    let last = last_attempt_at_draining_backend(&harness, &harness.discovery).await;
    assert!(last <= DRAIN_GRACE, "last attempt {last} s after the notification");
}

#[tokio::test]
async fn a_reload_that_moves_counter_and_discovery_loses_no_request() {
    let harness = Harness::start(1).await;
    harness.backends[0].set_script(delayed_echo(200));
    let (open, mut client) = (unique_id(), harness.client().await);
    client.send(&request(&open, "iso", 3000)).await;
    harness.backends[0].wait_for_requests(1).await;
    // An invalid configuration changes nothing.
    std::fs::write(&harness.file, "{").unwrap();
    harness.signal(nix::sys::signal::Signal::SIGHUP);
    assert_eq!(client.response().await.unwrap().body, format!("done {open}"));
    let counter = ScriptedServer::start(ANY_PORT, counter_script()).await.unwrap();
    let entries = [("s-0", harness.backends[0].address, "SERVING")];
    let discovery = DiscoveryAgent::start(ANY_PORT, 2, endpoint_list(2, &entries)).await.unwrap();
    std::fs::write(&harness.file, configuration(harness.listen, discovery.address(), counter.address, 256))
        .unwrap();
    harness.signal(nix::sys::signal::Signal::SIGHUP);
    tokio::time::timeout(TEST_TIMEOUT, discovery.wait_until_list_received(2))
        .await
        .expect("the new discovery is polled");
    let moved = async {
        while counter.received().is_empty() {
            let customer = request(&unique_id(), "iso", 3000)
                .replace("b4d65521", &format!("{:08x}", fastrand::u32(1..)));
            assert_eq!(client.exchange(&customer).await.unwrap().status, 200);
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, moved).await.expect("the new counter is called");
}

#[tokio::test]
async fn calls_without_a_configured_counter_are_not_sent_later() {
    let harness = Harness::start(1).await;
    let with = configuration(harness.listen, harness.discovery.address(), harness.counter.address, 256);
    let mut without: serde_json::Value = serde_json::from_str(&with).unwrap();
    without.as_object_mut().unwrap().remove("counter");
    harness.reload(without.to_string()).await;
    let mut client = harness.client().await;
    let of_customer =
        |number: u32| request(&unique_id(), "iso", 3000).replace("b4d65521", &format!("{number:08x}"));
    // The requests after the reload are handled with the new configuration.
    for number in 1..=20 {
        assert_eq!(client.exchange(&of_customer(number)).await.unwrap().status, 200);
    }
    let before = harness.counter.received().len();
    harness.reload(with).await;
    let called = async {
        let mut number = 100;
        while harness.counter.received().len() == before {
            assert_eq!(client.exchange(&of_customer(number)).await.unwrap().status, 200);
            number += 1;
        }
        number - 100
    };
    let customers = tokio::time::timeout(TEST_TIMEOUT, called).await.expect("the counter is called again");
    // For each customer with requests since the reload: one call, and those that the first call of a window leads to.
    let received = harness.counter.received().len() - before;
    assert!(received <= 3 * customers as usize, "{received} calls for {customers} customers");
}

/// Changes the configuration to two zones, and adds a class whose idempotency keys are remembered within a zone.
fn with_two_zones(text: &str) -> String {
    let keyed = r#"{"Name":"pay","Effect":"deduplicated","Group":"zone","Window":60.0,"Slo":2.0},{"Effect""#;
    text.replace(r#""Dcs":["a"]"#, r#""Dcs":["a","b"]"#).replacen(r#"{"Effect""#, keyed, 1)
}

/// A reload changes the addresses of discovery and counter. All other settings are those at the start of the process.
#[tokio::test]
async fn a_reload_applies_only_the_addresses() {
    let harness = Harness::start_with_config(2, 256, &[], |text| with_two_zones(&text)).await;
    let zoned = |index| {
        let text = endpoint_list(
            index,
            &[
                ("s-0", harness.backends[0].address, "SERVING"),
                ("s-1", harness.backends[1].address, "SERVING"),
            ],
        );
        let (first, second) = text.split_at(text.find("s-1").unwrap());
        let at = |part: &str, zone: &str| part.replace(r#""zone":"a""#, &format!(r#""zone":"{zone}""#));
        // In an entry the zone comes after the name, so the zone of `s-1` is in the second part.
        format!("{}{}", at(first, "a"), at(second, "b"))
    };
    let discovery = DiscoveryAgent::start(ANY_PORT, 5, zoned(5)).await.unwrap();
    let counter = ScriptedServer::start(ANY_PORT, counter_script()).await.unwrap();
    // Different settings: one zone, other class names and effects, and plan `iso` with the quota of `tiny`.
    let text = with_two_zones(&configuration(harness.listen, discovery.address(), counter.address, 256));
    let other = text
        .replace(r#""Dcs":["a","b"]"#, r#""Dcs":["a"]"#)
        .replace(r#""Name":"store""#, r#""Name":"keep""#)
        .replace("at_most_once", "idempotent")
        .replace(r#""Name":"iso""#, r#""Name":"tiny2""#)
        .replace(r#""Name":"tiny""#, r#""Name":"iso""#);
    assert_ne!(text, other);
    harness.reload(other).await;
    tokio::time::timeout(TEST_TIMEOUT, discovery.wait_until_list_received(5))
        .await
        .expect("the new discovery is polled");
    let mut client = harness.client().await;
    // Class, plan and quota are still those of the first configuration.
    for _ in 0..5 {
        assert_eq!(client.exchange(&request(&unique_id(), "iso", 3000)).await.unwrap().status, 200);
    }
    assert_eq!(client.exchange(&store_request(&unique_id(), "x")).await.unwrap().status, 200);
    let unknown = store_request(&unique_id(), "x").replace("X-Qos: store", "X-Qos: keep");
    assert_eq!(harness.client().await.exchange(&unknown).await.unwrap().status, 400);
    // A request that may have been executed in one zone is not retried in the other, though the new file has only one
    // zone.
    harness.backends.iter().for_each(|backend| backend.set_script(|_| Reply::Close));
    let paid = unique_id();
    let ClientResponse { status, .. } =
        client.exchange(&store_request(&paid, "x").replace("X-Qos: store", "X-Qos: pay")).await.unwrap();
    assert!(status >= 500 && status != 503, "{status}");
    assert_eq!(harness.attempts(&paid), 1);
}

#[tokio::test]
async fn a_configuration_of_another_gateway_is_rejected() {
    let harness = Harness::start(1).await;
    let discovery = DiscoveryAgent::start(ANY_PORT, 5, endpoint_list(5, &[])).await.unwrap();
    let text = configuration(harness.listen, discovery.address(), harness.counter.address, 256);
    harness.reload(text.replace(r#""name":"n0""#, r#""name":"n1""#)).await;
    // A second configuration, for this gateway, is applied, which shows that the first one was read.
    let own = DiscoveryAgent::start(
        ANY_PORT,
        7,
        endpoint_list(7, &[("s-0", harness.backends[0].address, "SERVING")]),
    )
    .await
    .unwrap();
    harness.reload(configuration(harness.listen, own.address(), harness.counter.address, 256)).await;
    tokio::time::timeout(TEST_TIMEOUT, own.wait_until_list_received(7))
        .await
        .expect("the second configuration is applied");
    assert!(discovery.received().is_empty());
    assert_eq!(
        harness.client().await.exchange(&request(&unique_id(), "iso", 3000)).await.unwrap().status,
        200
    );
}

/// `known` is the endpoint list in the configuration, which a gateway uses until discovery responds.
#[tokio::test]
async fn an_invalid_known_list_does_not_prevent_the_start() {
    let invalid_list = |text: String| text.replace(r#""endpoints":[]"#, r#""endpoints":7"#);
    let harness = Harness::start_with_config(1, 256, &[], invalid_list).await;
    assert!(std::fs::read_to_string(&harness.file).unwrap().contains(r#""endpoints":7"#));
    assert_eq!(
        harness.client().await.exchange(&request(&unique_id(), "iso", 3000)).await.unwrap().status,
        200
    );
}

/// Guards against requests that are sent to a backend which began to drain while the process was suspended.
#[tokio::test]
async fn a_resumed_process_reads_its_list_before_it_sends_requests() {
    use nix::sys::signal::Signal;
    // The requests arrive in the gateway's sockets before or after the drain.
    for drained_first in [false, true] {
        let harness = Harness::start(2).await;
        let mut clients = Vec::new();
        for _ in 0..4 {
            let mut client = harness.client().await;
            assert_eq!(client.exchange(&request(&unique_id(), "iso", 60_000)).await.unwrap().status, 200);
            clients.push(client);
        }
        let own: Vec<_> = harness.backends.iter().map(|backend| backend.address).collect();
        let drained = endpoint_list(3, &[("s-0", own[0], "DRAINING"), ("s-1", own[1], "SERVING")]);
        let before = harness.backends[0].received().len();
        harness.signal(Signal::SIGSTOP);
        harness.wait_until_suspended().await;
        if drained_first {
            harness.discovery.set_list(3, drained.clone());
        }
        for client in &mut clients {
            client.send(&request(&unique_id(), "iso", 60_000)).await;
        }
        if !drained_first {
            harness.discovery.set_list(3, drained);
        }
        tokio::time::sleep(Duration::from_secs_f64(DRAIN_GRACE)).await;
        harness.signal(Signal::SIGCONT);
        let mut served = 0;
        for client in &mut clients {
            // This many requests at once may exceed the capacity of one backend.
            served += u32::from(client.response().await.expect("an answer").status == 200);
        }
        assert!(served > 0);
        assert_eq!(
            harness.backends[0].received().len(),
            before,
            "attempts at a backend that drains since {DRAIN_GRACE} s; drained before the requests: {drained_first}"
        );
    }
}

/// Seconds within which a polling gateway must know of a change, from when discovery has it and is reachable.
const NOTIFICATION_LIMIT: f64 = 6.0;

#[tokio::test]
async fn a_drain_is_noticed_in_time_though_polls_fail() {
    let harness = Harness::start_with_config(2, 256, &[], |text| {
        text.replace(r#""Dcs""#, r#""Discovery":"ask","Dcs""#)
    })
    .await;
    let own: Vec<_> = harness.backends.iter().map(|backend| backend.address).collect();
    let entries = |status| endpoint_list(5, &[("s-0", own[0], status), ("s-1", own[1], "SERVING")]);
    let (before, after) = (entries("SERVING"), entries("DRAINING"));
    let drained = Arc::new(AtomicBool::new(false));
    let notified = drained.clone();
    let failed = AtomicUsize::new(0);
    // After the drain: the pending watch reports no event; then a close, an error, a truncated list and no response.
    let discovery = ScriptedServer::start(ANY_PORT, move |call| {
        let watch = call.path.contains("since=");
        match (notified.load(Ordering::SeqCst), watch) {
            (false, false) => Reply::ok(&before),
            (false, true) => Reply::Delayed(
                Duration::from_secs(4),
                http_response(200, "", r#"{"index":5,"snapshot":false,"endpoints":[]}"#),
            ),
            (true, _) => match failed.fetch_add(1, Ordering::SeqCst) {
                0 => Reply::Close,
                1 => Reply::Bytes(http_response(503, "", "")),
                2 => Reply::BytesThenClose(http_response(200, "", &after).slice(..150)),
                3 => Reply::NoReply,
                _ => Reply::ok(&after.replace("\"index\":5", "\"index\":6")),
            },
        }
    })
    .await
    .unwrap();
    harness.reload(configuration(harness.listen, discovery.address, harness.counter.address, 256)).await;
    discovery.wait_for_requests(2).await;
    drained.store(true, Ordering::SeqCst);
    let (drained_at, mut client) = (std::time::Instant::now(), harness.client().await);
    while drained_at.elapsed().as_secs_f64() < NOTIFICATION_LIMIT + DRAIN_GRACE + 1.0 {
        assert_eq!(client.exchange(&request(&unique_id(), "iso", 3000)).await.unwrap().status, 200);
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let last = harness.backends[0]
        .received()
        .last()
        .unwrap()
        .received_at
        .saturating_duration_since(drained_at)
        .as_secs_f64();
    assert!(last <= NOTIFICATION_LIMIT + DRAIN_GRACE, "last attempt {last} s after discovery had the drain");
}

#[tokio::test]
async fn the_gateway_is_ready_soon_after_discovery_responds() {
    let (harness, silent) = Harness::start_without_list().await;
    // The gateway's first polls get no response.
    silent.wait_for_requests(2).await;
    let mut probe = harness.client().await;
    assert_eq!(probe.exchange(READINESS_CHECK).await.unwrap().status, 503);
    let backends = endpoint_list(3, &[("s-0", harness.backends[0].address, "SERVING")]);
    silent.set_script(move |_| Reply::ok(&backends));
    let responding_since = std::time::Instant::now();
    while probe.exchange(READINESS_CHECK).await.unwrap().status != 200 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(responding_since.elapsed() < Duration::from_secs(10), "{:?}", responding_since.elapsed());
    assert_eq!(
        harness.client().await.exchange(&request(&unique_id(), "iso", 3000)).await.unwrap().status,
        200
    );
}
