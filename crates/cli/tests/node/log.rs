//! The log's sink is stalled, full or gone: it delays and ends nothing that serves.

use crate::log_sink::{broken_pipe, full_device, unread_pipe};
use crate::process::ended;
use crate::support::{Site, id, request};
use nix::sys::signal::Signal;
use std::io::{PipeReader, Read};
use std::time::{Duration, Instant};

/// Clients at once, and requests of each.
const CLIENTS: usize = 24;
const REQUESTS: usize = 4;
/// Milliseconds that each client waits.
const DEADLINE_MS: u64 = 1500;
/// Seconds after SIGTERM at which the platform kills at the earliest: the longest deadline, 3 s at most, and 0.7 s.
const KILL_AFTER: f64 = 3.7;
/// The filter without RUST_LOG.
const DEFAULT_FILTER: &str = "warn,weirusher_node=info";

/// How many of all requests are answered in time. Some are rejected: the clients exceed the gateway's capacity.
async fn answered(site: &Site) -> usize {
    let client = || async {
        let mut answered = 0;
        let Ok(mut client) = tokio::time::timeout(Duration::from_millis(DEADLINE_MS), site.client()).await
        else {
            return answered;
        };
        for _ in 0..REQUESTS {
            let text = request(&id(), "iso", DEADLINE_MS);
            let exchange = client.exchange(&text);
            match tokio::time::timeout(Duration::from_millis(DEADLINE_MS), exchange).await {
                Ok(Some(_)) => answered += 1,
                _ => return answered,
            }
        }
        answered
    };
    futures::future::join_all((0..CLIENTS).map(|_| client())).await.into_iter().sum()
}

/// Sends SIGTERM while a request is pending: it is answered, and the process ends in time.
async fn stops_in_time(site: &mut Site) {
    let mut client = site.client().await;
    client.send(&request(&id(), "iso", DEADLINE_MS)).await;
    site.signal(Signal::SIGTERM);
    let signalled = Instant::now();
    client.response().await.expect("a response");
    drop(client);
    assert!(ended(&mut site.child).await.success());
    let elapsed = signalled.elapsed().as_secs_f64();
    assert!(elapsed < KILL_AFTER, "it ends {elapsed:.2} s after SIGTERM");
}

/// What can be read until the process has ended.
async fn rest(mut reader: PipeReader) -> String {
    let read = tokio::task::spawn_blocking(move || {
        let mut bytes = Vec::new();
        reader.read_to_end(&mut bytes).unwrap();
        String::from_utf8(bytes).unwrap()
    });
    read.await.unwrap()
}

/// Guards against threads that serve and wait for the log: a pipe that nobody reads left all requests unanswered.
#[tokio::test]
async fn a_log_that_nobody_reads_delays_no_request_and_no_shutdown() {
    let (_reader, stderr) = unread_pipe();
    let mut site = Site::with_log(2, "debug", stderr).await;
    for _ in 0..3 {
        assert_eq!(answered(&site).await, CLIENTS * REQUESTS);
    }
    stops_in_time(&mut site).await;
}

#[tokio::test]
async fn with_the_default_filter_reloads_and_requests_go_on_beside_a_log_that_nobody_reads() {
    let (_reader, stderr) = unread_pipe();
    let mut site = Site::with_log(2, DEFAULT_FILTER, stderr).await;
    let text = std::fs::read_to_string(&site.file).unwrap();
    // Each reload logs a line; the pipe holds 4 KiB.
    for round in 0..60 {
        let text = if round % 2 == 0 { text.clone() } else { "not a configuration".into() };
        site.reload(text).await;
    }
    assert_eq!(answered(&site).await, CLIENTS * REQUESTS);
    stops_in_time(&mut site).await;
}

/// Guards against a process that panics at a line that cannot be written.
#[tokio::test]
async fn a_log_that_fails_ends_nothing() {
    for stderr in [full_device(), broken_pipe()] {
        let mut site = Site::with_log(2, "debug", stderr).await;
        let text = std::fs::read_to_string(&site.file).unwrap();
        site.reload("not a configuration".into()).await;
        site.reload(text).await;
        assert_eq!(answered(&site).await, CLIENTS * REQUESTS);
        stops_in_time(&mut site).await;
    }
}

#[tokio::test]
async fn dropped_lines_are_counted_and_told_of_once_the_log_is_read_again() {
    let (reader, stderr) = unread_pipe();
    let mut site = Site::with_log(2, "debug", stderr).await;
    for _ in 0..4 {
        assert_eq!(answered(&site).await, CLIENTS * REQUESTS);
    }
    let log = tokio::spawn(rest(reader));
    stops_in_time(&mut site).await;
    let log = log.await.unwrap();
    let told: u64 = log
        .lines()
        .filter_map(|line| line.strip_suffix(" log lines were dropped")?.parse::<u64>().ok())
        .sum();
    assert!(told > 0, "{log}");
    let stopped = log.lines().find(|line| line.contains("stopped")).expect("the last lines are written");
    let counted = stopped.split("log_lines_dropped=").nth(1).expect(stopped);
    let counted: u64 = counted.split_whitespace().next().unwrap().parse().unwrap();
    assert!(counted > 0 && counted <= told, "{counted} counted, {told} told");
}
