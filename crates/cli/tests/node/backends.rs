//! Workers and the counter: spoilt answers, late connections, turned away.

use crate::support::*;
use std::collections::HashSet;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use weirusher_fakes::{Reply, frame};
use weirusher_wire::http1::Request;

/// A worker spoils the first answer of each request in this way; further attempts get their own.
async fn spoilt(spoil: impl Fn(&Request) -> Reply + Send + Sync + Clone + 'static) {
    let site = Site::start(3).await;
    let seen = std::sync::Arc::new(std::sync::Mutex::new(HashSet::new()));
    for worker in &site.workers {
        let (seen, spoil) = (seen.clone(), spoil.clone());
        worker.set_script(move |request| {
            let id = request.headers.get("x-trace-id").unwrap_or("").to_string();
            if seen.lock().unwrap().insert(id) { spoil(request) } else { echo(request) }
        });
    }
    let mut client = site.client().await;
    for _ in 0..4 {
        let id = id();
        let (status, _, body) = client.ask(&request(&id, "iso", 4000)).await.unwrap();
        assert!(status != 200 || body == format!("done {id}"), "{status} {body}");
        assert!((1..=4).contains(&site.tries(&id)));
    }
    // What may have run is not repeated where that is not allowed, and not refused either.
    let unsafe_id = id();
    let (status, ..) = client.ask(&store(&unsafe_id, "x")).await.unwrap();
    assert!(status >= 500 && status != 503, "{status}");
    assert_eq!(site.tries(&unsafe_id), 1);
}

#[tokio::test]
async fn noise_for_an_answer_serves_nobody() {
    spoilt(|_| Reply::Bytes("\u{1}\u{2}noise\r\n\r\n".into())).await;
}

#[tokio::test]
async fn an_answer_whose_head_does_not_end_is_given_up_soon() {
    let began = tokio::time::Instant::now();
    spoilt(|_| Reply::Bytes("HTTP/1.1 200 OK\r\nX-Without: end".into())).await;
    // Five requests, each of which would otherwise wait for two seconds.
    assert!(began.elapsed() < Duration::from_secs(6), "{:?}", began.elapsed());
}

#[tokio::test]
async fn an_answer_of_three_gigabytes_is_cut_off_at_its_head() {
    spoilt(|_| {
        Reply::Bytes(
            format!("HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n{}", "x".repeat(90_000)).into(),
        )
    })
    .await;
}

#[tokio::test]
async fn an_answer_that_breaks_off_serves_nobody() {
    spoilt(|_| Reply::BytesThenClose("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhal".into())).await;
}

/// An answer whose end is that of its connection.
fn without_a_length(request: &Request) -> String {
    format!("HTTP/1.1 200 OK\r\n\r\ndone {}", request.headers.get("x-trace-id").unwrap_or(""))
}

#[tokio::test]
async fn an_answer_without_a_length_that_is_reset_serves_nobody() {
    spoilt(|request| Reply::BytesThenReset(without_a_length(request).into())).await;
}

#[tokio::test]
async fn an_answer_without_a_length_is_whole_as_its_connection_ends() {
    let site = Site::start(1).await;
    let mut client = site.client().await;
    site.workers[0].set_script(|request| Reply::BytesThenClose(without_a_length(request).into()));
    for n in 1..=3 {
        let id = id();
        assert_eq!(client.ask(&store(&id, "x")).await.unwrap().2, format!("done {id}"));
        assert_eq!((site.tries(&id), site.workers[0].connections()), (1, n));
    }
}

#[tokio::test]
async fn answers_in_chunks_serve_and_keep_their_connection() {
    let site = Site::start(1).await;
    let mut client = site.client().await;
    site.workers[0].set_script(|request| {
        let (one, other) = ("done ", request.headers.get("x-trace-id").unwrap_or(""));
        let chunks = format!("{:x}\r\n{one}\r\n{:x};x=y\r\n{other}\r\n0\r\n\r\n", one.len(), other.len());
        Reply::Bytes(format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}").into())
    });
    site.counter.set_script(|_| {
        Reply::Bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n7\r\n0\r\n\r\n".into())
    });
    for _ in 0..3 {
        let id = id();
        assert_eq!(client.ask(&request(&id, "iso", 3000)).await.unwrap().2, format!("done {id}"));
        tokio::time::sleep(RESTED).await;
    }
    assert_eq!((site.workers[0].connections(), site.counter.connections()), (1, 1));
}

#[tokio::test]
async fn an_answer_that_trickles_past_the_client_s_time_is_a_failure_in_time_and_holds_nobody() {
    let site = Site::start(1).await;
    let pause = Duration::from_millis(20);
    site.workers[0].set_script(move |request| match echo(request) {
        Reply::Bytes(bytes) => {
            Reply::Trickle(pause, [&bytes[..15], &[b' '; 400], &bytes[15..]].concat().into())
        }
        other => other,
    });
    let (patience, mut client) = (1000, site.client().await);
    let asked = tokio::time::Instant::now();
    let (status, ..) = client.ask(&store(&id(), "x").replace("3000m", "1000m")).await.unwrap();
    assert!(status >= 500 && status != 503, "it may have run: {status}");
    assert!(asked.elapsed() < 5 * Duration::from_millis(patience), "{:?}", asked.elapsed());
    // One that comes in time, however slowly, serves.
    site.workers[0].set_script(|request| match echo(request) {
        Reply::Bytes(bytes) => Reply::Trickle(Duration::from_millis(2), bytes),
        other => other,
    });
    let id = id();
    assert_eq!(client.ask(&request(&id, "iso", 20_000)).await.unwrap().2, format!("done {id}"));
}

#[tokio::test]
async fn an_answer_of_two_lengths_serves_nobody() {
    spoilt(|_| Reply::Bytes("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nokk".into()))
        .await;
}

#[tokio::test]
async fn more_bytes_behind_a_good_answer_spoil_the_connection_only() {
    let site = Site::start(1).await;
    site.workers[0].set_script(|request| match echo(request) {
        Reply::Bytes(bytes) => Reply::Bytes([&bytes[..], &bytes[..]].concat().into()),
        other => other,
    });
    let mut client = site.client().await;
    for n in 1..=5 {
        let id = id();
        assert_eq!(client.ask(&request(&id, "iso", 3000)).await.unwrap().2, format!("done {id}"));
        assert_eq!(site.workers[0].connections(), n, "each on a connection of its own");
    }
}

#[tokio::test]
async fn a_second_answer_some_milliseconds_late_serves_nobody() {
    let site = Site::start(1).await;
    site.workers[0].set_script(|request| match echo(request) {
        Reply::Bytes(bytes) => Reply::Duplicate(Duration::from_millis(5), bytes),
        other => other,
    });
    let mut client = site.client().await;
    // Each comes as soon as the one before is answered: its second answer is still on its way.
    for _ in 0..20 {
        let id = id();
        assert_eq!(client.ask(&request(&id, "iso", 3000)).await.unwrap().2, format!("done {id}"));
    }
}

#[tokio::test]
async fn a_worker_that_turns_away_is_no_answer_and_another_is_asked() {
    let site = Site::start(2).await;
    site.workers[0].set_script(|_| Reply::Bytes(frame(503, "X-Never-Ran: 1\r\n", "")));
    let mut client = site.client().await;
    for _ in 0..6 {
        let id = id();
        assert_eq!(client.ask(&store(&id, "x")).await.unwrap().2, format!("done {id}"));
        assert!(site.tries(&id) <= 2);
    }
}

#[tokio::test]
async fn a_connection_that_comes_up_once_its_worker_leaves_gets_no_request() {
    let (late, waiting) = late_worker();
    let address = late.local_addr().unwrap();
    let site = Site::with(1, 256, &[("s-late", address)]).await;
    site.workers[0].set_script(slow(300));
    // The least busy is chosen: of two at once, one waits for the late one.
    let mut clients = Vec::new();
    for _ in 0..2 {
        let mut client = site.client().await;
        client.send(&request(&id(), "iso", 9000)).await;
        clients.push(client);
    }
    site.workers[0].wait_for_requests(1).await;
    let own = site.workers[0].address;
    site.discovery.set_list(3, list(3, &[("s-0", own, "SERVING"), ("s-late", address, "DRAINING")]));
    site.discovery.wait_until_list_received(3).await;
    // From here on its connections come up, some when they are tried again.
    let before = waiting.len();
    drop(waiting);
    let came = tokio::spawn(async move {
        for nth in 0.. {
            let Ok((mut stream, _)) = late.accept().await else { return };
            let mut bytes = [0; 64];
            if matches!(stream.read(&mut bytes).await, Ok(1..)) {
                panic!("connection {nth} after {before} got {}", String::from_utf8_lossy(&bytes));
            }
        }
    });
    for mut client in clients {
        assert_eq!(client.answer().await.unwrap().0, 200);
    }
    assert_eq!(site.workers[0].received().len(), 2, "each at the one that stays");
    assert!(!came.is_finished(), "nothing came at the one that leaves");
}

#[tokio::test]
async fn a_connection_that_comes_up_once_its_request_is_answered_carries_nothing_of_it() {
    let (late, waiting) = late_worker();
    let address = late.local_addr().unwrap();
    // Second copies go out after 1.6 s; what is not up by then is tried again by the system after 3 s.
    let aim = |text: String| text.replace(r#""Name":"check","Slo":2.0"#, r#""Name":"check","Slo":4.0"#);
    let site = Site::configured(1, 256, &[], aim).await;
    let own = site.workers[0].address;
    // What is answered well earns second copies; the late worker is there from then on.
    let mut client = site.client().await;
    for _ in 0..60 {
        assert_eq!(client.ask(&request(&id(), "iso", 9000)).await.unwrap().0, 200);
    }
    site.discovery.set_list(3, list(3, &[("s-0", own, "SERVING"), ("s-late", address, "SERVING")]));
    site.discovery.wait_until_list_received(3).await;
    site.workers[0].set_script(slow(300));
    // Of several at once some are for the late worker, and a second copy of each is answered by the other.
    let mut clients = Vec::new();
    for _ in 0..4 {
        clients.push((id(), site.client().await));
    }
    for (id, client) in &mut clients {
        client.send(&request(id, "iso", 9000)).await;
    }
    for (id, client) in &mut clients {
        assert_eq!(client.answer().await.unwrap().2, format!("done {id}"));
    }
    let others: Vec<_> = waiting.iter().map(|stream| stream.local_addr().unwrap()).collect();
    drop(waiting);
    // One of theirs comes up: from here on it would carry what it was made for.
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
    // The first that comes on it, or on any later one, is of the next request.
    let mut reads = tokio::task::JoinSet::new();
    reads.spawn(first_bytes(up));
    let came = async {
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
    let (came, _stream) = tokio::time::timeout(LIMIT, came).await.expect("the next request");
    assert!(clients.iter().all(|(answered, _)| !came.contains(answered)), "{came}");
}

/// What comes first on a connection; nothing, where it ends.
async fn first_bytes(mut stream: TcpStream) -> (String, TcpStream) {
    let mut bytes = [0; 1024];
    let many = stream.read(&mut bytes).await.unwrap_or(0);
    (String::from_utf8_lossy(&bytes[..many]).into_owned(), stream)
}

/// Seconds for which a keyed request's group knows that it has run.
const WINDOW: f64 = 2.0;

#[tokio::test]
async fn a_repeat_whose_connection_comes_up_once_its_window_is_over_is_not_made() {
    let (late, waiting) = late_worker();
    let address = late.local_addr().unwrap();
    let keyed = format!(
        r#"{{"Name":"pay","Effect":"deduplicated","Group":"zone","Window":{WINDOW},"Slo":20.0}},{{"Effect""#
    );
    let site = Site::configured(1, 256, &[], |text| text.replacen(r#"{"Effect""#, &keyed, 1)).await;
    // The first attempt may have run; the other worker is there from then on, and its connection is long in coming.
    let (open, gate) = watch::channel(false);
    site.workers[0].set_script(move |_| Reply::Gated(gate.clone(), frame(500, "", "")));
    let (paid, mut client) = (id(), site.client().await);
    let sent = std::time::Instant::now();
    client.send(&store(&paid, "x").replace("X-Qos: store", "X-Qos: pay").replace("3000m", "20000m")).await;
    site.workers[0].wait_for_requests(1).await;
    let own = site.workers[0].address;
    site.discovery.set_list(3, list(3, &[("s-0", own, "SERVING"), ("s-late", address, "SERVING")]));
    site.discovery.wait_until_list_received(3).await;
    open.send(true).unwrap();
    assert!(sent.elapsed().as_secs_f64() < WINDOW, "the repeat is decided on within its window");
    tokio::time::sleep(Duration::from_secs_f64(WINDOW)).await;
    drop(waiting);
    let came = async {
        loop {
            let (mut stream, _) = late.accept().await.unwrap();
            let mut bytes = [0; 64];
            if matches!(stream.read(&mut bytes).await, Ok(1..)) {
                return String::from_utf8_lossy(&bytes).into_owned();
            }
        }
    };
    tokio::select! {
        answer = client.answer() => assert!(answer.unwrap().0 >= 500, "it may have run"),
        bytes = came => panic!("an effect twice: {bytes}"),
    }
}

#[tokio::test]
async fn a_counter_whose_answers_cannot_be_read_keeps_nobody_waiting() {
    let site = Site::start(1).await;
    site.counter.set_script(|_| Reply::Bytes("HTTP/1.1 200 OK\r\nX-Without: end".into()));
    let mut client = site.client().await;
    for _ in 0..5 {
        let began = tokio::time::Instant::now();
        assert_eq!(client.ask(&request(&id(), "iso", 3000)).await.unwrap().0, 200);
        assert!(began.elapsed() < Duration::from_secs(2));
    }
}

#[tokio::test]
async fn a_counter_that_answers_in_pieces_is_waited_for_once_its_answer_has_begun() {
    let limit = Duration::from_secs(2);
    let patient = |text: String| text.replace(r#""CountLimit":0.5"#, r#""CountLimit":2.0"#);
    let site = Site::configured(1, 256, &[], patient).await;
    let (open, gate) = watch::channel(false);
    site.counter.set_script(move |_| {
        let whole = frame(200, "", "1");
        Reply::GatedRest(whole.slice(..12), gate.clone(), whole.slice(12..))
    });
    let mut client = site.client().await;
    assert_eq!(client.ask(&request(&id(), "iso", 20_000)).await.unwrap().0, 200);
    site.counter.wait_for_requests(1).await;
    // Past its limit, and well within the one more that an answer gets that has begun.
    tokio::time::sleep(limit * 5 / 4).await;
    open.send(true).unwrap();
    // One call of a customer is out at a time: the second shows that the first has ended.
    while site.counter.received().len() < 2 {
        assert_eq!(client.ask(&request(&id(), "iso", 20_000)).await.unwrap().0, 200);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(site.counter.received()[1].connection, 1, "its line was kept");
}
