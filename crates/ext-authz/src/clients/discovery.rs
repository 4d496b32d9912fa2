//! The discovery client, which receives the endpoint list from Envoy's endpoint discovery service (EDS) and
//! caches it on disk.

use crate::endpoint_cache::{self, EndpointCache};
use crate::engine_task::ClientEvent;
use crate::metrics::Metrics;
use envoy_types::pb::envoy::config::core::v3::Node;
use envoy_types::pb::envoy::config::endpoint::v3::ClusterLoadAssignment;
use envoy_types::pb::envoy::service::discovery::v3::{DiscoveryRequest, DiscoveryResponse};
use envoy_types::pb::envoy::service::endpoint::v3::endpoint_discovery_service_client::EndpointDiscoveryServiceClient;
use envoy_types::pb::google::rpc::Status as RpcStatus;
use hyper_util::rt::TokioIo;
use prost::Message as _;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::{Channel, Endpoint, Uri};
use tonic::{Code, Status};
use weirusher::EndpointListKind;
use weirusher_config::DiscoveryConfig;
use weirusher_core::Backoff;
use weirusher_net::Stream;
use weirusher_wire::eds;

/// Time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between HTTP/2 pings on an idle connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// Time limit for the response to a ping. Without pings, a half-open connection would look like an endpoint
/// list that does not change.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Minimum interval between warnings about the same outage.
const WARNING_INTERVAL: Duration = Duration::from_secs(60);
/// Maximum size of a discovery response.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;
/// Capacity of the request queue of a stream; only one request is pending at a time.
const REQUEST_QUEUE: usize = 4;

pub struct DiscoveryClient {
    pub config: DiscoveryConfig,
    /// The node id that requests carry.
    pub node: String,
    pub engine: mpsc::Sender<ClientEvent>,
    /// Set once the engine wants the endpoint list.
    pub watch_endpoints: watch::Receiver<bool>,
    pub metrics: Arc<Metrics>,
    /// Feeds the backoff's jitter.
    pub seed: u64,
    /// Caches the last list on disk, if a cache file is configured.
    pub cache: Option<EndpointCache>,
}

/// Why a discovery response is not acknowledged. The text is sent to the discovery server in the error detail
/// of the next request.
#[derive(Debug, thiserror::Error)]
enum ResponseError {
    #[error(transparent)]
    Decode(#[from] prost::DecodeError),
    #[error("no list of the cluster {0}")]
    MissingCluster(String),
    #[error("the gateway is stopping")]
    Stopping,
}

/// The state of reconnecting, which outlives a single stream.
struct Reconnect {
    backoff: Backoff,
    /// When the current outage was last logged; `None` while discovery is available.
    warned_at: Option<Instant>,
}

impl DiscoveryClient {
    /// Sends the cached list to the engine, then follows discovery until the engine task ends.
    pub async fn run(mut self) {
        let endpoints = match self.config.cache_file.clone() {
            Some(file) => endpoint_cache::load_with_timeout(file).await,
            None => Vec::new(),
        };
        let cached = ClientEvent::EndpointList { kind: EndpointListKind::StaleSnapshot, endpoints };
        if self.engine.send(cached).await.is_err() {
            return;
        }
        if self.watch_endpoints.wait_for(|wanted| *wanted).await.is_err() {
            return;
        }
        let mut reconnect = Reconnect { backoff: Backoff::new(self.seed), warned_at: None };
        while !self.engine.is_closed() {
            let error = match self.follow_stream(&mut reconnect).await {
                Ok(()) => Status::unavailable("the stream ended"),
                Err(error) => error,
            };
            if reconnect.warned_at.is_none_or(|at| at.elapsed() >= WARNING_INTERVAL) {
                tracing::warn!(%error, "discovery is unavailable; the last endpoint list stays in use");
                reconnect.warned_at = Some(Instant::now());
            }
            let failed = ClientEvent::EndpointList { kind: EndpointListKind::Failed, endpoints: Vec::new() };
            if self.engine.send(failed).await.is_err() {
                return;
            }
            tokio::time::sleep(Duration::from_secs_f64(reconnect.backoff.next_delay())).await;
        }
    }

    async fn connect(&self) -> Result<Channel, Status> {
        let address = self.config.address;
        let endpoint = Endpoint::from_shared(format!("http://{address}"))
            .map_err(|e| Status::invalid_argument(e.to_string()))?
            .connect_timeout(CONNECT_TIMEOUT)
            .http2_keep_alive_interval(KEEPALIVE_INTERVAL)
            .keep_alive_timeout(KEEPALIVE_TIMEOUT)
            .keep_alive_while_idle(true);
        let connector =
            tower::service_fn(move |_: Uri| async move { Stream::connect(address).await.map(TokioIo::new) });
        endpoint.connect_with_connector(connector).await.map_err(|e| Status::unavailable(e.to_string()))
    }

    /// Opens a stream, and handles and acknowledges endpoint lists until the stream ends.
    async fn follow_stream(&self, reconnect: &mut Reconnect) -> Result<(), Status> {
        let channel = self.connect().await?;
        let mut client =
            EndpointDiscoveryServiceClient::new(channel).max_decoding_message_size(MAX_RESPONSE_BYTES);
        let (requests, request_stream) = mpsc::channel(REQUEST_QUEUE);
        let _ = requests.try_send(self.request(None, None)); // Cannot fail: the queue is empty.
        let mut stream = client.stream_endpoints(ReceiverStream::new(request_stream)).await?.into_inner();
        while let Some(response) = stream.message().await? {
            let error = self.handle_response(&response).await.err();
            reconnect.backoff.reset();
            if reconnect.warned_at.take().is_some() {
                tracing::info!("discovery is available again");
            }
            if requests.send(self.request(Some(&response), error)).await.is_err() {
                break;
            }
        }
        Ok(())
    }

    /// Sends the endpoint list in a response to the cache and to the engine.
    async fn handle_response(&self, response: &DiscoveryResponse) -> Result<(), ResponseError> {
        let resources = response.resources.iter().filter(|r| r.type_url == eds::TYPE_URL);
        let decoded = resources.map(|r| ClusterLoadAssignment::decode(r.value.as_slice()));
        let assignments = decoded.collect::<Result<Vec<_>, _>>()?;
        let cluster = &self.config.cluster;
        let assignment = assignments.iter().find(|a| a.cluster_name == *cluster);
        let assignment = assignment.ok_or_else(|| ResponseError::MissingCluster(cluster.clone()))?;
        let list = eds::decode(assignment);
        self.metrics.increment(|m| &m.endpoint_lists);
        let unusable = list.invalid + list.duplicate + list.excess;
        if unusable > 0 {
            self.metrics.add(|m| &m.unusable_endpoints, unusable as u64);
            tracing::warn!(
                list.invalid,
                list.duplicate,
                list.excess,
                "the endpoint list has unusable entries; ignoring them"
            );
        }
        if let Some(cache) = &self.cache {
            cache.store(&list.endpoints);
        }
        let event = ClientEvent::EndpointList { kind: EndpointListKind::Snapshot, endpoints: list.endpoints };
        self.engine.send(event).await.map_err(|_| ResponseError::Stopping)
    }

    /// Builds a request: the first one of a stream, or the acknowledgement (ACK or NACK) of a response.
    fn request(
        &self,
        response: Option<&DiscoveryResponse>,
        error: Option<ResponseError>,
    ) -> DiscoveryRequest {
        let accepted = response.filter(|_| error.is_none());
        let error_detail = error.map(|error| RpcStatus {
            code: Code::InvalidArgument as i32,
            message: error.to_string(),
            details: Vec::new(),
        });
        DiscoveryRequest {
            version_info: accepted.map_or_else(String::new, |r| r.version_info.clone()),
            node: Some(Node { id: self.node.clone(), ..Node::default() }),
            resource_names: vec![self.config.cluster.clone()],
            type_url: eds::TYPE_URL.to_string(),
            response_nonce: response.map_or_else(String::new, |r| r.nonce.clone()),
            error_detail,
            ..DiscoveryRequest::default()
        }
    }
}
