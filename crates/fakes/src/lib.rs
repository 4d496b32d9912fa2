//! Fakes of the systems that surround a gateway, written from the public specifications: backends, the counter,
//! discovery, a load generator that acts as proxies and clients, and networks with faults.
//!
//! Each fake records the traffic on its sockets with a [`Recorder`]. Its methods inject faults while it runs.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod audit_parameters;
mod backend;
mod capture;
mod client_request;
mod connections;
mod counter;
mod discovery;
mod discovery_agent;
mod endpoint_list;
mod http_frame;
mod link;
mod load_generator;
mod lock;
mod peer_network;
mod recorder;
mod scripted_server;

pub use audit_parameters::{AuditParameters, PlanLimits, RateLimit, SlowStartLimits};
pub use backend::{ARRIVAL_BURST_ALLOWANCE, FakeBackend, FakeBackendSpec, SlowStart};
pub use capture::{
    Admission, BackendState, CaptureEvent, CaptureRecord, CheckOutcome, ClientOutcome, DatagramFate,
    MembershipReport,
};
pub use client_request::{AttemptOutcome, BehaviourProfile, ClientRequest, RequestOutcome};
pub use counter::{Counter, CounterFault};
pub use discovery::Discovery;
pub use discovery_agent::DiscoveryAgent;
pub use endpoint_list::PendingPoll;
pub use http_frame::http_response;
pub use link::{Link, LinkFault};
pub use load_generator::LoadGenerator;
pub use peer_network::{Flood, NetworkConditions, PeerNetwork};
pub use recorder::Recorder;
pub use scripted_server::{ReceivedRequest, Reply, Script, ScriptedServer, counter_script};
