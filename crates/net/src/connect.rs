//! Outgoing connections.

use std::io;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// Connects to an address, with `TCP_NODELAY`.
///
/// # Errors
/// The connection cannot be established.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    let _ = stream.set_nodelay(true); // A failure is harmless: Nagle's algorithm only delays small writes.
    Ok(stream)
}
