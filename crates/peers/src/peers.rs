//! The handle through which the rest of the process queries fleet membership, and the admin page built on it.

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

/// Maximum number of queries waiting for the driver.
const MAX_QUEUED_QUERIES: usize = 16;

/// Why a gateway cannot join its fleet.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum StartError {
    /// The datagram socket cannot be bound.
    #[error("cannot listen for fleet datagrams on {0}: {1}")]
    Listen(SocketAddr, io::Error),
    /// The fleet settings are not valid.
    #[error("fleet settings: {0}")]
    Settings(#[from] SettingsError),
}

/// A handle to this process's membership in its fleet.
#[derive(Debug, Clone)]
pub struct Peers {
    /// The address on which datagrams are received.
    pub address: SocketAddr,
    queries: mpsc::Sender<Query>,
}

impl Peers {
    /// Binds the datagram socket, and returns the handle and the driver task, which the caller has to run.
    ///
    /// # Errors
    /// The address cannot be bound, or the settings are not valid.
    pub async fn start(
        config: FleetConfig,
    ) -> Result<(Self, impl Future<Output = ()> + Send + use<>), StartError> {
        let listen_error = |error| StartError::Listen(config.listen, error);
        let socket = UdpSocket::bind(config.listen).await.map_err(listen_error)?;
        let address = socket.local_addr().map_err(listen_error)?;
        let incarnation = clock::wall_clock_now(config.clock_shift_seconds);
        let seed = fastrand::u64(..);
        let membership = Membership::new(config.settings, incarnation, seed, clock::monotonic_now())?;
        let (queries, received) = mpsc::channel(MAX_QUEUED_QUERIES);
        Ok((Self { address, queries }, Driver::new(membership, socket, received).run()))
    }

    /// Returns this gateway's full view of the fleet; `None` while the process is stopping.
    pub async fn view(&self) -> Option<View> {
        let (reply, view) = oneshot::channel();
        self.queries.send(Query::View(reply)).await.ok()?;
        view.await.ok()
    }

    /// Returns a summary of the view; `None` while the process is stopping.
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
