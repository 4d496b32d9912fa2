//! The fleet of a soak: its nodes, backends, counter and list of backends.

use crate::backend::Backend;
use crate::endpoint_list::{self, EndpointList};
use crate::node::{Availability, Node, NodeOptions};
use crate::plan::Plan;
use crate::record::Recorder;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::timeout;
use weirusher_fakes::{Reply, ScriptedServer, counting};

/// The longest that the nodes may take to be ready at the start.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// The response time of the counter while it is slow.
const SLOW_COUNTER_DELAY: Duration = Duration::from_millis(80);

/// How a soak is run.
#[derive(Debug, Clone)]
pub struct Options {
    /// The program under test.
    pub exe: PathBuf,
    /// For configurations and logs.
    pub dir: PathBuf,
}

/// A running fleet.
pub struct Fleet {
    /// The gateways.
    pub nodes: Vec<Arc<Node>>,
    /// The backends.
    pub backends: Vec<Backend>,
    /// Records what happens.
    pub recorder: Recorder,
    /// While set, the counter responds late.
    pub slow_counter: Arc<AtomicBool>,
    endpoints: Mutex<EndpointList>,
    _counter: ScriptedServer,
}

impl Fleet {
    /// Starts all parts, and waits until the nodes are ready.
    ///
    /// # Errors
    /// A part does not start, or a node is not ready in time.
    pub async fn start(plan: &Plan, options: &Options) -> io::Result<Arc<Self>> {
        let recorder = Recorder::default();
        let mut backends = Vec::new();
        for number in 0..plan.backends {
            backends.push(Backend::start(number, recorder.clone(), plan.seed ^ number as u64).await?);
        }
        let endpoints = endpoint_list::serving(backends.iter().map(|backend| backend.address));
        let slow_counter = Arc::new(AtomicBool::new(false));
        let counter = start_counter(slow_counter.clone()).await?;
        let node_options = NodeOptions {
            exe: options.exe.clone(),
            dir: options.dir.clone(),
            counter: counter.address,
            endpoints: endpoints.clone(),
            plan: plan.clone(),
            recorder: recorder.clone(),
        };
        let mut nodes = Vec::new();
        for number in 0..plan.nodes {
            let node = Node::new(&node_options, number).await?;
            node.start().await?;
            nodes.push(node);
        }
        let endpoints = Mutex::new(EndpointList::new(endpoints));
        let fleet = Self { nodes, backends, recorder, slow_counter, endpoints, _counter: counter };
        fleet.wait_until_ready().await?;
        Ok(Arc::new(fleet))
    }

    async fn wait_until_ready(&self) -> io::Result<()> {
        let ready = async {
            for node in &self.nodes {
                let mut availability = node.availability.subscribe();
                // An error means that the node was dropped, and the fleet owns it.
                let _ = availability.wait_for(|state| matches!(state, Availability::Ready(_))).await;
            }
        };
        timeout(READY_TIMEOUT, ready).await.map_err(|_| io::Error::other("the nodes are not ready in time"))
    }

    /// Begins the drain of a backend and publishes the list; see [`EndpointList::drain`].
    pub fn drain_backend(&self, backend: usize) -> bool {
        let mut endpoints = self.endpoints.lock().expect("no task panics while it has the lock");
        let drained = endpoints.drain(backend);
        if drained {
            self.publish(&endpoints);
        }
        drained
    }

    /// Changes the list of backends and publishes it to all nodes.
    pub fn change_endpoints(&self, change: impl FnOnce(&mut EndpointList)) {
        let mut endpoints = self.endpoints.lock().expect("no task panics while it has the lock");
        change(&mut endpoints);
        self.publish(&endpoints);
    }

    fn publish(&self, endpoints: &EndpointList) {
        let listed = endpoints.listed();
        self.nodes.iter().for_each(|node| node.publish(&listed));
    }
}

/// A counter that responds late while `slow` is set.
async fn start_counter(slow: Arc<AtomicBool>) -> io::Result<ScriptedServer> {
    let count = counting();
    ScriptedServer::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), move |request| match count(request) {
        Reply::Bytes(bytes) if slow.load(Ordering::Relaxed) => Reply::Delayed(SLOW_COUNTER_DELAY, bytes),
        reply => reply,
    })
    .await
}
