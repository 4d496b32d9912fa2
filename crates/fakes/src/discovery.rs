//! A fake discovery service: pushes the endpoint list over EDS after a delay, and can stop pushing it.

use crate::capture::CaptureEvent;
use crate::recorder::Recorder;
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

/// Name of the cluster that it serves.
const CLUSTER: &str = "checkers";
/// Maximum number of lists that wait for a gateway that reads slowly.
const LIST_QUEUE: usize = 4;
/// Maximum number of lists of one stream whose acknowledgement is awaited; the acknowledgements of further lists are
/// not recorded.
const MAX_UNACKNOWLEDGED: usize = 64;

#[derive(Clone, Default)]
struct State {
    version: u64,
    endpoints: Arc<Vec<Endpoint>>,
    /// Whether sending lists is suspended.
    frozen: bool,
}

/// A discovery service. Dropping it stops the service and ends its streams.
pub struct Discovery {
    /// The address that it listens on.
    pub address: SocketAddr,
    state: watch::Sender<State>,
    _tasks: JoinSet<()>,
}

#[derive(Clone)]
struct Service {
    state: watch::Receiver<State>,
    delay: Duration,
    recorder: Recorder,
}

impl Discovery {
    /// Starts a discovery service on `address`. Each list is sent `delay` after it was set.
    ///
    /// # Errors
    /// If it cannot listen on the address.
    pub async fn start(address: SocketAddr, delay: Duration, recorder: Recorder) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (state, state_updates) = watch::channel(State::default());
        let service = EndpointDiscoveryServiceServer::new(Service { state: state_updates, delay, recorder });
        let mut tasks = JoinSet::new();
        tasks.spawn(async move {
            let server = tonic::transport::Server::builder().add_service(service);
            if let Err(error) = server.serve_with_incoming(TcpListenerStream::new(listener)).await {
                tracing::error!(%error, "discovery service stopped");
            }
        });
        Ok(Self { address, state, _tasks: tasks })
    }

    /// Replaces the endpoint list.
    pub fn set(&self, endpoints: Vec<Endpoint>) {
        self.state.send_modify(|state| {
            state.version += 1;
            state.endpoints = Arc::new(endpoints);
        });
    }

    /// Suspends sending lists, or resumes it with the current list.
    pub fn set_frozen(&self, frozen: bool) {
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
        let (lists, stream) = mpsc::channel(LIST_QUEUE);
        tokio::spawn(self.clone().serve_stream(request.into_inner(), lists));
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
        Err(Status::unimplemented("complete lists only"))
    }
}

impl Service {
    /// Sends each new list on a stream, and records the lists that were sent and acknowledged.
    async fn serve_stream(
        mut self,
        mut requests: Streaming<DiscoveryRequest>,
        lists: mpsc::Sender<Result<DiscoveryResponse, Status>>,
    ) {
        // The first request of a stream names the gateway, in its node id.
        let mut gateway: Option<usize> = None;
        let mut unacknowledged: HashMap<String, Vec<String>> = HashMap::new();
        let mut sent_version = 0;
        loop {
            let is_newer = move |state: &State| !state.frozen && state.version > sent_version;
            tokio::select! {
                request = requests.message() => {
                    let Ok(Some(request)) = request else { return };
                    if let Some(node) = &request.node {
                        gateway = Some(gateway_number(&node.id));
                    }
                    let acknowledged = unacknowledged.remove(&request.response_nonce);
                    if let Some(stopped_backends) = acknowledged.filter(|_| request.error_detail.is_none()) {
                        let gateway = gateway.unwrap_or(0);
                        self.recorder.record(CaptureEvent::ListAcknowledged { gateway, stopped_backends });
                    }
                }
                changed = async { self.state.wait_for(is_newer).await.is_ok() }, if gateway.is_some() => {
                    if !changed {
                        return;
                    }
                    let state = self.state.borrow().clone();
                    sent_version = state.version;
                    tokio::time::sleep(self.delay).await;
                    let (response, stopped_backends) = (response(&state), stopped_backends(&state.endpoints));
                    // Recorded before it is sent, since a gateway may use a list before it acknowledges it.
                    let sent = CaptureEvent::ListSent {
                        gateway: gateway.unwrap_or(0),
                        stopped_backends: stopped_backends.clone(),
                    };
                    self.recorder.record(sent);
                    if unacknowledged.len() < MAX_UNACKNOWLEDGED {
                        unacknowledged.insert(response.nonce.clone(), stopped_backends);
                    }
                    if lists.send(Ok(response)).await.is_err() {
                        return;
                    }
                }
            }
        }
    }
}

/// Returns the number at the end of a gateway's node id, or 0 if there is none.
fn gateway_number(node_id: &str) -> usize {
    node_id.rsplit('-').next().and_then(|number| number.parse().ok()).unwrap_or(0)
}

/// Returns the addresses of the backends that are draining or removed.
fn stopped_backends(endpoints: &[Endpoint]) -> Vec<String> {
    let stopped = endpoints.iter().filter(|endpoint| endpoint.lifecycle != Lifecycle::Running);
    stopped.map(|endpoint| endpoint.id.to_string()).collect()
}

fn response(state: &State) -> DiscoveryResponse {
    let list = eds::encode(CLUSTER, &state.endpoints);
    let version = state.version.to_string();
    DiscoveryResponse {
        version_info: version.clone(),
        resources: vec![Any { type_url: eds::TYPE_URL.to_string(), value: list.encode_to_vec() }],
        type_url: eds::TYPE_URL.to_string(),
        nonce: version,
        ..DiscoveryResponse::default()
    }
}
