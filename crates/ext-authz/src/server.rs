//! The gRPC server of the two services.

use crate::acceptor::Acceptor;
use crate::metrics::Metrics;
use crate::services::{access_log::AccessLog, ext_authz::ExtAuthz};
use crate::shared_task::SharedTasks;
use envoy_types::pb::envoy::service::accesslog::v3::access_log_service_server::AccessLogServiceServer;
use envoy_types::pb::envoy::service::auth::v3::authorization_server::AuthorizationServer;
use futures::StreamExt;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Semaphore, mpsc, watch};
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::Server;
use weirusher_net::Listener;

/// Bytes of the largest check, with its request's headers and body.
const MAX_CHECK_BYTES: usize = 256 * 1024;
/// Bytes of the largest message of access log entries.
const MAX_ACCESS_LOG_BYTES: usize = 1024 * 1024;
/// Bytes of a call's own headers.
const MAX_HEADER_BYTES: u32 = 16 * 1024;
/// Streams that a peer may have reset before they are accepted; past that its connection is closed.
const MAX_PENDING_RESETS: usize = 64;
/// Interval of pings on idle connections.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(10);
/// Time for a ping's answer; a half-open connection is closed after it.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(5);
/// Connections that may wait for the server once they have sent HTTP/2's preface.
const READY_QUEUE: usize = 64;

/// The services, and how much of them is served at once.
pub struct GrpcServer {
    pub max_connections: u32,
    pub max_streams_per_connection: u32,
    pub check: ExtAuthz,
    pub access_log: AccessLog,
    pub metrics: Arc<Metrics>,
}

impl GrpcServer {
    /// Serves until `stopped` is set. After that no connections are accepted but those already in the
    /// backlog, each peer is notified by GOAWAY, and the server ends with the last stream.
    pub async fn serve(self, listener: Listener, stopped: watch::Receiver<bool>, shared: SharedTasks) {
        let slots = Arc::new(Semaphore::new(self.max_connections as usize));
        let (ready, incoming) = mpsc::channel(READY_QUEUE);
        let acceptor = Acceptor { slots, metrics: self.metrics, ready, stopped };
        shared.spawn("accept", acceptor.accept(listener));
        let incoming = ReceiverStream::new(incoming).map(Ok::<_, io::Error>);
        // The graceful shutdown starts when the acceptor ends. A signal of its own would drop the connections
        // that wait.
        let never = std::future::pending();
        let served = Server::builder()
            .max_concurrent_streams(self.max_streams_per_connection)
            .http2_max_header_list_size(MAX_HEADER_BYTES)
            .http2_max_pending_accept_reset_streams(Some(MAX_PENDING_RESETS))
            .http2_keepalive_interval(Some(KEEPALIVE_INTERVAL))
            .http2_keepalive_timeout(Some(KEEPALIVE_TIMEOUT))
            .add_service(AuthorizationServer::new(self.check).max_decoding_message_size(MAX_CHECK_BYTES))
            .add_service(
                AccessLogServiceServer::new(self.access_log).max_decoding_message_size(MAX_ACCESS_LOG_BYTES),
            )
            .serve_with_incoming_shutdown(incoming, never)
            .await;
        if let Err(error) = served {
            tracing::error!(%error, "the gRPC server failed");
        }
    }
}
