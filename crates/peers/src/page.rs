//! A minimal HTTP server and client for admin pages, with few concurrent connections and short idle timeouts.

use futures::{SinkExt, StreamExt};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio_util::codec::Framed;
use weirusher_net::{Listener, Stream};
use weirusher_wire::http1::{ClientCodec, Request, Response, ServerCodec};

/// Maximum number of concurrent connections; further ones are closed at once.
const MAX_CONNECTIONS: usize = 16;
/// Maximum size of the body of a request, which no page needs.
const MAX_BODY_BYTES: usize = 4 * 1024;
/// Maximum time that a connection may be idle, and that sending a response may take.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Status of the response to a request that could not be parsed. The connection is closed after it.
const BAD_REQUEST: u16 = 400;

/// Answers the requests to a page.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Returns the response to a request.
    fn handle(&self, request: &Request) -> impl Future<Output = Response> + Send;
}

/// Serves a page until the task is aborted.
pub async fn serve(mut listener: Listener, handler: impl Handler) {
    let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let stream = listener.accept().await;
        let Ok(slot) = slots.clone().try_acquire_owned() else { continue };
        let handler = handler.clone();
        tokio::spawn(async move {
            serve_connection(stream.into(), &handler).await;
            drop(slot);
        });
    }
}

async fn serve_connection(stream: Stream, handler: &impl Handler) {
    let mut framed = Framed::new(stream, ServerCodec::with_max_body(MAX_BODY_BYTES));
    while let Ok(Some(request)) = tokio::time::timeout(IDLE_TIMEOUT, framed.next()).await {
        let response = match request {
            Ok(request) => handler.handle(&request).await,
            Err(error) => Response::text(BAD_REQUEST, error.to_string()),
        };
        let bad = response.status == BAD_REQUEST;
        if !matches!(tokio::time::timeout(IDLE_TIMEOUT, framed.send(response)).await, Ok(Ok(()))) || bad {
            return;
        }
    }
}

/// Fetches a page.
///
/// # Errors
/// The connection fails, or the response cannot be read.
pub async fn get(address: SocketAddr, path: &str) -> io::Result<Response> {
    let mut framed = Framed::new(Stream::connect(address).await?, ClientCodec::default());
    let request = Request { method: "GET".into(), path: path.into(), ..Request::default() };
    framed.send(request).await.map_err(io::Error::other)?;
    framed.next().await.ok_or(io::ErrorKind::UnexpectedEof)?.map_err(io::Error::other)
}
