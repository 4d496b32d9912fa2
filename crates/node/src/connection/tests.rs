//! Races between a client's request and a close. The runtime gets no new notifications from the system during
//! the race.

use super::Connection;
use crate::client_slot::ClientSlot;
use crate::client_socket::ClientSocket;
use crate::context::NodeContext;
use socket2::SockRef;
use std::future::Future;
use std::io::Write;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;
use weirusher_platform::config::Config;

const CONFIGURATION: &[u8] = br#"{
    "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": 1,
    "known": {"index": 1, "snapshot": true, "endpoints": [{"name": "s-0", "address": "127.0.0.1:9", "zone": "a",
        "type": "m", "group": 0, "status": "SERVING", "weight": 1.0, "since_ms": 0}]},
    "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 64},
    "settings": {
        "PeersTotal": 1, "Me": 0, "Domain": {"MaxUnits": 1.0},
        "Classes": [{"Name": "check", "Effect": "idempotent", "Slo": 2.0}],
        "Plans": [{"Name": "iso", "QuotaRate": 1000.0, "Depth": 1000.0, "Pays": 1.0}]
    }
}"#;

fn request(id: u32) -> String {
    format!(
        "GET /api/00000000b4d65521 HTTP/1.1\r\nHost: x\r\nX-Trace-Id: {id}\r\nX-Qos: check\r\nPlan: iso\r\n\
         X-Expires-In: 9000m\r\nQuota-Info: units=1,spread=1,first=0\r\n\r\n"
    )
}

/// A connection and its client. The client has sent `bytes`, and the runtime was notified of them.
async fn connected(node: &Rc<NodeContext>, bytes: &str) -> (Connection, std::net::TcpStream) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let mut client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    if !bytes.is_empty() {
        client.write_all(bytes.as_bytes()).unwrap();
        stream.readable().await.unwrap();
    }
    let slot = ClientSlot { node: node.clone(), id: 1 };
    (Connection::new(slot, ClientSocket::new(stream), Rc::default()), client)
}

/// Adds a backend with an idle pooled connection to the node, and returns the backend's side of the
/// connection.
async fn pooled_backend(node: &Rc<NodeContext>) -> std::net::TcpStream {
    let listener = std::net::TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let text = String::from_utf8(CONFIGURATION.to_vec()).unwrap();
    let text =
        text.replace(r#""s-0", "address": "127.0.0.1:9""#, &format!(r#""s-0", "address": "{address}""#));
    node.handle_endpoint_list(Config::parse(text.as_bytes()).unwrap().cached_list.unwrap().unwrap());
    node.list_current_until.set(f64::INFINITY);
    let stream = TcpStream::connect(address).await.unwrap();
    let (backend, _) = listener.accept().unwrap();
    backend.set_nonblocking(true).unwrap();
    let state = &mut *node.state.borrow_mut();
    let endpoint = state.backends.endpoint(&"s-0".into()).unwrap();
    let pool = &mut state.pool;
    let _ = pool.reserve();
    // Idle for longer than the pool's delay before a connection is reused.
    assert!(pool.put(node.now() - 1.0, endpoint, stream).is_none());
    backend
}

/// Polls the task of a connection once, without new notifications from the system.
fn poll_once(serve: std::pin::Pin<&mut impl Future<Output = ()>>) -> Poll<()> {
    serve.poll(&mut Context::from_waker(Waker::noop()))
}

async fn with_node(test: impl AsyncFnOnce(Rc<NodeContext>)) {
    let config = Config::parse(CONFIGURATION).unwrap();
    let node = NodeContext::new(&config).unwrap();
    node.handle_endpoint_list(config.cached_list.unwrap().unwrap());
    LocalSet::new().run_until(test(node)).await;
}

/// The client closes before its request is read.
#[tokio::test]
async fn request_of_a_closed_client_is_not_registered() {
    with_node(async |node| {
        // 0: write side shut down, 1: closed, 2: reset. Each was received before the request is read.
        for how in 0..3 {
            let (connection, client) = connected(&node, &request(how)).await;
            match how {
                0 => client.shutdown(std::net::Shutdown::Write).unwrap(),
                1 => drop(client),
                _ => {
                    SockRef::from(&client).set_linger(Some(Duration::ZERO)).unwrap();
                    drop(client);
                }
            }
            let mut serve = std::pin::pin!(connection.serve());
            assert_eq!(poll_once(serve.as_mut()), Poll::Ready(()), "{how}");
            assert_eq!(node.state.borrow().proxy.metrics().requests, 0, "{how}: the request was registered");
        }
    })
    .await;
}

/// More requests than the gateway reads ahead.
fn unread_requests() -> String {
    (100..300).map(request).collect()
}

/// Guards against requests that are sent on although their client has left: its close was behind unread bytes.
#[tokio::test]
async fn request_of_a_client_that_closed_behind_unread_bytes_is_not_registered() {
    with_node(async |node| {
        for resets in [false, true] {
            let (connection, client) = connected(&node, &(request(0) + &unread_requests())).await;
            if resets {
                SockRef::from(&client).set_linger(Some(Duration::ZERO)).unwrap();
                drop(client);
            } else {
                client.shutdown(std::net::Shutdown::Write).unwrap();
            }
            let mut serve = std::pin::pin!(connection.serve());
            assert_eq!(poll_once(serve.as_mut()), Poll::Ready(()), "resets: {resets}");
            assert_eq!(node.state.borrow().proxy.metrics().requests, 0, "resets: {resets}");
        }
    })
    .await;
}

#[tokio::test]
async fn a_close_together_with_bytes_read_ahead_is_detected() {
    with_node(async |node| {
        let (connection, mut client) = connected(&node, &request(0)).await;
        let mut serve = std::pin::pin!(connection.serve());
        assert_eq!(poll_once(serve.as_mut()), Poll::Pending, "the request waits for its response");
        // One notification covers the bytes and the close; reading only the bytes would be a short read.
        client.write_all(request(1).as_bytes()).unwrap();
        client.shutdown(std::net::Shutdown::Write).unwrap();
        tokio::time::timeout(Duration::from_secs(30), serve).await.expect("the connection ends");
        assert_eq!(node.state.borrow().proxy.pending(), 0);
    })
    .await;
}

#[tokio::test]
async fn request_of_a_connected_client_is_registered() {
    with_node(async |node| {
        let (connection, _client) = connected(&node, &request(0)).await;
        let mut serve = std::pin::pin!(connection.serve());
        assert_eq!(poll_once(serve.as_mut()), Poll::Pending);
        assert_eq!(node.state.borrow().proxy.pending(), 1);
    })
    .await;
}

#[tokio::test]
async fn a_request_that_arrives_with_a_close_request_is_read() {
    with_node(async |node| {
        let (connection, mut client) = connected(&node, "").await;
        let close_signal = connection.close_signal.clone();
        let mut serve = std::pin::pin!(connection.serve());
        assert_eq!(poll_once(serve.as_mut()), Poll::Pending, "the connection is idle");
        // Both happen before the runtime is notified of either.
        client.write_all(request(0).as_bytes()).unwrap();
        close_signal.request();
        assert_eq!(poll_once(serve.as_mut()), Poll::Pending);
        assert_eq!(node.state.borrow().proxy.pending(), 1);
    })
    .await;
}

#[tokio::test]
async fn an_attempt_is_not_sent_if_its_client_has_just_closed() {
    with_node(async |node| {
        for (client_closes, unread) in [(false, false), (true, false), (true, true)] {
            let mut backend = pooled_backend(&node).await;
            let id = u32::from(client_closes) + u32::from(unread);
            let unread = if unread { unread_requests() } else { String::new() };
            let (connection, client) = connected(&node, &(request(id) + &unread)).await;
            let mut serve = std::pin::pin!(connection.serve());
            assert_eq!(poll_once(serve.as_mut()), Poll::Pending, "the attempt is decided but not sent");
            let client = (!client_closes).then_some(client);
            // As after a stall of the process, the task of the attempt runs before the task of the connection is
            // notified of the close.
            tokio::time::sleep(Duration::from_millis(20)).await;
            let read = std::io::Read::read(&mut backend, &mut [0; 1]);
            assert_eq!(read.is_ok(), !client_closes, "{read:?}");
            drop(client);
        }
    })
    .await;
}
