//! Backends and the counter: malformed responses, late connections, rejections before execution.

use crate::support::{
    ClientResponse, LIMIT, REUSE_PAUSE, Site, delayed_echo, echo, id, list, request, slow_to_connect_backend,
    store,
};
use std::collections::HashSet;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use weirusher_fakes::{Reply, frame};
use weirusher_wire::http1::Request;

/// Backends answer the first attempt of each request with `spoil`, and retries correctly.
async fn spoilt(spoil: impl Fn(&Request) -> Reply + Send + Sync + Clone + 'static) {
    let site = Site::start(3).await;
    let seen = std::sync::Arc::new(std::sync::Mutex::new(HashSet::new()));
    for backend in &site.backends {
        let (seen, spoil) = (seen.clone(), spoil.clone());
        backend.set_script(move |request| {
            let id = request.headers.get("x-trace-id").unwrap_or("").to_string();
            if seen.lock().unwrap().insert(id) { spoil(request) } else { echo(request) }
        });
    }
    let mut client = site.client().await;
    for _ in 0..4 {
        let id = id();
        let ClientResponse { status, body, .. } = client.exchange(&request(&id, "iso", 4000)).await.unwrap();
        assert!(status != 200 || body == format!("done {id}"), "{status} {body}");
        assert!((1..=4).contains(&site.attempts(&id)));
    }
    // A request that is not idempotent and may have run is not retried, and not rejected either.
    let unsafe_id = id();
    let ClientResponse { status, .. } = client.exchange(&store(&unsafe_id, "x")).await.unwrap();
    assert!(status >= 500 && status != 503, "{status}");
    assert_eq!(site.attempts(&unsafe_id), 1);
}

#[tokio::test]
async fn garbage_is_not_forwarded_as_a_response() {
    spoilt(|_| Reply::Bytes("\u{1}\u{2}noise\r\n\r\n".into())).await;
}

#[tokio::test]
async fn a_response_whose_head_does_not_end_is_abandoned_soon() {
    let began = tokio::time::Instant::now();
    spoilt(|_| Reply::Bytes("HTTP/1.1 200 OK\r\nX-Without: end".into())).await;
    // Five requests, each of which would otherwise wait for two seconds.
    assert!(began.elapsed() < Duration::from_secs(6), "{:?}", began.elapsed());
}

#[tokio::test]
async fn a_response_of_three_gigabytes_is_abandoned_at_its_head() {
    spoilt(|_| {
        Reply::Bytes(
            format!("HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n{}", "x".repeat(90_000)).into(),
        )
    })
    .await;
}

#[tokio::test]
async fn a_truncated_response_is_not_forwarded() {
    spoilt(|_| Reply::BytesThenClose("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhal".into())).await;
}

/// A response that ends with its connection.
fn without_a_length(request: &Request) -> String {
    format!("HTTP/1.1 200 OK\r\n\r\ndone {}", request.headers.get("x-trace-id").unwrap_or(""))
}

#[tokio::test]
async fn a_response_without_a_length_that_is_reset_is_not_forwarded() {
    spoilt(|request| Reply::BytesThenReset(without_a_length(request).into())).await;
}

#[tokio::test]
async fn a_response_without_a_length_is_complete_when_its_connection_ends() {
    let site = Site::start(1).await;
    let mut client = site.client().await;
    site.backends[0].set_script(|request| Reply::BytesThenClose(without_a_length(request).into()));
    for n in 1..=3 {
        let id = id();
        assert_eq!(client.exchange(&store(&id, "x")).await.unwrap().body, format!("done {id}"));
        assert_eq!((site.attempts(&id), site.backends[0].connections()), (1, n));
    }
}

#[tokio::test]
async fn chunked_responses_are_forwarded_and_keep_their_connection() {
    let site = Site::start(1).await;
    let mut client = site.client().await;
    site.backends[0].set_script(|request| {
        let (one, other) = ("done ", request.headers.get("x-trace-id").unwrap_or(""));
        let chunks = format!("{:x}\r\n{one}\r\n{:x};x=y\r\n{other}\r\n0\r\n\r\n", one.len(), other.len());
        Reply::Bytes(format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}").into())
    });
    site.counter.set_script(|_| {
        Reply::Bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n7\r\n0\r\n\r\n".into())
    });
    for _ in 0..3 {
        let id = id();
        assert_eq!(client.exchange(&request(&id, "iso", 3000)).await.unwrap().body, format!("done {id}"));
        tokio::time::sleep(REUSE_PAUSE).await;
    }
    assert_eq!((site.backends[0].connections(), site.counter.connections()), (1, 1));
}

#[tokio::test]
async fn a_response_that_trickles_past_the_deadline_is_an_error_in_time() {
    let site = Site::start(1).await;
    let pause = Duration::from_millis(20);
    site.backends[0].set_script(move |request| match echo(request) {
        Reply::Bytes(bytes) => {
            Reply::Trickle(pause, [&bytes[..15], &[b' '; 400], &bytes[15..]].concat().into())
        }
        other => other,
    });
    let (deadline, mut client) = (1000, site.client().await);
    let sent = tokio::time::Instant::now();
    let ClientResponse { status, .. } =
        client.exchange(&store(&id(), "x").replace("3000m", "1000m")).await.unwrap();
    assert!(status >= 500 && status != 503, "it may have run: {status}");
    assert!(sent.elapsed() < 5 * Duration::from_millis(deadline), "{:?}", sent.elapsed());
    // One that is complete in time, however slowly, is forwarded.
    site.backends[0].set_script(|request| match echo(request) {
        Reply::Bytes(bytes) => Reply::Trickle(Duration::from_millis(2), bytes),
        other => other,
    });
    let id = id();
    assert_eq!(client.exchange(&request(&id, "iso", 20_000)).await.unwrap().body, format!("done {id}"));
}

#[tokio::test]
async fn a_response_with_two_lengths_is_not_forwarded() {
    spoilt(|_| Reply::Bytes("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nokk".into()))
        .await;
}

#[tokio::test]
async fn bytes_after_a_valid_response_cost_the_connection_only() {
    let site = Site::start(1).await;
    site.backends[0].set_script(|request| match echo(request) {
        Reply::Bytes(bytes) => Reply::Bytes([&bytes[..], &bytes[..]].concat().into()),
        other => other,
    });
    let mut client = site.client().await;
    for n in 1..=5 {
        let id = id();
        assert_eq!(client.exchange(&request(&id, "iso", 3000)).await.unwrap().body, format!("done {id}"));
        assert_eq!(site.backends[0].connections(), n, "each on a connection of its own");
    }
}

#[tokio::test]
async fn a_second_response_some_milliseconds_later_is_not_forwarded() {
    let site = Site::start(1).await;
    site.backends[0].set_script(|request| match echo(request) {
        Reply::Bytes(bytes) => Reply::Duplicate(Duration::from_millis(5), bytes),
        other => other,
    });
    let mut client = site.client().await;
    // Each is sent as soon as the one before has its response: the second copy of that has not arrived yet.
    for _ in 0..20 {
        let id = id();
        assert_eq!(client.exchange(&request(&id, "iso", 3000)).await.unwrap().body, format!("done {id}"));
    }
}

#[tokio::test]
async fn a_rejection_before_execution_is_retried_at_another_backend() {
    let site = Site::start(2).await;
    site.backends[0].set_script(|_| Reply::Bytes(frame(503, "X-Never-Ran: 1\r\n", "")));
    let mut client = site.client().await;
    for _ in 0..6 {
        let id = id();
        assert_eq!(client.exchange(&store(&id, "x")).await.unwrap().body, format!("done {id}"));
        assert!(site.attempts(&id) <= 2);
    }
}

#[tokio::test]
async fn a_connection_that_comes_up_after_its_backend_began_to_drain_gets_no_request() {
    let (late, waiting) = slow_to_connect_backend();
    let address = late.local_addr().unwrap();
    let site = Site::with(1, 256, &[("s-late", address)]).await;
    site.backends[0].set_script(delayed_echo(300));
    // The backend with the fewest attempts in flight is selected: of two requests, one waits for the late connection.
    let mut clients = Vec::new();
    for _ in 0..2 {
        let mut client = site.client().await;
        client.send(&request(&id(), "iso", 9000)).await;
        clients.push(client);
    }
    site.backends[0].wait_for_requests(1).await;
    let own = site.backends[0].address;
    site.discovery.set_list(3, list(3, &[("s-0", own, "SERVING"), ("s-late", address, "DRAINING")]));
    site.discovery.wait_until_list_received(3).await;
    // From here on its connections come up, some when the system tries again.
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
    assert_eq!(site.backends[0].received().len(), 2, "each at the one that stays");
    assert!(!received.is_finished(), "the draining backend received nothing");
}

#[tokio::test]
async fn a_connection_that_comes_up_after_the_response_carries_nothing_of_its_request() {
    let (late, waiting) = slow_to_connect_backend();
    let address = late.local_addr().unwrap();
    // Hedged requests are sent after 1.6 s; the system tries a connection that is not up by then again after 3 s.
    let aim = |text: String| text.replace(r#""Name":"check","Slo":2.0"#, r#""Name":"check","Slo":4.0"#);
    let site = Site::configured(1, 256, &[], aim).await;
    let own = site.backends[0].address;
    // Successful responses fill the hedging budget; the slow backend is listed from then on.
    let mut client = site.client().await;
    for _ in 0..60 {
        assert_eq!(client.exchange(&request(&id(), "iso", 9000)).await.unwrap().status, 200);
    }
    site.discovery.set_list(3, list(3, &[("s-0", own, "SERVING"), ("s-late", address, "SERVING")]));
    site.discovery.wait_until_list_received(3).await;
    site.backends[0].set_script(delayed_echo(300));
    // Some of these requests are for the slow backend, and a hedged request of each is served by the other.
    let mut clients = Vec::new();
    for _ in 0..4 {
        clients.push((id(), site.client().await));
    }
    for (id, client) in &mut clients {
        client.send(&request(id, "iso", 9000)).await;
    }
    for (id, client) in &mut clients {
        assert_eq!(client.response().await.unwrap().body, format!("done {id}"));
    }
    let others: Vec<_> = waiting.iter().map(|stream| stream.local_addr().unwrap()).collect();
    drop(waiting);
    // One of their connections comes up: from here on it would carry the request it was opened for.
    let come_up = async {
        loop {
            let (stream, peer) = late.accept().await.unwrap();
            if !others.contains(&peer) {
                return stream;
            }
        }
    };
    let up = tokio::time::timeout(LIMIT, come_up).await.expect("a connection of the gateway");
    site.discovery.set_list(4, list(4, &[("s-0", own, "DRAINING"), ("s-late", address, "SERVING")]));
    site.discovery.wait_until_list_received(4).await;
    client.send(&request(&id(), "iso", 9000)).await;
    // The first bytes on it, or on any later one, are of the next request.
    let mut reads = tokio::task::JoinSet::new();
    reads.spawn(first_bytes(up));
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
    let (received, _stream) = tokio::time::timeout(LIMIT, received).await.expect("the next request");
    assert!(clients.iter().all(|(answered, _)| !received.contains(answered)), "{received}");
}

/// The first bytes on a connection; empty where it ends.
async fn first_bytes(mut stream: TcpStream) -> (String, TcpStream) {
    let mut bytes = [0; 1024];
    let many = stream.read(&mut bytes).await.unwrap_or(0);
    (String::from_utf8_lossy(&bytes[..many]).into_owned(), stream)
}

/// Seconds for which the backends of a group remember an idempotency key.
const WINDOW: f64 = 2.0;

#[tokio::test]
async fn no_retry_is_sent_on_a_connection_that_comes_up_after_its_idempotency_window() {
    let (late, waiting) = slow_to_connect_backend();
    let address = late.local_addr().unwrap();
    let keyed = format!(
        r#"{{"Name":"pay","Effect":"deduplicated","Group":"zone","Window":{WINDOW},"Slo":20.0}},{{"Effect""#
    );
    let site = Site::configured(1, 256, &[], |text| text.replacen(r#"{"Effect""#, &keyed, 1)).await;
    // The first attempt may have run; the other backend is listed from then on, and connects slowly.
    let (open, gate) = watch::channel(false);
    site.backends[0].set_script(move |_| Reply::Gated(gate.clone(), frame(500, "", "")));
    let (paid, mut client) = (id(), site.client().await);
    let sent = std::time::Instant::now();
    client.send(&store(&paid, "x").replace("X-Qos: store", "X-Qos: pay").replace("3000m", "20000m")).await;
    site.backends[0].wait_for_requests(1).await;
    let own = site.backends[0].address;
    site.discovery.set_list(3, list(3, &[("s-0", own, "SERVING"), ("s-late", address, "SERVING")]));
    site.discovery.wait_until_list_received(3).await;
    open.send(true).unwrap();
    assert!(sent.elapsed().as_secs_f64() < WINDOW, "the repeat is decided on within its window");
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
        answer = client.response() => assert!(answer.unwrap().status >= 500, "it may have run"),
        bytes = received => panic!("an effect twice: {bytes}"),
    }
}

#[tokio::test]
async fn a_counter_with_unreadable_responses_delays_nobody() {
    let site = Site::start(1).await;
    site.counter.set_script(|_| Reply::Bytes("HTTP/1.1 200 OK\r\nX-Without: end".into()));
    let mut client = site.client().await;
    for _ in 0..5 {
        let began = tokio::time::Instant::now();
        assert_eq!(client.exchange(&request(&id(), "iso", 3000)).await.unwrap().status, 200);
        assert!(began.elapsed() < Duration::from_secs(2));
    }
}

#[tokio::test]
async fn a_counter_whose_response_has_begun_is_waited_for() {
    let limit = Duration::from_secs(2);
    let patient = |text: String| text.replace(r#""CountLimit":0.5"#, r#""CountLimit":2.0"#);
    let site = Site::configured(1, 256, &[], patient).await;
    let (open, gate) = watch::channel(false);
    site.counter.set_script(move |_| {
        let response = frame(200, "", "1");
        Reply::GatedRest(response.slice(..12), gate.clone(), response.slice(12..))
    });
    let mut client = site.client().await;
    assert_eq!(client.exchange(&request(&id(), "iso", 20_000)).await.unwrap().status, 200);
    site.counter.wait_for_requests(1).await;
    // After its limit, and well within the second one that a response gets once it has begun.
    tokio::time::sleep(limit * 5 / 4).await;
    open.send(true).unwrap();
    // A customer has one call in flight at a time: the second shows that the first has ended.
    while site.counter.received().len() < 2 {
        assert_eq!(client.exchange(&request(&id(), "iso", 20_000)).await.unwrap().status, 200);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(site.counter.received()[1].connection, 1, "its line was kept");
}
