//! Clients' connections and requests: complete, incomplete, malformed, slow, closed.

use crate::support::{
    Client, ClientResponse, LIMIT, REUSE_PAUSE, Site, delayed_echo, echo, id, request,
    slow_to_connect_backend, store,
};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::watch;
use weirusher_fakes::{Reply, ScriptedServer, frame};

/// When a hedged request is sent: 0.4 of the latency objective.
const HEDGE_DELAY: Duration = Duration::from_millis(800);
/// How long after a client's close an attempt may still begin.
const CLOSE_SLACK: Duration = Duration::from_millis(100);

#[tokio::test]
async fn a_request_is_forwarded_unchanged_and_gets_its_own_response() {
    let site = Site::start(2).await;
    let mut client = site.client().await;
    for _ in 0..20 {
        let id = id();
        let ClientResponse { status, body, .. } = client.exchange(&request(&id, "iso", 3000)).await.unwrap();
        assert_eq!((status, body), (200, format!("done {id}")));
        assert_eq!(site.attempts(&id), 1);
        tokio::time::sleep(REUSE_PAUSE).await;
    }
    let id = id();
    assert_eq!(client.exchange(&store(&id, "essay")).await.unwrap().status, 200);
    let received: Vec<_> = site.backends.iter().flat_map(ScriptedServer::received).collect();
    let stored = received.iter().find(|c| c.request.headers.get("x-trace-id") == Some(&id)).unwrap();
    assert_eq!((&*stored.request.method, &*stored.request.body), ("POST", &b"essay"[..]));
    assert!(
        received
            .iter()
            .filter(|c| c.request.method == "GET")
            .all(|c| c.request.path == "/api/00000000b4d65521?a=b")
    );
    let connections: u64 = site.backends.iter().map(ScriptedServer::connections).sum();
    assert!(connections <= 2, "pooled: {connections}");
}

#[tokio::test]
async fn a_chunked_body_is_forwarded_complete_however_its_bytes_arrive() {
    let site = Site::start(1).await;
    let mut client = site.client().await;
    client.0.set_nodelay(true).unwrap();
    for piece in [1, 3, 11, 4096] {
        let id = id();
        let chunks = "2\r\nes\r\n3;name=value\r\nsay\r\n0\r\nX-Digest: 1\r\n\r\n";
        let head = store(&id, "").replace("Content-Length: 0", "Transfer-ENCODING:   chunked ");
        // Another request follows it, which is no part of the body.
        let (next, text) = (request(&self::id(), "iso", 3000), format!("{head}{chunks}"));
        for part in format!("{text}{next}").as_bytes().chunks(piece) {
            client.0.write_all(part).await.unwrap();
        }
        assert_eq!(client.response().await.unwrap().body, format!("done {id}"));
        assert_eq!(client.response().await.unwrap().status, 200);
        let received: Vec<_> = site.backends[0].received();
        let stored = received.iter().find(|c| c.request.headers.get("x-trace-id") == Some(&id)).unwrap();
        assert_eq!(&*stored.request.body, b"essay");
    }
    for (chunks, status) in [("x\r\n", 400), ("100001\r\n", 413), ("2\r\nessay\r\n", 400)] {
        let head = store("bad-1", "").replace("Content-Length: 0", "Transfer-Encoding: chunked");
        let answer = site.client().await.exchange(&format!("{head}{chunks}")).await.unwrap();
        assert_eq!(answer.status, status, "{chunks}");
    }
    assert_eq!(site.attempts("bad-1"), 0);
}

#[tokio::test]
async fn a_client_that_expects_100_continue_gets_it() {
    let site = Site::start(1).await;
    let (id, mut client) = (id(), site.client().await);
    let text = store(&id, "essay").replace("X-Qos", "Expect: 100-Continue\r\nX-Qos");
    let (head, body) = text.split_at(text.len() - 5);
    client.send(head).await;
    let mut notified = [0; 25];
    tokio::time::timeout(LIMIT, client.0.read_exact(&mut notified)).await.expect("it is notified").unwrap();
    assert_eq!(&notified, b"HTTP/1.1 100 Continue\r\n\r\n");
    assert_eq!(client.exchange(body).await.unwrap().body, format!("done {id}"));
    // A client that sends its body without waiting, or is rejected, gets the final response only.
    let at_once = store(&self::id(), "essay").replace("X-Qos", "Expect: 100-continue\r\nX-Qos");
    assert_eq!(client.exchange(&at_once).await.unwrap().status, 200);
    let bad = head.replace("Plan: iso", "Plan: gold");
    assert_eq!(client.exchange(&bad).await.unwrap().status, 400);
}

#[tokio::test]
async fn long_bodies_are_forwarded_in_both_directions() {
    let site = Site::start(1).await;
    let (long, mut client) = ("x".repeat(400_000), site.client().await);
    site.backends[0].set_script(|request| Reply::ok(&"y".repeat(request.body.len() + 1)));
    let in_chunks = |id: &str| {
        let head = store(id, "").replace("Content-Length: 0", "Transfer-Encoding: chunked");
        format!("{head}{:x}\r\n{long}\r\n0\r\n\r\n", long.len())
    };
    for text in [store(&id(), &long), in_chunks(&id())] {
        let ClientResponse { status, body, .. } = client.exchange(&text).await.unwrap();
        assert_eq!((status, body.len()), (200, long.len() + 1));
    }
    assert!(site.backends[0].received().iter().all(|received| received.request.body == long));
}

#[tokio::test]
async fn buffered_bodies_are_bounded_in_sum_and_an_announced_body_takes_nothing() {
    let small = |text: String| text.replace(r#""memory_mb":64"#, r#""memory_mb":16"#);
    let site = Site::configured(1, 256, &[], small).await;
    let (open, gate) = watch::channel(false);
    site.backends[0].set_script(move |_| Reply::Gated(gate.clone(), frame(200, "", "")));
    // Announced, and not sent: they take nothing of the byte budget, a fifth of 16 MB.
    let mut liars = Vec::new();
    for _ in 0..40 {
        let mut liar = site.client().await;
        liar.send(&store(&id(), "").replace("Content-Length: 0", "Content-Length: 1048576")).await;
        liars.push(liar);
    }
    let mut clients = Vec::new();
    let rejected = loop {
        let mut client = site.client().await;
        client.send(&store(&id(), &"x".repeat(1 << 20))).await;
        tokio::select! {
            answer = client.response() => break answer.unwrap(),
            () = site.backends[0].wait_for_requests(clients.len() + 1) => clients.push(client),
        }
    };
    assert_eq!((rejected.status, clients.len()), (503, 3));
    open.send(true).unwrap();
    for mut client in clients {
        assert_eq!(client.response().await.unwrap().status, 200);
    }
    assert_eq!(site.client().await.exchange(&store(&id(), &"x".repeat(1 << 20))).await.unwrap().status, 200);
}

#[tokio::test]
async fn a_customer_beyond_its_quota_is_rejected_at_once_with_retry_after() {
    let site = Site::start(1).await;
    let mut client = site.client().await;
    let mut rejected = None;
    for _ in 0..5 {
        let answer = client.exchange(&request(&id(), "tiny", 60_000)).await.unwrap();
        rejected = rejected.or((answer.status != 200).then_some(answer));
    }
    let ClientResponse { status, head, .. } = rejected.expect("four of five exceed the quota");
    assert_eq!(status, 429);
    assert!(head.contains("retry-after: "), "{head}");
}

#[tokio::test]
async fn a_malformed_request_is_an_error_and_a_close_and_never_forwarded() {
    let site = Site::start(1).await;
    let good = request("bad-1", "iso", 3000);
    for (bad, status) in [
        ("nonsense\r\n\r\n".to_string(), 400),
        (good.replace("Plan: iso", "Plan: gold"), 400),
        (good.replace("Host: backend.local", "Content-Length: 4\r\nTransfer-Encoding: chunked"), 400),
        (good.replace("Host: backend.local", "Content-Length: 4"), 405),
        (good.replace("Host: backend.local", "Content-Length: 60000000"), 413),
        (format!("GET / HTTP/1.1\r\nX: {}", "a".repeat(20_000)), 431),
    ] {
        let mut client = site.client().await;
        let answer = client.exchange(&bad).await.unwrap_or_else(|| panic!("{bad:.80}"));
        assert_eq!(answer.status, status, "{bad:.80}");
        client.closed().await;
    }
    assert_eq!(site.attempts("bad-1"), 0);
    // None of that affects the others.
    assert_eq!(site.client().await.exchange(&request(&id(), "iso", 3000)).await.unwrap().status, 200);
}

#[tokio::test]
async fn the_id_of_a_pending_request_is_an_error_and_the_pending_one_is_served() {
    let site = Site::start(1).await;
    site.backends[0].set_script(delayed_echo(300));
    let id = id();
    let mut first = site.client().await;
    first.send(&request(&id, "iso", 3000)).await;
    site.backends[0].wait_for_requests(1).await;
    assert_eq!(site.client().await.exchange(&request(&id, "iso", 3000)).await.unwrap().status, 409);
    assert_eq!(first.response().await.unwrap().body, format!("done {id}"));
    assert_eq!(site.attempts(&id), 1);
}

#[tokio::test]
async fn silent_and_half_requests_are_closed_within_three_seconds() {
    let site = Site::start(1).await;
    let (mut silent, mut half) = (site.client().await, site.client().await);
    half.send("GET /api/00000000b4d65521 HTTP/1.1\r\nX-Tr").await;
    let began = tokio::time::Instant::now();
    silent.closed().await;
    half.closed().await;
    assert!(began.elapsed() < Duration::from_secs(10), "{:?}", began.elapsed());
}

/// A client with a small receive buffer.
async fn narrow(site: &Site) -> Client {
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    Client(socket.connect(site.listen).await.unwrap())
}

#[tokio::test]
async fn a_client_that_does_not_read_keeps_its_slot_for_a_limited_time() {
    let site = Site::start(1).await;
    site.backends[0].set_script(|_| Reply::ok(&"x".repeat(60_000)));
    let mut client = narrow(&site).await;
    // More responses than the buffers hold: it sends requests until it is closed.
    let send_requests = async {
        for _ in 0..100_000 {
            if client.0.write_all(request(&id(), "iso", 20_000).as_bytes()).await.is_err() {
                return;
            }
        }
        panic!("all requests were sent");
    };
    tokio::time::timeout(LIMIT, send_requests).await.expect("it is closed");
}

#[tokio::test]
async fn a_close_with_unread_bytes_destroys_no_response() {
    let site = Site::start(1).await;
    site.backends[0].set_script(|_| Reply::ok(&"x".repeat(60_000)));
    for _ in 0..4 {
        let mut client = narrow(&site).await;
        let last = request(&id(), "iso", 3000).replace("X-Qos", "Connection: close\r\nX-Qos");
        client.send(&last).await;
        client.send(&"y".repeat(100_000)).await;
        // It reads once the gateway has filled the buffers.
        tokio::time::sleep(Duration::from_millis(50)).await;
        let answer = client.response().await.expect("a complete response");
        assert_eq!((answer.status, answer.body.len()), (200, 60_000));
    }
}

/// Backends that reject requests before execution, once the gate is opened.
async fn turning_away_late() -> (Site, watch::Sender<bool>) {
    let site = Site::start(2).await;
    let (open, gate) = watch::channel(false);
    for backend in &site.backends {
        let gate = gate.clone();
        backend.set_script(move |_| Reply::Gated(gate.clone(), frame(503, "X-Never-Ran: 1\r\n", "")));
    }
    (site, open)
}

/// Waits until one of the backends has received a request.
async fn sent(site: &Site) {
    let [one, other] = &site.backends[..] else { panic!("two backends") };
    tokio::select! {
        () = one.wait_for_requests(1) => {}
        () = other.wait_for_requests(1) => {}
    }
}

/// Checks that the request is not sent again when its backend rejects it after its client closed.
async fn not_sent_again(site: &Site, open: watch::Sender<bool>, closed_request: &str) {
    // The attempt's connection ends with its client.
    site.backends.iter().for_each(|backend| backend.set_script(echo));
    for _ in 0..4 {
        assert_eq!(site.client().await.exchange(&request(&id(), "iso", 9000)).await.unwrap().status, 200);
    }
    let _ = open.send(true); // All attempts may have ended.
    for _ in 0..8 {
        assert_eq!(site.client().await.exchange(&request(&id(), "iso", 9000)).await.unwrap().status, 200);
    }
    assert_eq!(site.attempts(closed_request), 1);
}

#[tokio::test]
async fn no_retry_is_sent_for_a_client_that_has_closed() {
    // Half-closed, closed, and closed with unread bytes: on the wire, two ends and a reset.
    for how in 0..3 {
        let (site, open) = turning_away_late().await;
        let (id, mut client) = (id(), site.client().await);
        client.send(&request(&id, "iso", 9000)).await;
        sent(&site).await;
        match how {
            0 => client.0.shutdown().await.unwrap(),
            1 => {}
            _ => client.0.set_zero_linger().unwrap(),
        }
        if how > 0 {
            drop(client);
        } else {
            // The gateway closes it too: nothing is pending there any more.
            assert_eq!(client.response().await, None);
        }
        not_sent_again(&site, open, &id).await;
    }
}

#[tokio::test]
async fn the_close_of_a_client_that_floods_is_noticed() {
    let (site, open) = turning_away_late().await;
    let (request_id, mut client) = (id(), site.client().await);
    client.send(&request(&request_id, "iso", 9000)).await;
    sent(&site).await;
    // Complete requests, far more bytes than the gateway reads ahead.
    let flood: Vec<String> = (0..200).map(|_| id()).collect();
    let requests: String = flood.iter().map(|id| request(id, "iso", 9000)).collect();
    client.send(&requests).await;
    drop(client);
    not_sent_again(&site, open, &request_id).await;
    let sent = flood.iter().filter(|id| site.attempts(id) > 0).count();
    assert_eq!(sent, 0, "requests of a closed client were forwarded");
}

#[tokio::test]
async fn a_client_that_closes_while_the_backend_s_connection_comes_up_is_not_forwarded() {
    let (late, waiting) = slow_to_connect_backend();
    let site = Site::with(0, 256, &[("s-late", late.local_addr().unwrap())]).await;
    let (closed_request, mut client) = (id(), site.client().await);
    client.send(&request(&closed_request, "iso", 9000)).await;
    client.0.shutdown().await.unwrap();
    assert_eq!(client.response().await, None, "nothing is pending for a closed client");
    drop(waiting);
    let (stays, mut client) = (id(), site.client().await);
    client.send(&request(&stays, "iso", 9000)).await;
    let received = async {
        loop {
            let (mut stream, _) = late.accept().await.unwrap();
            let mut bytes = [0; 1024];
            // The others were opened to fill its backlog, or were abandoned.
            if let Ok(many @ 1..) = stream.read(&mut bytes).await {
                return String::from_utf8_lossy(&bytes[..many]).into_owned();
            }
        }
    };
    let first = tokio::time::timeout(LIMIT, received).await.expect("the request of the one that stays");
    assert!(first.contains(&stays) && !first.contains(&closed_request), "{first}");
}

#[tokio::test]
async fn a_client_that_closes_during_a_counter_call_is_not_forwarded() {
    // A counter without a limit for its calls.
    let patient = |text: String| text.replace(r#""CountLimit":0.5"#, r#""CountLimit":50.0"#);
    let site = Site::configured(1, 256, &[], patient).await;
    let (open, gate) = watch::channel(false);
    site.counter.set_script(move |_| Reply::Gated(gate.clone(), frame(200, "", "1")));
    // The first request is admitted by the fallback limit while a lease is requested; the next one waits for the lease.
    let (closed_request, mut client) = (id(), site.client().await);
    assert_eq!(client.exchange(&request(&id(), "iso", 200_000)).await.unwrap().status, 200);
    client.send(&request(&closed_request, "iso", 200_000)).await;
    client.0.shutdown().await.unwrap();
    assert_eq!(client.response().await, None, "nothing is pending for a closed client");
    let (stays, mut other) = (id(), site.client().await);
    other.send(&request(&stays, "iso", 200_000)).await;
    site.counter.wait_for_requests(1).await;
    open.send(true).unwrap();
    assert_eq!(other.response().await.unwrap().body, format!("done {stays}"));
    assert_eq!(site.attempts(&closed_request), 0);
}

#[tokio::test]
async fn no_hedged_request_begins_for_a_client_that_has_closed() {
    let site = Site::start(2).await;
    site.backends.iter().for_each(|backend| backend.set_script(|_| Reply::NoReply));
    let close_client = async |before: u64, how: usize| {
        let (id, mut client) = (id(), site.client().await);
        client.send(&request(&id, "iso", 3000)).await;
        while site.attempts(&id) == 0 {
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
    // The moments around the one at which it begins; few enough at once for each to be admitted.
    let mut hedged = 0;
    for before in [40, 12, 6, 3, 1, 0] {
        let clients = futures::future::join_all((0..3).map(|how| close_client(before, how))).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        for (id, closed) in clients {
            let received: Vec<_> = site.backends.iter().flat_map(ScriptedServer::received).collect();
            let mine =
                received.iter().filter(|received| received.request.headers.get("x-trace-id") == Some(&id));
            let late = mine.clone().filter(|received| received.received_at > closed + CLOSE_SLACK).count();
            assert_eq!(late, 0, "{before} ms before");
            hedged += mine.count() - 1;
        }
    }
    assert!(hedged < 18, "some closed before it began");
}
