//! The fleet of a run: gateways as processes of their own, fakes in this process, and links between them.

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

/// The ticket key of all runs. It is public: nothing outside a run accepts it.
const TICKET_SECRET: &str = "scenario-runs-only-0123456789abc";
/// Any free port of loopback.
const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
/// Customers of each plan that are listed with the addresses.
const LISTED_CUSTOMERS: usize = 3;

/// Why a fleet cannot be started or changed.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum FleetError {
    /// A socket, a file or a process failed.
    #[error("{what}: {error}")]
    Io {
        /// What it was for.
        what: &'static str,
        /// What the system returned.
        error: std::io::Error,
    },
    /// A gateway ended, or did not print its addresses in time.
    #[error("gateway {gateway} did not print its addresses")]
    NotListening {
        /// Its number.
        gateway: usize,
    },
    /// The load generator cannot address the gateways.
    #[error("the load generator: {0}")]
    LoadGenerator(Box<dyn std::error::Error + Send + Sync>),
}

/// Names what a failed operation was for.
fn io(what: &'static str) -> impl Fn(std::io::Error) -> FleetError {
    move |error| FleetError::Io { what, error }
}

/// Where the parts of a fleet listen. Its JSON is for programs that use a fleet without load.
#[derive(Debug, Clone, Serialize)]
pub struct Addresses {
    /// External authorisation, by gateway.
    pub ext_authz: Vec<SocketAddr>,
    /// Access log streams, by gateway.
    pub access_log: Vec<SocketAddr>,
    /// The counter.
    pub counter: Vec<SocketAddr>,
    /// The backends, as tickets name them.
    #[serde(rename = "checkers")]
    pub backends: Vec<SocketAddr>,
    /// Admin pages, by gateway.
    pub admin: Vec<SocketAddr>,
    /// Discovery.
    pub discovery: Vec<SocketAddr>,
    /// The first customers of each plan, by the plan's name.
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
    /// The membership of the gateways, where they have one.
    pub peers: Option<PeerHarness>,
    /// The platform's list service, for gateways that run `node`.
    platform_discovery: ScriptedServer,
    program: PathBuf,
    /// Seed of the backend that was started last.
    seed: u64,
}

impl Fleet {
    /// Starts everything; configurations and endpoint lists are written to `work_dir`.
    ///
    /// # Errors
    /// A socket, a file or a process fails, or a gateway does not listen.
    pub async fn start(
        scenario: Scenario,
        program: &Path,
        work_dir: &Path,
        recorder: Recorder,
    ) -> Result<Self, FleetError> {
        let parameters = audit_parameters::of(&scenario);
        recorder.record(CaptureEvent::RunStarted { name: scenario.name.clone(), parameters });
        let counter = Counter::start(ANY_PORT, recorder.clone()).await.map_err(io("the counter"))?;
        let list_delay = Duration::from_millis(scenario.fleet.list_lag_ms);
        let discovery =
            Discovery::start(ANY_PORT, list_delay, recorder.clone()).await.map_err(io("discovery"))?;
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
        let platform_discovery =
            gateway_config::platform_discovery().await.map_err(io("the platform's list service"))?;
        let fronts: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.front.address).collect();
        let load_generator =
            LoadGenerator::new(&fronts, recorder.clone()).map_err(|e| FleetError::LoadGenerator(e.into()))?;
        let (program, seed) = (program.to_path_buf(), scenario.seed);
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
            seed,
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

    /// Shuts all gateways down, and writes out the capture; whether all ended well.
    pub async fn stop(mut self) -> bool {
        let all: Vec<usize> = (0..self.gateways.len()).collect();
        let ended_well = self.stop_gateways(&all).await;
        self.recorder.flush();
        ended_well
    }
}

/// The membership of the gateways, where the scenario has one.
async fn start_peers(scenario: &Scenario, recorder: &Recorder) -> Result<Option<PeerHarness>, FleetError> {
    let Some(spec) = scenario.peers.clone() else { return Ok(None) };
    let started = PeerHarness::start(scenario, spec, recorder).await;
    started.map(Some).map_err(io("the network between gateways"))
}

async fn new_link(target: Option<SocketAddr>) -> Result<Link, FleetError> {
    Link::start(target).await.map_err(io("a link"))
}
