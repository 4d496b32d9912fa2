//! The list of backends, by Envoy's endpoint discovery service, and its last state on disk.

use crate::driver::WorldEvent;
use crate::kept_list::{self, ListKeeper};
use crate::stats::Stats;
use envoy_types::pb::envoy::config::core::v3::Node;
use envoy_types::pb::envoy::config::endpoint::v3::ClusterLoadAssignment;
use envoy_types::pb::envoy::service::discovery::v3::{DiscoveryRequest, DiscoveryResponse};
use envoy_types::pb::envoy::service::endpoint::v3::endpoint_discovery_service_client::EndpointDiscoveryServiceClient;
use envoy_types::pb::google::rpc::Status as RpcStatus;
use hyper_util::rt::TokioIo;
use prost::Message as _;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::{Endpoint, Uri};
use weirusher::EndpointListKind;
use weirusher_config::DiscoveryConfig;
use weirusher_core::Backoff;
use weirusher_net::Stream;
use weirusher_wire::eds;

/// Seconds until a try to connect is given up.
const CONNECT_LIMIT: Duration = Duration::from_secs(2);
/// Pings on a quiet connection, and how long their answer may take: a half-open one must not look like calm.
const KEEPALIVE: (Duration, Duration) = (Duration::from_secs(5), Duration::from_secs(2));
/// Between two warnings of one absence.
const REMIND: Duration = Duration::from_secs(60);
/// Most bytes of a list's message.
const MOST_MESSAGE: usize = 4 * 1024 * 1024;
/// Acknowledgements that may wait; one is out at a time.
const ACKS: usize = 4;

pub struct DiscoveryClient {
    pub config: DiscoveryConfig,
    pub node: String,
    pub world: mpsc::Sender<WorldEvent>,
    pub follow: watch::Receiver<bool>,
    pub stats: Arc<Stats>,
    pub seed: u64,
    /// Keeps the last list, where there is a file for it.
    pub keeper: Option<ListKeeper>,
}

impl DiscoveryClient {
    pub async fn run(mut self) {
        let kept = self.config.cache_file.as_deref().map_or_else(Vec::new, kept_list::load);
        if self
            .world
            .send(WorldEvent::List { kind: EndpointListKind::StaleSnapshot, servers: kept })
            .await
            .is_err()
        {
            return;
        }
        if self.follow.wait_for(|follow| *follow).await.is_err() {
            return;
        }
        let mut backoff = Backoff::new(self.seed);
        let mut told: Option<Instant> = None;
        while !self.world.is_closed() {
            let error = self.follow_once(&mut backoff, &mut told).await;
            if told.is_none_or(|at| at.elapsed() >= REMIND) {
                tracing::warn!(%error, "discovery is not there; the last list stands");
                told = Some(Instant::now());
            }
            let failed = WorldEvent::List { kind: EndpointListKind::Failed, servers: Vec::new() };
            if self.world.send(failed).await.is_err() {
                return;
            }
            tokio::time::sleep(Duration::from_secs_f64(backoff.next_delay())).await;
        }
    }

    /// Follows one stream to its end.
    async fn follow_once(&self, backoff: &mut Backoff, told: &mut Option<Instant>) -> tonic::Status {
        match self.stream(backoff, told).await {
            Ok(()) => tonic::Status::unavailable("the stream ended"),
            Err(error) => error,
        }
    }

    async fn stream(&self, backoff: &mut Backoff, told: &mut Option<Instant>) -> Result<(), tonic::Status> {
        let address = self.config.address;
        let endpoint = Endpoint::from_shared(format!("http://{}", self.config.address))
            .map_err(|e| tonic::Status::invalid_argument(e.to_string()))?
            .connect_timeout(CONNECT_LIMIT)
            .http2_keep_alive_interval(KEEPALIVE.0)
            .keep_alive_timeout(KEEPALIVE.1)
            .keep_alive_while_idle(true);
        let connector =
            tower::service_fn(move |_: Uri| async move { Stream::connect(address).await.map(TokioIo::new) });
        let channel = endpoint
            .connect_with_connector(connector)
            .await
            .map_err(|e| tonic::Status::unavailable(e.to_string()))?;
        let mut client = EndpointDiscoveryServiceClient::new(channel).max_decoding_message_size(MOST_MESSAGE);
        let (acks, requests) = mpsc::channel(ACKS);
        let _ = acks.try_send(self.request(None, None)); // The first fits.
        let mut stream = client.stream_endpoints(ReceiverStream::new(requests)).await?.into_inner();
        while let Some(response) = stream.message().await? {
            let error = self.take(&response).await.err();
            backoff.reset();
            if told.take().is_some() {
                tracing::info!("discovery is back");
            }
            if acks.send(self.request(Some(&response), error)).await.is_err() {
                break;
            }
        }
        Ok(())
    }

    /// Takes one list; an error is what the acknowledgement says.
    async fn take(&self, response: &DiscoveryResponse) -> Result<(), String> {
        let found = response.resources.iter().filter(|r| r.type_url == eds::TYPE_URL);
        let decoded = found.map(|r| ClusterLoadAssignment::decode(r.value.as_slice()));
        let mut lists = decoded.collect::<Result<Vec<_>, _>>().map_err(|e| e.to_string())?;
        lists.retain(|list| list.cluster_name == self.config.cluster);
        let list = lists.first().ok_or_else(|| format!("no list of the cluster {}", self.config.cluster))?;
        let list = eds::read(list, &self.config.zones);
        self.stats.add(|s| &s.lists);
        let unusable = list.impossible + list.doubled + list.excess;
        if unusable > 0 {
            self.stats.list_entries_unusable.fetch_add(unusable as u64, Relaxed);
            tracing::warn!(list.impossible, list.doubled, list.excess, "entries of the list were left out");
        }
        if let Some(keeper) = &self.keeper {
            keeper.keep(&list.endpoints);
        }
        let event = WorldEvent::List { kind: EndpointListKind::Snapshot, servers: list.endpoints };
        self.world.send(event).await.map_err(|_| "the gateway is stopping".to_string())
    }

    fn request(&self, to: Option<&DiscoveryResponse>, error: Option<String>) -> DiscoveryRequest {
        DiscoveryRequest {
            version_info: to.filter(|_| error.is_none()).map_or_else(String::new, |r| r.version_info.clone()),
            node: Some(Node { id: self.node.clone(), ..Node::default() }),
            resource_names: vec![self.config.cluster.clone()],
            type_url: eds::TYPE_URL.to_string(),
            response_nonce: to.map_or_else(String::new, |r| r.nonce.clone()),
            error_detail: error.map(|message| RpcStatus { code: 3, message, details: Vec::new() }),
            ..DiscoveryRequest::default()
        }
    }
}
