//! Requests that race with the gateway's close of their connection: each gets a response, or a reset, which shows that
//! it was not read.

use crate::support::{Client, ClientResponse, Harness, READINESS_CHECK, parse_response, request, unique_id};
use nix::sys::signal::Signal;
use std::io::ErrorKind;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::time::{Instant, sleep, sleep_until};

/// Number of attempts to get requests on both sides of a close.
const MAX_RACES: usize = 5;
/// Number of requests around each close, and the time between them.
const REQUESTS: u32 = 40;
const INTERVAL: Duration = Duration::from_millis(3);
/// How long to wait, after the end of stream, for the reset that shows that bytes were left unread.
const LATE_RESET: Duration = Duration::from_millis(800);
/// Time after which the gateway closes a connection that has not sent a complete request. The gateway's
/// `REQUEST_READ_TIMEOUT`.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// Age from which the gateway may close an idle connection to free its slot, and, during a shutdown, a new connection
/// without a request. The gateway's `EVICTION_GRACE`.
const CLOSABLE_AFTER: Duration = Duration::from_millis(250);

/// The outcome of a request.
#[derive(Debug, PartialEq, Eq, Clone, Copy)]
enum Outcome {
    /// A complete response with this status.
    Response(u16),
    /// The connection was reset: the gateway did not read the request.
    Unread,
    /// The request was read, and the connection was closed without a response.
    Lost,
}

/// Sends the rest of a request at the time `at`, and reads until the outcome is known.
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

/// The outcome after the end of stream: a reset that follows shows that the request arrived at a closed connection.
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

/// A request whose unsent part, `rest`, is sent at the time `at`.
struct RacingRequest {
    client: Client,
    id: String,
    rest: String,
    at: Instant,
}

/// A request that is sent as a whole at the time `at`.
fn racing_request(client: Client, at: Instant) -> RacingRequest {
    let id = unique_id();
    let rest = request(&id, "iso", 3000);
    RacingRequest { client, id, rest, at }
}

/// Times around a moment, at which requests are sent.
fn times_around(moment: Instant) -> impl Iterator<Item = Instant> {
    (0..REQUESTS).map(move |nth| moment - INTERVAL * (REQUESTS / 2) + INTERVAL * nth)
}

/// Sends each request at its time, and checks that none is lost.
async fn send_all(harness: &Harness, requests: Vec<RacingRequest>) -> Vec<Outcome> {
    let sent = requests.into_iter().map(async |r| (r.id, send_at(r.client, r.rest, r.at).await));
    let outcomes = futures::future::join_all(sent).await;
    for (id, outcome) in &outcomes {
        assert_ne!(*outcome, Outcome::Lost, "{id}");
        let attempts = harness.attempts(id);
        assert!(
            attempts == 0 || matches!(outcome, Outcome::Response(_)),
            "{id}: {attempts} attempts, {outcome:?}"
        );
    }
    outcomes.into_iter().map(|(_, outcome)| outcome).collect()
}

/// Whether some requests came before the close and some after it.
fn both_sides(outcomes: &[Outcome]) -> bool {
    let answered = outcomes.iter().filter(|outcome| matches!(outcome, Outcome::Response(_))).count();
    answered > 0 && answered < outcomes.len()
}

/// Repeats a race until requests came on both sides of the close. On a busy machine all requests may come
/// before the close, or all after it; such a run does not test the race. Every repetition checks that no
/// request is lost.
async fn until_both_sides(mut race: impl AsyncFnMut() -> Vec<Vec<Outcome>>) {
    let mut missed = Vec::new();
    while missed.len() < MAX_RACES {
        let outcomes = race().await;
        if outcomes.iter().all(|outcomes| both_sides(outcomes)) {
            return;
        }
        missed.push(outcomes);
    }
    panic!("no race had requests on both sides of the close: {missed:?}");
}

async fn idle_connection(harness: &Harness) -> Client {
    let mut client = harness.client().await;
    assert_eq!(client.exchange(READINESS_CHECK).await.unwrap().status, 200);
    client
}

#[tokio::test]
async fn no_request_is_lost_when_an_unused_new_connection_times_out() {
    until_both_sides(async || {
        let harness = Harness::start(2).await;
        let accepted = Instant::now();
        let mut requests = Vec::new();
        for at in times_around(accepted + FIRST_REQUEST_TIMEOUT + Duration::from_millis(3)) {
            requests.push(racing_request(harness.client().await, at));
        }
        vec![send_all(&harness, requests).await]
    })
    .await;
}

#[tokio::test]
async fn no_request_is_lost_when_a_half_sent_request_times_out() {
    let harness = Harness::start(2).await;
    let began = Instant::now();
    let mut requests = Vec::new();
    for (nth, at) in times_around(began + FIRST_REQUEST_TIMEOUT + Duration::from_millis(8)).enumerate() {
        let client = if nth % 2 == 0 { idle_connection(&harness).await } else { harness.client().await };
        let mut racing = racing_request(client, at);
        let rest = racing.rest.split_off(40);
        racing.client.send(&racing.rest).await;
        requests.push(RacingRequest { rest, ..racing });
    }
    let outcomes = send_all(&harness, requests).await;
    // A request that is completed too late gets a 408, or its rest is not read.
    assert!(
        outcomes.contains(&Outcome::Response(200)) && outcomes.contains(&Outcome::Response(408)),
        "{outcomes:?}"
    );
}

/// Does not check that requests come on both sides of the close.
#[tokio::test]
async fn no_request_is_lost_when_an_idle_connection_is_evicted() {
    let harness = Harness::start_with(2, 96, &[]).await;
    // More connections than slots: for each one that waits, an idle connection is closed.
    let mut waiting = Vec::new();
    let mut requests = Vec::new();
    let idle = Instant::now();
    for at in times_around(idle + CLOSABLE_AFTER + Duration::from_millis(10)).take(24) {
        requests.push(racing_request(idle_connection(&harness).await, at));
    }
    for _ in 0..60 {
        waiting.push(harness.client().await);
    }
    send_all(&harness, requests).await;
}

#[tokio::test]
async fn no_request_is_lost_when_a_shutdown_closes_connections() {
    until_both_sides(async || {
        let harness = Harness::start(2).await;
        let mut old = Vec::new();
        for _ in 0..REQUESTS {
            old.push(idle_connection(&harness).await);
        }
        // Idle connections are closed at the signal.
        let signal = Instant::now() + Duration::from_millis(200);
        let requests: Vec<_> = old
            .into_iter()
            .zip(times_around(signal))
            .map(|(client, at)| racing_request(client, at))
            .collect();
        let mut new = Vec::new();
        for at in times_around(signal + CLOSABLE_AFTER) {
            new.push(racing_request(harness.client().await, at));
        }
        let shutdown = async {
            sleep_until(signal).await;
            harness.signal(Signal::SIGTERM);
        };
        let (old, new, ()) = tokio::join!(send_all(&harness, requests), send_all(&harness, new), shutdown);
        vec![old, new]
    })
    .await;
}

#[tokio::test]
async fn a_request_after_the_last_response_is_not_read() {
    let harness = Harness::start(2).await;
    for closing in ["Connection: close\r\n", "Plan: none\r\n"] {
        let mut requests = Vec::new();
        for _ in 0..10 {
            let mut client = harness.client().await;
            let first = request(&unique_id(), "iso", 3000);
            // A request right after the last response, before the client sees the end of the connection.
            client.send(&first.replace("Plan: iso\r\n", &format!("Plan: iso\r\n{closing}"))).await;
            assert!(matches!(client.response().await.expect("a response").status, 200 | 400));
            requests.push(racing_request(client, Instant::now()));
        }
        let sent = requests.into_iter().map(async |r| (r.id, send_at(r.client, r.rest, r.at).await));
        for (id, outcome) in futures::future::join_all(sent).await {
            assert_eq!(harness.attempts(&id), 0);
            // Bytes after an error response are discarded without a reset, as they cannot be attributed to a request.
            assert!(outcome == Outcome::Unread || closing.starts_with("Plan"), "{outcome:?}");
        }
    }
}
