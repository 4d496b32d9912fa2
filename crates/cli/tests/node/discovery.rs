//! Discovery and the configuration: drains, silence, moves.

use crate::platform::{STOP_WITHIN, configuration};
use crate::support::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;
use weirusher_fakes::{DiscoveryAgent, ReceivedRequest, Reply, ScriptedServer, counting, frame};

#[tokio::test]
async fn a_drained_worker_gets_nothing_new_and_a_new_one_at_its_address_no_old_connection() {
    let site = Site::start(2).await;
    let mut client = site.client().await;
    for _ in 0..8 {
        assert_eq!(client.ask(&request(&id(), "iso", 3000)).await.unwrap().0, 200);
        tokio::time::sleep(RESTED).await;
    }
    let before = site.workers[0].connections();
    // Told by the watch that is out: the old worker is gone, a new one stands at its address.
    let workers = [&site.workers[0], &site.workers[1]].map(|worker| worker.address);
    site.discovery.set_list(3, list(3, &[("s-9", workers[0], "SERVING"), ("s-1", workers[1], "DRAINING")]));
    site.discovery.wait_until_list_received(3).await;
    let drained = site.workers[1].received().len();
    for _ in 0..8 {
        assert_eq!(client.ask(&request(&id(), "iso", 3000)).await.unwrap().0, 200);
        tokio::time::sleep(RESTED).await;
    }
    assert_eq!(site.workers[1].received().len(), drained, "nothing new");
    assert_eq!(site.workers[0].connections(), before + 1, "a connection of its own");
}

#[tokio::test]
async fn a_drain_that_a_silent_agent_has_at_its_return_is_kept_whatever_was_asked_meanwhile() {
    // It moves to an agent that is silent as it is first asked: that call is never answered.
    let site = Site::start(2).await;
    let entries = [("s-0", site.workers[0].address, "SERVING"), ("s-1", site.workers[1].address, "SERVING")];
    let agent = DiscoveryAgent::start(ANYWHERE, 2, list(2, &entries)).await.unwrap();
    agent.stop_answering();
    let moved = configuration(site.listen, agent.address(), site.counter.address, 256);
    std::fs::write(&site.file, moved).unwrap();
    site.signal(nix::sys::signal::Signal::SIGHUP);
    agent.wait_for_requests(1).await;
    let last = last_at_a_leaving_worker(&site, &agent).await;
    assert!(last <= STOP_WITHIN, "{last} s after it was told");
}

#[tokio::test]
async fn lists_that_end_with_their_connection_are_followed() {
    // Each answer closes: by its head, by its end alone, and in chunks.
    let site = Site::start(2).await;
    let serving = site.workers[0].address;
    let (asked, workers) = (Arc::new(AtomicUsize::new(0)), list(3, &[("s-0", serving, "SERVING")]));
    let lister = ScriptedServer::start(ANYWHERE, {
        let asked = asked.clone();
        move |_| {
            let nth = asked.fetch_add(1, Ordering::Relaxed);
            let chunks = format!("{:x}\r\n{workers}\r\n0\r\n\r\n", workers.len());
            Reply::BytesThenClose(match nth % 3 {
                0 => frame(200, "Connection: close\r\n", &workers),
                1 => format!("HTTP/1.1 200 OK\r\n\r\n{workers}").into(),
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
    // Asked on after each kind of answer: what came was taken, and its version is asked from.
    lister.wait_for_requests(7).await;
    let since = |came: &ReceivedRequest| came.request.path.contains("since=3");
    assert!(
        lister.received()[1..7].iter().all(since),
        "{:?}",
        lister.received()[..7].iter().map(|c| &c.request.path).collect::<Vec<_>>()
    );
    let mut client = site.client().await;
    let before = site.workers[1].received().len();
    for _ in 0..8 {
        assert_eq!(client.ask(&request(&id(), "iso", 3000)).await.unwrap().0, 200);
    }
    assert_eq!(site.workers[1].received().len(), before, "it is gone from the list");
}

#[tokio::test]
async fn a_discovery_that_answers_at_once_and_tells_nothing_keeps_nobody_busy() {
    let site = Site::start(1).await;
    let workers = list(3, &[("s-0", site.workers[0].address, "SERVING")]);
    let lister = ScriptedServer::start(ANYWHERE, move |_| Reply::ok(&workers)).await.unwrap();
    let moved = configuration(site.listen, lister.address, site.counter.address, 256);
    std::fs::write(&site.file, moved).unwrap();
    site.signal(nix::sys::signal::Signal::SIGHUP);
    lister.wait_for_requests(22).await;
    let came = lister.received();
    let took = came[21].received_at - came[1].received_at;
    assert!(took >= 20 * Duration::from_millis(10), "20 calls in {took:?}");
    assert_eq!(site.client().await.ask(&request(&id(), "iso", 3000)).await.unwrap().0, 200);
}

#[tokio::test]
async fn a_drain_that_an_open_watch_misses_is_kept() {
    let site = Site::start(2).await;
    site.discovery.stop_answering();
    let last = last_at_a_leaving_worker(&site, &site.discovery).await;
    assert!(last <= STOP_WITHIN, "{last} s after it was told");
}

#[tokio::test]
async fn a_new_configuration_moves_counter_and_discovery_and_loses_nothing() {
    let site = Site::start(1).await;
    site.workers[0].set_script(slow(200));
    let (open, mut client) = (id(), site.client().await);
    client.send(&request(&open, "iso", 3000)).await;
    site.workers[0].wait_for_requests(1).await;
    // One that cannot be used changes nothing.
    std::fs::write(&site.file, "{").unwrap();
    site.signal(nix::sys::signal::Signal::SIGHUP);
    assert_eq!(client.answer().await.unwrap().2, format!("done {open}"));
    let counter = ScriptedServer::start(ANYWHERE, counting()).await.unwrap();
    let entries = [("s-0", site.workers[0].address, "SERVING")];
    let discovery = DiscoveryAgent::start(ANYWHERE, 2, list(2, &entries)).await.unwrap();
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
            assert_eq!(client.ask(&customer).await.unwrap().0, 200);
        }
    };
    tokio::time::timeout(LIMIT, moved).await.expect("the new counter is called");
}

#[tokio::test]
async fn calls_made_while_no_counter_is_configured_are_not_made_later() {
    let site = Site::start(1).await;
    let with = configuration(site.listen, site.discovery.address(), site.counter.address, 256);
    let mut without: serde_json::Value = serde_json::from_str(&with).unwrap();
    without.as_object_mut().unwrap().remove("counter");
    site.reload(without.to_string()).await;
    let mut client = site.client().await;
    let of_customer = |number: u32| request(&id(), "iso", 3000).replace("b4d65521", &format!("{number:08x}"));
    // What is answered behind the reload is decided by it.
    for number in 1..=20 {
        assert_eq!(client.ask(&of_customer(number)).await.unwrap().0, 200);
    }
    let before = site.counter.received().len();
    site.reload(with).await;
    let called = async {
        let mut number = 100;
        while site.counter.received().len() == before {
            assert_eq!(client.ask(&of_customer(number)).await.unwrap().0, 200);
            number += 1;
        }
        number - 100
    };
    let asked = tokio::time::timeout(LIMIT, called).await.expect("the counter is called again");
    // A call, and what a window's first call leads to, for each customer that asked since.
    let came = site.counter.received().len() - before;
    assert!(came <= 3 * asked as usize, "{came} calls for {asked} customers");
}

/// Two zones, and a class whose repeats one zone alone knows of.
fn two_zones(text: &str) -> String {
    let keyed = r#"{"Name":"pay","Effect":"deduplicated","Group":"zone","Window":60.0,"Slo":2.0},{"Effect""#;
    text.replace(r#""Dcs":["a"]"#, r#""Dcs":["a","b"]"#).replacen(r#"{"Effect""#, keyed, 1)
}

#[tokio::test]
async fn a_new_configuration_moves_addresses_and_no_request_is_judged_by_its_settings() {
    let site = Site::configured(2, 256, &[], |text| two_zones(&text)).await;
    let zoned = |index| {
        let text = list(
            index,
            &[("s-0", site.workers[0].address, "SERVING"), ("s-1", site.workers[1].address, "SERVING")],
        );
        let (first, second) = text.split_at(text.find("s-1").unwrap());
        let at = |part: &str, zone: &str| part.replace(r#""zone":"a""#, &format!(r#""zone":"{zone}""#));
        // An entry's zone stands behind its name.
        format!("{}{}", at(first, "a"), at(second, "b"))
    };
    let discovery = DiscoveryAgent::start(ANYWHERE, 5, zoned(5)).await.unwrap();
    let counter = ScriptedServer::start(ANYWHERE, counting()).await.unwrap();
    // Another deployment's settings: one zone, other classes and effects, the plans' figures the other way round.
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
    // The class and the plan are what they were at the start, and the plan's quota too.
    for _ in 0..5 {
        assert_eq!(client.ask(&request(&id(), "iso", 3000)).await.unwrap().0, 200);
    }
    assert_eq!(client.ask(&store(&id(), "x")).await.unwrap().0, 200);
    let unknown = store(&id(), "x").replace("X-Qos: store", "X-Qos: keep");
    assert_eq!(site.client().await.ask(&unknown).await.unwrap().0, 400);
    // What may have run in one zone is not repeated in the other, though the new file knows one zone only.
    site.workers.iter().for_each(|worker| worker.set_script(|_| Reply::Close));
    let paid = id();
    let (status, ..) = client.ask(&store(&paid, "x").replace("X-Qos: store", "X-Qos: pay")).await.unwrap();
    assert!(status >= 500 && status != 503, "{status}");
    assert_eq!(site.tries(&paid), 1);
}

#[tokio::test]
async fn a_configuration_of_another_gateway_is_refused_whole() {
    let site = Site::start(1).await;
    let discovery = DiscoveryAgent::start(ANYWHERE, 5, list(5, &[])).await.unwrap();
    let text = configuration(site.listen, discovery.address(), site.counter.address, 256);
    site.reload(text.replace(r#""name":"n0""#, r#""name":"n1""#)).await;
    // A second one, its own, is followed; the first was taken in before.
    let own = DiscoveryAgent::start(ANYWHERE, 7, list(7, &[("s-0", site.workers[0].address, "SERVING")]))
        .await
        .unwrap();
    site.reload(configuration(site.listen, own.address(), site.counter.address, 256)).await;
    tokio::time::timeout(LIMIT, own.wait_until_list_received(7)).await.expect("its own is followed");
    assert!(discovery.received().is_empty());
    assert_eq!(site.client().await.ask(&request(&id(), "iso", 3000)).await.unwrap().0, 200);
}

#[tokio::test]
async fn a_known_list_that_cannot_be_used_keeps_nobody_from_starting() {
    let spoil = |text: String| text.replace(r#""endpoints":[]"#, r#""endpoints":7"#);
    let site = Site::configured(1, 256, &[], spoil).await;
    assert!(std::fs::read_to_string(&site.file).unwrap().contains(r#""endpoints":7"#));
    assert_eq!(site.client().await.ask(&request(&id(), "iso", 3000)).await.unwrap().0, 200);
}

#[tokio::test]
async fn a_process_that_was_stopped_reads_its_list_before_it_sends_what_waited() {
    use nix::sys::signal::Signal;
    // The requests wait in its sockets before the drain does, and behind it.
    for told_first in [false, true] {
        let site = Site::start(2).await;
        let mut clients = Vec::new();
        for _ in 0..4 {
            let mut client = site.client().await;
            assert_eq!(client.ask(&request(&id(), "iso", 60_000)).await.unwrap().0, 200);
            clients.push(client);
        }
        let own: Vec<_> = site.workers.iter().map(|worker| worker.address).collect();
        let drained = list(3, &[("s-0", own[0], "DRAINING"), ("s-1", own[1], "SERVING")]);
        let before = site.workers[0].received().len();
        site.signal(Signal::SIGSTOP);
        site.stopped().await;
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
            // So many at once may find no room at one worker.
            served += u32::from(client.answer().await.expect("an answer").0 == 200);
        }
        assert!(served > 0);
        assert_eq!(
            site.workers[0].received().len(),
            before,
            "told {STOP_WITHIN} s before, first: {told_first}"
        );
    }
}

/// Seconds after discovery has news and can be reached from which they count as told, where it is asked for its list.
const TOLD: f64 = 6.0;

#[tokio::test]
async fn a_drain_is_heard_of_in_time_whatever_became_of_the_calls_for_the_list() {
    let site =
        Site::configured(2, 256, &[], |text| text.replace(r#""Dcs""#, r#""Discovery":"ask","Dcs""#)).await;
    let own: Vec<_> = site.workers.iter().map(|worker| worker.address).collect();
    let entries = |status| list(5, &[("s-0", own[0], status), ("s-1", own[1], "SERVING")]);
    let (before, after) = (entries("SERVING"), entries("DRAINING"));
    let drained = Arc::new(AtomicBool::new(false));
    let told = drained.clone();
    let failed = AtomicUsize::new(0);
    // From the drain on: no news on the watch that is open, then a break, an error, half a list, silence.
    let discovery = ScriptedServer::start(ANYWHERE, move |call| {
        let watch = call.path.contains("since=");
        match (told.load(Ordering::SeqCst), watch) {
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
    while had.elapsed().as_secs_f64() < TOLD + STOP_WITHIN + 1.0 {
        assert_eq!(client.ask(&request(&id(), "iso", 3000)).await.unwrap().0, 200);
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let last =
        site.workers[0].received().last().unwrap().received_at.saturating_duration_since(had).as_secs_f64();
    assert!(last <= TOLD + STOP_WITHIN, "{last} s after discovery had it");
}

#[tokio::test]
async fn with_no_known_list_it_is_ready_soon_after_discovery_is_back() {
    let (site, silent) = Site::without_a_list().await;
    // Its first calls are answered by nobody.
    silent.wait_for_requests(2).await;
    let mut front = site.client().await;
    assert_eq!(front.ask(READY).await.unwrap().0, 503);
    let workers = list(3, &[("s-0", site.workers[0].address, "SERVING")]);
    silent.set_script(move |_| Reply::ok(&workers));
    let back = std::time::Instant::now();
    while front.ask(READY).await.unwrap().0 != 200 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(back.elapsed() < Duration::from_secs(10), "{:?}", back.elapsed());
    assert_eq!(site.client().await.ask(&request(&id(), "iso", 3000)).await.unwrap().0, 200);
}
