//! Panics at each stage of a request: clients get a response where that is safe, and no resource is leaked.

use crate::context::NodeContext;
use crate::run::{run, spawn_tasks};
use crate::run_error::RunError;
use serde_json::json;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use weirusher_fakes::{Reply, ScriptedServer};
use weirusher_panics::{arm, fault_triggered, silence_injected_panics};
use weirusher_platform::config::Config;

const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
/// Timeout of a test.
const LIMIT: Duration = Duration::from_secs(20);
/// Time budget of each request, in milliseconds.
const TIME_BUDGET_MS: u64 = 2000;
/// Maximum number of attempts that a customer may have in flight. If panics leaked them, the limit would soon
/// be reached.
const MAX_IN_FLIGHT: u32 = 4;
/// Names of the request classes.
const IDEMPOTENT: &str = "check";
const NON_IDEMPOTENT: &str = "store";

/// A configuration whose endpoint list has these backends.
fn configuration(listen: SocketAddr, backends: &[ScriptedServer]) -> String {
    let entry = |(number, backend): (usize, &ScriptedServer)| {
        json!({"name": format!("s-{number}"), "address": backend.address, "zone": "a", "type": "m", "group": 0,
            "status": "SERVING", "weight": 1.0, "since_ms": 0})
    };
    let endpoints: Vec<_> = backends.iter().enumerate().map(entry).collect();
    json!({
        "name": "n0", "listen": listen, "discovery": "127.0.0.1:9", "seed": 1,
        "known": {"index": 1, "snapshot": true, "endpoints": endpoints},
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "settings": {
            "PeersTotal": 1, "Me": 0, "Domain": {"MaxUnits": 1.0},
            "Classes": [{"Name": IDEMPOTENT, "Effect": "idempotent", "Slo": 2.0},
                {"Name": NON_IDEMPOTENT, "Effect": "at_most_once", "Slo": 2.0}],
            "Plans": [{"Name": "iso", "QuotaRate": 1e6, "Depth": 1e6, "Pays": 1.0, "Open": MAX_IN_FLIGHT}]
        }
    })
    .to_string()
}

async fn backends() -> Vec<ScriptedServer> {
    let mut backends = Vec::new();
    for _ in 0..3 {
        backends.push(ScriptedServer::start(ANY_PORT, |_| Reply::ok("done")).await.unwrap());
    }
    backends
}

/// A running node with backends, without discovery and without a counter.
struct Harness {
    node: Rc<NodeContext>,
    address: SocketAddr,
    backends: Vec<ScriptedServer>,
}

async fn with_node(test: impl AsyncFnOnce(Harness)) {
    silence_injected_panics();
    let backends = backends().await;
    let mut config = Config::parse(configuration(ANY_PORT, &backends).as_bytes()).unwrap();
    let node = NodeContext::new(&config).unwrap();
    let local = LocalSet::new();
    let test = async {
        node.set_has_counter(false);
        node.list_current_until.set(f64::INFINITY);
        node.handle_endpoint_list(std::mem::replace(&mut config.cached_list, Ok(None)).unwrap().unwrap());
        let listener = weirusher_net::bind(ANY_PORT).await.unwrap();
        let address = listener.local_addr().unwrap();
        spawn_tasks(&node, listener);
        test(Harness { node, address, backends }).await;
    };
    tokio::time::timeout(LIMIT, local.run_until(test)).await.expect("in time");
}

fn request(class: &str) -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let (method, id) = (if class == IDEMPOTENT { "GET" } else { "POST" }, NEXT.fetch_add(1, Relaxed));
    format!(
        "{method} /api/00000000b4d65521 HTTP/1.1\r\nHost: x\r\nX-Trace-Id: {id:016x}\r\nX-Qos: {class}\r\n\
         Plan: iso\r\nX-Expires-In: {TIME_BUDGET_MS}m\r\nQuota-Info: units=1,spread=1,first=0\r\n\
         Content-Length: 0\r\n\r\n"
    )
}

/// The status code of the next response; `None` if the connection ended without one.
async fn response(client: &mut TcpStream) -> Option<u16> {
    let mut text = String::new();
    loop {
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let head = head.to_lowercase();
            let length =
                head.split("content-length: ").nth(1).and_then(|rest| rest.split("\r\n").next()).unwrap();
            if body.len() >= length.parse().unwrap() {
                return head.split(' ').nth(1).unwrap().parse().ok();
            }
        }
        let mut part = [0; 1024];
        match client.read(&mut part).await {
            Ok(count @ 1..) => text.push_str(std::str::from_utf8(&part[..count]).unwrap()),
            _ => return None,
        }
    }
}

async fn exchange(client: &mut TcpStream, class: &str) -> Option<u16> {
    client.write_all(request(class).as_bytes()).await.ok()?;
    response(client).await
}

impl Harness {
    async fn client(&self) -> TcpStream {
        TcpStream::connect(self.address).await.unwrap()
    }

    /// The responses to a request that runs into a panic at `place`, and to the next request on its
    /// connection.
    async fn responses_after_panic(&self, place: &'static str, class: &str) -> [Option<u16>; 2] {
        let mut client = self.client().await;
        arm(place);
        let first = exchange(&mut client, class).await;
        assert!(fault_triggered(), "{place}");
        [first, exchange(&mut client, class).await]
    }

    /// Number of requests that reached the backends.
    fn executions(&self) -> usize {
        self.backends.iter().map(|backend| backend.received().len()).sum()
    }
}

/// Guards against connections that are closed without a response because their task panicked.
#[tokio::test]
async fn a_request_whose_task_panics_gets_one_response() {
    with_node(async |harness| {
        let mut other = harness.client().await;
        let (failed, served, closed) = (Some(502), Some(200), None);
        // After a panic that follows the head, the end of the message is unknown: the connection closes.
        assert_eq!(harness.responses_after_panic("head read", IDEMPOTENT).await, [failed, closed]);
        assert_eq!(harness.responses_after_panic("request pending", IDEMPOTENT).await, [failed, served]);
        // The response may have been written in part: the connection closes without another one.
        assert_eq!(harness.responses_after_panic("response started", IDEMPOTENT).await, [closed, closed]);
        // Served by a retry or rejected: nothing was executed, or the request is idempotent.
        for (place, class) in
            [("attempt unsent", IDEMPOTENT), ("attempt unsent", NON_IDEMPOTENT), ("attempt sent", IDEMPOTENT)]
        {
            let [first, second] = harness.responses_after_panic(place, class).await;
            assert!(matches!(first, Some(200 | 429)), "{place}, {class}: {first:?}");
            assert_eq!(second, served);
        }
        assert_eq!(exchange(&mut other, IDEMPOTENT).await, served);
        assert!(!harness.node.failure.is_raised());
    })
    .await;
}

#[tokio::test]
async fn non_idempotent_request_is_not_retried_after_a_panic() {
    with_node(async |harness| {
        let mut client = harness.client().await;
        arm("attempt sent");
        assert_eq!(exchange(&mut client, NON_IDEMPOTENT).await, Some(502));
        assert!(fault_triggered());
        assert!(harness.executions() <= 1);
    })
    .await;
}

/// Guards against leaks of slots, connections, memory, quota and attempts in flight.
#[tokio::test]
async fn resources_are_released_after_a_thousand_panics() {
    with_node(async |harness| {
        let places = ["head read", "request pending", "response started", "attempt unsent", "attempt sent"];
        for round in 0..1000 {
            let mut client = harness.client().await;
            arm(places[round % places.len()]);
            exchange(&mut client, IDEMPOTENT).await;
            assert!(fault_triggered(), "round {round}");
        }
        let mut client = harness.client().await;
        for _ in 0..20 {
            assert_eq!(exchange(&mut client, IDEMPOTENT).await, Some(200));
        }
        drop(client);
        while !harness.node.state.borrow().slots.is_empty() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let mut state = harness.node.state.borrow_mut();
        assert_eq!((state.pending.len(), state.attempts.len(), state.close_signals.len()), (0, 0, 0));
        assert_eq!((state.proxy.pending(), state.proxy.open_requests()), (0, 0));
        state.pool.evict(harness.node.now(), |_| false); // Closes all idle connections.
        assert_eq!(state.pool.open(), 0);
        for budget in [&harness.node.memory.requests, &harness.node.memory.responses] {
            assert!(budget.grant(harness.node.budget.message_bytes).is_ok(), "the whole budget is free");
        }
        assert_eq!(state.proxy.violations().total(), 0);
    })
    .await;
}

/// Runs a complete node and checks that a panic at `place` shuts it down, with responses to the open
/// requests.
async fn assert_panic_shuts_node_down(place: &'static str) {
    silence_injected_panics();
    let backends = backends().await;
    let slow = |_: &_| match Reply::ok("done") {
        Reply::Bytes(bytes) => Reply::Delayed(Duration::from_millis(200), bytes),
        other => other,
    };
    backends.iter().for_each(|backend| backend.set_script(slow));
    let listen = std::net::TcpListener::bind(ANY_PORT).unwrap().local_addr().unwrap();
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("config.json");
    std::fs::write(&file, configuration(listen, &backends)).unwrap();
    let clients = async {
        let mut pending = loop {
            match TcpStream::connect(listen).await {
                Ok(stream) => break stream,
                Err(_) => tokio::time::sleep(Duration::from_millis(2)).await,
            }
        };
        pending.write_all(request(IDEMPOTENT).as_bytes()).await.unwrap();
        while backends.iter().all(|backend| backend.received().is_empty()) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        arm(place);
        let mut second = TcpStream::connect(listen).await.unwrap();
        let second = exchange(&mut second, IDEMPOTENT).await;
        (response(&mut pending).await, second)
    };
    let local = LocalSet::new();
    let ended = local.run_until(async { tokio::join!(run(&file, None), clients) });
    let (ended, (first, second)) = tokio::time::timeout(LIMIT, ended).await.expect("the node shuts down");
    assert!(fault_triggered());
    assert!(matches!(ended, Err(RunError::Panicked)), "{ended:?}");
    assert_eq!(first, Some(200), "the request that was pending at the panic");
    assert!(second.is_some(), "the request that was sent once the panic was armed");
}

/// Guards against a node that keeps running without the task that runs its timers.
#[tokio::test]
async fn panic_of_a_shared_task_shuts_the_node_down() {
    assert_panic_shuts_node_down("timers").await;
}

/// Guards against decisions that are based on state which a panic left half changed.
#[tokio::test]
async fn panic_during_a_state_change_shuts_the_node_down() {
    assert_panic_shuts_node_down("state change").await;
}
