//! Keep-alive connections to backends.

use super::Attempt;
use crate::client_request::{AttemptOutcome, ClientRequest};
use crate::lock::lock;
use futures::{SinkExt, StreamExt};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;
use weirusher_wire::http1::{ClientCodec, Headers, Request, Response};

/// Idle connections by backend address.
#[derive(Default)]
pub(super) struct BackendConnections {
    idle: Mutex<HashMap<SocketAddr, Vec<Framed<TcpStream, ClientCodec>>>>,
}

impl BackendConnections {
    /// Sends an attempt to its backend over an idle connection or a new one, and waits for the response.
    pub async fn exchange(&self, attempt: &Attempt<'_>, client: &ClientRequest) -> AttemptOutcome {
        let Ok(address) = attempt.backend.parse::<SocketAddr>() else { return AttemptOutcome::NoConnection };
        let idle = lock(&self.idle).get_mut(&address).and_then(Vec::pop);
        let mut connection = match idle {
            Some(connection) => connection,
            None => match TcpStream::connect(address).await {
                Ok(stream) => Framed::new(stream, ClientCodec::default()),
                Err(_) => return AttemptOutcome::NoConnection,
            },
        };
        if connection.send(http_request(attempt, client)).await.is_err() {
            return AttemptOutcome::ConnectionLost;
        }
        match connection.next().await {
            Some(Ok(response)) => {
                lock(&self.idle).entry(address).or_default().push(connection);
                outcome_of(&response)
            }
            _ => AttemptOutcome::ConnectionLost,
        }
    }
}

fn http_request(attempt: &Attempt<'_>, client: &ClientRequest) -> Request {
    let mut headers = Headers::default();
    headers.add("host", attempt.backend);
    headers.add("x-request-id", attempt.request);
    headers.add("x-units", client.units);
    headers.add("x-weirusher-ticket", attempt.ticket);
    Request { method: "POST".into(), path: client.path.clone(), headers, ..Request::default() }
}

fn outcome_of(response: &Response) -> AttemptOutcome {
    if response.headers.get("x-weirusher-turned-away").is_some() {
        AttemptOutcome::Rejected
    } else {
        AttemptOutcome::Responded(response.status)
    }
}
