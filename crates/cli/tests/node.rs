//! The gatekeeper on the platform as a real process between scripted parties; judged from what passed on the
//! sockets.

mod common;

use common::{STOP_WITHIN, configuration};
use object::Endianness;
use object::elf::DT_NEEDED;
use object::read::elf::{Dyn, ElfFile64, ProgramHeader};
use procfs::process::FDTarget;
use serde_json::json;
use std::collections::HashSet;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use weirusher_standins::{Agent, Reply, Scripted, counting, frame};
use weirusher_wire::http1::Request;

const ANYWHERE: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
/// A generous limit for whatever must come about.
const LIMIT: Duration = Duration::from_secs(30);

/// An address of the loopback net that no other site has, in this process or beside it; any port.
fn own_address() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let site = NEXT.fetch_add(1, Ordering::Relaxed) as u8;
    SocketAddr::from(([127, high.max(1), low, site], 0))
}

struct Site {
    child: Child,
    listen: SocketAddr,
    workers: Vec<Scripted>,
    counter: Scripted,
    discovery: Agent,
    file: PathBuf,
    _dir: tempfile::TempDir,
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = self.child.kill(); // It may have ended already.
        let _ = self.child.wait();
    }
}

/// A worker's usual answer: the id it was asked under, so that a mix-up shows.
fn echo(request: &Request) -> Reply {
    Reply::ok(&format!("done {}", request.headers.get("x-trace-id").unwrap_or("")))
}

/// The usual answer after so many milliseconds.
fn slow(millis: u64) -> impl Fn(&Request) -> Reply + Send + Sync + 'static {
    move |request| match echo(request) {
        Reply::Bytes(bytes) => Reply::After(Duration::from_millis(millis), bytes),
        other => other,
    }
}

fn list(index: u64, workers: &[(&str, SocketAddr, &str)]) -> String {
    let entry = |(name, address, status): &(&str, SocketAddr, &str)| {
        json!({"name": name, "address": address, "zone": "a", "type": "m", "group": 0, "status": status,
            "weight": 1.0, "since_ms": 0})
    };
    json!({"index": index, "snapshot": true, "endpoints": workers.iter().map(entry).collect::<Vec<_>>()})
        .to_string()
}

impl Site {
    async fn start(workers: usize) -> Self {
        Self::with(workers, 256, &[]).await
    }

    /// Workers of the project's own, and more that listen elsewhere.
    async fn with(workers: usize, sockets: usize, others: &[(&str, SocketAddr)]) -> Self {
        Self::configured(workers, sockets, others, |text| text).await
    }

    /// A gatekeeper whose configuration was changed before it starts.
    async fn configured(
        workers: usize,
        sockets: usize,
        others: &[(&str, SocketAddr)],
        change: impl FnOnce(String) -> String,
    ) -> Self {
        let mut started = Vec::new();
        for _ in 0..workers {
            started.push(Scripted::start(ANYWHERE, echo).await.unwrap());
        }
        let names: Vec<String> = (0..workers).map(|n| format!("s-{n}")).collect();
        let own = names.iter().map(String::as_str).zip(started.iter().map(|w| w.address));
        let entries: Vec<_> =
            own.chain(others.iter().copied()).map(|(name, address)| (name, address, "SERVING")).collect();
        let discovery = Agent::start(ANYWHERE, 2, list(2, &entries)).await.unwrap();
        let counter = Scripted::start(ANYWHERE, counting()).await.unwrap();
        // Taken from the kernel and given back, at an address of this site alone: nobody else binds there.
        let listen = tokio::net::TcpListener::bind(own_address()).await.unwrap().local_addr().unwrap();
        let dir = tempfile::tempdir().unwrap();
        let file = dir.path().join("config.json");
        let text = change(configuration(listen, discovery.address(), counter.address, sockets));
        std::fs::write(&file, text).unwrap();
        let exe = env!("CARGO_BIN_EXE_weirusher");
        let child = Command::new(exe)
            .arg("node")
            .env("NODE_CONFIG", &file)
            .env("RUST_LOG", "warn")
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        let site = Self { child, listen, workers: started, counter, discovery, file, _dir: dir };
        site.ready().await;
        site
    }

    /// Asked as the front does, until it is ready.
    async fn ready(&self) {
        let ready = async {
            loop {
                let mut client = match TcpStream::connect(self.listen).await {
                    Ok(stream) => Client(stream),
                    Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
                        tokio::time::sleep(Duration::from_millis(5)).await;
                        continue;
                    }
                    Err(error) => panic!("{error}"),
                };
                client.send("GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").await;
                // Its first list may still be on the way.
                if client.answer().await.unwrap().0 == 200 && !self.discovery.came().is_empty() {
                    return;
                }
            }
        };
        tokio::time::timeout(LIMIT, ready).await.unwrap();
        self.discovery.taken(2).await;
    }

    async fn client(&self) -> Client {
        Client(TcpStream::connect(self.listen).await.unwrap())
    }

    fn signal(&self, signal: nix::sys::signal::Signal) {
        let id = nix::unistd::Pid::from_raw(self.child.id() as i32);
        nix::sys::signal::kill(id, signal).unwrap();
    }

    /// What of the workers' requests carried this id.
    fn tries(&self, id: &str) -> usize {
        let came = self.workers.iter().flat_map(Scripted::came);
        came.filter(|came| came.request.headers.get("x-trace-id") == Some(id)).count()
    }
}

struct Client(TcpStream);

/// A status, the answer's headers in lower case, and its body.
type Answer = (u16, String, String);

impl Client {
    async fn send(&mut self, bytes: &str) {
        self.0.write_all(bytes.as_bytes()).await.unwrap();
    }

    /// The next whole answer; `None`: the connection ended without one.
    async fn answer(&mut self) -> Option<Answer> {
        let mut bytes = Vec::new();
        let read = async {
            loop {
                if let Some(answer) = whole(&bytes) {
                    return Some(answer);
                }
                let mut part = [0; 4096];
                match self.0.read(&mut part).await {
                    Ok(many @ 1..) => bytes.extend_from_slice(&part[..many]),
                    _ => return None,
                }
            }
        };
        tokio::time::timeout(LIMIT, read).await.expect("an answer or an end")
    }

    async fn ask(&mut self, request: &str) -> Option<Answer> {
        self.send(request).await;
        self.answer().await
    }

    /// The other end closes, whatever it says before.
    async fn closed(&mut self) {
        let end = async { while matches!(self.0.read(&mut [0; 4096]).await, Ok(1..)) {} };
        tokio::time::timeout(LIMIT, end).await.expect("a close");
    }
}

fn whole(bytes: &[u8]) -> Option<Answer> {
    let text = String::from_utf8_lossy(bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let head = head.to_lowercase();
    let length: usize = head.split("content-length: ").nth(1)?.split("\r\n").next()?.parse().unwrap();
    let status = head.split(' ').nth(1)?.parse().unwrap();
    (body.len() >= length).then(|| (status, head.clone(), body[..length].to_string()))
}

fn id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed))
}

fn request(id: &str, plan: &str, patience_ms: u64) -> String {
    format!(
        "GET /api/00000000b4d65521?a=b HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: {id}\r\nX-Qos: check\r\n\
         Plan: {plan}\r\nX-Expires-In: {patience_ms}m\r\nQuota-Info: units=1,spread=1,first=0\r\n\r\n"
    )
}

fn store(id: &str, body: &str) -> String {
    format!(
        "POST /api/00000000b4d65521 HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: {id}\r\nX-Qos: store\r\n\
         Plan: iso\r\nX-Expires-In: 3000m\r\nQuota-Info: units=1,spread=1,first=0\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

#[tokio::test]
async fn a_request_passes_unchanged_and_its_own_answer_comes_back() {
    let site = Site::start(2).await;
    let mut client = site.client().await;
    for _ in 0..20 {
        let id = id();
        let (status, _, body) = client.ask(&request(&id, "iso", 3000)).await.unwrap();
        assert_eq!((status, body), (200, format!("done {id}")));
        assert_eq!(site.tries(&id), 1);
    }
    let id = id();
    assert_eq!(client.ask(&store(&id, "essay")).await.unwrap().0, 200);
    let came: Vec<_> = site.workers.iter().flat_map(Scripted::came).collect();
    let stored = came.iter().find(|c| c.request.headers.get("x-trace-id") == Some(&id)).unwrap();
    assert_eq!((&*stored.request.method, &*stored.request.body), ("POST", &b"essay"[..]));
    assert!(
        came.iter()
            .filter(|c| c.request.method == "GET")
            .all(|c| c.request.path == "/api/00000000b4d65521?a=b")
    );
    let connections: u64 = site.workers.iter().map(Scripted::connections).sum();
    assert!(connections <= 2, "pooled: {connections}");
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
    site.workers[0].wait_for(1).await;
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

#[tokio::test]
async fn at_the_bound_the_useless_give_way_and_those_that_ask_are_served() {
    let site = Site::with(1, 64, &[]).await;
    let mut silent = Vec::new();
    for _ in 0..60 {
        silent.push(site.client().await);
    }
    assert_eq!(site.client().await.ask(&request(&id(), "iso", 10_000)).await.unwrap().0, 200);
}

/// A client that takes in few bytes until it reads.
async fn narrow(site: &Site) -> Client {
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    Client(socket.connect(site.listen).await.unwrap())
}

#[tokio::test]
async fn a_client_that_does_not_read_holds_its_seat_for_a_while_only() {
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
        // It reads once the gatekeeper has written what the way holds.
        tokio::time::sleep(Duration::from_millis(50)).await;
        let answer = client.answer().await.expect("a whole answer");
        assert_eq!((answer.0, answer.2.len()), (200, 60_000));
    }
}

#[tokio::test]
async fn a_client_that_closes_one_way_only_is_answered_still() {
    let site = Site::start(1).await;
    site.workers[0].set_script(slow(100));
    let (id, mut client) = (id(), site.client().await);
    client.send(&request(&id, "iso", 3000)).await;
    client.0.shutdown().await.unwrap();
    assert_eq!(client.answer().await.unwrap().2, format!("done {id}"));
}

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
    spoilt(|_| Reply::Last("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhal".into())).await;
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
async fn a_drained_worker_gets_nothing_new_and_a_new_one_at_its_address_no_old_connection() {
    let site = Site::start(2).await;
    let mut client = site.client().await;
    for _ in 0..8 {
        assert_eq!(client.ask(&request(&id(), "iso", 3000)).await.unwrap().0, 200);
    }
    let before = site.workers[0].connections();
    // Told by the watch that is out: the old worker is gone, a new one stands at its address.
    let workers = [&site.workers[0], &site.workers[1]].map(|worker| worker.address);
    site.discovery.tell(3, list(3, &[("s-9", workers[0], "SERVING"), ("s-1", workers[1], "DRAINING")]));
    site.discovery.taken(3).await;
    let drained = site.workers[1].came().len();
    for _ in 0..8 {
        assert_eq!(client.ask(&request(&id(), "iso", 3000)).await.unwrap().0, 200);
    }
    assert_eq!(site.workers[1].came().len(), drained, "nothing new");
    assert_eq!(site.workers[0].connections(), before + 1, "a connection of its own");
}

/// Asks again and again while the agent tells that `s-0` leaves, which counts from `told` on, and gives the seconds
/// after that in which the last request came to it.
async fn last_at_a_leaving_worker(site: &Site, agent: &Agent) -> f64 {
    let serving: Vec<_> = site.workers.iter().map(|worker| worker.address).collect();
    agent.tell(3, list(3, &[("s-0", serving[0], "DRAINING"), ("s-1", serving[1], "SERVING")]));
    agent.come_back();
    let told = std::time::Instant::now();
    let mut client = site.client().await;
    while told.elapsed().as_secs_f64() < 3.5 * STOP_WITHIN {
        assert_eq!(client.ask(&request(&id(), "iso", 3000)).await.unwrap().0, 200);
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    site.workers[0].came().last().map_or(0.0, |last| last.at.saturating_duration_since(told).as_secs_f64())
}

#[tokio::test]
async fn a_drain_that_a_silent_agent_has_at_its_return_is_kept_whatever_was_asked_meanwhile() {
    // It moves to an agent that is silent as it is first asked: that call is never answered.
    let site = Site::start(2).await;
    let entries = [("s-0", site.workers[0].address, "SERVING"), ("s-1", site.workers[1].address, "SERVING")];
    let agent = Agent::start(ANYWHERE, 2, list(2, &entries)).await.unwrap();
    agent.fall_silent();
    let moved = configuration(site.listen, agent.address(), site.counter.address, 256);
    std::fs::write(&site.file, moved).unwrap();
    site.signal(nix::sys::signal::Signal::SIGHUP);
    agent.wait_for(1).await;
    let last = last_at_a_leaving_worker(&site, &agent).await;
    assert!(last <= STOP_WITHIN, "{last} s after it was told");
}

#[tokio::test]
async fn a_drain_that_an_open_watch_misses_is_kept() {
    let site = Site::start(2).await;
    site.discovery.fall_silent();
    let last = last_at_a_leaving_worker(&site, &site.discovery).await;
    assert!(last <= STOP_WITHIN, "{last} s after it was told");
}

/// A worker whose connections come up late: nobody accepts them, and no room is left for more.
fn late_worker() -> (tokio::net::TcpListener, Vec<std::net::TcpStream>) {
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind(own_address()).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    let brief = Duration::from_millis(200);
    let connect = || std::net::TcpStream::connect_timeout(&address, brief);
    let waiting: Vec<_> = std::iter::from_fn(|| connect().ok()).take(16).collect();
    assert!(waiting.len() < 16, "its backlog has an end");
    (listener, waiting)
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
    site.workers[0].wait_for(1).await;
    let own = site.workers[0].address;
    site.discovery.tell(3, list(3, &[("s-0", own, "SERVING"), ("s-late", address, "DRAINING")]));
    site.discovery.taken(3).await;
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
    assert_eq!(site.workers[0].came().len(), 2, "each at the one that stays");
    assert!(!came.is_finished(), "nothing came at the one that leaves");
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
async fn a_new_configuration_moves_counter_and_discovery_and_loses_nothing() {
    let site = Site::start(1).await;
    site.workers[0].set_script(slow(200));
    let (open, mut client) = (id(), site.client().await);
    client.send(&request(&open, "iso", 3000)).await;
    site.workers[0].wait_for(1).await;
    // One that cannot be used changes nothing.
    std::fs::write(&site.file, "{").unwrap();
    site.signal(nix::sys::signal::Signal::SIGHUP);
    assert_eq!(client.answer().await.unwrap().2, format!("done {open}"));
    let counter = Scripted::start(ANYWHERE, counting()).await.unwrap();
    let entries = [("s-0", site.workers[0].address, "SERVING")];
    let discovery = Agent::start(ANYWHERE, 2, list(2, &entries)).await.unwrap();
    std::fs::write(&site.file, configuration(site.listen, discovery.address(), counter.address, 256))
        .unwrap();
    site.signal(nix::sys::signal::Signal::SIGHUP);
    tokio::time::timeout(LIMIT, discovery.taken(2)).await.expect("the new discovery is watched");
    let moved = async {
        while counter.came().is_empty() {
            let customer =
                request(&id(), "iso", 3000).replace("b4d65521", &format!("{:08x}", fastrand::u32(1..)));
            assert_eq!(client.ask(&customer).await.unwrap().0, 200);
        }
    };
    tokio::time::timeout(LIMIT, moved).await.expect("the new counter is called");
}

#[tokio::test]
async fn a_known_list_that_cannot_be_used_keeps_nobody_from_starting() {
    let spoil = |text: String| text.replace(r#""endpoints":[]"#, r#""endpoints":7"#);
    let site = Site::configured(1, 256, &[], spoil).await;
    assert!(std::fs::read_to_string(&site.file).unwrap().contains(r#""endpoints":7"#));
    assert_eq!(site.client().await.ask(&request(&id(), "iso", 3000)).await.unwrap().0, 200);
}

#[tokio::test]
async fn told_to_stop_it_answers_what_it_took_and_ends() {
    let mut site = Site::start(6).await;
    for worker in &site.workers {
        worker.set_script(slow(150));
    }
    let (open, mut client) = (id(), site.client().await);
    let mut idle = site.client().await;
    assert_eq!(idle.ask(&request(&id(), "iso", 3000)).await.unwrap().0, 200);
    client.send(&request(&open, "iso", 3000)).await;
    while site.tries(&open) == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    site.signal(nix::sys::signal::Signal::SIGTERM);
    idle.closed().await;
    // It still takes what comes, and closes behind each answer.
    let late = id();
    let (status, head, _) = site.client().await.ask(&request(&late, "iso", 3000)).await.unwrap();
    assert!(status == 200 && head.contains("connection: close"), "{head}");
    let (_, head, body) = client.answer().await.unwrap();
    assert_eq!(body, format!("done {open}"));
    assert!(head.contains("connection: close"), "{head}");
    let ended = async {
        while site.child.try_wait().unwrap().is_none() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(LIMIT, ended).await.expect("it ends by itself");
    assert!(site.child.wait().unwrap().success());
}

#[tokio::test]
async fn told_to_stop_amid_a_request_it_takes_the_rest_and_answers() {
    let site = Site::start(1).await;
    let (asked, mut client) = (id(), site.client().await);
    let whole = request(&asked, "iso", 9000);
    let (first, rest) = whole.split_at(40);
    client.send(first).await;
    // One that is idle shows when the signal was taken in.
    let mut idle = site.client().await;
    assert_eq!(idle.ask(&request(&id(), "iso", 3000)).await.unwrap().0, 200);
    site.signal(nix::sys::signal::Signal::SIGTERM);
    idle.closed().await;
    client.send(rest).await;
    assert_eq!(client.answer().await.expect("a whole answer").2, format!("done {asked}"));
}

#[tokio::test]
async fn told_to_stop_it_takes_on_whoever_waits_to_be_accepted() {
    let site = Site::with(1, 64, &[]).await;
    // More than it has seats for, each for the while that a silent one is borne: one that asks waits behind them.
    let mut silent = Vec::new();
    for _ in 0..200 {
        silent.push(site.client().await);
    }
    let (asked, mut last) = (id(), site.client().await);
    last.send(&request(&asked, "iso", 20_000)).await;
    site.signal(nix::sys::signal::Signal::SIGTERM);
    assert_eq!(last.answer().await.expect("a whole answer").2, format!("done {asked}"));
}

#[tokio::test]
async fn under_load_it_is_one_process_whose_sockets_are_tcp_over_ipv4() {
    let site = Site::start(2).await;
    site.workers[0].set_script(slow(300));
    site.workers[1].set_script(slow(300));
    let (id, mut client) = (id(), site.client().await);
    client.send(&request(&id, "iso", 3000)).await;
    while site.tries(&id) == 0 || site.counter.connections() == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let process = procfs::process::Process::new(site.child.id() as i32).unwrap();
    let children: Vec<u32> =
        process.tasks().unwrap().flat_map(|task| task.unwrap().children().unwrap()).collect();
    assert!(children.is_empty(), "{children:?}");
    let tcp: HashSet<u64> = process.tcp().unwrap().into_iter().map(|entry| entry.inode).collect();
    // The signal handler wakes its reader by a pair that has no name: nobody can come to it.
    let unix = process.unix().unwrap().into_iter().filter(|entry| entry.path.is_none());
    let paired: HashSet<u64> = unix.map(|entry| entry.inode).collect();
    let mut over_ipv4 = 0;
    for fd in process.fd().unwrap() {
        match fd.unwrap().target {
            FDTarget::Socket(inode) if tcp.contains(&inode) => over_ipv4 += 1,
            FDTarget::Socket(inode) => assert!(paired.contains(&inode), "neither TCP over IPv4 nor a pair"),
            FDTarget::AnonInode(kind) => assert!(!kind.contains("io_uring"), "{kind}"),
            _ => {}
        }
    }
    assert!(over_ipv4 >= 5, "listener, front, worker, counter, discovery: {over_ipv4}");
    assert_eq!(client.answer().await.unwrap().2, format!("done {id}"));
}

#[test]
fn the_deploy_file_ends_in_one_program_linked_dynamically_against_the_c_library() {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml")).unwrap();
    let deploy: toml::Table = deploy.parse().unwrap();
    assert_eq!(deploy["run"].as_str(), Some("exec target/release/weirusher node"));
    assert!(deploy["build"].as_str().unwrap().contains("--release --locked -p weirusher -p weirusher-cli"));
    for named in deploy["policy"].as_array().unwrap().iter().chain(deploy["node"].as_array().unwrap()) {
        assert!(root.join(named.as_str().unwrap()).exists(), "{named}");
    }
    let program = std::fs::read(env!("CARGO_BIN_EXE_weirusher")).unwrap();
    let elf = ElfFile64::<Endianness>::parse(&*program).unwrap();
    let (endian, mut interpreter) = (elf.endian(), false);
    let mut needed = Vec::new();
    for segment in elf.elf_program_headers() {
        interpreter |= segment.interpreter(endian, &*program).unwrap().is_some();
    }
    let sections = elf.elf_section_table();
    if let Some((entries, strings)) = sections.dynamic(endian, &*program).unwrap() {
        let strings = sections.strings(endian, &*program, strings).unwrap();
        let libraries = entries.iter().filter(|entry| entry.tag32(endian) == Some(DT_NEEDED));
        needed.extend(libraries.map(|entry| String::from_utf8_lossy(entry.string(endian, strings).unwrap())));
    }
    assert!(interpreter && needed.iter().any(|name| name.starts_with("libc.so")), "{interpreter} {needed:?}");
}
