//! A standard error stream that blocks, is full or is closed must not delay requests or end the process.

use crate::log_sink::{broken_pipe, full_device, unread_pipe};
use crate::process::wait_for_exit;
use crate::support::{Harness, request, unique_id};
use nix::sys::signal::Signal;
use std::io::{PipeReader, Read};
use std::time::{Duration, Instant};

/// Number of concurrent clients, and of requests that each sends.
const CLIENTS: usize = 24;
const REQUESTS: usize = 4;
/// Time that a client waits for a response, in milliseconds.
const DEADLINE_MS: u64 = 1500;
/// Earliest time of SIGKILL after SIGTERM, in seconds: the longest deadline, which is no more than 3 s, plus 0.7 s.
const KILL_AFTER: f64 = 3.7;
/// The filter that is used if RUST_LOG is not set.
const DEFAULT_FILTER: &str = "warn,weirusher_node=info";

/// Sends requests and returns how many are answered in time. Rejections count: the clients exceed the gateway's
/// capacity.
async fn count_answered(harness: &Harness) -> usize {
    let client = || async {
        let mut answered = 0;
        let Ok(mut client) = tokio::time::timeout(Duration::from_millis(DEADLINE_MS), harness.client()).await
        else {
            return answered;
        };
        for _ in 0..REQUESTS {
            let text = request(&unique_id(), "iso", DEADLINE_MS);
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

/// Sends SIGTERM while a request is pending. The request must be answered and the process must exit in time.
async fn assert_stops_in_time(harness: &mut Harness) {
    let mut client = harness.client().await;
    client.send(&request(&unique_id(), "iso", DEADLINE_MS)).await;
    harness.signal(Signal::SIGTERM);
    let signalled = Instant::now();
    client.response().await.expect("a response");
    drop(client);
    assert!(wait_for_exit(&mut harness.child).await.success());
    let elapsed = signalled.elapsed().as_secs_f64();
    assert!(elapsed < KILL_AFTER, "the process exits {elapsed:.2} s after SIGTERM");
}

/// Reads the log until the process exits.
async fn read_to_end(mut reader: PipeReader) -> String {
    let read = tokio::task::spawn_blocking(move || {
        let mut bytes = Vec::new();
        reader.read_to_end(&mut bytes).unwrap();
        String::from_utf8(bytes).unwrap()
    });
    read.await.unwrap()
}

/// Guards against threads that serve requests and write the log too: with a pipe that is not read, all requests were
/// left unanswered.
#[tokio::test]
async fn an_unread_log_delays_no_request_and_no_shutdown() {
    let (_reader, stderr) = unread_pipe();
    let mut harness = Harness::start_with_log(2, "debug", stderr).await;
    for _ in 0..3 {
        assert_eq!(count_answered(&harness).await, CLIENTS * REQUESTS);
    }
    assert_stops_in_time(&mut harness).await;
}

/// The process has the default filter, and its configuration is reloaded; each reload logs a line.
#[tokio::test]
async fn an_unread_log_delays_no_reload() {
    let (_reader, stderr) = unread_pipe();
    let mut harness = Harness::start_with_log(2, DEFAULT_FILTER, stderr).await;
    let text = std::fs::read_to_string(&harness.file).unwrap();
    // Each reload logs a line; the pipe holds 4 KiB.
    for round in 0..60 {
        let text = if round % 2 == 0 { text.clone() } else { "not a configuration".into() };
        harness.reload(text).await;
    }
    assert_eq!(count_answered(&harness).await, CLIENTS * REQUESTS);
    assert_stops_in_time(&mut harness).await;
}

/// Guards against a panic when a line cannot be written.
#[tokio::test]
async fn a_log_that_fails_does_not_end_the_process() {
    for stderr in [full_device(), broken_pipe()] {
        let mut harness = Harness::start_with_log(2, "debug", stderr).await;
        let text = std::fs::read_to_string(&harness.file).unwrap();
        harness.reload("not a configuration".into()).await;
        harness.reload(text).await;
        assert_eq!(count_answered(&harness).await, CLIENTS * REQUESTS);
        assert_stops_in_time(&mut harness).await;
    }
}

#[tokio::test]
async fn dropped_lines_are_counted_and_reported_later() {
    let (reader, stderr) = unread_pipe();
    let mut harness = Harness::start_with_log(2, "debug", stderr).await;
    for _ in 0..4 {
        assert_eq!(count_answered(&harness).await, CLIENTS * REQUESTS);
    }
    let log = tokio::spawn(read_to_end(reader));
    assert_stops_in_time(&mut harness).await;
    let log = log.await.unwrap();
    let reported: u64 = log
        .lines()
        .filter_map(|line| line.strip_suffix(" log lines were dropped")?.parse::<u64>().ok())
        .sum();
    assert!(reported > 0, "{log}");
    let stopped =
        log.lines().find(|line| line.contains("stopped")).expect("the last lines of the log are written");
    let counted = stopped.split("log_lines_dropped=").nth(1).expect(stopped);
    let counted: u64 = counted.split_whitespace().next().unwrap().parse().unwrap();
    assert!(counted > 0 && counted <= reported, "{counted} counted, {reported} reported");
}
