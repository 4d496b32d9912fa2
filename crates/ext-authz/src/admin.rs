//! The admin page: `GET /stats` and `GET /fleet` as JSON, `GET /healthz`.

use crate::engine_task::ServiceEvent;
use tokio::sync::{mpsc, oneshot};
use weirusher_peers::{Peers, page::Handler};
use weirusher_wire::http1::{Request, Response};

/// The request handler of the admin page.
#[derive(Clone)]
pub struct AdminPage {
    pub engine: mpsc::Sender<ServiceEvent>,
    /// The membership of the fleet, if a fleet is configured.
    pub peers: Option<Peers>,
}

impl AdminPage {
    async fn stats(&self) -> Response {
        let (reply, status) = oneshot::channel();
        let requested = self.engine.send(ServiceEvent::GetStatus(reply)).await;
        match (requested, status.await) {
            (Ok(()), Ok(status)) => Response::text(200, serde_json::to_vec(&status).unwrap_or_default()),
            _ => Response::text(503, "stopping\n"),
        }
    }
}

impl Handler for AdminPage {
    async fn handle(&self, request: &Request) -> Response {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/healthz") => Response::text(200, "ok\n"),
            ("GET", "/stats") => self.stats().await,
            ("GET", "/fleet" | "/fleet/brief") => match &self.peers {
                Some(peers) => peers.handle(request).await,
                None => Response::text(404, "there is no [fleet] in the configuration\n"),
            },
            _ => Response::text(404, "GET /stats, /fleet or /healthz\n"),
        }
    }
}
