//! Requests that race with the close of their connection, whatever closes it: each gets its response, or its bytes were not
//! read, which a reset shows.

use crate::support::{Client, ClientResponse, READY, Site, id, parse_response, request};
use nix::sys::signal::Signal;
use std::io::ErrorKind;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::time::{Instant, sleep, sleep_until};

/// Races at most until requests come on both sides of a close.
const MAX_RACES: usize = 5;
/// Requests around each close, and the time between two.
const REQUESTS: u32 = 40;
const INTERVAL: Duration = Duration::from_millis(3);
/// A connection that ended in order with unread bytes is reset within this time.
const LATE_RESET: Duration = Duration::from_millis(800);
/// Time after which a connection without a request, or with half of one, is closed.
const FIRST_REQUEST: Duration = Duration::from_millis(2500);
/// Time after which an idle connection may be closed for others, and a new one during a shutdown.
const REUSABLE_AFTER: Duration = Duration::from_millis(250);

#[derive(Debug, PartialEq, Eq, Clone, Copy)]
enum Outcome {
    Response(u16),
    Unread,
    /// The request was read, and its connection closed without a response.
    Lost,
}

/// Sends the rest of a request at a moment.
async fn send_at(mut client: Client, rest: String, at: Instant) -> Outcome {
    sleep_until(at).await;
    if tokio::io::AsyncWriteExt::write_all(&mut client.0, rest.as_bytes()).await.is_err() {
        return Outcome::Unread;
    }
    let mut bytes = Vec::new();
    loop {
        match client.0.read_buf(&mut bytes).await {
            Ok(1..) => {
                if let Some(ClientResponse { status, .. }) = parse_response(&bytes) {
                    return Outcome::Response(status);
                }
            }
            Ok(_) => return outcome_after_end(&client).await,
            Err(_) => return Outcome::Unread,
        }
    }
}

/// Whether a connection that ended in order is reset after that: its request arrived at a closed one.
async fn outcome_after_end(client: &Client) -> Outcome {
    let until = Instant::now() + LATE_RESET;
    while Instant::now() < until {
        let broken = |error: std::io::Error| error.kind() != ErrorKind::WouldBlock;
        if client.0.take_error().unwrap().is_some() || client.0.try_read(&mut [0; 64]).is_err_and(broken) {
            return Outcome::Unread;
        }
        sleep(Duration::from_millis(2)).await;
    }
    Outcome::Lost
}

/// A request whose rest is sent at a moment.
struct RacingRequest {
    client: Client,
    id: String,
    rest: String,
    at: Instant,
}

/// A request that is sent as a whole at a moment.
fn racing_request(client: Client, at: Instant) -> RacingRequest {
    let id = id();
    let rest = request(&id, "iso", 3000);
    RacingRequest { client, id, rest, at }
}

/// The moments around one.
fn around(moment: Instant) -> impl Iterator<Item = Instant> {
    (0..REQUESTS).map(move |nth| moment - INTERVAL * (REQUESTS / 2) + INTERVAL * nth)
}

/// Sends each request at its moment, and checks that none is lost.
async fn send_all(site: &Site, requests: Vec<RacingRequest>) -> Vec<Outcome> {
    let sent = requests.into_iter().map(async |r| (r.id, send_at(r.client, r.rest, r.at).await));
    let outcomes = futures::future::join_all(sent).await;
    for (id, outcome) in &outcomes {
        assert_ne!(*outcome, Outcome::Lost, "{id}");
        let attempts = site.attempts(id);
        assert!(
            attempts == 0 || matches!(outcome, Outcome::Response(_)),
            "{id}: {attempts} attempts, {outcome:?}"
        );
    }
    outcomes.into_iter().map(|(_, outcome)| outcome).collect()
}

/// Whether there were requests before and after the close.
fn both_sides(outcomes: &[Outcome]) -> bool {
    let answered = outcomes.iter().filter(|outcome| matches!(outcome, Outcome::Response(_))).count();
    answered > 0 && answered < outcomes.len()
}

/// Races until requests came on both sides of the close: one that a busy machine has all on one side shows nothing.
/// Each race, that one too, checks that no request is lost.
async fn until_both_sides(mut race: impl AsyncFnMut() -> Vec<Vec<Outcome>>) {
    let mut missed = Vec::new();
    while missed.len() < MAX_RACES {
        let outcomes = race().await;
        if outcomes.iter().all(|outcomes| both_sides(outcomes)) {
            return;
        }
        missed.push(outcomes);
    }
    panic!("all on one side of the close, in each race: {missed:?}");
}

async fn idle_connection(site: &Site) -> Client {
    let mut client = site.client().await;
    assert_eq!(client.exchange(READY).await.unwrap().status, 200);
    client
}

#[tokio::test]
async fn on_a_new_connection_without_a_request_in_time() {
    until_both_sides(async || {
        let site = Site::start(2).await;
        let accepted = Instant::now();
        let mut requests = Vec::new();
        for at in around(accepted + FIRST_REQUEST + Duration::from_millis(3)) {
            requests.push(racing_request(site.client().await, at));
        }
        vec![send_all(&site, requests).await]
    })
    .await;
}

#[tokio::test]
async fn on_a_connection_with_half_a_request() {
    let site = Site::start(2).await;
    let began = Instant::now();
    let mut requests = Vec::new();
    for (nth, at) in around(began + FIRST_REQUEST + Duration::from_millis(8)).enumerate() {
        let client = if nth % 2 == 0 { idle_connection(&site).await } else { site.client().await };
        let mut racing = racing_request(client, at);
        let rest = racing.rest.split_off(40);
        racing.client.send(&racing.rest).await;
        requests.push(RacingRequest { rest, ..racing });
    }
    let outcomes = send_all(&site, requests).await;
    // One that is completed too late gets a 408, or its rest is not read.
    assert!(
        outcomes.contains(&Outcome::Response(200)) && outcomes.contains(&Outcome::Response(408)),
        "{outcomes:?}"
    );
}

#[tokio::test]
async fn on_an_idle_connection_that_is_closed_for_others() {
    let site = Site::with(2, 96, &[]).await;
    // More connections than slots: each one that waits has an idle one closed.
    let mut waiting = Vec::new();
    let mut requests = Vec::new();
    let idle = Instant::now();
    for at in around(idle + REUSABLE_AFTER + Duration::from_millis(10)).take(24) {
        requests.push(racing_request(idle_connection(&site).await, at));
    }
    for _ in 0..60 {
        waiting.push(site.client().await);
    }
    send_all(&site, requests).await;
}

#[tokio::test]
async fn on_idle_and_new_connections_as_a_shutdown_begins() {
    until_both_sides(async || {
        let site = Site::start(2).await;
        let mut old = Vec::new();
        for _ in 0..REQUESTS {
            old.push(idle_connection(&site).await);
        }
        // Idle connections are closed with the signal.
        let signal = Instant::now() + Duration::from_millis(200);
        let requests: Vec<_> =
            old.into_iter().zip(around(signal)).map(|(client, at)| racing_request(client, at)).collect();
        let mut new = Vec::new();
        for at in around(signal + REUSABLE_AFTER) {
            new.push(racing_request(site.client().await, at));
        }
        let shutdown = async {
            sleep_until(signal).await;
            site.signal(Signal::SIGTERM);
        };
        let (old, new, ()) = tokio::join!(send_all(&site, requests), send_all(&site, new), shutdown);
        vec![old, new]
    })
    .await;
}

#[tokio::test]
async fn after_a_response_that_closes_and_after_an_error() {
    let site = Site::start(2).await;
    for closing in ["Connection: close\r\n", "Plan: none\r\n"] {
        let mut requests = Vec::new();
        for _ in 0..10 {
            let mut client = site.client().await;
            let first = request(&id(), "iso", 3000);
            // A request right after the last response, before the end of the connection is seen.
            client.send(&first.replace("Plan: iso\r\n", &format!("Plan: iso\r\n{closing}"))).await;
            assert!(matches!(client.response().await.expect("a response").status, 200 | 400));
            requests.push(racing_request(client, Instant::now()));
        }
        let sent = requests.into_iter().map(async |r| (r.id, send_at(r.client, r.rest, r.at).await));
        for (id, outcome) in futures::future::join_all(sent).await {
            assert_eq!(site.attempts(&id), 0);
            // Bytes after an error are dropped: what they belong to is not known.
            assert!(outcome == Outcome::Unread || closing.starts_with("Plan"), "{outcome:?}");
        }
    }
}
