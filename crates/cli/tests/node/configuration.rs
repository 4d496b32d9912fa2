//! Configurations: several reloads, and invalid ones at the start.

use crate::platform::{STOP_WITHIN, configuration};
use crate::process::ended;
use crate::support::{ANY_PORT, LIMIT, Site, id, last_attempt_at_draining_backend, list, request};
use nix::sys::signal::Signal;
use std::sync::Arc;
use std::time::{Duration, Instant};
use weirusher_fakes::{DiscoveryAgent, ScriptedServer, counting};

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
        assert_eq!(client.exchange(&request(&id(), "iso", 3000)).await.unwrap().status, 200, "{nth}");
    }
    site.reload(there).await;
    // The first discovery stops answering, which must not matter: the other one is polled.
    site.discovery.stop_answering();
    let last = last_attempt_at_draining_backend(&site, &other).await;
    assert!(last <= STOP_WITHIN, "{last} s after it was notified");
    // The calls that were pending at the former addresses cost no response.
    assert_eq!(client.exchange(&request(&id(), "iso", 3000)).await.unwrap().status, 200);
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

/// Guards against a reload that waits for its file in the thread that serves.
#[tokio::test]
async fn a_configuration_whose_reading_hangs_delays_no_request_no_later_reload_and_no_shutdown() {
    let mut site = Site::start(2).await;
    let valid = std::fs::read_to_string(&site.file).unwrap();
    std::fs::remove_file(&site.file).unwrap();
    // A pipe that nobody writes to: reading it does not end.
    nix::unistd::mkfifo(&site.file, nix::sys::stat::Mode::S_IRWXU).unwrap();
    site.signal(Signal::SIGHUP);
    let mut client = site.client().await;
    let mut exchange = async || {
        let text = request(&id(), "iso", 3000);
        let response = tokio::time::timeout(Duration::from_secs(3), client.exchange(&text)).await;
        assert_eq!(response.expect("in time").unwrap().status, 200);
    };
    for _ in 0..20 {
        exchange().await;
    }
    // A later reload is followed: discovery moves.
    let moved = DiscoveryAgent::start(ANY_PORT, 7, list(7, &[("s-0", site.backends[0].address, "SERVING")]));
    let moved = moved.await.unwrap();
    let text = valid.replace(&site.discovery.address().to_string(), &moved.address().to_string());
    let other = site.file.with_extension("other");
    std::fs::write(&other, text).unwrap();
    std::fs::rename(&other, &site.file).unwrap();
    site.signal(Signal::SIGHUP);
    tokio::time::timeout(LIMIT, moved.wait_until_list_received(7)).await.expect("the reload is followed");
    exchange().await;
    site.signal(Signal::SIGTERM);
    let signalled = Instant::now();
    drop(client);
    assert!(ended(&mut site.child).await.success());
    assert!(signalled.elapsed() < Duration::from_secs(3), "{:?}", signalled.elapsed());
}
