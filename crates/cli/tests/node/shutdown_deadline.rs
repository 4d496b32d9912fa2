//! A shutdown that SIGKILL ends at the earliest moment that the platform allows: the longest deadline of the deployment (3 s
//! at most) and 0.7 s after SIGTERM. Clients send on every connection that stays open.

use crate::support::{Client, ClientResponse, READY, Site, delayed_echo, id, parse_response, request, store};
use nix::sys::signal::Signal;
use std::io::ErrorKind;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{Instant, sleep_until, timeout_at};
use weirusher_fakes::Reply;

/// The longest deadline that counts towards the time of SIGKILL, in seconds.
const LONGEST_COUNTED: f64 = 3.0;
/// Seconds from SIGTERM to SIGKILL beyond the longest deadline.
const KILL_MARGIN: f64 = 0.7;

/// A site whose classes all have this deadline and latency objective, in seconds.
async fn site_with_deadline(seconds: f64) -> Site {
    let change = |text: String| {
        let mut config: serde_json::Value = serde_json::from_str(&text).unwrap();
        for class in config["settings"]["Classes"].as_array_mut().unwrap() {
            class["Deadline"] = seconds.into();
            class["Slo"] = seconds.into();
        }
        config.to_string()
    };
    Site::configured(4, 256, &[], change).await
}

/// Waits until a backend has received a request.
async fn forwarded(site: &Site, id: &str) {
    while site.attempts(id) == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

fn hang(site: &Site) {
    site.backends.iter().for_each(|backend| backend.set_script(|_| Reply::NoReply));
}

/// A request that is not idempotent, with a deadline of `seconds`.
fn unsafe_request(id: &str, seconds: f64) -> String {
    store(id, "x").replace("3000m", &format!("{:.0}m", seconds * 1e3))
}

/// The outcome of a request.
#[derive(Debug, PartialEq)]
enum Outcome {
    /// A complete response with this status.
    Response(u16),
    /// The connection was reset: the request's bytes were not read.
    Unread,
    /// The connection had ended before the request was sent.
    ClosedBefore,
    /// No complete response, and no reset.
    Lost,
}

/// Sends the rest of a request at a time, and reads until the kill.
async fn send_at(mut client: Client, at: Instant, rest: String, kill: Instant) -> Outcome {
    let mut first = [0; 1];
    // It has ended, or has an error response to half a request: what is sent from here on does not count.
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

/// Sends SIGKILL at a time; whether the process had ended before.
async fn kill_at(site: &mut Site, kill: Instant) -> bool {
    sleep_until(kill).await;
    let ended = site.child.try_wait().unwrap().is_some();
    let _ = site.child.kill(); // It may have ended already.
    ended
}

#[tokio::test]
async fn a_request_that_is_accepted_late_in_a_shutdown_has_its_response_before_the_kill() {
    let deadline = 1.5;
    let mut site = site_with_deadline(deadline).await;
    hang(&site);
    let span = deadline + KILL_MARGIN;
    // For each moment, a connection without a byte so far and one with half a request.
    let moments: Vec<f64> = (1..(span * 10.0) as u32).map(|tenth| f64::from(tenth) / 10.0).collect();
    let (mut ids, mut waiting) = (Vec::new(), Vec::new());
    for moment in &moments {
        for half in [false, true] {
            let (id, mut client) = (id(), site.client().await);
            let text = unsafe_request(&id, deadline);
            let (first, rest) = text.split_at(if half { 40 } else { 0 });
            client.send(first).await;
            ids.push((id, *moment, half));
            waiting.push((client, *moment, rest.to_string()));
        }
    }
    // A response shows that the process has accepted the others.
    let mut front = site.client().await;
    assert_eq!(front.exchange(READY).await.unwrap().status, 200);
    let notified = Instant::now();
    site.signal(Signal::SIGTERM);
    let kill = notified + Duration::from_secs_f64(span);
    let sending = waiting.into_iter().map(|(client, moment, rest)| {
        tokio::spawn(send_at(client, notified + Duration::from_secs_f64(moment), rest, kill))
    });
    let sending: Vec<_> = sending.collect();
    kill_at(&mut site, kill).await;
    let mut lost = Vec::new();
    for (task, (id, moment, half)) in sending.into_iter().zip(ids) {
        let (outcome, attempts) = (task.await.unwrap(), site.attempts(&id));
        // A reset shows that nothing was read; a request that reached a backend was read.
        if outcome == Outcome::Lost || attempts > 0 && !matches!(outcome, Outcome::Response(_)) {
            lost.push((moment, half, outcome, attempts));
        }
    }
    assert!(lost.is_empty(), "sent at, half of it before, outcome, attempts: {lost:?}");
}

#[tokio::test]
async fn a_request_that_is_pending_at_sigterm_has_its_response_before_the_kill() {
    let deadline = 6.0;
    let mut site = site_with_deadline(deadline).await;
    hang(&site);
    let mut clients = Vec::new();
    for nth in 0..20 {
        let (id, mut client) = (id(), site.client().await);
        let text = if nth % 2 == 0 { unsafe_request(&id, deadline) } else { request(&id, "iso", 6000) };
        client.send(&text).await;
        // Some may be rejected at once: the backends do not answer.
        tokio::select! {
            () = forwarded(&site, &id) => clients.push(client),
            answer = client.response() => assert_eq!(answer.expect("a complete response").status, 429),
        }
    }
    assert!(!clients.is_empty());
    let notified = Instant::now();
    site.signal(Signal::SIGTERM);
    let kill = notified + Duration::from_secs_f64(LONGEST_COUNTED.min(deadline) + KILL_MARGIN);
    let reading =
        clients.into_iter().map(|client| tokio::spawn(send_at(client, notified, String::new(), kill)));
    let reading: Vec<_> = reading.collect();
    kill_at(&mut site, kill).await;
    for task in reading {
        let outcome = task.await.unwrap();
        assert!(matches!(outcome, Outcome::Response(400..)), "each fails in time: {outcome:?}");
    }
}

#[tokio::test]
async fn pipelined_requests_that_were_read_before_a_shutdown_have_their_responses() {
    let mut site = site_with_deadline(1.5).await;
    site.backends.iter().for_each(|backend| backend.set_script(delayed_echo(300)));
    let (mut client, ids) = (site.client().await, [id(), id(), id()]);
    let text: String = ids.iter().map(|id| request(id, "iso", 1500)).collect();
    client.send(&text).await;
    forwarded(&site, &ids[0]).await;
    // All were sent in one piece: when one was forwarded, the others are in the buffer.
    let notified = Instant::now();
    site.signal(Signal::SIGTERM);
    let kill = notified + Duration::from_secs_f64(1.5 + KILL_MARGIN);
    let answers = async {
        let mut statuses = Vec::new();
        while let Some(ClientResponse { status, head, .. }) = client.response().await {
            statuses.push((status, head.contains("connection: close")));
        }
        statuses
    };
    let statuses = timeout_at(kill, answers).await.expect("the connection ends before the kill");
    assert_eq!(statuses.len(), ids.len(), "{statuses:?}");
    assert_eq!(statuses[0], (200, false), "others follow it");
    assert!(statuses[2].1, "the last one closes the connection: {statuses:?}");
    assert!(kill_at(&mut site, kill).await, "it ends by itself");
}
