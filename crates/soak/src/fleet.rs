//! The fleet of a soak: its nodes, its backends, its counter, and the endpoint list.

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
use weirusher_fakes::{Reply, ScriptedServer, counter_script};

/// The longest time that the nodes may take to become ready at the start.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// The time that the counter takes to respond while it is slow.
const SLOW_COUNTER_DELAY: Duration = Duration::from_millis(80);

/// Options for running a soak.
#[derive(Debug, Clone)]
pub struct Options {
    /// The gateway executable under test.
    pub exe: PathBuf,
    /// The directory for configurations and logs.
    pub dir: PathBuf,
}

/// A running fleet.
pub struct Fleet {
    /// The gateway nodes.
    pub nodes: Vec<Arc<Node>>,
    /// The backends, by number.
    pub backends: Vec<Backend>,
    /// Records the events of the soak.
    pub recorder: Recorder,
    /// Whether the counter responds slowly.
    pub slow_counter: Arc<AtomicBool>,
    endpoints: Mutex<EndpointList>,
    /// Held so that the counter keeps running.
    _counter: ScriptedServer,
}

impl Fleet {
    /// Starts all components and waits until the nodes are ready.
    ///
    /// # Errors
    /// A component fails to start, or a node is not ready in time.
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
                // No error: the fleet owns the node, and the node owns the sender.
                let _ = availability.wait_for(|state| matches!(state, Availability::Ready(_))).await;
            }
        };
        timeout(READY_TIMEOUT, ready)
            .await
            .map_err(|_| io::Error::other("the nodes did not become ready in time"))
    }

    /// Starts to drain a backend and publishes the endpoint list; see [`EndpointList::drain`].
    pub fn drain_backend(&self, backend: usize) -> bool {
        let mut endpoints = self.endpoints.lock().expect("no task panics while holding the lock");
        let drained = endpoints.drain(backend);
        if drained {
            self.publish(&endpoints);
        }
        drained
    }

    /// Changes the endpoint list and publishes it to all nodes.
    pub fn change_endpoints(&self, change: impl FnOnce(&mut EndpointList)) {
        let mut endpoints = self.endpoints.lock().expect("no task panics while holding the lock");
        change(&mut endpoints);
        self.publish(&endpoints);
    }

    fn publish(&self, endpoints: &EndpointList) {
        let listed = endpoints.listed();
        self.nodes.iter().for_each(|node| node.publish(&listed));
    }
}

/// Starts a counter that responds after [`SLOW_COUNTER_DELAY`] while `slow` is set.
async fn start_counter(slow: Arc<AtomicBool>) -> io::Result<ScriptedServer> {
    let count = counter_script();
    ScriptedServer::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), move |request| match count(request) {
        Reply::Bytes(bytes) if slow.load(Ordering::Relaxed) => Reply::Delayed(SLOW_COUNTER_DELAY, bytes),
        reply => reply,
    })
    .await
}
