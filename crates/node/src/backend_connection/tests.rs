//! A pooled connection on which something was received before it is taken from the pool.

use super::*;
use std::io::Write;

/// An idle connection and the backend's side of it.
async fn idle_connection() -> (TcpStream, std::net::TcpStream) {
    let listener = std::net::TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    (stream, listener.accept().unwrap().0)
}

#[tokio::test]
async fn connection_with_received_data_is_not_reused() {
    let (stream, backend) = idle_connection().await;
    assert!(has_nothing_to_read(&stream));
    drop(backend);
    assert!(!has_nothing_to_read(&stream), "a close of which the runtime was not notified yet");

    let (stream, mut backend) = idle_connection().await;
    backend.write_all(b"HTTP/1.1 2").unwrap();
    assert!(!has_nothing_to_read(&stream), "a part of a line");

    let (stream, backend) = idle_connection().await;
    SockRef::from(&backend).set_linger(Some(Duration::ZERO)).unwrap();
    drop(backend);
    assert!(!has_nothing_to_read(&stream), "a reset");
}
