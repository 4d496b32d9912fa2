//! Discovery and the configuration: drains, silence, changes of address.

use crate::platform::{STOP_WITHIN, configuration};
use crate::support::{
    ANY_PORT, ClientResponse, LIMIT, READY, REUSE_PAUSE, Site, delayed_echo, id,
    last_attempt_at_draining_backend, list, request, store,
};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;
use weirusher_fakes::{DiscoveryAgent, ReceivedRequest, Reply, ScriptedServer, counting, frame};

#[tokio::test]
async fn a_draining_backend_gets_nothing_new_and_its_successor_no_old_connection() {
    let site = Site::start(2).await;
    let mut client = site.client().await;
    for _ in 0..8 {
        assert_eq!(client.exchange(&request(&id(), "iso", 3000)).await.unwrap().status, 200);
        tokio::time::sleep(REUSE_PAUSE).await;
    }
    let before = site.backends[0].connections();
    // Notified by the pending watch: the old backend is removed, and a new one has its address.
    let backends = [&site.backends[0], &site.backends[1]].map(|backend| backend.address);
    site.discovery.set_list(3, list(3, &[("s-9", backends[0], "SERVING"), ("s-1", backends[1], "DRAINING")]));
    site.discovery.wait_until_list_received(3).await;
    let drained = site.backends[1].received().len();
    for _ in 0..8 {
        assert_eq!(client.exchange(&request(&id(), "iso", 3000)).await.unwrap().status, 200);
        tokio::time::sleep(REUSE_PAUSE).await;
    }
    assert_eq!(site.backends[1].received().len(), drained, "nothing new");
    assert_eq!(site.backends[0].connections(), before + 1, "a connection of its own");
}

#[tokio::test]
async fn a_drain_that_a_silent_agent_has_when_it_answers_again_is_respected() {
    // A reload names an agent that does not answer the first poll.
    let site = Site::start(2).await;
    let entries =
        [("s-0", site.backends[0].address, "SERVING"), ("s-1", site.backends[1].address, "SERVING")];
    let agent = DiscoveryAgent::start(ANY_PORT, 2, list(2, &entries)).await.unwrap();
    agent.stop_answering();
    let moved = configuration(site.listen, agent.address(), site.counter.address, 256);
    std::fs::write(&site.file, moved).unwrap();
    site.signal(nix::sys::signal::Signal::SIGHUP);
    agent.wait_for_requests(1).await;
    let last = last_attempt_at_draining_backend(&site, &agent).await;
    assert!(last <= STOP_WITHIN, "{last} s after it was notified");
}

#[tokio::test]
async fn lists_that_end_with_their_connection_are_followed() {
    // Each response ends its connection: by its head, by its end alone, and in chunks.
    let site = Site::start(2).await;
    let serving = site.backends[0].address;
    let (polls, backends) = (Arc::new(AtomicUsize::new(0)), list(3, &[("s-0", serving, "SERVING")]));
    let lister = ScriptedServer::start(ANY_PORT, {
        let polls = polls.clone();
        move |_| {
            let nth = polls.fetch_add(1, Ordering::Relaxed);
            let chunks = format!("{:x}\r\n{backends}\r\n0\r\n\r\n", backends.len());
            Reply::BytesThenClose(match nth % 3 {
                0 => frame(200, "Connection: close\r\n", &backends),
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
    let moved = configuration(site.listen, lister.address, site.counter.address, 256);
    std::fs::write(&site.file, moved).unwrap();
    site.signal(nix::sys::signal::Signal::SIGHUP);
    // It polls on after each kind of response, from the version that it received.
    lister.wait_for_requests(7).await;
    let since = |received: &ReceivedRequest| received.request.path.contains("since=3");
    assert!(
        lister.received()[1..7].iter().all(since),
        "{:?}",
        lister.received()[..7].iter().map(|c| &c.request.path).collect::<Vec<_>>()
    );
    let mut client = site.client().await;
    let before = site.backends[1].received().len();
    for _ in 0..8 {
        assert_eq!(client.exchange(&request(&id(), "iso", 3000)).await.unwrap().status, 200);
    }
    assert_eq!(site.backends[1].received().len(), before, "it is not in the list any more");
}

#[tokio::test]
async fn a_discovery_that_answers_at_once_without_changes_causes_no_busy_loop() {
    let site = Site::start(1).await;
    let backends = list(3, &[("s-0", site.backends[0].address, "SERVING")]);
    let lister = ScriptedServer::start(ANY_PORT, move |_| Reply::ok(&backends)).await.unwrap();
    let moved = configuration(site.listen, lister.address, site.counter.address, 256);
    std::fs::write(&site.file, moved).unwrap();
    site.signal(nix::sys::signal::Signal::SIGHUP);
    lister.wait_for_requests(22).await;
    let received = lister.received();
    let took = received[21].received_at - received[1].received_at;
    assert!(took >= 20 * Duration::from_millis(10), "20 calls in {took:?}");
    assert_eq!(site.client().await.exchange(&request(&id(), "iso", 3000)).await.unwrap().status, 200);
}

#[tokio::test]
async fn a_drain_that_a_pending_watch_misses_is_respected() {
    let site = Site::start(2).await;
    site.discovery.stop_answering();
    let last = last_attempt_at_draining_backend(&site, &site.discovery).await;
    assert!(last <= STOP_WITHIN, "{last} s after it was notified");
}

#[tokio::test]
async fn a_reload_that_moves_counter_and_discovery_loses_nothing() {
    let site = Site::start(1).await;
    site.backends[0].set_script(delayed_echo(200));
    let (open, mut client) = (id(), site.client().await);
    client.send(&request(&open, "iso", 3000)).await;
    site.backends[0].wait_for_requests(1).await;
    // An invalid one changes nothing.
    std::fs::write(&site.file, "{").unwrap();
    site.signal(nix::sys::signal::Signal::SIGHUP);
    assert_eq!(client.response().await.unwrap().body, format!("done {open}"));
    let counter = ScriptedServer::start(ANY_PORT, counting()).await.unwrap();
    let entries = [("s-0", site.backends[0].address, "SERVING")];
    let discovery = DiscoveryAgent::start(ANY_PORT, 2, list(2, &entries)).await.unwrap();
    std::fs::write(&site.file, configuration(site.listen, discovery.address(), counter.address, 256))
        .unwrap();
    site.signal(nix::sys::signal::Signal::SIGHUP);
    tokio::time::timeout(LIMIT, discovery.wait_until_list_received(2))
        .await
        .expect("the new discovery is watched");
    let moved = async {
        while counter.received().is_empty() {
            let customer =
                request(&id(), "iso", 3000).replace("b4d65521", &format!("{:08x}", fastrand::u32(1..)));
            assert_eq!(client.exchange(&customer).await.unwrap().status, 200);
        }
    };
    tokio::time::timeout(LIMIT, moved).await.expect("the new counter is called");
}

#[tokio::test]
async fn calls_without_a_configured_counter_are_not_sent_later() {
    let site = Site::start(1).await;
    let with = configuration(site.listen, site.discovery.address(), site.counter.address, 256);
    let mut without: serde_json::Value = serde_json::from_str(&with).unwrap();
    without.as_object_mut().unwrap().remove("counter");
    site.reload(without.to_string()).await;
    let mut client = site.client().await;
    let of_customer = |number: u32| request(&id(), "iso", 3000).replace("b4d65521", &format!("{number:08x}"));
    // A response after the reload is decided by the new configuration.
    for number in 1..=20 {
        assert_eq!(client.exchange(&of_customer(number)).await.unwrap().status, 200);
    }
    let before = site.counter.received().len();
    site.reload(with).await;
    let called = async {
        let mut number = 100;
        while site.counter.received().len() == before {
            assert_eq!(client.exchange(&of_customer(number)).await.unwrap().status, 200);
            number += 1;
        }
        number - 100
    };
    let customers = tokio::time::timeout(LIMIT, called).await.expect("the counter is called again");
    // One call, and those that the first call of a window leads to, for each customer with requests since.
    let received = site.counter.received().len() - before;
    assert!(received <= 3 * customers as usize, "{received} calls for {customers} customers");
}

/// Two zones, and a class whose idempotency keys are remembered within a zone.
fn two_zones(text: &str) -> String {
    let keyed = r#"{"Name":"pay","Effect":"deduplicated","Group":"zone","Window":60.0,"Slo":2.0},{"Effect""#;
    text.replace(r#""Dcs":["a"]"#, r#""Dcs":["a","b"]"#).replacen(r#"{"Effect""#, keyed, 1)
}

#[tokio::test]
async fn a_reload_moves_addresses_and_pending_requests_keep_their_settings() {
    let site = Site::configured(2, 256, &[], |text| two_zones(&text)).await;
    let zoned = |index| {
        let text = list(
            index,
            &[("s-0", site.backends[0].address, "SERVING"), ("s-1", site.backends[1].address, "SERVING")],
        );
        let (first, second) = text.split_at(text.find("s-1").unwrap());
        let at = |part: &str, zone: &str| part.replace(r#""zone":"a""#, &format!(r#""zone":"{zone}""#));
        // An entry's zone follows its name.
        format!("{}{}", at(first, "a"), at(second, "b"))
    };
    let discovery = DiscoveryAgent::start(ANY_PORT, 5, zoned(5)).await.unwrap();
    let counter = ScriptedServer::start(ANY_PORT, counting()).await.unwrap();
    // Another deployment's settings: one zone, other classes and effects, the plans' figures exchanged.
    let text = two_zones(&configuration(site.listen, discovery.address(), counter.address, 256));
    let other = text
        .replace(r#""Dcs":["a","b"]"#, r#""Dcs":["a"]"#)
        .replace(r#""Name":"store""#, r#""Name":"keep""#)
        .replace("at_most_once", "idempotent")
        .replace(r#""Name":"iso""#, r#""Name":"tiny2""#)
        .replace(r#""Name":"tiny""#, r#""Name":"iso""#);
    assert_ne!(text, other);
    site.reload(other).await;
    tokio::time::timeout(LIMIT, discovery.wait_until_list_received(5))
        .await
        .expect("the new discovery is watched");
    let mut client = site.client().await;
    // The class, the plan and its quota are those at the start of the process.
    for _ in 0..5 {
        assert_eq!(client.exchange(&request(&id(), "iso", 3000)).await.unwrap().status, 200);
    }
    assert_eq!(client.exchange(&store(&id(), "x")).await.unwrap().status, 200);
    let unknown = store(&id(), "x").replace("X-Qos: store", "X-Qos: keep");
    assert_eq!(site.client().await.exchange(&unknown).await.unwrap().status, 400);
    // A request that may have run in one zone is not retried in the other, though the new file has one zone only.
    site.backends.iter().for_each(|backend| backend.set_script(|_| Reply::Close));
    let paid = id();
    let ClientResponse { status, .. } =
        client.exchange(&store(&paid, "x").replace("X-Qos: store", "X-Qos: pay")).await.unwrap();
    assert!(status >= 500 && status != 503, "{status}");
    assert_eq!(site.attempts(&paid), 1);
}

#[tokio::test]
async fn a_configuration_of_another_gateway_is_rejected() {
    let site = Site::start(1).await;
    let discovery = DiscoveryAgent::start(ANY_PORT, 5, list(5, &[])).await.unwrap();
    let text = configuration(site.listen, discovery.address(), site.counter.address, 256);
    site.reload(text.replace(r#""name":"n0""#, r#""name":"n1""#)).await;
    // A second configuration, its own, is applied, which shows that the first was read.
    let own = DiscoveryAgent::start(ANY_PORT, 7, list(7, &[("s-0", site.backends[0].address, "SERVING")]))
        .await
        .unwrap();
    site.reload(configuration(site.listen, own.address(), site.counter.address, 256)).await;
    tokio::time::timeout(LIMIT, own.wait_until_list_received(7)).await.expect("its own is followed");
    assert!(discovery.received().is_empty());
    assert_eq!(site.client().await.exchange(&request(&id(), "iso", 3000)).await.unwrap().status, 200);
}

#[tokio::test]
async fn an_invalid_known_list_does_not_prevent_the_start() {
    let spoil = |text: String| text.replace(r#""endpoints":[]"#, r#""endpoints":7"#);
    let site = Site::configured(1, 256, &[], spoil).await;
    assert!(std::fs::read_to_string(&site.file).unwrap().contains(r#""endpoints":7"#));
    assert_eq!(site.client().await.exchange(&request(&id(), "iso", 3000)).await.unwrap().status, 200);
}

#[tokio::test]
async fn a_resumed_process_reads_its_list_before_it_sends_waiting_requests() {
    use nix::sys::signal::Signal;
    // Requests wait in its sockets before the drain and after it.
    for told_first in [false, true] {
        let site = Site::start(2).await;
        let mut clients = Vec::new();
        for _ in 0..4 {
            let mut client = site.client().await;
            assert_eq!(client.exchange(&request(&id(), "iso", 60_000)).await.unwrap().status, 200);
            clients.push(client);
        }
        let own: Vec<_> = site.backends.iter().map(|backend| backend.address).collect();
        let drained = list(3, &[("s-0", own[0], "DRAINING"), ("s-1", own[1], "SERVING")]);
        let before = site.backends[0].received().len();
        site.signal(Signal::SIGSTOP);
        site.suspended().await;
        if told_first {
            site.discovery.set_list(3, drained.clone());
        }
        for client in &mut clients {
            client.send(&request(&id(), "iso", 60_000)).await;
        }
        if !told_first {
            site.discovery.set_list(3, drained);
        }
        tokio::time::sleep(Duration::from_secs_f64(STOP_WITHIN)).await;
        site.signal(Signal::SIGCONT);
        let mut served = 0;
        for client in &mut clients {
            // So many requests at once may exceed the capacity of one backend.
            served += u32::from(client.response().await.expect("an answer").status == 200);
        }
        assert!(served > 0);
        assert_eq!(
            site.backends[0].received().len(),
            before,
            "notified {STOP_WITHIN} s before, first: {told_first}"
        );
    }
}

/// Seconds after which a change counts as notified once discovery has it and can be reached, where it is polled.
const NOTIFIED_AFTER: f64 = 6.0;

#[tokio::test]
async fn a_drain_is_notified_in_time_whatever_became_of_the_polls() {
    let site =
        Site::configured(2, 256, &[], |text| text.replace(r#""Dcs""#, r#""Discovery":"ask","Dcs""#)).await;
    let own: Vec<_> = site.backends.iter().map(|backend| backend.address).collect();
    let entries = |status| list(5, &[("s-0", own[0], status), ("s-1", own[1], "SERVING")]);
    let (before, after) = (entries("SERVING"), entries("DRAINING"));
    let drained = Arc::new(AtomicBool::new(false));
    let notified = drained.clone();
    let failed = AtomicUsize::new(0);
    // From the drain on: no event on the pending watch, then a close, an error, half a list, silence.
    let discovery = ScriptedServer::start(ANY_PORT, move |call| {
        let watch = call.path.contains("since=");
        match (notified.load(Ordering::SeqCst), watch) {
            (false, false) => Reply::ok(&before),
            (false, true) => Reply::Delayed(
                Duration::from_secs(4),
                frame(200, "", r#"{"index":5,"snapshot":false,"endpoints":[]}"#),
            ),
            (true, _) => match failed.fetch_add(1, Ordering::SeqCst) {
                0 => Reply::Close,
                1 => Reply::Bytes(frame(503, "", "")),
                2 => Reply::BytesThenClose(frame(200, "", &after).slice(..150)),
                3 => Reply::NoReply,
                _ => Reply::ok(&after.replace("\"index\":5", "\"index\":6")),
            },
        }
    })
    .await
    .unwrap();
    site.reload(configuration(site.listen, discovery.address, site.counter.address, 256)).await;
    discovery.wait_for_requests(2).await;
    drained.store(true, Ordering::SeqCst);
    let (had, mut client) = (std::time::Instant::now(), site.client().await);
    while had.elapsed().as_secs_f64() < NOTIFIED_AFTER + STOP_WITHIN + 1.0 {
        assert_eq!(client.exchange(&request(&id(), "iso", 3000)).await.unwrap().status, 200);
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let last =
        site.backends[0].received().last().unwrap().received_at.saturating_duration_since(had).as_secs_f64();
    assert!(last <= NOTIFIED_AFTER + STOP_WITHIN, "{last} s after discovery had it");
}

#[tokio::test]
async fn without_a_known_list_it_is_ready_soon_after_discovery_answers_again() {
    let (site, silent) = Site::without_a_list().await;
    // Its first polls get no response.
    silent.wait_for_requests(2).await;
    let mut front = site.client().await;
    assert_eq!(front.exchange(READY).await.unwrap().status, 503);
    let backends = list(3, &[("s-0", site.backends[0].address, "SERVING")]);
    silent.set_script(move |_| Reply::ok(&backends));
    let back = std::time::Instant::now();
    while front.exchange(READY).await.unwrap().status != 200 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(back.elapsed() < Duration::from_secs(10), "{:?}", back.elapsed());
    assert_eq!(site.client().await.exchange(&request(&id(), "iso", 3000)).await.unwrap().status, 200);
}
