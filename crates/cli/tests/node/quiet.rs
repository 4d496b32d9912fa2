//! Trouble behind a long quiet time, connections that their servers end meanwhile, configurations in a row, and clients
//! that go as a hedged request is about to begin.

use crate::platform::{STOP_WITHIN, configuration};
use crate::support::*;
use nix::sys::signal::Signal;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use weirusher_fakes::{DiscoveryAgent, Link, Reply, ScriptedServer, counting};

/// Longer than an idle client may stay.
const LONG: Duration = Duration::from_millis(20_500);
/// When a hedged request goes out: 0.4 of the aim.
const HEDGED: Duration = Duration::from_millis(800);
/// The longest behind its deadline that a response may come.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// The longest after a client's close that an attempt may begin.
const GONE: Duration = Duration::from_millis(100);

#[tokio::test]
async fn behind_a_long_quiet_time_all_is_as_before() {
    let site = Site::start(2).await;
    let mut old = site.client().await;
    assert_eq!(old.ask(&store(&id(), "x")).await.unwrap().0, 200);
    tokio::time::sleep(LONG).await;
    old.closed().await;
    let mut client = site.client().await;
    for _ in 0..4 {
        assert_eq!(client.ask(&store(&id(), "x")).await.unwrap().0, 200);
        tokio::time::sleep(RESTED).await;
    }
    // A drain is heard, and a shutdown answers what it took.
    let last = last_at_a_leaving_worker(&site, &site.discovery).await;
    assert!(last <= STOP_WITHIN, "{last} s after it was told");
    site.workers[1].set_script(slow(200));
    let (open, mut client) = (id(), site.client().await);
    client.send(&store(&open, "x")).await;
    while site.tries(&open) == 0 {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    site.signal(Signal::SIGTERM);
    assert_eq!(client.answer().await.expect("a whole response").2, format!("done {open}"));
}

#[tokio::test]
async fn idle_connections_that_their_server_closes_or_resets_cost_no_unsafe_request() {
    for resets in [false, true] {
        let site = Site::start(2).await;
        site.workers.iter().for_each(|worker| {
            worker.set_script(move |request| match echo(request) {
                Reply::Bytes(bytes) if resets => Reply::BytesThenReset(bytes),
                Reply::Bytes(bytes) => Reply::BytesThenClose(bytes),
                other => other,
            });
        });
        let mut client = site.client().await;
        for _ in 0..8 {
            let id = id();
            assert_eq!(client.ask(&store(&id, "x")).await.unwrap().0, 200, "resets: {resets}");
            assert_eq!(site.tries(&id), 1);
            tokio::time::sleep(RESTED).await;
        }
    }
}

/// Sends a request and returns its status; its response is in time.
async fn status_in_time(client: &mut Client, text: &str, deadline: Duration) -> u16 {
    let sent = Instant::now();
    let (status, ..) = client.ask(text).await.expect("a whole response");
    assert!(sent.elapsed() < deadline + ANSWER_SLACK, "{status} after {:?}", sent.elapsed());
    status
}

#[tokio::test]
async fn idle_connections_that_are_forgotten_silently_cost_one_attempt_each_and_no_response() {
    const DEADLINE: Duration = Duration::from_secs(3);
    for is_unsafe in [false, true] {
        let mut backends = Vec::new();
        for _ in 0..2 {
            let backend = ScriptedServer::start(ANYWHERE, slow(30)).await.unwrap();
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
        tokio::time::sleep(RESTED).await;
        let pooled: u64 = backends.iter().map(|(backend, _)| backend.connections()).sum();
        backends.iter().for_each(|(_, link)| link.blackhole());
        // Each forgotten connection takes one attempt with it at most; a new one serves.
        let mut failed = 0;
        while failed <= pooled {
            let answers = together(1).await;
            if statuses(&answers) == [200] {
                break;
            }
            failed += 1;
        }
        assert!(failed <= pooled, "{failed} requests failed behind {pooled} connections");
        tokio::time::sleep(RESTED).await;
        let mut later = 0;
        for _ in 0..pooled + 4 {
            later += u64::from(statuses(&together(1).await) != [200]);
        }
        assert!(failed + later <= pooled, "{failed} and {later} requests failed behind {pooled} connections");
        let came: Vec<_> = backends.iter().flat_map(|(backend, _)| backend.received()).collect();
        let mut seen = HashSet::new();
        for came in came {
            let id = came.request.headers.get("x-trace-id").unwrap().to_string();
            assert!(seen.insert(id.clone()) || !is_unsafe, "{id} came twice");
        }
    }
}

#[tokio::test]
async fn configurations_in_a_row_end_with_the_last_one() {
    let site = Site::start(2).await;
    let entries = [("s-0", site.workers[0].address, "SERVING"), ("s-1", site.workers[1].address, "SERVING")];
    let other = DiscoveryAgent::start(ANYWHERE, 2, list(2, &entries)).await.unwrap();
    // One count, at two addresses.
    let count = Arc::new(counting());
    let counter = ScriptedServer::start(ANYWHERE, {
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
        assert_eq!(client.ask(&request(&id(), "iso", 3000)).await.unwrap().0, 200, "{nth}");
    }
    site.reload(there).await;
    // The first discovery falls silent: the other one is heard of all the same.
    site.discovery.stop_answering();
    let last = last_at_a_leaving_worker(&site, &other).await;
    assert!(last <= STOP_WITHIN, "{last} s after it was told");
    // No connection is left at the addresses before but those whose calls were out.
    assert_eq!(client.ask(&request(&id(), "iso", 3000)).await.unwrap().0, 200);
}

#[tokio::test]
async fn a_client_that_goes_as_a_hedged_request_is_about_to_begin_is_not_worked_for() {
    let site = Site::start(2).await;
    site.workers.iter().for_each(|worker| worker.set_script(|_| Reply::NoReply));
    let go = async |before: u64, how: usize| {
        let (id, mut client) = (id(), site.client().await);
        client.send(&request(&id, "iso", 3000)).await;
        while site.tries(&id) == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        tokio::time::sleep(HEDGED - Duration::from_millis(before)).await;
        let gone = Instant::now();
        match how {
            0 => drop(client),
            1 => client.0.shutdown().await.unwrap(),
            _ => client.0.set_zero_linger().unwrap(),
        }
        (id, gone)
    };
    // The moments around that in which it begins; few enough at once for each to be let in.
    let mut hedged = 0;
    for before in [40, 12, 6, 3, 1, 0] {
        let gone = futures::future::join_all((0..3).map(|how| go(before, how))).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        for (id, gone) in gone {
            let came: Vec<_> = site.workers.iter().flat_map(ScriptedServer::received).collect();
            let mine = came.iter().filter(|came| came.request.headers.get("x-trace-id") == Some(&id));
            let late = mine.clone().filter(|came| came.received_at > gone + GONE).count();
            assert_eq!(late, 0, "{before} ms before");
            hedged += mine.count() - 1;
        }
    }
    assert!(hedged < 18, "some went before it began");
}

#[tokio::test]
async fn a_configuration_that_cannot_be_used_ends_the_program_at_its_start() {
    let site = Site::start(1).await;
    let sound = configuration(site.listen, site.discovery.address(), site.counter.address, 256);
    let dir = tempfile::tempdir().unwrap();
    let cases = [
        ("", "EOF"),
        ("{", "EOF"),
        ("[]", "invalid length"),
        (&sound.replace(r#""seed":"8c1f30d27a5be964""#, r#""seed":"none""#), "seed"),
        (&sound.replace("at_most_once", "at_times"), "Effect"),
        (&sound.replace(r#""Slo":2.0"#, r#""Slo":-2.0"#), "aim"),
        (&sound.replace(r#""PeersTotal":1"#, r#""PeersTotal":0"#), "gateways"),
        // Another process has the address, and keeps it.
        (&sound, "cannot listen"),
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
