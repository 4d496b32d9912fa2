//! Connections and requests of clients: complete, incomplete, malformed, slow, and closed early.

use crate::support::{
    Client, ClientResponse, Harness, REUSE_PAUSE, TEST_TIMEOUT, delayed_echo, echo, request,
    slow_to_connect_backend, store_request, unique_id,
};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::watch;
use weirusher_fakes::{Reply, ScriptedServer, http_response};

/// Delay of a hedged request: 0.4 of the class's latency objective.
const HEDGE_DELAY: Duration = Duration::from_millis(800);
/// Time after a client's close within which an attempt may still arrive.
const CLOSE_SLACK: Duration = Duration::from_millis(100);

#[tokio::test]
async fn a_request_is_forwarded_unchanged_and_gets_its_own_response() {
    let harness = Harness::start(2).await;
    let mut client = harness.client().await;
    for _ in 0..20 {
        let id = unique_id();
        let ClientResponse { status, body, .. } = client.exchange(&request(&id, "iso", 3000)).await.unwrap();
        assert_eq!((status, body), (200, format!("done {id}")));
        assert_eq!(harness.attempts(&id), 1);
        tokio::time::sleep(REUSE_PAUSE).await;
    }
    let id = unique_id();
    assert_eq!(client.exchange(&store_request(&id, "essay")).await.unwrap().status, 200);
    let received: Vec<_> = harness.backends.iter().flat_map(ScriptedServer::received).collect();
    let stored = received.iter().find(|c| c.request.headers.get("x-trace-id") == Some(&id)).unwrap();
    assert_eq!((&*stored.request.method, &*stored.request.body), ("POST", &b"essay"[..]));
    assert!(
        received
            .iter()
            .filter(|c| c.request.method == "GET")
            .all(|c| c.request.path == "/api/00000000b4d65521?a=b")
    );
    let connections: u64 = harness.backends.iter().map(ScriptedServer::accepted_connections).sum();
    assert!(connections <= 2, "connections must be reused, but {connections} were opened");
}

#[tokio::test]
async fn a_chunked_body_is_forwarded_complete() {
    let harness = Harness::start(1).await;
    let mut client = harness.client().await;
    client.0.set_nodelay(true).unwrap();
    // Sent in pieces of this many bytes.
    for piece in [1, 3, 11, 4096] {
        let id = unique_id();
        let chunks = "2\r\nes\r\n3;name=value\r\nsay\r\n0\r\nX-Digest: 1\r\n\r\n";
        let head = store_request(&id, "").replace("Content-Length: 0", "Transfer-ENCODING:   chunked ");
        // A pipelined request follows, which is not part of the body.
        let (next, text) = (request(&unique_id(), "iso", 3000), format!("{head}{chunks}"));
        for part in format!("{text}{next}").as_bytes().chunks(piece) {
            client.0.write_all(part).await.unwrap();
        }
        assert_eq!(client.response().await.unwrap().body, format!("done {id}"));
        assert_eq!(client.response().await.unwrap().status, 200);
        let received: Vec<_> = harness.backends[0].received();
        let stored = received.iter().find(|c| c.request.headers.get("x-trace-id") == Some(&id)).unwrap();
        assert_eq!(&*stored.request.body, b"essay");
    }
    for (chunks, status) in [("x\r\n", 400), ("100001\r\n", 413), ("2\r\nessay\r\n", 400)] {
        let head = store_request("bad-1", "").replace("Content-Length: 0", "Transfer-Encoding: chunked");
        let answer = harness.client().await.exchange(&format!("{head}{chunks}")).await.unwrap();
        assert_eq!(answer.status, status, "{chunks}");
    }
    assert_eq!(harness.attempts("bad-1"), 0);
}

#[tokio::test]
async fn a_client_that_expects_100_continue_gets_it() {
    let harness = Harness::start(1).await;
    let (id, mut client) = (unique_id(), harness.client().await);
    let text = store_request(&id, "essay").replace("X-Qos", "Expect: 100-Continue\r\nX-Qos");
    let (head, body) = text.split_at(text.len() - 5);
    client.send(head).await;
    let mut interim = [0; 25];
    tokio::time::timeout(TEST_TIMEOUT, client.0.read_exact(&mut interim))
        .await
        .expect("the interim response")
        .unwrap();
    assert_eq!(&interim, b"HTTP/1.1 100 Continue\r\n\r\n");
    assert_eq!(client.exchange(body).await.unwrap().body, format!("done {id}"));
    // A client that sends its body without waiting, or whose request is rejected, gets only the final response.
    let at_once = store_request(&unique_id(), "essay").replace("X-Qos", "Expect: 100-continue\r\nX-Qos");
    assert_eq!(client.exchange(&at_once).await.unwrap().status, 200);
    let bad = head.replace("Plan: iso", "Plan: gold");
    assert_eq!(client.exchange(&bad).await.unwrap().status, 400);
}

#[tokio::test]
async fn long_bodies_are_forwarded_in_both_directions() {
    let harness = Harness::start(1).await;
    let (long, mut client) = ("x".repeat(400_000), harness.client().await);
    harness.backends[0].set_script(|request| Reply::ok(&"y".repeat(request.body.len() + 1)));
    let in_chunks = |id: &str| {
        let head = store_request(id, "").replace("Content-Length: 0", "Transfer-Encoding: chunked");
        format!("{head}{:x}\r\n{long}\r\n0\r\n\r\n", long.len())
    };
    for text in [store_request(&unique_id(), &long), in_chunks(&unique_id())] {
        let ClientResponse { status, body, .. } = client.exchange(&text).await.unwrap();
        assert_eq!((status, body.len()), (200, long.len() + 1));
    }
    assert!(harness.backends[0].received().iter().all(|received| received.request.body == long));
}

/// Bodies are counted by the bytes received, not by their announced length.
#[tokio::test]
async fn buffered_bodies_are_bounded_in_total() {
    let small = |text: String| text.replace(r#""memory_mb":64"#, r#""memory_mb":16"#);
    let harness = Harness::start_with_config(1, 256, &[], small).await;
    let (open, gate) = watch::channel(false);
    harness.backends[0].set_script(move |_| Reply::Gated(gate.clone(), http_response(200, "", "")));
    // Bodies that are announced but not sent use none of the byte budget, which is a fifth of 16 MB.
    let mut announcing = Vec::new();
    for _ in 0..40 {
        let mut client = harness.client().await;
        client
            .send(&store_request(&unique_id(), "").replace("Content-Length: 0", "Content-Length: 1048576"))
            .await;
        announcing.push(client);
    }
    let mut clients = Vec::new();
    let rejected = loop {
        let mut client = harness.client().await;
        client.send(&store_request(&unique_id(), &"x".repeat(1 << 20))).await;
        tokio::select! {
            answer = client.response() => break answer.unwrap(),
            () = harness.backends[0].wait_for_requests(clients.len() + 1) => clients.push(client),
        }
    };
    assert_eq!((rejected.status, clients.len()), (503, 3));
    open.send(true).unwrap();
    for mut client in clients {
        assert_eq!(client.response().await.unwrap().status, 200);
    }
    assert_eq!(
        harness
            .client()
            .await
            .exchange(&store_request(&unique_id(), &"x".repeat(1 << 20)))
            .await
            .unwrap()
            .status,
        200
    );
}

#[tokio::test]
async fn a_request_beyond_the_quota_is_rejected_with_retry_after() {
    let harness = Harness::start(1).await;
    let mut client = harness.client().await;
    let mut rejected = None;
    for _ in 0..5 {
        let answer = client.exchange(&request(&unique_id(), "tiny", 60_000)).await.unwrap();
        rejected = rejected.or((answer.status != 200).then_some(answer));
    }
    let ClientResponse { status, head, .. } = rejected.expect("four of five exceed the quota");
    assert_eq!(status, 429);
    assert!(head.contains("retry-after: "), "{head}");
}

/// The client gets an error response, and its connection is closed.
#[tokio::test]
async fn a_malformed_request_is_not_forwarded() {
    let harness = Harness::start(1).await;
    let good = request("bad-1", "iso", 3000);
    for (bad, status) in [
        ("nonsense\r\n\r\n".to_string(), 400),
        (good.replace("Plan: iso", "Plan: gold"), 400),
        (good.replace("Host: backend.local", "Content-Length: 4\r\nTransfer-Encoding: chunked"), 400),
        (good.replace("Host: backend.local", "Content-Length: 4"), 405),
        (good.replace("Host: backend.local", "Content-Length: 60000000"), 413),
        (format!("GET / HTTP/1.1\r\nX: {}", "a".repeat(20_000)), 431),
    ] {
        let mut client = harness.client().await;
        let answer = client.exchange(&bad).await.unwrap_or_else(|| panic!("{bad:.80}"));
        assert_eq!(answer.status, status, "{bad:.80}");
        client.wait_for_close().await;
    }
    assert_eq!(harness.attempts("bad-1"), 0);
    // Other connections are not affected.
    assert_eq!(
        harness.client().await.exchange(&request(&unique_id(), "iso", 3000)).await.unwrap().status,
        200
    );
}

/// Only the second request is rejected; the pending one with the same id is served.
#[tokio::test]
async fn a_request_with_the_id_of_a_pending_one_is_rejected() {
    let harness = Harness::start(1).await;
    harness.backends[0].set_script(delayed_echo(300));
    let id = unique_id();
    let mut first = harness.client().await;
    first.send(&request(&id, "iso", 3000)).await;
    harness.backends[0].wait_for_requests(1).await;
    assert_eq!(harness.client().await.exchange(&request(&id, "iso", 3000)).await.unwrap().status, 409);
    assert_eq!(first.response().await.unwrap().body, format!("done {id}"));
    assert_eq!(harness.attempts(&id), 1);
}

/// The gateway closes such connections within three seconds; the test allows ten.
#[tokio::test]
async fn silent_connections_and_incomplete_requests_are_closed() {
    let harness = Harness::start(1).await;
    let (mut silent, mut incomplete) = (harness.client().await, harness.client().await);
    incomplete.send("GET /api/00000000b4d65521 HTTP/1.1\r\nX-Tr").await;
    let began = tokio::time::Instant::now();
    silent.wait_for_close().await;
    incomplete.wait_for_close().await;
    assert!(began.elapsed() < Duration::from_secs(10), "{:?}", began.elapsed());
}

/// A client with a small receive buffer.
async fn client_with_small_buffer(harness: &Harness) -> Client {
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    Client(socket.connect(harness.listen).await.unwrap())
}

/// Guards against clients that hold a connection slot for ever by not reading.
#[tokio::test]
async fn a_client_that_does_not_read_responses_is_closed() {
    let harness = Harness::start(1).await;
    harness.backends[0].set_script(|_| Reply::ok(&"x".repeat(60_000)));
    let mut client = client_with_small_buffer(&harness).await;
    // Sends more requests than the buffers hold responses, until the gateway closes the connection.
    let send_requests = async {
        for _ in 0..100_000 {
            if client.0.write_all(request(&unique_id(), "iso", 20_000).as_bytes()).await.is_err() {
                return;
            }
        }
        panic!("all requests were sent and the connection is still open");
    };
    tokio::time::timeout(TEST_TIMEOUT, send_requests).await.expect("the gateway closes the connection");
}

/// Closing a socket with unread bytes resets the connection, which discards a response that is still in flight.
#[tokio::test]
async fn a_close_with_unread_bytes_loses_no_response() {
    let harness = Harness::start(1).await;
    harness.backends[0].set_script(|_| Reply::ok(&"x".repeat(60_000)));
    for _ in 0..4 {
        let mut client = client_with_small_buffer(&harness).await;
        let last = request(&unique_id(), "iso", 3000).replace("X-Qos", "Connection: close\r\nX-Qos");
        client.send(&last).await;
        client.send(&"y".repeat(100_000)).await;
        // The client starts to read only after the gateway has filled the buffers.
        tokio::time::sleep(Duration::from_millis(50)).await;
        let answer = client.response().await.expect("a complete response");
        assert_eq!((answer.status, answer.body.len()), (200, 60_000));
    }
}

/// A gateway with two backends that reject requests before execution once the gate is opened.
async fn start_with_rejecting_backends() -> (Harness, watch::Sender<bool>) {
    let harness = Harness::start(2).await;
    let (open, gate) = watch::channel(false);
    for backend in &harness.backends {
        let gate = gate.clone();
        backend.set_script(move |_| Reply::Gated(gate.clone(), http_response(503, "X-Never-Ran: 1\r\n", "")));
    }
    (harness, open)
}

/// Waits until one of the backends has received a request.
async fn wait_until_forwarded(harness: &Harness) {
    let [one, other] = &harness.backends[..] else { panic!("two backends") };
    tokio::select! {
        () = one.wait_for_requests(1) => {}
        () = other.wait_for_requests(1) => {}
    }
}

/// Checks that a request is not retried when its backend rejects it after its client has closed.
async fn assert_not_retried(harness: &Harness, open: watch::Sender<bool>, closed_request: &str) {
    // The attempt's connection is closed together with its client.
    harness.backends.iter().for_each(|backend| backend.set_script(echo));
    for _ in 0..4 {
        assert_eq!(
            harness.client().await.exchange(&request(&unique_id(), "iso", 9000)).await.unwrap().status,
            200
        );
    }
    let _ = open.send(true); // Fails if all attempts have ended already.
    for _ in 0..8 {
        assert_eq!(
            harness.client().await.exchange(&request(&unique_id(), "iso", 9000)).await.unwrap().status,
            200
        );
    }
    assert_eq!(harness.attempts(closed_request), 1);
}

#[tokio::test]
async fn no_retry_is_sent_for_a_client_that_has_closed() {
    // The client half-closes its connection (0), closes it (1) or resets it (2).
    for how in 0..3 {
        let (harness, open) = start_with_rejecting_backends().await;
        let (id, mut client) = (unique_id(), harness.client().await);
        client.send(&request(&id, "iso", 9000)).await;
        wait_until_forwarded(&harness).await;
        match how {
            0 => client.0.shutdown().await.unwrap(),
            1 => {}
            _ => client.0.set_zero_linger().unwrap(),
        }
        if how > 0 {
            drop(client);
        } else {
            // The gateway drops the request and closes the connection too.
            assert_eq!(client.response().await, None);
        }
        assert_not_retried(&harness, open, &id).await;
    }
}

#[tokio::test]
async fn the_close_of_a_client_that_sends_a_flood_is_noticed() {
    let (harness, open) = start_with_rejecting_backends().await;
    let (request_id, mut client) = (unique_id(), harness.client().await);
    client.send(&request(&request_id, "iso", 9000)).await;
    wait_until_forwarded(&harness).await;
    // Complete pipelined requests of far more bytes than the gateway reads ahead.
    let flood: Vec<String> = (0..200).map(|_| unique_id()).collect();
    let requests: String = flood.iter().map(|id| request(id, "iso", 9000)).collect();
    client.send(&requests).await;
    drop(client);
    assert_not_retried(&harness, open, &request_id).await;
    let sent = flood.iter().filter(|id| harness.attempts(id) > 0).count();
    assert_eq!(sent, 0, "requests of the closed client were forwarded");
}

/// The client closes while the gateway is still connecting to the backend.
#[tokio::test]
async fn a_client_that_closes_during_a_connect_is_not_forwarded() {
    let (late, waiting) = slow_to_connect_backend();
    let harness = Harness::start_with(0, 256, &[("s-late", late.local_addr().unwrap())]).await;
    let (closed_request, mut client) = (unique_id(), harness.client().await);
    client.send(&request(&closed_request, "iso", 9000)).await;
    client.0.shutdown().await.unwrap();
    assert_eq!(client.response().await, None, "a closed client has no pending request");
    drop(waiting);
    let (stays, mut client) = (unique_id(), harness.client().await);
    client.send(&request(&stays, "iso", 9000)).await;
    let received = async {
        loop {
            let (mut stream, _) = late.accept().await.unwrap();
            let mut bytes = [0; 1024];
            // The other connections filled the backlog, or were abandoned by the gateway.
            if let Ok(length @ 1..) = stream.read(&mut bytes).await {
                return String::from_utf8_lossy(&bytes[..length]).into_owned();
            }
        }
    };
    let first =
        tokio::time::timeout(TEST_TIMEOUT, received).await.expect("the request of the client that stays");
    assert!(first.contains(&stays) && !first.contains(&closed_request), "{first}");
}

#[tokio::test]
async fn a_client_that_closes_during_a_counter_call_is_not_forwarded() {
    // The limit is so long that calls to the counter do not time out during the test.
    let long_timeout = |text: String| text.replace(r#""CountLimit":0.5"#, r#""CountLimit":50.0"#);
    let harness = Harness::start_with_config(1, 256, &[], long_timeout).await;
    let (open, gate) = watch::channel(false);
    harness.counter.set_script(move |_| Reply::Gated(gate.clone(), http_response(200, "", "1")));
    // The first request is admitted by the fallback limit while a lease is requested; the next one waits for the lease.
    let (closed_request, mut client) = (unique_id(), harness.client().await);
    assert_eq!(client.exchange(&request(&unique_id(), "iso", 200_000)).await.unwrap().status, 200);
    client.send(&request(&closed_request, "iso", 200_000)).await;
    client.0.shutdown().await.unwrap();
    assert_eq!(client.response().await, None, "a closed client has no pending request");
    let (stays, mut other) = (unique_id(), harness.client().await);
    other.send(&request(&stays, "iso", 200_000)).await;
    harness.counter.wait_for_requests(1).await;
    open.send(true).unwrap();
    assert_eq!(other.response().await.unwrap().body, format!("done {stays}"));
    assert_eq!(harness.attempts(&closed_request), 0);
}

#[tokio::test]
async fn no_hedged_request_begins_for_a_client_that_has_closed() {
    let harness = Harness::start(2).await;
    harness.backends.iter().for_each(|backend| backend.set_script(|_| Reply::NoReply));
    let close_client = async |before: u64, how: usize| {
        let (id, mut client) = (unique_id(), harness.client().await);
        client.send(&request(&id, "iso", 3000)).await;
        while harness.attempts(&id) == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        tokio::time::sleep(HEDGE_DELAY - Duration::from_millis(before)).await;
        let closed = Instant::now();
        match how {
            0 => drop(client),
            1 => client.0.shutdown().await.unwrap(),
            _ => client.0.set_zero_linger().unwrap(),
        }
        (id, closed)
    };
    // Closes in the last milliseconds before the hedged request is due; few enough clients at a time for all to be
    // admitted.
    let mut hedged = 0;
    for before in [40, 12, 6, 3, 1, 0] {
        let clients = futures::future::join_all((0..3).map(|how| close_client(before, how))).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        for (id, closed) in clients {
            let received: Vec<_> = harness.backends.iter().flat_map(ScriptedServer::received).collect();
            let mine =
                received.iter().filter(|received| received.request.headers.get("x-trace-id") == Some(&id));
            let late = mine.clone().filter(|received| received.received_at > closed + CLOSE_SLACK).count();
            assert_eq!(late, 0, "closed {before} ms before the hedged request was due");
            hedged += mine.count() - 1;
        }
    }
    assert!(hedged < 18, "no client closed before its hedged request began");
}
