//! The errors with which a node ends.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use weirusher_core::EngineError;
use weirusher_platform::config::ConfigError;

/// Why a node cannot start, or why it shut down without a signal.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum RunError {
    /// The configuration file cannot be read.
    #[error("cannot read {0}: {1}")]
    Read(PathBuf, io::Error),
    /// The configuration file is invalid.
    #[error("invalid configuration {0}: {1}")]
    Config(PathBuf, ConfigError),
    /// The signal handlers cannot be installed.
    #[error("cannot install signal handlers: {0}")]
    Signals(io::Error),
    /// The node cannot listen on the address for clients.
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddr, io::Error),
    /// The policy rejects the settings.
    #[error("invalid configuration {0}: {1}")]
    Settings(PathBuf, EngineError),
    /// The fleet membership cannot start.
    #[error(transparent)]
    Fleet(#[from] weirusher_peers::StartError),
    /// The fleet file is for another instance or for a fleet of another size.
    #[error(
        "[fleet] is for gateway {fleet_instance} of {fleet_size}, \
         but the configuration is for gateway {instance} of {instances}"
    )]
    FleetMismatch {
        /// The instance that the fleet file is for.
        fleet_instance: u16,
        /// The number of members in the fleet file.
        fleet_size: usize,
        /// The instance that the configuration is for.
        instance: u32,
        /// The number of instances in the configuration.
        instances: u32,
    },
    /// The fleet page cannot listen on its address.
    #[error("cannot listen on {0} for the fleet page: {1}")]
    FleetPage(SocketAddr, io::Error),
    /// A panic may have corrupted state that all requests depend on; the node shut down gracefully.
    #[error("shut down after an internal error (panic); the log line `panic` names its place")]
    Panicked,
}
