//! A shutdown that ends with SIGKILL at the earliest time that the platform allows: the longest deadline of all classes
//! (no more than 3 s) plus 0.7 s after SIGTERM. Clients send requests on every connection that stays open.

use crate::support::{
    Client, ClientResponse, Harness, READINESS_CHECK, delayed_echo, parse_response, request, store_request,
    unique_id,
};
use nix::sys::signal::Signal;
use std::io::ErrorKind;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{Instant, sleep_until, timeout_at};
use weirusher_fakes::Reply;

/// Cap on the deadline that counts towards the time of SIGKILL, in seconds.
const MAX_COUNTED_DEADLINE: f64 = 3.0;
/// Seconds from SIGTERM to SIGKILL beyond the longest deadline.
const KILL_MARGIN: f64 = 0.7;

/// Starts a gateway whose classes all have this deadline and latency objective, in seconds.
async fn start_with_deadline(seconds: f64) -> Harness {
    let change = |text: String| {
        let mut config: serde_json::Value = serde_json::from_str(&text).unwrap();
        for class in config["settings"]["Classes"].as_array_mut().unwrap() {
            class["Deadline"] = seconds.into();
            class["Slo"] = seconds.into();
        }
        config.to_string()
    };
    Harness::start_with_config(4, 256, &[], change).await
}

/// Waits until a backend has received the request with this id.
async fn wait_until_forwarded(harness: &Harness, id: &str) {
    while harness.attempts(id) == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// Stops all backends from responding.
fn stop_responding(harness: &Harness) {
    harness.backends.iter().for_each(|backend| backend.set_script(|_| Reply::NoReply));
}

/// A request that is not idempotent, with a deadline of `seconds`.
fn unsafe_request(id: &str, seconds: f64) -> String {
    store_request(id, "x").replace("3000m", &format!("{:.0}m", seconds * 1e3))
}

/// The outcome of a request.
#[derive(Debug, PartialEq)]
enum Outcome {
    /// A complete response with this status.
    Response(u16),
    /// The connection was reset: the gateway did not read the request.
    Unread,
    /// The connection was closed before the request was sent.
    ClosedBefore,
    /// Neither a complete response nor a reset.
    Lost,
}

/// Sends the rest of a request at the time `at`, and reads until the time `kill`.
async fn send_at(mut client: Client, at: Instant, rest: String, kill: Instant) -> Outcome {
    let mut first = [0; 1];
    // The connection was closed, or got an error response to half a request: what would be sent now does not count.
    if timeout_at(at, client.0.read(&mut first)).await.is_ok() {
        return Outcome::ClosedBefore;
    }
    if client.0.write_all(rest.as_bytes()).await.is_err() {
        return Outcome::Unread;
    }
    let mut bytes = Vec::new();
    let end = async {
        loop {
            match client.0.read_buf(&mut bytes).await {
                Ok(1..) if parse_response(&bytes).is_none() => {}
                end => break end,
            }
        }
    };
    match timeout_at(kill, end).await {
        Ok(Ok(1..)) => Outcome::Response(parse_response(&bytes).expect("a complete response").status),
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionReset => Outcome::Unread,
        _ => Outcome::Lost,
    }
}

/// Sends SIGKILL at the given time. Returns whether the process had exited before.
async fn kill_at(harness: &mut Harness, kill: Instant) -> bool {
    sleep_until(kill).await;
    let exited = harness.child.try_wait().unwrap().is_some();
    let _ = harness.child.kill(); // It may have exited already.
    exited
}

#[tokio::test]
async fn a_request_accepted_during_a_shutdown_is_answered_in_time() {
    let deadline = 1.5;
    let mut harness = start_with_deadline(deadline).await;
    stop_responding(&harness);
    let span = deadline + KILL_MARGIN;
    // For each time of sending, a connection without any bytes so far and one with half a request.
    let moments: Vec<f64> = (1..(span * 10.0) as u32).map(|tenth| f64::from(tenth) / 10.0).collect();
    let (mut ids, mut waiting) = (Vec::new(), Vec::new());
    for moment in &moments {
        for half in [false, true] {
            let (id, mut client) = (unique_id(), harness.client().await);
            let text = unsafe_request(&id, deadline);
            let (first, rest) = text.split_at(if half { 40 } else { 0 });
            client.send(first).await;
            ids.push((id, *moment, half));
            waiting.push((client, *moment, rest.to_string()));
        }
    }
    // A response on a later connection shows that the gateway has accepted the others.
    let mut probe = harness.client().await;
    assert_eq!(probe.exchange(READINESS_CHECK).await.unwrap().status, 200);
    let signalled = Instant::now();
    harness.signal(Signal::SIGTERM);
    let kill = signalled + Duration::from_secs_f64(span);
    let sending = waiting.into_iter().map(|(client, moment, rest)| {
        tokio::spawn(send_at(client, signalled + Duration::from_secs_f64(moment), rest, kill))
    });
    let sending: Vec<_> = sending.collect();
    kill_at(&mut harness, kill).await;
    let mut lost = Vec::new();
    for (task, (id, moment, half)) in sending.into_iter().zip(ids) {
        let (outcome, attempts) = (task.await.unwrap(), harness.attempts(&id));
        // A reset means that the request was not read, so it must not have reached a backend either.
        if outcome == Outcome::Lost || attempts > 0 && !matches!(outcome, Outcome::Response(_)) {
            lost.push((moment, half, outcome, attempts));
        }
    }
    assert!(lost.is_empty(), "(time of sending, half sent before, outcome, attempts): {lost:?}");
}

#[tokio::test]
async fn a_request_pending_at_sigterm_is_answered_in_time() {
    let deadline = 6.0;
    let mut harness = start_with_deadline(deadline).await;
    stop_responding(&harness);
    let mut clients = Vec::new();
    for nth in 0..20 {
        let (id, mut client) = (unique_id(), harness.client().await);
        let text = if nth % 2 == 0 { unsafe_request(&id, deadline) } else { request(&id, "iso", 6000) };
        client.send(&text).await;
        // Some may be rejected at once, as the backends do not respond.
        tokio::select! {
            () = wait_until_forwarded(&harness, &id) => clients.push(client),
            answer = client.response() => assert_eq!(answer.expect("a complete response").status, 429),
        }
    }
    assert!(!clients.is_empty());
    let signalled = Instant::now();
    harness.signal(Signal::SIGTERM);
    let kill = signalled + Duration::from_secs_f64(MAX_COUNTED_DEADLINE.min(deadline) + KILL_MARGIN);
    let reading =
        clients.into_iter().map(|client| tokio::spawn(send_at(client, signalled, String::new(), kill)));
    let reading: Vec<_> = reading.collect();
    kill_at(&mut harness, kill).await;
    for task in reading {
        let outcome = task.await.unwrap();
        assert!(
            matches!(outcome, Outcome::Response(400..)),
            "expected an error response in time: {outcome:?}"
        );
    }
}

#[tokio::test]
async fn pipelined_requests_read_before_a_shutdown_are_answered() {
    let mut harness = start_with_deadline(1.5).await;
    harness.backends.iter().for_each(|backend| backend.set_script(delayed_echo(300)));
    let (mut client, ids) = (harness.client().await, [unique_id(), unique_id(), unique_id()]);
    let text: String = ids.iter().map(|id| request(id, "iso", 1500)).collect();
    client.send(&text).await;
    wait_until_forwarded(&harness, &ids[0]).await;
    // All were sent in one write: once the first is forwarded, the others are in the gateway's buffer.
    let signalled = Instant::now();
    harness.signal(Signal::SIGTERM);
    let kill = signalled + Duration::from_secs_f64(1.5 + KILL_MARGIN);
    let answers = async {
        let mut statuses = Vec::new();
        while let Some(ClientResponse { status, head, .. }) = client.response().await {
            statuses.push((status, head.contains("connection: close")));
        }
        statuses
    };
    let statuses = timeout_at(kill, answers).await.expect("the connection ends before the kill");
    assert_eq!(statuses.len(), ids.len(), "{statuses:?}");
    assert_eq!(statuses[0], (200, false), "the first response must keep the connection, as others follow");
    assert!(statuses[2].1, "the last response must close the connection: {statuses:?}");
    assert!(kill_at(&mut harness, kill).await, "the process did not exit before the kill");
}
