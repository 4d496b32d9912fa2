//! Races between a client's close and its request, with the runtime stopped at the moment of the race.

use super::Connection;
use crate::client_slot::ClientSlot;
use crate::client_socket::ClientSocket;
use crate::context::{BackendEndpoint, NodeContext};
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

/// A connection whose request the runtime has been notified of, and its client.
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

/// A backend in the node's list, and its side of an idle connection in the pool.
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
    let pool = &mut node.state.borrow_mut().pool;
    let _ = pool.reserve();
    // Idle for longer than the delay before its reuse.
    let endpoint = BackendEndpoint { name: "s-0".into(), address };
    assert!(pool.put(node.now() - 1.0, endpoint, stream).is_none());
    backend
}

/// Polls a connection once, without new notifications from the system.
fn poll_once(serve: std::pin::Pin<&mut impl Future<Output = ()>>) -> Poll<()> {
    serve.poll(&mut Context::from_waker(Waker::noop()))
}

async fn on_one_thread(test: impl AsyncFnOnce(Rc<NodeContext>)) {
    let config = Config::parse(CONFIGURATION).unwrap();
    let node = NodeContext::new(&config).unwrap();
    node.handle_endpoint_list(config.cached_list.unwrap().unwrap());
    LocalSet::new().run_until(test(node)).await;
}

#[tokio::test]
async fn the_request_of_a_client_that_closed_before_it_was_read_is_not_entered() {
    on_one_thread(async |node| {
        // Shut down, closed and reset: each was received by the time that the request is read.
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
            assert_eq!(node.state.borrow().proxy.metrics().requests, 0, "{how}: it was entered");
        }
    })
    .await;
}

#[tokio::test]
async fn a_close_together_with_bytes_read_ahead_is_detected() {
    on_one_thread(async |node| {
        let (connection, mut client) = connected(&node, &request(0)).await;
        let mut serve = std::pin::pin!(connection.serve());
        assert_eq!(poll_once(serve.as_mut()), Poll::Pending, "it waits for its response");
        // One notification for both; a read of the bytes alone would be a short read.
        client.write_all(request(1).as_bytes()).unwrap();
        client.shutdown(std::net::Shutdown::Write).unwrap();
        tokio::time::timeout(Duration::from_secs(30), serve).await.expect("it ends");
        assert_eq!(node.state.borrow().proxy.pending(), 0);
    })
    .await;
}

#[tokio::test]
async fn the_request_of_a_client_that_stays_is_entered() {
    on_one_thread(async |node| {
        let (connection, _client) = connected(&node, &request(0)).await;
        let mut serve = std::pin::pin!(connection.serve());
        assert_eq!(poll_once(serve.as_mut()), Poll::Pending);
        assert_eq!(node.state.borrow().proxy.pending(), 1);
    })
    .await;
}

#[tokio::test]
async fn a_request_that_arrives_with_a_close_request_is_read() {
    on_one_thread(async |node| {
        let (connection, mut client) = connected(&node, "").await;
        let close_signal = connection.close_signal.clone();
        let mut serve = std::pin::pin!(connection.serve());
        assert_eq!(poll_once(serve.as_mut()), Poll::Pending, "it is idle");
        // Both before the runtime is notified of either.
        client.write_all(request(0).as_bytes()).unwrap();
        close_signal.request();
        assert_eq!(poll_once(serve.as_mut()), Poll::Pending);
        assert_eq!(node.state.borrow().proxy.pending(), 1);
    })
    .await;
}

#[tokio::test]
async fn an_attempt_is_not_sent_if_its_client_has_just_closed() {
    on_one_thread(async |node| {
        for goes in [false, true] {
            let mut backend = pooled_backend(&node).await;
            let (connection, client) = connected(&node, &request(u32::from(goes))).await;
            let mut serve = std::pin::pin!(connection.serve());
            assert_eq!(poll_once(serve.as_mut()), Poll::Pending, "its attempt is decided");
            let client = (!goes).then_some(client);
            // The attempt's task runs and the connection's is not notified of the close, as after a stall of
            // the process.
            tokio::time::sleep(Duration::from_millis(20)).await;
            let read = std::io::Read::read(&mut backend, &mut [0; 1]);
            assert_eq!(read.is_ok(), !goes, "{read:?}");
            drop(client);
        }
    })
    .await;
}
