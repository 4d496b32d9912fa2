//! Clients' connections and requests: whole, half, unreadable, slow, gone.

use crate::support::*;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::watch;
use weirusher_fakes::{Reply, ScriptedServer, frame};

#[tokio::test]
async fn a_request_passes_unchanged_and_its_own_answer_comes_back() {
    let site = Site::start(2).await;
    let mut client = site.client().await;
    for _ in 0..20 {
        let id = id();
        let (status, _, body) = client.ask(&request(&id, "iso", 3000)).await.unwrap();
        assert_eq!((status, body), (200, format!("done {id}")));
        assert_eq!(site.tries(&id), 1);
        tokio::time::sleep(RESTED).await;
    }
    let id = id();
    assert_eq!(client.ask(&store(&id, "essay")).await.unwrap().0, 200);
    let came: Vec<_> = site.workers.iter().flat_map(ScriptedServer::received).collect();
    let stored = came.iter().find(|c| c.request.headers.get("x-trace-id") == Some(&id)).unwrap();
    assert_eq!((&*stored.request.method, &*stored.request.body), ("POST", &b"essay"[..]));
    assert!(
        came.iter()
            .filter(|c| c.request.method == "GET")
            .all(|c| c.request.path == "/api/00000000b4d65521?a=b")
    );
    let connections: u64 = site.workers.iter().map(ScriptedServer::connections).sum();
    assert!(connections <= 2, "pooled: {connections}");
}

#[tokio::test]
async fn a_body_in_chunks_passes_whole_however_its_bytes_come() {
    let site = Site::start(1).await;
    let mut client = site.client().await;
    client.0.set_nodelay(true).unwrap();
    for piece in [1, 3, 11, 4096] {
        let id = id();
        let chunks = "2\r\nes\r\n3;name=value\r\nsay\r\n0\r\nX-Digest: 1\r\n\r\n";
        let head = store(&id, "").replace("Content-Length: 0", "Transfer-ENCODING:   chunked ");
        // Behind it waits another request: it is none of the body.
        let (next, text) = (request(&self::id(), "iso", 3000), format!("{head}{chunks}"));
        for part in format!("{text}{next}").as_bytes().chunks(piece) {
            client.0.write_all(part).await.unwrap();
        }
        assert_eq!(client.answer().await.unwrap().2, format!("done {id}"));
        assert_eq!(client.answer().await.unwrap().0, 200);
        let came: Vec<_> = site.workers[0].received();
        let stored = came.iter().find(|c| c.request.headers.get("x-trace-id") == Some(&id)).unwrap();
        assert_eq!(&*stored.request.body, b"essay");
    }
    for (chunks, status) in [("x\r\n", 400), ("100001\r\n", 413), ("2\r\nessay\r\n", 400)] {
        let head = store("bad-1", "").replace("Content-Length: 0", "Transfer-Encoding: chunked");
        let answer = site.client().await.ask(&format!("{head}{chunks}")).await.unwrap();
        assert_eq!(answer.0, status, "{chunks}");
    }
    assert_eq!(site.tries("bad-1"), 0);
}

#[tokio::test]
async fn a_client_that_waits_to_be_told_is_told_to_go_on_with_its_body() {
    let site = Site::start(1).await;
    let (id, mut client) = (id(), site.client().await);
    let text = store(&id, "essay").replace("X-Qos", "Expect: 100-Continue\r\nX-Qos");
    let (head, body) = text.split_at(text.len() - 5);
    client.send(head).await;
    let mut told = [0; 25];
    tokio::time::timeout(LIMIT, client.0.read_exact(&mut told)).await.expect("it is told").unwrap();
    assert_eq!(&told, b"HTTP/1.1 100 Continue\r\n\r\n");
    assert_eq!(client.ask(body).await.unwrap().2, format!("done {id}"));
    // One that goes on by itself, or is refused, is told its answer alone.
    let at_once = store(&self::id(), "essay").replace("X-Qos", "Expect: 100-continue\r\nX-Qos");
    assert_eq!(client.ask(&at_once).await.unwrap().0, 200);
    let bad = head.replace("Plan: iso", "Plan: gold");
    assert_eq!(client.ask(&bad).await.unwrap().0, 400);
}

#[tokio::test]
async fn long_bodies_pass_both_ways() {
    let site = Site::start(1).await;
    let (long, mut client) = ("x".repeat(400_000), site.client().await);
    site.workers[0].set_script(|request| Reply::ok(&"y".repeat(request.body.len() + 1)));
    let in_chunks = |id: &str| {
        let head = store(id, "").replace("Content-Length: 0", "Transfer-Encoding: chunked");
        format!("{head}{:x}\r\n{long}\r\n0\r\n\r\n", long.len())
    };
    for text in [store(&id(), &long), in_chunks(&id())] {
        let (status, _, body) = client.ask(&text).await.unwrap();
        assert_eq!((status, body.len()), (200, long.len() + 1));
    }
    assert!(site.workers[0].received().iter().all(|came| came.request.body == long));
}

#[tokio::test]
async fn bodies_that_are_held_are_bounded_in_sum_and_one_that_is_announced_takes_nothing() {
    let small = |text: String| text.replace(r#""memory_mb":64"#, r#""memory_mb":16"#);
    let site = Site::configured(1, 256, &[], small).await;
    let (open, gate) = watch::channel(false);
    site.workers[0].set_script(move |_| Reply::Gated(gate.clone(), frame(200, "", "")));
    // Announced, and not sent: of the fifth of 16 MB that bodies may take they take nothing.
    let mut liars = Vec::new();
    for _ in 0..40 {
        let mut liar = site.client().await;
        liar.send(&store(&id(), "").replace("Content-Length: 0", "Content-Length: 1048576")).await;
        liars.push(liar);
    }
    let mut clients = Vec::new();
    let refused = loop {
        let mut client = site.client().await;
        client.send(&store(&id(), &"x".repeat(1 << 20))).await;
        tokio::select! {
            answer = client.answer() => break answer.unwrap(),
            () = site.workers[0].wait_for_requests(clients.len() + 1) => clients.push(client),
        }
    };
    assert_eq!((refused.0, clients.len()), (503, 3));
    open.send(true).unwrap();
    for mut client in clients {
        assert_eq!(client.answer().await.unwrap().0, 200);
    }
    assert_eq!(site.client().await.ask(&store(&id(), &"x".repeat(1 << 20))).await.unwrap().0, 200);
}

#[tokio::test]
async fn beyond_its_quota_a_customer_is_refused_at_once_with_when_to_come_back() {
    let site = Site::start(1).await;
    let mut client = site.client().await;
    let mut refused = None;
    for _ in 0..5 {
        let answer = client.ask(&request(&id(), "tiny", 60_000)).await.unwrap();
        refused = refused.or((answer.0 != 200).then_some(answer));
    }
    let (status, head, _) = refused.expect("four of five are beyond");
    assert_eq!(status, 429);
    assert!(head.contains("retry-after: "), "{head}");
}

#[tokio::test]
async fn what_cannot_be_read_is_an_error_and_a_close_and_never_passed_on() {
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
        let answer = client.ask(&bad).await.unwrap_or_else(|| panic!("{bad:.80}"));
        assert_eq!(answer.0, status, "{bad:.80}");
        client.closed().await;
    }
    assert_eq!(site.tries("bad-1"), 0);
    // And nothing of that harms the others.
    assert_eq!(site.client().await.ask(&request(&id(), "iso", 3000)).await.unwrap().0, 200);
}

#[tokio::test]
async fn the_id_of_an_open_request_is_an_error_and_the_open_one_is_served() {
    let site = Site::start(1).await;
    site.workers[0].set_script(slow(300));
    let id = id();
    let mut first = site.client().await;
    first.send(&request(&id, "iso", 3000)).await;
    site.workers[0].wait_for_requests(1).await;
    assert_eq!(site.client().await.ask(&request(&id, "iso", 3000)).await.unwrap().0, 409);
    assert_eq!(first.answer().await.unwrap().2, format!("done {id}"));
    assert_eq!(site.tries(&id), 1);
}

#[tokio::test]
async fn who_says_nothing_or_half_is_let_go_within_three_seconds() {
    let site = Site::start(1).await;
    let (mut silent, mut half) = (site.client().await, site.client().await);
    half.send("GET /api/00000000b4d65521 HTTP/1.1\r\nX-Tr").await;
    let began = tokio::time::Instant::now();
    silent.closed().await;
    half.closed().await;
    assert!(began.elapsed() < Duration::from_secs(10), "{:?}", began.elapsed());
}

/// A client that takes in few bytes until it reads.
async fn narrow(site: &Site) -> Client {
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    Client(socket.connect(site.listen).await.unwrap())
}

#[tokio::test]
async fn a_client_that_does_not_read_holds_its_slot_for_a_while_only() {
    let site = Site::start(1).await;
    site.workers[0].set_script(|_| Reply::ok(&"x".repeat(60_000)));
    let mut deaf = narrow(&site).await;
    // More answers than the way to it holds: it asks on until it is let go.
    let asks = async {
        for _ in 0..100_000 {
            if deaf.0.write_all(request(&id(), "iso", 20_000).as_bytes()).await.is_err() {
                return;
            }
        }
        panic!("all of it went");
    };
    tokio::time::timeout(LIMIT, asks).await.expect("it is let go");
}

#[tokio::test]
async fn a_close_over_bytes_that_nobody_asked_for_destroys_no_answer() {
    let site = Site::start(1).await;
    site.workers[0].set_script(|_| Reply::ok(&"x".repeat(60_000)));
    for _ in 0..4 {
        let mut client = narrow(&site).await;
        let last = request(&id(), "iso", 3000).replace("X-Qos", "Connection: close\r\nX-Qos");
        client.send(&last).await;
        client.send(&"y".repeat(100_000)).await;
        // It reads once the gateway has written what the way holds.
        tokio::time::sleep(Duration::from_millis(50)).await;
        let answer = client.answer().await.expect("a whole answer");
        assert_eq!((answer.0, answer.2.len()), (200, 60_000));
    }
}

/// Workers that turn requests away, once they are let.
async fn turning_away_late() -> (Site, watch::Sender<bool>) {
    let site = Site::start(2).await;
    let (open, gate) = watch::channel(false);
    for worker in &site.workers {
        let gate = gate.clone();
        worker.set_script(move |_| Reply::Gated(gate.clone(), frame(503, "X-Never-Ran: 1\r\n", "")));
    }
    (site, open)
}

/// Waits until a request has come to one of them.
async fn sent(site: &Site) {
    let [one, other] = &site.workers[..] else { panic!("two workers") };
    tokio::select! {
        () = one.wait_for_requests(1) => {}
        () = other.wait_for_requests(1) => {}
    }
}

/// The request was sent once, and not again although its worker turned it away after its client had gone.
async fn not_sent_again(site: &Site, open: watch::Sender<bool>, gone: &str) {
    // The attempt's connection ends with its client: nobody waits for it.
    site.workers.iter().for_each(|worker| worker.set_script(echo));
    for _ in 0..4 {
        assert_eq!(site.client().await.ask(&request(&id(), "iso", 9000)).await.unwrap().0, 200);
    }
    let _ = open.send(true); // Nobody may be left to wait for it.
    for _ in 0..8 {
        assert_eq!(site.client().await.ask(&request(&id(), "iso", 9000)).await.unwrap().0, 200);
    }
    assert_eq!(site.tries(gone), 1);
}

#[tokio::test]
async fn a_client_that_closes_has_gone_and_no_further_attempt_is_made() {
    // Shut down one way, closed, and closed over bytes that were not read: on the wire, ends and a reset.
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
            // It is closed towards the client too: nothing is owed there any more.
            assert_eq!(client.answer().await, None);
        }
        not_sent_again(&site, open, &id).await;
    }
}

#[tokio::test]
async fn a_client_that_floods_and_goes_is_seen_to_go() {
    let (site, open) = turning_away_late().await;
    let (asked, mut client) = (id(), site.client().await);
    client.send(&request(&asked, "iso", 9000)).await;
    sent(&site).await;
    // Far more than is read ahead, all of it whole requests.
    let flood: Vec<String> = (0..200).map(|_| id()).collect();
    let requests: String = flood.iter().map(|id| request(id, "iso", 9000)).collect();
    client.send(&requests).await;
    drop(client);
    not_sent_again(&site, open, &asked).await;
    let sent = flood.iter().filter(|id| site.tries(id) > 0).count();
    assert_eq!(sent, 0, "requests of a client that had gone were sent on");
}

#[tokio::test]
async fn a_client_that_goes_while_its_worker_s_connection_comes_up_is_not_sent_on() {
    let (late, waiting) = late_worker();
    let site = Site::with(0, 256, &[("s-late", late.local_addr().unwrap())]).await;
    let (gone, mut client) = (id(), site.client().await);
    client.send(&request(&gone, "iso", 9000)).await;
    client.0.shutdown().await.unwrap();
    assert_eq!(client.answer().await, None, "nothing is owed to one that has gone");
    drop(waiting);
    let (stays, mut client) = (id(), site.client().await);
    client.send(&request(&stays, "iso", 9000)).await;
    let came = async {
        loop {
            let (mut stream, _) = late.accept().await.unwrap();
            let mut bytes = [0; 1024];
            // The others were made to fill its backlog, or were given up.
            if let Ok(many @ 1..) = stream.read(&mut bytes).await {
                return String::from_utf8_lossy(&bytes[..many]).into_owned();
            }
        }
    };
    let first = tokio::time::timeout(LIMIT, came).await.expect("the request of the one that stays");
    assert!(first.contains(&stays) && !first.contains(&gone), "{first}");
}

#[tokio::test]
async fn a_client_that_goes_while_the_counter_is_asked_is_not_sent_on() {
    // A counter that is waited for as long as it takes.
    let patient = |text: String| text.replace(r#""CountLimit":0.5"#, r#""CountLimit":50.0"#);
    let site = Site::configured(1, 256, &[], patient).await;
    let (open, gate) = watch::channel(false);
    site.counter.set_script(move |_| Reply::Gated(gate.clone(), frame(200, "", "1")));
    // The first is sent on a customer's share; the counter is asked beside it, and the next waits for that.
    let (gone, mut client) = (id(), site.client().await);
    assert_eq!(client.ask(&request(&id(), "iso", 200_000)).await.unwrap().0, 200);
    client.send(&request(&gone, "iso", 200_000)).await;
    client.0.shutdown().await.unwrap();
    assert_eq!(client.answer().await, None, "nothing is owed to one that has gone");
    let (stays, mut other) = (id(), site.client().await);
    other.send(&request(&stays, "iso", 200_000)).await;
    site.counter.wait_for_requests(1).await;
    open.send(true).unwrap();
    assert_eq!(other.answer().await.unwrap().2, format!("done {stays}"));
    assert_eq!(site.tries(&gone), 0);
}
