//! The handle by which the rest of the process reaches the fleet's driver, and the admin page on it.

use crate::clock;
use crate::driver::{Driver, Query};
use crate::page::Handler;
use serde::Serialize;
use std::io;
use std::net::SocketAddr;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot};
use weirusher_config::FleetConfig;
use weirusher_fleet::{Membership, SettingsError, View, ViewSummary};
use weirusher_wire::http1::{Request, Response};

/// Queries that may wait for the driver.
const MAX_QUEUED_QUERIES: usize = 16;

/// Why a gateway cannot take part in its fleet.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum StartError {
    /// The address cannot be listened on.
    #[error("cannot listen for the fleet on {0}: {1}")]
    Listen(SocketAddr, io::Error),
    /// The settings cannot work.
    #[error("the fleet: {0}")]
    Settings(#[from] SettingsError),
}

/// A handle to this process's membership of its fleet.
#[derive(Debug, Clone)]
pub struct Peers {
    /// Where datagrams are received.
    pub address: SocketAddr,
    queries: mpsc::Sender<Query>,
}

impl Peers {
    /// Listens, and returns the handle with the driver's task, which the caller has to run.
    ///
    /// # Errors
    /// The address cannot be listened on, or the settings cannot work.
    pub async fn start(
        config: FleetConfig,
    ) -> Result<(Self, impl Future<Output = ()> + Send + use<>), StartError> {
        let fail = |error| StartError::Listen(config.listen, error);
        let socket = UdpSocket::bind(config.listen).await.map_err(fail)?;
        let address = socket.local_addr().map_err(fail)?;
        let incarnation = clock::wall_clock_now(config.clock_shift_seconds);
        let seed = fastrand::u64(..);
        let membership = Membership::new(config.settings, incarnation, seed, clock::monotonic_now())?;
        let (queries, received) = mpsc::channel(MAX_QUEUED_QUERIES);
        Ok((Self { address, queries }, Driver::new(membership, socket, received).run()))
    }

    /// What this gateway believes of its fleet; `None` while the process stops.
    pub async fn view(&self) -> Option<View> {
        let (reply, view) = oneshot::channel();
        self.queries.send(Query::View(reply)).await.ok()?;
        view.await.ok()
    }

    /// The same in brief.
    pub async fn view_summary(&self) -> Option<ViewSummary> {
        let (reply, summary) = oneshot::channel();
        self.queries.send(Query::Summary(reply)).await.ok()?;
        summary.await.ok()
    }
}

fn json_response(view: Option<impl Serialize>) -> Response {
    match view {
        Some(view) => Response::text(200, serde_json::to_vec(&view).unwrap_or_default()),
        None => Response::text(503, "stopping\n"),
    }
}

impl Handler for Peers {
    async fn handle(&self, request: &Request) -> Response {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/fleet") => json_response(self.view().await),
            ("GET", "/fleet/brief") => json_response(self.view_summary().await),
            _ => Response::text(404, "GET /fleet or /fleet/brief\n"),
        }
    }
}
