//! Idle times and idle connections: long ones, and those that backends or middleboxes end; reloads in quick succession; and
//! clients that close as a hedged request is about to begin.

use crate::platform::{STOP_WITHIN, configuration};
use crate::support::{
    ANY_PORT, Client, LIMIT, REUSE_PAUSE, Site, delayed_echo, echo, id, last_attempt_at_draining_backend,
    list, request, store,
};
use nix::sys::signal::Signal;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use weirusher_fakes::{DiscoveryAgent, Link, Reply, ScriptedServer, counting};

/// Longer than an idle client connection is kept.
const LONG_IDLE: Duration = Duration::from_millis(20_500);
/// When a hedged request is sent: 0.4 of the latency objective.
const HEDGE_DELAY: Duration = Duration::from_millis(800);
/// How late a response may be after its deadline.
const RESPONSE_SLACK: Duration = Duration::from_millis(500);
/// How long after a client's close an attempt may still begin.
const CLOSE_SLACK: Duration = Duration::from_millis(100);

#[tokio::test]
async fn after_a_long_idle_time_all_is_as_before() {
    let site = Site::start(2).await;
    let mut old = site.client().await;
    assert_eq!(old.exchange(&store(&id(), "x")).await.unwrap().0, 200);
    tokio::time::sleep(LONG_IDLE).await;
    old.closed().await;
    let mut client = site.client().await;
    for _ in 0..4 {
        assert_eq!(client.exchange(&store(&id(), "x")).await.unwrap().0, 200);
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
    assert_eq!(client.response().await.expect("a complete response").2, format!("done {open}"));
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
            assert_eq!(client.exchange(&store(&id, "x")).await.unwrap().0, 200, "resets: {resets}");
            assert_eq!(site.attempts(&id), 1);
            tokio::time::sleep(REUSE_PAUSE).await;
        }
    }
}

/// Sends a request and returns its status; its response must be in time.
async fn status_in_time(client: &mut Client, text: &str, deadline: Duration) -> u16 {
    let sent = Instant::now();
    let (status, ..) = client.exchange(text).await.expect("a complete response");
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

#[tokio::test]
async fn the_last_of_several_reloads_is_in_force() {
    let site = Site::start(2).await;
    let entries =
        [("s-0", site.backends[0].address, "SERVING"), ("s-1", site.backends[1].address, "SERVING")];
    let other = DiscoveryAgent::start(ANY_PORT, 2, list(2, &entries)).await.unwrap();
    // One counter, at two addresses.
    let count = Arc::new(counting());
    let counter = ScriptedServer::start(ANY_PORT, {
        let count = count.clone();
        move |request| count(request)
    })
    .await
    .unwrap();
    site.counter.set_script(move |request| count(request));
    let there = configuration(site.listen, other.address(), counter.address, 256);
    let back = configuration(site.listen, site.discovery.address(), site.counter.address, 256);
    let mut client = site.client().await;
    for nth in 0..30 {
        let text = match nth % 3 {
            0 => &there,
            1 => &back,
            _ => "{",
        };
        std::fs::write(&site.file, text).unwrap();
        site.signal(Signal::SIGHUP);
        assert_eq!(client.exchange(&request(&id(), "iso", 3000)).await.unwrap().0, 200, "{nth}");
    }
    site.reload(there).await;
    // The first discovery stops answering, which must not matter: the other one is polled.
    site.discovery.stop_answering();
    let last = last_attempt_at_draining_backend(&site, &other).await;
    assert!(last <= STOP_WITHIN, "{last} s after it was notified");
    // The calls that were pending at the former addresses cost no response.
    assert_eq!(client.exchange(&request(&id(), "iso", 3000)).await.unwrap().0, 200);
}

#[tokio::test]
async fn no_hedged_request_begins_for_a_client_that_has_closed() {
    let site = Site::start(2).await;
    site.backends.iter().for_each(|backend| backend.set_script(|_| Reply::NoReply));
    let close_client = async |before: u64, how: usize| {
        let (id, mut client) = (id(), site.client().await);
        client.send(&request(&id, "iso", 3000)).await;
        while site.attempts(&id) == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        tokio::time::sleep(HEDGE_DELAY - Duration::from_millis(before)).await;
        let closed = Instant::now();
        match how {
            0 => drop(client),
            1 => client.0.shutdown().await.unwrap(),
            _ => client.0.set_zero_linger().unwrap(),
        }
        (id, closed)
    };
    // The moments around the one at which it begins; few enough at once for each to be admitted.
    let mut hedged = 0;
    for before in [40, 12, 6, 3, 1, 0] {
        let clients = futures::future::join_all((0..3).map(|how| close_client(before, how))).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        for (id, closed) in clients {
            let received: Vec<_> = site.backends.iter().flat_map(ScriptedServer::received).collect();
            let mine =
                received.iter().filter(|received| received.request.headers.get("x-trace-id") == Some(&id));
            let late = mine.clone().filter(|received| received.received_at > closed + CLOSE_SLACK).count();
            assert_eq!(late, 0, "{before} ms before");
            hedged += mine.count() - 1;
        }
    }
    assert!(hedged < 18, "some closed before it began");
}

#[tokio::test]
async fn an_invalid_configuration_ends_the_program_at_its_start() {
    let site = Site::start(1).await;
    let valid = configuration(site.listen, site.discovery.address(), site.counter.address, 256);
    let dir = tempfile::tempdir().unwrap();
    let cases = [
        ("", "EOF"),
        ("{", "EOF"),
        ("[]", "invalid length"),
        (&valid.replace(r#""seed":"8c1f30d27a5be964""#, r#""seed":"none""#), "seed"),
        (&valid.replace("at_most_once", "at_times"), "Effect"),
        (&valid.replace(r#""Slo":2.0"#, r#""Slo":-2.0"#), "aim"),
        (&valid.replace(r#""PeersTotal":1"#, r#""PeersTotal":0"#), "gateways"),
        // Another process has the address.
        (&valid, "cannot listen"),
    ];
    let started = cases.iter().enumerate().map(async |(nth, (text, reason))| {
        let file = dir.path().join(format!("{nth}.json"));
        std::fs::write(&file, text).unwrap();
        let run = tokio::process::Command::new(env!("CARGO_BIN_EXE_weirusher"))
            .arg("node")
            .env("NODE_CONFIG", &file)
            .kill_on_drop(true)
            .output();
        let output = tokio::time::timeout(LIMIT, run).await.expect("it ends").unwrap();
        let said = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(output.status.code().is_some_and(|code| code != 0), "{nth}: {:?} {said}", output.status);
        assert!(said.contains(reason), "{nth}: {said}");
        let named = *reason == "cannot listen" || said.contains(&file.display().to_string());
        assert!(named || said.contains("settings"), "{nth}: the file is named: {said}");
    });
    futures::future::join_all(started).await;
    let missing = std::process::Command::new(env!("CARGO_BIN_EXE_weirusher"))
        .arg("node")
        .env("NODE_CONFIG", dir.path().join("none"))
        .output()
        .unwrap();
    assert!(!missing.status.success() && String::from_utf8_lossy(&missing.stderr).contains("none"));
}
