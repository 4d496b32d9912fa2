//! A client's end that crosses its request, the one side held at the very moment.

use super::*;
use socket2::SockRef;
use std::future::Future;
use std::io::Write;
use std::task::{Context, Poll, Waker};
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

/// A connection whose request the runtime has told of, and its client.
async fn connected(node: &Rc<NodeContext>, bytes: &str) -> (Connection, std::net::TcpStream) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let mut client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    if !bytes.is_empty() {
        client.write_all(bytes.as_bytes()).unwrap();
        stream.readable().await.unwrap();
    }
    let slot = Slot { node: node.clone(), id: 1 };
    (Connection::new(slot, ClientSocket::new(stream), Rc::default()), client)
}

/// A server that the node's list names, and its end of an idle connection to it.
async fn pooled_server(node: &Rc<NodeContext>) -> std::net::TcpStream {
    let listener = std::net::TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let text = String::from_utf8(CONFIGURATION.to_vec()).unwrap();
    let text =
        text.replace(r#""s-0", "address": "127.0.0.1:9""#, &format!(r#""s-0", "address": "{address}""#));
    node.list(Config::parse(text.as_bytes()).unwrap().known.unwrap().unwrap());
    node.current_until.set(f64::INFINITY);
    let stream = TcpStream::connect(address).await.unwrap();
    let (server, _) = listener.accept().unwrap();
    server.set_nonblocking(true).unwrap();
    let pool = &mut node.state.borrow_mut().pool;
    let _ = pool.reserve();
    // Idle for longer than a connection rests once it has answered.
    assert!(pool.put(node.now() - 1.0, ("s-0".into(), address), stream).is_none());
    server
}

/// Runs a connection as far as it comes while the runtime hears nothing new from the system.
fn once(serve: std::pin::Pin<&mut impl Future<Output = ()>>) -> Poll<()> {
    serve.poll(&mut Context::from_waker(Waker::noop()))
}

async fn on_one_thread(test: impl AsyncFnOnce(Rc<NodeContext>)) {
    let config = Config::parse(CONFIGURATION).unwrap();
    let node = crate::run::node(&config).unwrap();
    node.list(config.known.unwrap().unwrap());
    LocalSet::new().run_until(test(node)).await;
}

#[tokio::test]
async fn a_client_that_asked_and_went_before_its_request_is_read_has_asked_nothing() {
    on_one_thread(async |node| {
        // Shut down, closed, and reset: by the time that its request is read each has arrived.
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
            assert_eq!(once(serve.as_mut()), Poll::Ready(()), "{how}");
            assert_eq!(node.state.borrow().proxy.metrics().requests, 0, "{how}: it was entered");
        }
    })
    .await;
}

#[tokio::test]
async fn a_client_that_goes_beside_bytes_ahead_is_seen_with_them() {
    on_one_thread(async |node| {
        let (connection, mut client) = connected(&node, &request(0)).await;
        let mut serve = std::pin::pin!(connection.serve());
        assert_eq!(once(serve.as_mut()), Poll::Pending, "it waits for its answer");
        // One notice for both, and a read of the first alone would be a short one.
        client.write_all(request(1).as_bytes()).unwrap();
        client.shutdown(std::net::Shutdown::Write).unwrap();
        tokio::time::timeout(Duration::from_secs(30), serve).await.expect("it ends");
        assert_eq!(node.state.borrow().proxy.pending(), 0);
    })
    .await;
}

#[tokio::test]
async fn one_that_stays_is_entered() {
    on_one_thread(async |node| {
        let (connection, _client) = connected(&node, &request(0)).await;
        let mut serve = std::pin::pin!(connection.serve());
        assert_eq!(once(serve.as_mut()), Poll::Pending);
        assert_eq!(node.state.borrow().proxy.pending(), 1);
    })
    .await;
}

#[tokio::test]
async fn a_request_that_comes_as_its_connection_is_told_to_leave_is_read() {
    on_one_thread(async |node| {
        let (connection, mut client) = connected(&node, "").await;
        let close = connection.close.clone();
        let mut serve = std::pin::pin!(connection.serve());
        assert_eq!(once(serve.as_mut()), Poll::Pending, "it rests");
        // Both before the runtime hears of either.
        client.write_all(request(0).as_bytes()).unwrap();
        close.make();
        assert_eq!(once(serve.as_mut()), Poll::Pending);
        assert_eq!(node.state.borrow().proxy.pending(), 1);
    })
    .await;
}

#[tokio::test]
async fn an_attempt_that_is_about_to_begin_as_its_client_goes_is_not_sent() {
    on_one_thread(async |node| {
        for goes in [false, true] {
            let mut server = pooled_server(&node).await;
            let (connection, client) = connected(&node, &request(u32::from(goes))).await;
            let mut serve = std::pin::pin!(connection.serve());
            assert_eq!(once(serve.as_mut()), Poll::Pending, "its attempt is decided on");
            let client = (!goes).then_some(client);
            // The attempt's task runs, and the connection's hears nothing of its client: as in a process that is held up.
            tokio::time::sleep(Duration::from_millis(20)).await;
            let read = std::io::Read::read(&mut server, &mut [0; 1]);
            assert_eq!(read.is_ok(), !goes, "{read:?}");
            drop(client);
        }
    })
    .await;
}
