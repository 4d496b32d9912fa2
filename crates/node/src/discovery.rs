//! Discovery: a watch that never lapses while its agent answers.

use crate::hub::Hub;
use bytes::BytesMut;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use weirusher_core::Backoff;
use weirusher_platform::list::{Held, MOST_LIST};
use weirusher_platform::response::ResponseReader;

/// Seconds a watch waits for news: short, so that a silent agent shows soon.
const WAIT: f64 = 5.0;
/// Seconds past that for an answer, or for a connection.
const GRACE: f64 = 1.0;

/// Follows the list at `address` until it is aborted.
pub async fn run(hub: Rc<Hub>, address: SocketAddr, zones: Vec<String>, seed: u64) {
    let (mut held, mut backoff) = (Held::new(zones), Backoff::new(seed));
    loop {
        let error = follow(&hub, address, &mut held, &mut backoff).await;
        tracing::info!(error = error.to_string(), "discovery is asked anew; the last list stays in use");
        held.forget();
        tokio::time::sleep(Duration::from_secs_f64(backoff.pause())).await;
    }
}

async fn follow(hub: &Rc<Hub>, address: SocketAddr, held: &mut Held, backoff: &mut Backoff) -> io::Error {
    let grace = Duration::from_secs_f64(GRACE);
    let mut stream = match tokio::time::timeout(grace, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return error,
        Err(late) => return late.into(),
    };
    loop {
        let limit = Duration::from_secs_f64(WAIT + GRACE);
        let body = match tokio::time::timeout(limit, ask(&mut stream, &held.target(WAIT))).await {
            Ok(Ok(body)) => body,
            Ok(Err(error)) => return error,
            Err(late) => return late.into(),
        };
        backoff.reset();
        match held.take(&body) {
            Ok(Some(told)) => hub.list(told),
            // It is older than what is held: asked anew, but not in a tight loop.
            Ok(None) => tokio::time::sleep(Duration::from_secs_f64(backoff.pause())).await,
            Err(error) => return io::Error::new(io::ErrorKind::InvalidData, error),
        }
    }
}

async fn ask(stream: &mut TcpStream, target: &str) -> io::Result<BytesMut> {
    let invalid = |text: String| io::Error::new(io::ErrorKind::InvalidData, text);
    stream.write_all(format!("GET {target} HTTP/1.1\r\nHost: discovery.local\r\n\r\n").as_bytes()).await?;
    let (mut reader, mut buffer) = (ResponseReader::new(MOST_LIST), BytesMut::with_capacity(4096));
    loop {
        if stream.read_buf(&mut buffer).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if let Some(response) = reader.read(&mut buffer).map_err(|e| invalid(e.to_string()))? {
            return match response.status {
                200 => Ok(response.body.into()),
                status => Err(invalid(format!("status {status}"))),
            };
        }
    }
}
