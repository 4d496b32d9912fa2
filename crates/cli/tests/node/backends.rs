//! Backends and the counter: malformed responses, slow connections, rejections before execution.

use crate::support::{
    ClientResponse, Harness, REUSE_PAUSE, TEST_TIMEOUT, delayed_echo, echo, endpoint_list, request,
    slow_to_connect_backend, store_request, unique_id,
};
use std::collections::HashSet;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use weirusher_fakes::{Reply, http_response};
use weirusher_wire::http1::Request;

/// Checks responses where backends answer the first attempt of each request with `faulty`, and retries correctly.
async fn check_with_faulty_responses(faulty: impl Fn(&Request) -> Reply + Send + Sync + Clone + 'static) {
    let harness = Harness::start(3).await;
    let seen = std::sync::Arc::new(std::sync::Mutex::new(HashSet::new()));
    for backend in &harness.backends {
        let (seen, faulty) = (seen.clone(), faulty.clone());
        backend.set_script(move |request| {
            let id = request.headers.get("x-trace-id").unwrap_or("").to_string();
            if seen.lock().unwrap().insert(id) { faulty(request) } else { echo(request) }
        });
    }
    let mut client = harness.client().await;
    for _ in 0..4 {
        let id = unique_id();
        let ClientResponse { status, body, .. } = client.exchange(&request(&id, "iso", 4000)).await.unwrap();
        assert!(status != 200 || body == format!("done {id}"), "{status} {body}");
        assert!((1..=4).contains(&harness.attempts(&id)));
    }
    // A request that is not idempotent and may have been executed is not retried; 503 would say that it was not
    // executed.
    let unsafe_id = unique_id();
    let ClientResponse { status, .. } = client.exchange(&store_request(&unsafe_id, "x")).await.unwrap();
    assert!(status >= 500 && status != 503, "{status}");
    assert_eq!(harness.attempts(&unsafe_id), 1);
}

#[tokio::test]
async fn garbage_is_not_forwarded_as_a_response() {
    check_with_faulty_responses(|_| Reply::Bytes("\u{1}\u{2}noise\r\n\r\n".into())).await;
}

#[tokio::test]
async fn a_response_with_an_incomplete_head_is_abandoned_early() {
    let began = tokio::time::Instant::now();
    check_with_faulty_responses(|_| Reply::Bytes("HTTP/1.1 200 OK\r\nX-Without: end".into())).await;
    // Without the check of the head, each of the five requests would wait for two seconds.
    assert!(began.elapsed() < Duration::from_secs(6), "{:?}", began.elapsed());
}

#[tokio::test]
async fn a_response_of_three_gigabytes_is_abandoned_after_its_head() {
    check_with_faulty_responses(|_| {
        Reply::Bytes(
            format!("HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n{}", "x".repeat(90_000)).into(),
        )
    })
    .await;
}

#[tokio::test]
async fn a_truncated_response_is_not_forwarded() {
    check_with_faulty_responses(|_| {
        Reply::BytesThenClose("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhal".into())
    })
    .await;
}

/// A response without Content-Length, whose body ends when the connection is closed.
fn response_without_length(request: &Request) -> String {
    format!("HTTP/1.1 200 OK\r\n\r\ndone {}", request.headers.get("x-trace-id").unwrap_or(""))
}

#[tokio::test]
async fn a_response_without_a_length_that_is_reset_is_not_forwarded() {
    check_with_faulty_responses(|request| Reply::BytesThenReset(response_without_length(request).into()))
        .await;
}

#[tokio::test]
async fn a_response_without_a_length_ends_with_its_connection() {
    let harness = Harness::start(1).await;
    let mut client = harness.client().await;
    harness.backends[0].set_script(|request| Reply::BytesThenClose(response_without_length(request).into()));
    for n in 1..=3 {
        let id = unique_id();
        assert_eq!(client.exchange(&store_request(&id, "x")).await.unwrap().body, format!("done {id}"));
        assert_eq!((harness.attempts(&id), harness.backends[0].accepted_connections()), (1, n));
    }
}

#[tokio::test]
async fn chunked_responses_are_forwarded_and_keep_their_connection() {
    let harness = Harness::start(1).await;
    let mut client = harness.client().await;
    harness.backends[0].set_script(|request| {
        let (one, other) = ("done ", request.headers.get("x-trace-id").unwrap_or(""));
        let chunks = format!("{:x}\r\n{one}\r\n{:x};x=y\r\n{other}\r\n0\r\n\r\n", one.len(), other.len());
        Reply::Bytes(format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}").into())
    });
    harness.counter.set_script(|_| {
        Reply::Bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n7\r\n0\r\n\r\n".into())
    });
    for _ in 0..3 {
        let id = unique_id();
        assert_eq!(client.exchange(&request(&id, "iso", 3000)).await.unwrap().body, format!("done {id}"));
        tokio::time::sleep(REUSE_PAUSE).await;
    }
    assert_eq!((harness.backends[0].accepted_connections(), harness.counter.accepted_connections()), (1, 1));
}

/// The client gets an error once its deadline has passed.
#[tokio::test]
async fn a_response_that_is_sent_slowly_does_not_outlast_the_deadline() {
    let harness = Harness::start(1).await;
    let pause = Duration::from_millis(20);
    harness.backends[0].set_script(move |request| match echo(request) {
        Reply::Bytes(bytes) => {
            Reply::Trickle(pause, [&bytes[..15], &[b' '; 400], &bytes[15..]].concat().into())
        }
        other => other,
    });
    let (deadline, mut client) = (1000, harness.client().await);
    let sent = tokio::time::Instant::now();
    let ClientResponse { status, .. } =
        client.exchange(&store_request(&unique_id(), "x").replace("3000m", "1000m")).await.unwrap();
    assert!(status >= 500 && status != 503, "503 would say that it was not executed: {status}");
    assert!(sent.elapsed() < 5 * Duration::from_millis(deadline), "{:?}", sent.elapsed());
    // A slow response that is complete in time is forwarded.
    harness.backends[0].set_script(|request| match echo(request) {
        Reply::Bytes(bytes) => Reply::Trickle(Duration::from_millis(2), bytes),
        other => other,
    });
    let id = unique_id();
    assert_eq!(client.exchange(&request(&id, "iso", 20_000)).await.unwrap().body, format!("done {id}"));
}

#[tokio::test]
async fn a_response_with_two_lengths_is_not_forwarded() {
    check_with_faulty_responses(|_| {
        Reply::Bytes("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nokk".into())
    })
    .await;
}

#[tokio::test]
async fn bytes_after_a_valid_response_close_only_the_connection() {
    let harness = Harness::start(1).await;
    harness.backends[0].set_script(|request| match echo(request) {
        Reply::Bytes(bytes) => Reply::Bytes([&bytes[..], &bytes[..]].concat().into()),
        other => other,
    });
    let mut client = harness.client().await;
    for n in 1..=5 {
        let id = unique_id();
        assert_eq!(client.exchange(&request(&id, "iso", 3000)).await.unwrap().body, format!("done {id}"));
        assert_eq!(harness.backends[0].accepted_connections(), n, "each request must use a new connection");
    }
}

/// The duplicate arrives some milliseconds after the response.
#[tokio::test]
async fn a_late_duplicate_response_is_not_forwarded() {
    let harness = Harness::start(1).await;
    harness.backends[0].set_script(|request| match echo(request) {
        Reply::Bytes(bytes) => Reply::Duplicate(Duration::from_millis(5), bytes),
        other => other,
    });
    let mut client = harness.client().await;
    // Each request is sent right after the response to the one before, whose duplicate has not arrived yet.
    for _ in 0..20 {
        let id = unique_id();
        assert_eq!(client.exchange(&request(&id, "iso", 3000)).await.unwrap().body, format!("done {id}"));
    }
}

#[tokio::test]
async fn a_rejection_before_execution_is_retried_at_another_backend() {
    let harness = Harness::start(2).await;
    harness.backends[0].set_script(|_| Reply::Bytes(http_response(503, "X-Never-Ran: 1\r\n", "")));
    let mut client = harness.client().await;
    for _ in 0..6 {
        let id = unique_id();
        assert_eq!(client.exchange(&store_request(&id, "x")).await.unwrap().body, format!("done {id}"));
        assert!(harness.attempts(&id) <= 2);
    }
}

/// The drain begins while the gateway is still connecting to the backend.
#[tokio::test]
async fn no_request_is_sent_on_a_connection_to_a_draining_backend() {
    let (late, waiting) = slow_to_connect_backend();
    let address = late.local_addr().unwrap();
    let harness = Harness::start_with(1, 256, &[("s-late", address)]).await;
    harness.backends[0].set_script(delayed_echo(300));
    // The backend with the fewest attempts in flight is selected: of two requests, one waits for the slow connection.
    let mut clients = Vec::new();
    for _ in 0..2 {
        let mut client = harness.client().await;
        client.send(&request(&unique_id(), "iso", 9000)).await;
        clients.push(client);
    }
    harness.backends[0].wait_for_requests(1).await;
    let own = harness.backends[0].address;
    harness
        .discovery
        .set_list(3, endpoint_list(3, &[("s-0", own, "SERVING"), ("s-late", address, "DRAINING")]));
    harness.discovery.wait_until_list_received(3).await;
    // From here on connections to it are established, some only when the kernel retransmits the SYN.
    let before = waiting.len();
    drop(waiting);
    let received = tokio::spawn(async move {
        for nth in 0.. {
            let Ok((mut stream, _)) = late.accept().await else { return };
            let mut bytes = [0; 64];
            if matches!(stream.read(&mut bytes).await, Ok(1..)) {
                panic!("connection {nth} after {before} got {}", String::from_utf8_lossy(&bytes));
            }
        }
    });
    for mut client in clients {
        assert_eq!(client.response().await.unwrap().status, 200);
    }
    assert_eq!(
        harness.backends[0].received().len(),
        2,
        "both requests must go to the backend that does not drain"
    );
    assert!(!received.is_finished(), "the draining backend received a request");
}

/// The connection for the first attempt is established after the hedged request was answered; it may serve later
/// requests.
#[tokio::test]
async fn an_answered_request_is_not_sent_on_a_late_connection() {
    let (late, waiting) = slow_to_connect_backend();
    let address = late.local_addr().unwrap();
    // Hedged requests are sent after 1.6 s; the kernel retries a connect that is still pending after 3 s.
    let longer_objective =
        |text: String| text.replace(r#""Name":"check","Slo":2.0"#, r#""Name":"check","Slo":4.0"#);
    let harness = Harness::start_with_config(1, 256, &[], longer_objective).await;
    let own = harness.backends[0].address;
    // Successful responses fill the hedging budget; the slow backend is listed from then on.
    let mut client = harness.client().await;
    for _ in 0..60 {
        assert_eq!(client.exchange(&request(&unique_id(), "iso", 9000)).await.unwrap().status, 200);
    }
    harness
        .discovery
        .set_list(3, endpoint_list(3, &[("s-0", own, "SERVING"), ("s-late", address, "SERVING")]));
    harness.discovery.wait_until_list_received(3).await;
    harness.backends[0].set_script(delayed_echo(300));
    // Some of these requests are assigned to the slow backend; their hedged requests are served by the other one.
    let mut clients = Vec::new();
    for _ in 0..4 {
        clients.push((unique_id(), harness.client().await));
    }
    for (id, client) in &mut clients {
        client.send(&request(id, "iso", 9000)).await;
    }
    for (id, client) in &mut clients {
        assert_eq!(client.response().await.unwrap().body, format!("done {id}"));
    }
    let others: Vec<_> = waiting.iter().map(|stream| stream.local_addr().unwrap()).collect();
    drop(waiting);
    // One of the gateway's connections is established. A faulty gateway would send the answered request on it.
    let established = async {
        loop {
            let (stream, peer) = late.accept().await.unwrap();
            if !others.contains(&peer) {
                return stream;
            }
        }
    };
    let connection =
        tokio::time::timeout(TEST_TIMEOUT, established).await.expect("a connection of the gateway");
    harness
        .discovery
        .set_list(4, endpoint_list(4, &[("s-0", own, "DRAINING"), ("s-late", address, "SERVING")]));
    harness.discovery.wait_until_list_received(4).await;
    client.send(&request(&unique_id(), "iso", 9000)).await;
    // The first bytes on it, or on any later connection, belong to the next request.
    let mut reads = tokio::task::JoinSet::new();
    reads.spawn(first_bytes(connection));
    let received = async {
        loop {
            tokio::select! {
                accepted = late.accept() => { reads.spawn(first_bytes(accepted.unwrap().0)); }
                Some(read) = reads.join_next() => {
                    let (text, stream) = read.unwrap();
                    if !text.is_empty() {
                        return (text, stream);
                    }
                }
            }
        }
    };
    let (received, _stream) = tokio::time::timeout(TEST_TIMEOUT, received).await.expect("the next request");
    assert!(clients.iter().all(|(answered, _)| !received.contains(answered)), "{received}");
}

/// The first bytes received on a connection; empty if it ends without any.
async fn first_bytes(mut stream: TcpStream) -> (String, TcpStream) {
    let mut bytes = [0; 1024];
    let length = stream.read(&mut bytes).await.unwrap_or(0);
    (String::from_utf8_lossy(&bytes[..length]).into_owned(), stream)
}

/// Seconds for which the backends of a group remember an idempotency key.
const WINDOW: f64 = 2.0;

/// The retry is decided on within the window, but its connection is established only after the window.
#[tokio::test]
async fn no_retry_is_sent_after_its_idempotency_window() {
    let (late, waiting) = slow_to_connect_backend();
    let address = late.local_addr().unwrap();
    let keyed = format!(
        r#"{{"Name":"pay","Effect":"deduplicated","Group":"zone","Window":{WINDOW},"Slo":20.0}},{{"Effect""#
    );
    let harness =
        Harness::start_with_config(1, 256, &[], |text| text.replacen(r#"{"Effect""#, &keyed, 1)).await;
    // The first attempt may have been executed. The second backend is listed from then on, and its connections are
    // slow.
    let (open, gate) = watch::channel(false);
    harness.backends[0].set_script(move |_| Reply::Gated(gate.clone(), http_response(500, "", "")));
    let (paid, mut client) = (unique_id(), harness.client().await);
    let sent = std::time::Instant::now();
    client
        .send(&store_request(&paid, "x").replace("X-Qos: store", "X-Qos: pay").replace("3000m", "20000m"))
        .await;
    harness.backends[0].wait_for_requests(1).await;
    let own = harness.backends[0].address;
    harness
        .discovery
        .set_list(3, endpoint_list(3, &[("s-0", own, "SERVING"), ("s-late", address, "SERVING")]));
    harness.discovery.wait_until_list_received(3).await;
    open.send(true).unwrap();
    assert!(sent.elapsed().as_secs_f64() < WINDOW, "the retry is decided on within its window");
    tokio::time::sleep(Duration::from_secs_f64(WINDOW)).await;
    drop(waiting);
    let received = async {
        loop {
            let (mut stream, _) = late.accept().await.unwrap();
            let mut bytes = [0; 64];
            if matches!(stream.read(&mut bytes).await, Ok(1..)) {
                return String::from_utf8_lossy(&bytes).into_owned();
            }
        }
    };
    tokio::select! {
        answer = client.response() => assert!(answer.unwrap().status >= 500, "it may have been executed"),
        bytes = received => panic!("the request was executed twice: {bytes}"),
    }
}

#[tokio::test]
async fn a_counter_with_incomplete_responses_delays_no_request() {
    let harness = Harness::start(1).await;
    harness.counter.set_script(|_| Reply::Bytes("HTTP/1.1 200 OK\r\nX-Without: end".into()));
    let mut client = harness.client().await;
    for _ in 0..5 {
        let began = tokio::time::Instant::now();
        assert_eq!(client.exchange(&request(&unique_id(), "iso", 3000)).await.unwrap().status, 200);
        assert!(began.elapsed() < Duration::from_secs(2));
    }
}

#[tokio::test]
async fn a_counter_response_that_has_begun_is_awaited() {
    let timeout = Duration::from_secs(2);
    let two_seconds = |text: String| text.replace(r#""CountLimit":0.5"#, r#""CountLimit":2.0"#);
    let harness = Harness::start_with_config(1, 256, &[], two_seconds).await;
    let (open, gate) = watch::channel(false);
    harness.counter.set_script(move |_| {
        let response = http_response(200, "", "1");
        Reply::GatedRest(response.slice(..12), gate.clone(), response.slice(12..))
    });
    let mut client = harness.client().await;
    assert_eq!(client.exchange(&request(&unique_id(), "iso", 20_000)).await.unwrap().status, 200);
    harness.counter.wait_for_requests(1).await;
    // After the timeout, and well within the second timeout that a response gets once it has begun.
    tokio::time::sleep(timeout * 5 / 4).await;
    open.send(true).unwrap();
    // Each customer has one call in flight at a time: a second call shows that the first one has ended.
    while harness.counter.received().len() < 2 {
        assert_eq!(client.exchange(&request(&unique_id(), "iso", 20_000)).await.unwrap().status, 200);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(harness.counter.received()[1].connection, 1, "the connection must be reused");
}
