//! Discovery by EDS: pushes the list of checkers, late, or not at all.

use crate::record::{Fact, Recorder};
use envoy_types::pb::envoy::service::discovery::v3::{
    DeltaDiscoveryRequest, DeltaDiscoveryResponse, DiscoveryRequest, DiscoveryResponse,
};
use envoy_types::pb::envoy::service::endpoint::v3::endpoint_discovery_service_server::{
    EndpointDiscoveryService, EndpointDiscoveryServiceServer,
};
use envoy_types::pb::google::protobuf::Any;
use futures::Stream;
use prost::Message;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio_stream::wrappers::{ReceiverStream, TcpListenerStream};
use tonic::{Request, Response, Status, Streaming};
use weirusher::{Endpoint, Lifecycle};
use weirusher_wire::eds;

/// The cluster it serves.
const CLUSTER: &str = "checkers";
/// Lists that may wait for a gatekeeper that reads slowly.
const WAITING: usize = 4;
/// Lists whose acknowledgement is awaited at most.
const UNACKNOWLEDGED: usize = 64;

#[derive(Clone, Default)]
struct State {
    version: u64,
    servers: Arc<Vec<Endpoint>>,
    frozen: bool,
}

/// A discovery service. Dropped, it is killed.
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    state: watch::Sender<State>,
    _tasks: JoinSet<()>,
}

#[derive(Clone)]
struct Service {
    state: watch::Receiver<State>,
    lag: Duration,
    recorder: Recorder,
}

impl Discovery {
    /// Starts on `address`; lists reach gatekeepers `lag` late.
    ///
    /// # Errors
    /// It cannot listen.
    pub async fn start(address: SocketAddr, lag: Duration, recorder: Recorder) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (state, watched) = watch::channel(State::default());
        let service = EndpointDiscoveryServiceServer::new(Service { state: watched, lag, recorder });
        let mut tasks = JoinSet::new();
        tasks.spawn(async move {
            let server = tonic::transport::Server::builder().add_service(service);
            if let Err(error) = server.serve_with_incoming(TcpListenerStream::new(listener)).await {
                tracing::error!(%error, "discovery ended");
            }
        });
        Ok(Self { address, state, _tasks: tasks })
    }

    /// The list changes.
    pub fn set(&self, servers: Vec<Endpoint>) {
        self.state.send_modify(|state| {
            state.version += 1;
            state.servers = Arc::new(servers);
        });
    }

    /// Stops or resumes telling gatekeepers of changes.
    pub fn freeze(&self, frozen: bool) {
        self.state.send_modify(|state| state.frozen = frozen);
    }
}

#[tonic::async_trait]
impl EndpointDiscoveryService for Service {
    type StreamEndpointsStream = Pin<Box<dyn Stream<Item = Result<DiscoveryResponse, Status>> + Send>>;
    type DeltaEndpointsStream = Pin<Box<dyn Stream<Item = Result<DeltaDiscoveryResponse, Status>> + Send>>;

    async fn stream_endpoints(
        &self,
        request: Request<Streaming<DiscoveryRequest>>,
    ) -> Result<Response<Self::StreamEndpointsStream>, Status> {
        let (lists, stream) = mpsc::channel(WAITING);
        tokio::spawn(self.clone().follow(request.into_inner(), lists));
        Ok(Response::new(Box::pin(ReceiverStream::new(stream))))
    }

    async fn fetch_endpoints(
        &self,
        _: Request<DiscoveryRequest>,
    ) -> Result<Response<DiscoveryResponse>, Status> {
        Ok(Response::new(response(&self.state.borrow())))
    }

    async fn delta_endpoints(
        &self,
        _request: Request<Streaming<DeltaDiscoveryRequest>>,
    ) -> Result<Response<Self::DeltaEndpointsStream>, Status> {
        Err(Status::unimplemented("whole lists only"))
    }
}

impl Service {
    async fn follow(
        mut self,
        mut requests: Streaming<DiscoveryRequest>,
        lists: mpsc::Sender<Result<DiscoveryResponse, Status>>,
    ) {
        let (mut gk, mut named, mut sent, mut told) = (0, false, HashMap::new(), 0);
        loop {
            tokio::select! {
                request = requests.message() => {
                    let Ok(Some(request)) = request else { return };
                    if let Some(node) = &request.node {
                        gk = node.id.rsplit('-').next().and_then(|n| n.parse().ok()).unwrap_or(0);
                        named = true;
                    }
                    let acknowledged = sent.remove(&request.response_nonce);
                    if let Some(stopped) = acknowledged.filter(|_| request.error_detail.is_none()) {
                        self.recorder.note(Fact::Knows { gk, stopped });
                    }
                }
                changed = async { self.state.wait_for(|s| !s.frozen && s.version > told).await.is_ok() }, if named => {
                    if !changed {
                        return;
                    }
                    let state = self.state.borrow().clone();
                    told = state.version;
                    tokio::time::sleep(self.lag).await;
                    let (response, stopped) = (response(&state), stopped(&state.servers));
                    // Before it is sent: it is acted on sooner than it is acknowledged.
                    self.recorder.note(Fact::Told { gk, stopped: stopped.clone() });
                    if sent.len() < UNACKNOWLEDGED {
                        sent.insert(response.nonce.clone(), stopped);
                    }
                    if lists.send(Ok(response)).await.is_err() {
                        return;
                    }
                }
            }
        }
    }
}

fn stopped(servers: &[Endpoint]) -> Vec<String> {
    servers.iter().filter(|s| s.lifecycle != Lifecycle::Running).map(|s| s.id.to_string()).collect()
}

fn response(state: &State) -> DiscoveryResponse {
    let list = eds::write(CLUSTER, &state.servers, &[]);
    let version = state.version.to_string();
    DiscoveryResponse {
        version_info: version.clone(),
        resources: vec![Any { type_url: eds::TYPE_URL.to_string(), value: list.encode_to_vec() }],
        type_url: eds::TYPE_URL.to_string(),
        nonce: version,
        ..DiscoveryResponse::default()
    }
}
