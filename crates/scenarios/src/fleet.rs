//! The fleet of a run: each gateway is a separate process, the fakes run in this process, and links connect them.

mod audit_parameters;
mod backend;
mod gateway;
mod gateway_config;

use crate::peers::PeerHarness;
use crate::scenario::{PlanSpec, Scenario};
use backend::BackendSlot;
use gateway::GatewayProcess;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use weirusher_fakes::{CaptureEvent, Counter, Discovery, Link, LoadGenerator, Recorder, ScriptedServer};

/// The ticket key of all runs. It is no secret: nothing outside a run accepts it.
const TICKET_SECRET: &str = "scenario-runs-only-0123456789abc";
/// Any free loopback port.
const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
/// Maximum customers of each plan that `Addresses` lists.
const LISTED_CUSTOMERS: usize = 3;

/// Why a fleet cannot be started or changed.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum FleetError {
    /// A socket, a file or a process failed.
    #[error("{what}: {error}")]
    Io {
        /// What the operation was for.
        what: &'static str,
        /// Error of the operating system.
        error: std::io::Error,
    },
    /// A gateway exited before it printed its addresses, or did not print them in time.
    #[error("gateway {gateway} exited or printed no addresses in time; see its log on standard error")]
    NotListening {
        /// Number of the gateway.
        gateway: usize,
    },
    /// The load generator cannot be created for the gateways' addresses.
    #[error("cannot create the load generator: {0}")]
    LoadGenerator(Box<dyn std::error::Error + Send + Sync>),
}

/// Converts an I/O error, with what the operation was for.
fn io_error(what: &'static str) -> impl Fn(std::io::Error) -> FleetError {
    move |error| FleetError::Io { what, error }
}

/// Addresses of a fleet's processes and fakes. Printed as JSON for programs that use a fleet without load.
#[derive(Debug, Clone, Serialize)]
pub struct Addresses {
    /// External authorisation, by gateway.
    pub ext_authz: Vec<SocketAddr>,
    /// Access log streams, by gateway.
    pub access_log: Vec<SocketAddr>,
    /// Addresses of the counter.
    pub counter: Vec<SocketAddr>,
    /// The backends, as tickets name them.
    #[serde(rename = "checkers")]
    pub backends: Vec<SocketAddr>,
    /// Admin pages, by gateway.
    pub admin: Vec<SocketAddr>,
    /// Discovery.
    pub discovery: Vec<SocketAddr>,
    /// The first few customers of each plan, by plan name.
    pub customers: BTreeMap<String, Vec<String>>,
}

/// A running fleet.
pub(crate) struct Fleet {
    pub scenario: Scenario,
    pub recorder: Recorder,
    pub load_generator: Arc<LoadGenerator>,
    pub counter: Counter,
    pub discovery: Discovery,
    pub gateways: Vec<GatewayProcess>,
    pub backends: Vec<BackendSlot>,
    /// Membership between the gateways, if the scenario enables it.
    pub peers: Option<PeerHarness>,
    /// The platform's endpoint list service, for gateways that run `node`.
    platform_discovery: ScriptedServer,
    program: PathBuf,
    /// Seed of the backend that was started last.
    backend_seed: u64,
}

impl Fleet {
    /// Starts the fakes, the backends and the gateways. `work_dir` is for configurations and cached endpoint lists.
    ///
    /// # Errors
    /// A socket, a file or a process fails, or a gateway does not start listening.
    pub async fn start(
        scenario: Scenario,
        program: &Path,
        work_dir: &Path,
        recorder: Recorder,
    ) -> Result<Self, FleetError> {
        let parameters = audit_parameters::from_scenario(&scenario);
        recorder.record(CaptureEvent::RunStarted { name: scenario.name.clone(), parameters });
        let counter =
            Counter::start(ANY_PORT, recorder.clone()).await.map_err(io_error("cannot start the counter"))?;
        let list_delay = Duration::from_millis(scenario.fleet.list_lag_ms);
        let discovery = Discovery::start(ANY_PORT, list_delay, recorder.clone())
            .await
            .map_err(io_error("cannot start discovery"))?;
        let mut backends = Vec::new();
        for _ in 0..scenario.fleet.backends {
            backends.push(BackendSlot::new(new_link(None).await?));
        }
        let mut gateways = Vec::new();
        for number in 0..scenario.fleet.gateways {
            let (front, to_counter) = (new_link(None).await?, new_link(Some(counter.address)).await?);
            let to_discovery = new_link(Some(discovery.address)).await?;
            gateways.push(GatewayProcess::new(&scenario, number, work_dir, front, to_counter, to_discovery));
        }
        let peers = start_peers(&scenario, &recorder).await?;
        let platform_discovery = gateway_config::platform_discovery()
            .await
            .map_err(io_error("cannot start the platform's endpoint list service"))?;
        let fronts: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.front.address).collect();
        let load_generator =
            LoadGenerator::new(&fronts, recorder.clone()).map_err(|e| FleetError::LoadGenerator(e.into()))?;
        let (program, backend_seed) = (program.to_path_buf(), scenario.seed);
        let mut fleet = Self {
            scenario,
            recorder,
            load_generator,
            counter,
            discovery,
            gateways,
            backends,
            peers,
            platform_discovery,
            program,
            backend_seed,
        };
        fleet.start_processes().await?;
        Ok(fleet)
    }

    /// Starts all backends, and then all gateways.
    async fn start_processes(&mut self) -> Result<(), FleetError> {
        for backend in 0..self.backends.len() {
            self.start_backend(backend, false).await?;
        }
        self.publish_endpoints();
        let all: Vec<usize> = (0..self.gateways.len()).collect();
        self.start_gateways(&all, 0.0).await?;
        if let Some(peers) = &mut self.peers {
            peers.start_polling(&self.recorder);
        }
        Ok(())
    }

    pub fn addresses(&self) -> Addresses {
        let fronts: Vec<SocketAddr> = self.gateways.iter().map(|gateway| gateway.front.address).collect();
        let customers = |plan: &PlanSpec| {
            let listed = plan.customers.min(LISTED_CUSTOMERS);
            (plan.name.clone(), (0..listed).map(|number| plan.customer(number)).collect())
        };
        Addresses {
            ext_authz: fronts.clone(),
            access_log: fronts,
            counter: vec![self.counter.address],
            backends: self.backends.iter().map(|backend| backend.front.address).collect(),
            admin: self.gateways.iter().map(|gateway| gateway.admin).collect(),
            discovery: vec![self.discovery.address],
            customers: self.scenario.plans.iter().map(customers).collect(),
        }
    }

    /// Shuts all gateways down and flushes the capture. Returns whether all exited in time and without error.
    pub async fn stop(mut self) -> bool {
        let all: Vec<usize> = (0..self.gateways.len()).collect();
        let exited_gracefully = self.stop_gateways(&all).await;
        self.recorder.flush();
        exited_gracefully
    }
}

/// Starts the network between the gateways, if the scenario enables membership.
async fn start_peers(scenario: &Scenario, recorder: &Recorder) -> Result<Option<PeerHarness>, FleetError> {
    let Some(spec) = scenario.peers.clone() else { return Ok(None) };
    let started = PeerHarness::start(scenario, spec, recorder).await;
    started.map(Some).map_err(io_error("cannot start the network between gateways"))
}

async fn new_link(target: Option<SocketAddr>) -> Result<Link, FleetError> {
    Link::start(target).await.map_err(io_error("cannot start a link"))
}
