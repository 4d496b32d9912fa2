//! Why a node cannot start, or ended by itself.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use weirusher_core::EngineError;
use weirusher_platform::config::ConfigError;

/// Why a node cannot start, or ended by itself.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum RunError {
    /// The configuration file cannot be read.
    #[error("{0}: {1}")]
    Read(PathBuf, io::Error),
    /// The configuration cannot be used.
    #[error("{0}: {1}")]
    Config(PathBuf, ConfigError),
    /// The process cannot wait for signals.
    #[error("signals: {0}")]
    Signals(io::Error),
    /// The node cannot listen on its address.
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddr, io::Error),
    /// The decisions cannot use the settings.
    #[error("{0}: {1}")]
    Settings(PathBuf, EngineError),
    /// The membership of the fleet cannot start.
    #[error(transparent)]
    Fleet(#[from] weirusher_peers::StartError),
    /// The fleet file is another instance's, or another fleet's.
    #[error(
        "[fleet] is of gateway {fleet_instance} of {fleet_size}, the configuration of {instance} of {instances}"
    )]
    FleetMismatch {
        /// The instance that the fleet file is for.
        fleet_instance: u16,
        /// The members that it lists.
        fleet_size: usize,
        /// The instance that the configuration is for.
        instance: u32,
        /// The instances that it states.
        instances: u32,
    },
    /// The fleet page cannot listen on its address.
    #[error("cannot listen on {0}: {1}")]
    FleetPage(SocketAddr, io::Error),
    /// A panic may have broken what all requests depend on; the node shut down in order.
    #[error("shut down after a panic")]
    Panicked,
}
