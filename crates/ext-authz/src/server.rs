//! The gRPC server for Envoy's authorisation and access log services.

use crate::acceptor::Acceptor;
use crate::budgeted_body::BudgetedBody;
use crate::metrics::Metrics;
use crate::services::{access_log::AccessLog, ext_authz::ExtAuthz};
use crate::shared_task::SharedTasks;
use envoy_types::pb::envoy::service::accesslog::v3::access_log_service_server::AccessLogServiceServer;
use envoy_types::pb::envoy::service::auth::v3::authorization_server::AuthorizationServer;
use futures::StreamExt;
use http::header::{CONTENT_TYPE, HeaderMap, HeaderName, TE};
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Semaphore, mpsc, watch};
use tokio_stream::wrappers::ReceiverStream;
use tonic::body::Body;
use tonic::transport::Server;
use tower::util::MapRequestLayer;
use weirusher_buffers::ByteBudget;
use weirusher_net::Listener;

/// Maximum size of a check message, which includes the headers and the body of the request.
const MAX_CHECK_BYTES: usize = 256 * 1024;
/// Maximum size of a message with access log entries.
const MAX_ACCESS_LOG_BYTES: usize = 1024 * 1024;
/// Memory for the incomplete messages of all connections.
const MESSAGE_BUDGET_BYTES: usize = 64 * 1024 * 1024;
/// Flow-control windows of a stream and of a connection: bytes that may have arrived before the gateway has read them.
const STREAM_WINDOW_BYTES: u32 = 64 * 1024;
const CONNECTION_WINDOW_BYTES: u32 = 256 * 1024;
/// Maximum size of the HTTP/2 headers of a gRPC call, the limit that gRPC recommends.
const MAX_HEADER_BYTES: u32 = 8 * 1024;
/// The header fields of a call that the gRPC server reads.
const USED_FIELDS: [HeaderName; 5] = [
    CONTENT_TYPE,
    TE,
    HeaderName::from_static("grpc-encoding"),
    HeaderName::from_static("grpc-accept-encoding"),
    HeaderName::from_static("grpc-timeout"),
];
/// Maximum number of streams that a peer may reset before they are accepted; beyond it, the connection is
/// closed.
const MAX_PENDING_RESETS: usize = 64;
/// Interval between HTTP/2 pings on idle connections.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(10);
/// Time limit for the response to a ping, after which a half-open connection is closed.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of connections that have sent the HTTP/2 preface and wait to be taken by the server.
const READY_QUEUE: usize = 64;

/// The gRPC services and their concurrency limits.
pub struct GrpcServer {
    pub max_connections: u32,
    pub max_streams_per_connection: u32,
    pub check: ExtAuthz,
    pub access_log: AccessLog,
    pub metrics: Arc<Metrics>,
}

impl GrpcServer {
    /// Serves until `stopped` is set. From then on, only connections that are already in the backlog are
    /// accepted, each peer is sent a GOAWAY frame, and the server ends when the last stream has ended.
    pub async fn serve(self, listener: Listener, stopped: watch::Receiver<bool>, shared: SharedTasks) {
        let slots = Arc::new(Semaphore::new(self.max_connections as usize));
        let (ready, incoming) = mpsc::channel(READY_QUEUE);
        let acceptor = Acceptor { slots, metrics: self.metrics, ready, stopped };
        shared.spawn("accept", acceptor.accept(listener));
        let incoming = ReceiverStream::new(incoming).map(Ok::<_, io::Error>);
        // The graceful shutdown starts when the acceptor has ended and `incoming` is exhausted. A separate
        // shutdown signal would drop the connections that are still queued in `incoming`.
        let never = std::future::pending();
        let budget = ByteBudget::new(MESSAGE_BUDGET_BYTES);
        let budgeted = move |mut request: http::Request<Body>| {
            drop_unused_fields(request.headers_mut());
            request.map(|body| Body::new(BudgetedBody::new(body, MAX_ACCESS_LOG_BYTES, budget.clone())))
        };
        let served = Server::builder()
            .initial_stream_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .max_concurrent_streams(self.max_streams_per_connection)
            .http2_max_header_list_size(MAX_HEADER_BYTES)
            .http2_max_pending_accept_reset_streams(Some(MAX_PENDING_RESETS))
            .http2_keepalive_interval(Some(KEEPALIVE_INTERVAL))
            .http2_keepalive_timeout(Some(KEEPALIVE_TIMEOUT))
            .layer(MapRequestLayer::new(budgeted))
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

/// Drops the header fields that the gRPC server does not read. A call may last as long as its proxy wants, and short
/// fields take several times the memory of their bytes.
fn drop_unused_fields(headers: &mut HeaderMap) {
    let used = USED_FIELDS.into_iter().filter_map(|name| {
        let value = headers.remove(&name)?;
        Some((name, value))
    });
    *headers = used.collect();
}
