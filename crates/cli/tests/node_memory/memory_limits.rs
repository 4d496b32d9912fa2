//! The memory limit of the platform, which kills a process that exceeds it, while many clients, backends or discovery
//! send all that they can. The memory is read from /proc meanwhile.

use crate::support::{Client, Harness, echo, request, store_request, unique_id};
use procfs::process::Process;
use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use weirusher_fakes::{Reply, http_response};

/// How long the trouble lasts.
const TROUBLE: Duration = Duration::from_secs(2);
/// How often the memory is read.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(2);
/// Bytes that a client writes at once.
const PIECE: usize = 250_000;
/// Pause between two pieces of a client that shares its processor with others.
const PIECE_PAUSE: Duration = Duration::from_millis(20);
/// Bytes in a megabyte, as the platform defines it.
const MEGABYTE: u64 = 1_000_000;
/// Largest body that the gateway accepts, in bytes.
const MAX_BODY: usize = 1 << 20;
/// Shares of the memory limit that the page of the platform states for all requests and all responses.
const MESSAGE_SHARE: f64 = 0.2 + 0.2;
/// Memory of a connection beside that, in bytes: its task, its short messages.
const CONNECTION_BYTES: u64 = 8 * 1024;
/// Deadline of the usual clients' requests.
const DEADLINE: Duration = Duration::from_secs(3);

/// The limits of a gateway, and how many clients make trouble.
#[derive(Debug, Clone, Copy)]
struct Limits {
    memory_mb: u64,
    sockets: usize,
    clients: usize,
}

/// The least memory and descriptors that the platform gives to a gateway.
const SMALL: Limits = Limits { memory_mb: 32, sockets: 256, clients: 100 };
/// The most.
const LARGE: Limits = Limits { memory_mb: 192, sockets: 1024, clients: 400 };

/// The anonymous memory of a gateway, in bytes.
#[derive(Debug, Clone, Copy)]
struct Memory {
    /// Before the trouble.
    idle: u64,
    /// The most during the trouble.
    peak: u64,
}

/// What a client that makes trouble does with one connection.
type Trouble = fn(TcpStream) -> std::pin::Pin<Box<dyn Future<Output = std::io::Result<()>> + Send>>;

/// Anonymous memory of a process in bytes: neither files nor the buffers of sockets.
fn anonymous_memory(process: &Process) -> u64 {
    1024 * process.status().unwrap().rssanon.unwrap()
}

/// Held by the test that is running: one at a time has the processors.
static RUNNING: Mutex<()> = Mutex::const_new(());

async fn start(limits: Limits) -> Harness {
    let memory = format!(r#""memory_mb":{}"#, limits.memory_mb);
    let change = |text: String| text.replace(r#""memory_mb":64"#, &memory);
    Harness::start_with_config(3, limits.sockets, &[], change).await
}

/// Lets many clients make trouble, each on one connection after another, while usual clients are served. Returns the
/// memory that the gateway used.
async fn peak_memory(harness: &Harness, limits: Limits, trouble: Trouble) -> Memory {
    let process = Process::new(harness.child.id() as i32).unwrap();
    let idle = anonymous_memory(&process);
    let peak = Arc::new(AtomicU64::new(0));
    let ended = Arc::new(AtomicBool::new(false));
    let sampler = std::thread::spawn({
        let (peak, ended) = (peak.clone(), ended.clone());
        move || {
            while !ended.load(Ordering::Relaxed) {
                peak.fetch_max(anonymous_memory(&process), Ordering::Relaxed);
                std::thread::sleep(SAMPLE_INTERVAL);
            }
        }
    });
    let (listen, end) = (harness.listen, Instant::now() + TROUBLE);
    let mut clients = JoinSet::new();
    for _ in 0..limits.clients {
        clients.spawn(async move {
            while Instant::now() < end {
                // A failure is the gateway's close.
                if let Ok(stream) = TcpStream::connect(listen).await {
                    let _ = tokio::time::timeout(DEADLINE, trouble(stream)).await;
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        });
    }
    let usual = usual_client(harness, end);
    let (answered, _) = tokio::join!(usual, clients.join_all());
    assert!(answered > 0, "the usual client is served");
    ended.store(true, Ordering::Relaxed);
    sampler.join().unwrap();
    Memory { idle, peak: peak.load(Ordering::Relaxed) }
}

/// Sends a usual client's requests until `end`, and returns how many were answered. A request without an answer is an
/// error.
async fn usual_client(harness: &Harness, end: Instant) -> usize {
    let (mut answered, mut client) = (0, None);
    while Instant::now() < end {
        let mut connection: Client = match client.take() {
            Some(client) => client,
            None => harness.client().await,
        };
        let text = request(&unique_id(), "iso", DEADLINE.as_millis() as u64);
        // No answer to a request on a connection that the gateway has just closed: it is sent again.
        if let Some(answer) = connection.exchange(&text).await {
            assert!(matches!(answer.status, 200 | 429 | 503), "{}", answer.status);
            answered += 1;
            client = Some(connection);
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    answered
}

/// Checks that the memory stayed within the limit, and that what the peers filled stayed within its shares of it.
fn assert_within(limits: Limits, memory: Memory, what: &str) {
    println!("{what}: {memory:?}, {limits:?}");
    let limit = limits.memory_mb * MEGABYTE;
    assert!(memory.peak <= limit, "{what}: {memory:?}, {limits:?}");
    let messages = (limit as f64 * MESSAGE_SHARE) as u64 + limits.sockets as u64 * CONNECTION_BYTES;
    assert!(
        memory.peak - memory.idle <= messages,
        "{what}: {memory:?}, {messages} bytes for messages, {limits:?}"
    );
}

async fn assert_trouble_stays_within(limits: Limits, trouble: Trouble, what: &str) {
    let harness = start(limits).await;
    let peak = peak_memory(&harness, limits, trouble).await;
    assert_within(limits, peak, what);
}

/// The head of a request whose body is announced by `field`.
fn head_with(field: &str) -> String {
    store_request(&unique_id(), "").replace("Content-Length: 0", field)
}

/// Writes a head and `length` bytes after it, with a pause after each piece, and reads what it is sent until the gateway closes.
async fn send_and_read(
    stream: TcpStream,
    head: String,
    length: usize,
    pause: Duration,
) -> std::io::Result<()> {
    let (mut reader, mut writer) = stream.into_split();
    let write = async move {
        writer.write_all(head.as_bytes()).await?;
        let piece = vec![b'b'; PIECE];
        let mut missing = length;
        while missing > 0 {
            let count = missing.min(PIECE);
            writer.write_all(&piece[..count]).await?;
            missing -= count;
            tokio::time::sleep(pause).await;
        }
        std::future::pending::<std::io::Result<()>>().await // The connection stays open.
    };
    let read = async move {
        while reader.read(&mut [0; 4096]).await? > 0 {}
        Ok(())
    };
    tokio::select! {
        written = write => written,
        read = read => read,
    }
}

/// Guards against memory that is filled before its budget is asked, and against connections that keep the memory of a
/// request once it was rejected: bodies of 60 MB whose `Content-Length` says 1,000,000 (`review/1`).
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bodies_longer_than_announced_stay_within_the_memory_limit() {
    let _running = RUNNING.lock().await;
    for limits in [SMALL, LARGE] {
        let trouble: Trouble = |stream| {
            Box::pin(send_and_read(stream, head_with("Content-Length: 1000000"), 60_000_000, PIECE_PAUSE))
        };
        assert_trouble_stays_within(limits, trouble, "bodies longer than announced").await;
    }
}

/// Guards against the memory of bodies whose end never comes, which is held until the connections time out.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn incomplete_bodies_stay_within_the_memory_limit() {
    let _running = RUNNING.lock().await;
    for limits in [SMALL, LARGE] {
        let trouble: Trouble = |stream| {
            Box::pin(send_and_read(stream, head_with("Content-Length: 1048576"), 1_000_000, Duration::ZERO))
        };
        assert_trouble_stays_within(limits, trouble, "incomplete bodies").await;
    }
}

/// Guards against chunks that are held twice, in the read buffer and in the body.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn incomplete_chunks_stay_within_the_memory_limit() {
    let _running = RUNNING.lock().await;
    for limits in [SMALL, LARGE] {
        let trouble: Trouble = |stream| {
            let head = head_with("Transfer-Encoding: chunked") + "fffff\r\n";
            Box::pin(send_and_read(stream, head, 1_000_000, Duration::ZERO))
        };
        assert_trouble_stays_within(limits, trouble, "incomplete chunks").await;
    }
}

/// Guards against buffers of heads that no budget counts: heads without end, and targets that are as long as a head may
/// be, with further requests behind them.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn long_heads_stay_within_the_memory_limit() {
    let _running = RUNNING.lock().await;
    let few_megabytes = Limits { memory_mb: 32, ..LARGE };
    let endless: Trouble = |stream| {
        let head = format!("GET /api/00000000b4d65521 HTTP/1.1\r\nX: {}", "a".repeat(16_000));
        Box::pin(send_and_read(stream, head, 0, Duration::ZERO))
    };
    assert_trouble_stays_within(few_megabytes, endless, "heads without end").await;
    let pipelined: Trouble = |stream| {
        let target = format!("?a={}", "b".repeat(15_000));
        let requests: String =
            (0..4).map(|_| request(&unique_id(), "iso", 2500).replace("?a=b", &target)).collect();
        Box::pin(send_and_read(stream, requests, 0, Duration::ZERO))
    };
    let harness = start(few_megabytes).await;
    for backend in &harness.backends {
        backend.set_script(|request| match request.path.len() > 1000 {
            true => Reply::Delayed(Duration::from_millis(300), http_response(200, "", "done")),
            false => echo(request),
        });
    }
    let peak = peak_memory(&harness, few_megabytes, pipelined).await;
    assert_within(few_megabytes, peak, "long targets, pipelined");
}

/// Guards against responses whose memory is filled before its budget is asked: long ones, with a length and in chunks,
/// that no client reads.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn long_responses_stay_within_the_memory_limit() {
    let _running = RUNNING.lock().await;
    let chunks =
        format!("HTTP/1.1 200 -\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\n{}", "c".repeat(MAX_BODY - 1));
    let with_length = http_response(200, "", &"l".repeat(MAX_BODY));
    for limits in [SMALL, LARGE] {
        for long in [with_length.clone(), chunks.clone().into()] {
            let harness = start(limits).await;
            for backend in &harness.backends {
                let long = long.clone();
                backend.set_script(move |request| match request.method.as_str() {
                    "POST" => Reply::Bytes(long.clone()),
                    _ => echo(request),
                });
            }
            let trouble: Trouble = |mut stream| {
                Box::pin(async move {
                    stream.write_all(store_request(&unique_id(), "").as_bytes()).await?;
                    tokio::time::sleep(Duration::from_millis(500)).await;
                    Ok(())
                })
            };
            let peak = peak_memory(&harness, limits, trouble).await;
            assert_within(limits, peak, "long responses");
        }
    }
}

/// Largest endpoint list that the gateway reads, in bytes.
const MAX_LIST: usize = 4 << 20;

/// Replaces the endpoint list several times while a usual client is served, and returns the memory that the gateway used.
async fn memory_with_lists(harness: &Harness, list: &str) -> Memory {
    let replace = async {
        for index in 10..16 {
            harness.discovery.set_list(index, list.replace(r#""index":0"#, &format!(r#""index":{index}"#)));
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
    };
    let none: Trouble = |_| Box::pin(std::future::ready(Ok(())));
    let usual = Limits { clients: 0, ..SMALL };
    tokio::join!(peak_memory(harness, usual, none), replace).0
}

/// Guards against lists that need a multiple of their size when they are parsed: many tiny values in place of entries,
/// one entry with many values in it, and as many backends as a list may have.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn endpoint_lists_stay_within_the_memory_limit() {
    let _running = RUNNING.lock().await;
    let list = |entries: &str| format!(r#"{{"index":0,"snapshot":true,"endpoints":[{entries}]}}"#);
    let zeros = "0,".repeat(MAX_LIST / 2 - 100) + "0";
    let entry = |n: usize| {
        let name = format!("{}-{n}", "n".repeat(200));
        format!(
            r#"{{"name":"{name}","address":"127.0.0.1:9","zone":"a","type":"{}","group":0,"status":"DRAINING","weight":1.0,"since_ms":0}}"#,
            "t".repeat(600)
        )
    };
    let full: Vec<String> = (0..4096).map(entry).collect();
    for (what, entries) in [
        ("tiny values", zeros.clone()),
        ("a deep entry", format!(r#"{{"x":[{zeros}]}}"#)),
        ("full", full.join(",")),
    ] {
        let (harness, text) = (start(SMALL).await, list(&entries));
        assert!(text.len() <= MAX_LIST, "{what}: {}", text.len());
        let memory = memory_with_lists(&harness, &text).await;
        println!("{what}: {memory:?}");
        assert!(memory.peak <= SMALL.memory_mb * MEGABYTE, "{what}: {memory:?}");
    }
}

/// Guards against state of customers that grows without end: each request is of another customer.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn customers_that_come_once_stay_within_the_memory_limit() {
    /// Share of the memory limit that the page of the platform states for the state of customers.
    const CUSTOMER_SHARE: f64 = 0.2;
    /// More customers than the memory limit has room for.
    const CUSTOMERS: u64 = 80_000;
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let _running = RUNNING.lock().await;
    let trouble: Trouble = |stream| {
        let of_next_customer = |_| {
            let customer = format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed));
            request(&unique_id(), "iso", 2500).replace("00000000b4d65521", &customer)
        };
        let requests: String = (0..50).map(of_next_customer).collect();
        let answered = send_and_read(stream, requests, 0, Duration::ZERO);
        Box::pin(async { tokio::time::timeout(Duration::from_millis(200), answered).await.unwrap_or(Ok(())) })
    };
    let harness = start(SMALL).await;
    let started = Instant::now();
    let mut memory = peak_memory(&harness, SMALL, trouble).await;
    while NEXT.load(Ordering::Relaxed) < CUSTOMERS && started.elapsed() < Duration::from_secs(40) {
        memory.peak = memory.peak.max(peak_memory(&harness, SMALL, trouble).await.peak);
    }
    println!(
        "customers that come once: {} in {:?}, {memory:?}",
        NEXT.load(Ordering::Relaxed),
        started.elapsed()
    );
    let limit = SMALL.memory_mb * MEGABYTE;
    let shares = (limit as f64 * (MESSAGE_SHARE + CUSTOMER_SHARE)) as u64;
    let connections = SMALL.sockets as u64 * CONNECTION_BYTES;
    assert!(memory.peak - memory.idle <= shares + connections, "{memory:?}");
}

/// Guards against fields that cost more memory than their bytes: heads of very many short ones, incomplete or followed by
/// a body that stops half way.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn heads_of_many_short_fields_stay_within_the_memory_limit() {
    let _running = RUNNING.lock().await;
    let few_megabytes = Limits { memory_mb: 32, ..LARGE };
    let incomplete: Trouble = |stream| {
        let head = request(&unique_id(), "iso", 2500);
        let head = format!("{}\r\n{}", head.trim_end(), "a:b\r\n".repeat(3000));
        Box::pin(send_and_read(stream, head, 0, Duration::ZERO))
    };
    assert_trouble_stays_within(few_megabytes, incomplete, "incomplete heads of short fields").await;
    let half_a_body: Trouble = |stream| {
        let fields = format!("{}Content-Length: 1000000", "a:b\r\n".repeat(50));
        Box::pin(send_and_read(stream, head_with(&fields), MAX_BODY / 2, PIECE_PAUSE))
    };
    assert_trouble_stays_within(few_megabytes, half_a_body, "short fields and half a body").await;
}
