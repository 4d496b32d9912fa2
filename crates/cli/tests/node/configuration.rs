//! Configuration files: repeated reloads, invalid files at the start, and reads that hang.

use crate::platform::{DRAIN_GRACE, configuration};
use crate::process::wait_for_exit;
use crate::support::{
    ANY_PORT, Harness, TEST_TIMEOUT, endpoint_list, last_attempt_at_draining_backend, request, unique_id,
};
use nix::sys::signal::Signal;
use std::sync::Arc;
use std::time::{Duration, Instant};
use weirusher_fakes::{DiscoveryAgent, ScriptedServer, counter_script};

#[tokio::test]
async fn the_last_of_several_reloads_is_applied() {
    let harness = Harness::start(2).await;
    let entries =
        [("s-0", harness.backends[0].address, "SERVING"), ("s-1", harness.backends[1].address, "SERVING")];
    let other = DiscoveryAgent::start(ANY_PORT, 2, endpoint_list(2, &entries)).await.unwrap();
    // The same counter at two addresses.
    let count = Arc::new(counter_script());
    let counter = ScriptedServer::start(ANY_PORT, {
        let count = count.clone();
        move |request| count(request)
    })
    .await
    .unwrap();
    harness.counter.set_script(move |request| count(request));
    let there = configuration(harness.listen, other.address(), counter.address, 256);
    let back = configuration(harness.listen, harness.discovery.address(), harness.counter.address, 256);
    let mut client = harness.client().await;
    for nth in 0..30 {
        let text = match nth % 3 {
            0 => &there,
            1 => &back,
            _ => "{",
        };
        std::fs::write(&harness.file, text).unwrap();
        harness.signal(Signal::SIGHUP);
        assert_eq!(client.exchange(&request(&unique_id(), "iso", 3000)).await.unwrap().status, 200, "{nth}");
    }
    harness.reload(there).await;
    // The first discovery stops responding, which must not matter as the gateway polls the other one.
    harness.discovery.stop_answering();
    let last = last_attempt_at_draining_backend(&harness, &other).await;
    assert!(last <= DRAIN_GRACE, "last attempt {last} s after the notification");
    // Calls that were pending at the former addresses lose no response.
    assert_eq!(client.exchange(&request(&unique_id(), "iso", 3000)).await.unwrap().status, 200);
}

#[tokio::test]
async fn the_program_exits_at_an_invalid_configuration() {
    let harness = Harness::start(1).await;
    let valid = configuration(harness.listen, harness.discovery.address(), harness.counter.address, 256);
    let dir = tempfile::tempdir().unwrap();
    let cases = [
        ("", "EOF"),
        ("{", "EOF"),
        ("[]", "invalid length"),
        (&valid.replace(r#""seed":"8c1f30d27a5be964""#, r#""seed":"none""#), "seed"),
        (&valid.replace("at_most_once", "at_times"), "Effect"),
        (&valid.replace(r#""Slo":2.0"#, r#""Slo":-2.0"#), "aim"),
        (&valid.replace(r#""PeersTotal":1"#, r#""PeersTotal":0"#), "gateways"),
        // The address is already in use.
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
        let output = tokio::time::timeout(TEST_TIMEOUT, run).await.expect("the process exits").unwrap();
        let log = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(output.status.code().is_some_and(|code| code != 0), "{nth}: {:?} {log}", output.status);
        assert!(log.contains(reason), "{nth}: {log}");
        let named = *reason == "cannot listen" || log.contains(&file.display().to_string());
        assert!(named || log.contains("settings"), "{nth}: the file is not named: {log}");
    });
    futures::future::join_all(started).await;
    let missing = std::process::Command::new(env!("CARGO_BIN_EXE_weirusher"))
        .arg("node")
        .env("NODE_CONFIG", dir.path().join("none"))
        .output()
        .unwrap();
    assert!(!missing.status.success() && String::from_utf8_lossy(&missing.stderr).contains("none"));
}

/// Guards against a reload that reads its file on the thread that serves requests. Requests, later reloads and the
/// shutdown must not wait for a read that hangs.
#[tokio::test]
async fn a_hanging_reload_delays_no_request_and_no_later_reload() {
    let mut harness = Harness::start(2).await;
    let valid = std::fs::read_to_string(&harness.file).unwrap();
    std::fs::remove_file(&harness.file).unwrap();
    // Reading a named pipe that has no writer blocks.
    nix::unistd::mkfifo(&harness.file, nix::sys::stat::Mode::S_IRWXU).unwrap();
    harness.signal(Signal::SIGHUP);
    let mut client = harness.client().await;
    let mut exchange = async || {
        let text = request(&unique_id(), "iso", 3000);
        let response = tokio::time::timeout(Duration::from_secs(3), client.exchange(&text)).await;
        assert_eq!(response.expect("in time").unwrap().status, 200);
    };
    for _ in 0..20 {
        exchange().await;
    }
    // A later reload, which changes the address of discovery, is applied.
    let moved = DiscoveryAgent::start(
        ANY_PORT,
        7,
        endpoint_list(7, &[("s-0", harness.backends[0].address, "SERVING")]),
    );
    let moved = moved.await.unwrap();
    let text = valid.replace(&harness.discovery.address().to_string(), &moved.address().to_string());
    let other = harness.file.with_extension("other");
    std::fs::write(&other, text).unwrap();
    std::fs::rename(&other, &harness.file).unwrap();
    harness.signal(Signal::SIGHUP);
    tokio::time::timeout(TEST_TIMEOUT, moved.wait_until_list_received(7))
        .await
        .expect("the reload is applied");
    exchange().await;
    harness.signal(Signal::SIGTERM);
    let signalled = Instant::now();
    drop(client);
    assert!(wait_for_exit(&mut harness.child).await.success());
    assert!(signalled.elapsed() < Duration::from_secs(3), "{:?}", signalled.elapsed());
}
