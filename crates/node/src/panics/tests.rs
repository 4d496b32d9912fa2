//! Panics at each place where a request may be: who is answered, and what is left of them.

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
use weirusher_panics::{arm, quiet, was_reached};
use weirusher_platform::config::Config;

const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
/// Limit for what must happen.
const LIMIT: Duration = Duration::from_secs(20);
/// Milliseconds that each client waits.
const DEADLINE_MS: u64 = 2000;
/// Attempts that a customer may have in flight: a panic that kept one would soon use them up.
const MAX_IN_FLIGHT: u32 = 4;
/// The classes of requests.
const IDEMPOTENT: &str = "check";
const NON_IDEMPOTENT: &str = "store";

/// A configuration with these backends.
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

/// A node that serves, without discovery and a counter.
struct Serving {
    node: Rc<NodeContext>,
    address: SocketAddr,
    backends: Vec<ScriptedServer>,
}

async fn serving(test: impl AsyncFnOnce(Serving)) {
    quiet();
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
        test(Serving { node, address, backends }).await;
    };
    tokio::time::timeout(LIMIT, local.run_until(test)).await.expect("in time");
}

fn request(class: &str) -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let (method, id) = (if class == IDEMPOTENT { "GET" } else { "POST" }, NEXT.fetch_add(1, Relaxed));
    format!(
        "{method} /api/00000000b4d65521 HTTP/1.1\r\nHost: x\r\nX-Trace-Id: {id:016x}\r\nX-Qos: {class}\r\n\
         Plan: iso\r\nX-Expires-In: {DEADLINE_MS}m\r\nQuota-Info: units=1,spread=1,first=0\r\n\
         Content-Length: 0\r\n\r\n"
    )
}

/// The status of the next response; `None`: the connection ended without one.
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

impl Serving {
    async fn client(&self) -> TcpStream {
        TcpStream::connect(self.address).await.unwrap()
    }

    /// The end of a request that meets a panic at `place`, and of the next one on its connection.
    async fn ends(&self, place: &'static str, class: &str) -> [Option<u16>; 2] {
        let mut client = self.client().await;
        arm(place);
        let first = exchange(&mut client, class).await;
        assert!(was_reached(), "{place}");
        [first, exchange(&mut client, class).await]
    }

    fn executions(&self) -> usize {
        self.backends.iter().map(|backend| backend.received().len()).sum()
    }
}

/// Guards against a connection that ends unanswered as its task panics.
#[tokio::test]
async fn a_request_whose_task_panics_gets_one_response() {
    serving(async |site| {
        let mut other = site.client().await;
        let (failed, served, closed) = (Some(502), Some(200), None);
        // The rest of a message of which only the head was read is unknown: the connection closes.
        assert_eq!(site.ends("head read", IDEMPOTENT).await, [failed, closed]);
        assert_eq!(site.ends("request pending", IDEMPOTENT).await, [failed, served]);
        // A part of the response may have been written.
        assert_eq!(site.ends("response started", IDEMPOTENT).await, [closed, closed]);
        // Served by a retry, or rejected: nothing was executed, or a repeat does no harm.
        for (place, class) in
            [("attempt unsent", IDEMPOTENT), ("attempt unsent", NON_IDEMPOTENT), ("attempt sent", IDEMPOTENT)]
        {
            let [first, second] = site.ends(place, class).await;
            assert!(matches!(first, Some(200 | 429)), "{place}, {class}: {first:?}");
            assert_eq!(second, served);
        }
        assert_eq!(exchange(&mut other, IDEMPOTENT).await, served);
        assert!(!site.node.failure.is_raised());
    })
    .await;
}

#[tokio::test]
async fn a_request_that_is_not_idempotent_is_not_sent_again_after_its_attempt_panics() {
    serving(async |site| {
        let mut client = site.client().await;
        arm("attempt sent");
        assert_eq!(exchange(&mut client, NON_IDEMPOTENT).await, Some(502));
        assert!(was_reached());
        assert!(site.executions() <= 1);
    })
    .await;
}

/// Guards against a slot, a connection, memory or a unit of a quota that stays taken.
#[tokio::test]
async fn nothing_stays_taken_after_a_thousand_panics() {
    serving(async |site| {
        let places = ["head read", "request pending", "response started", "attempt unsent", "attempt sent"];
        for round in 0..1000 {
            let mut client = site.client().await;
            arm(places[round % places.len()]);
            exchange(&mut client, IDEMPOTENT).await;
            assert!(was_reached(), "round {round}");
        }
        let mut client = site.client().await;
        for _ in 0..20 {
            assert_eq!(exchange(&mut client, IDEMPOTENT).await, Some(200));
        }
        drop(client);
        while !site.node.state.borrow().slots.is_empty() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let mut state = site.node.state.borrow_mut();
        assert_eq!((state.pending.len(), state.attempts.len(), state.close_signals.len()), (0, 0, 0));
        assert_eq!((state.proxy.pending(), state.proxy.open_requests()), (0, 0));
        state.pool.evict(site.node.now(), |_| false); // All idle connections are closed.
        assert_eq!(state.pool.open(), 0);
        for budget in [&site.node.request_bodies, &site.node.response_bodies] {
            assert!(budget.permit().try_grow_to(site.node.budget.body_bytes), "all of it is free");
        }
        assert_eq!(state.proxy.violations().total(), 0);
    })
    .await;
}

/// Runs a whole node until it ends by itself.
async fn ends_by_itself(place: &'static str) {
    quiet();
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
    let (ended, (first, second)) = tokio::time::timeout(LIMIT, ended).await.expect("it ends");
    assert!(was_reached());
    assert!(matches!(ended, Err(RunError::Panicked)), "{ended:?}");
    assert_eq!(first, Some(200), "a request that was pending");
    assert!(second.is_some(), "a request that was read");
}

/// Guards against a node that goes on without the task that runs its timers.
#[tokio::test]
async fn a_panic_of_a_task_that_all_depend_on_shuts_the_node_down() {
    ends_by_itself("timers").await;
}

/// Guards against decisions on a state that a panic left half changed.
#[tokio::test]
async fn a_panic_amid_a_change_of_the_shared_state_shuts_the_node_down() {
    ends_by_itself("state change").await;
}
