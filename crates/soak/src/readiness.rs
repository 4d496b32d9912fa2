//! The readiness check, as the platform performs it.

use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Whether the gateway that listens at `listen` reports that it is ready (status 200).
pub async fn is_ready(listen: SocketAddr) -> bool {
    const REQUEST: &[u8] = b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let Ok(mut stream) = TcpStream::connect(listen).await else { return false };
    let mut status_line = [0; b"HTTP/1.1 200".len()];
    stream.write_all(REQUEST).await.is_ok()
        && stream.read_exact(&mut status_line).await.is_ok()
        && status_line.ends_with(b"200")
}
