//! The admin page: `GET /stats` and `GET /fleet` as JSON, `GET /healthz`.

use crate::driver::FrontEvent;
use tokio::sync::{mpsc, oneshot};
use weirusher_peers::{Peers, page::Handler};
use weirusher_wire::http1::{Request, Response};

/// What the page shows.
#[derive(Clone)]
pub struct Admin {
    pub driver: mpsc::Sender<FrontEvent>,
    /// The other gateways, where this one knows of them.
    pub peers: Option<Peers>,
}

impl Handler for Admin {
    async fn handle(&self, request: &Request) -> Response {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/healthz") => Response::text(200, "ok\n"),
            ("GET", "/stats") => {
                let (reply, shown) = oneshot::channel();
                let asked = self.driver.send(FrontEvent::Show(reply)).await;
                match (asked, shown.await) {
                    (Ok(()), Ok(shown)) => {
                        Response::text(200, serde_json::to_vec(&shown).unwrap_or_default())
                    }
                    _ => Response::text(503, "stopping\n"),
                }
            }
            ("GET", "/fleet" | "/fleet/brief") => match &self.peers {
                Some(peers) => peers.handle(request).await,
                None => Response::text(404, "there is no [fleet] in the configuration\n"),
            },
            _ => Response::text(404, "GET /stats, /fleet or /healthz\n"),
        }
    }
}
