//! Errors of commands, and the exit codes they lead to.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::process::ExitCode;
use weirusher_scenarios::{CaptureError, RunError, ScenarioError};

/// Exit code of a command that failed while running or found a rule violated.
pub const FAILED: u8 = 1;
/// Exit code for an invalid command line or input file.
pub const INVALID_INPUT: u8 = 2;

/// The reason why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// An input file cannot be read.
    #[error("{}: {error}", path.display())]
    Input { path: PathBuf, error: io::Error },
    /// A configuration has problems.
    #[error("{count} problem{} in {}", if *count == 1 { "" } else { "s" }, path.display())]
    Config {
        path: PathBuf,
        count: usize,
        /// Human-readable list of the problems, with their lines.
        listing: String,
    },
    /// A scenario is invalid.
    #[error("{}: {error}", path.display())]
    Scenario { path: PathBuf, error: ScenarioError },
    /// A capture cannot be audited.
    #[error("{}: {error}", path.display())]
    Capture { path: PathBuf, error: CaptureError },
    /// A gateway's admin server has no view of a fleet, as the gateway is not a member of one.
    #[error("{admin} returned no view of a fleet: {body}")]
    NoFleet { admin: SocketAddr, body: String },
    /// A fake server would use an address that is reachable from other hosts.
    #[error("{0} is not loopback: fake servers use 127.0.0.1 and [::1] only")]
    NotLoopback(IpAddr),
    /// A ticket key is malformed.
    #[error("--key must have the form id:secret, such as 1:0123456789abcdef")]
    TicketKey,
    /// The load is empty or too large.
    #[error(
        "--rate must be above 0 and at most {max_rate}, --seconds above 0 and at most {max_seconds}, --customers at \
         least 1"
    )]
    Load { max_rate: f64, max_seconds: f64 },
    /// A gateway's admin server cannot be reached, or its response cannot be read.
    #[error("cannot read the fleet view from the admin server at {admin}: {error}")]
    Admin { admin: SocketAddr, error: io::Error },
    /// A task that all requests depend on has panicked, and the gateway has shut down gracefully.
    #[error("stopped after a panic; see the log line `panic`")]
    Panicked,
    /// The tokio runtime cannot be built.
    #[error("cannot build the tokio runtime: {0}")]
    Runtime(io::Error),
    /// The temporary directory for a scenario's files cannot be created.
    #[error("cannot create a temporary directory for the scenario: {0}")]
    WorkDir(io::Error),
    /// The path of this executable, which scenarios start as gateways, is unknown.
    #[error("cannot determine the path of this executable: {0}")]
    CurrentProgram(io::Error),
    /// A scenario could not be run.
    #[error(transparent)]
    Run(#[from] RunError),
    /// A gateway could not be started or run.
    #[error(transparent)]
    Gateway(Box<dyn std::error::Error + Send + Sync>),
    /// A fake server failed.
    #[error("{0}")]
    Fake(Box<dyn std::error::Error + Send + Sync>),
}

impl CommandError {
    /// The exit code of the process.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Input { .. }
            | Self::Config { .. }
            | Self::Scenario { .. }
            | Self::Capture { .. }
            | Self::NoFleet { .. }
            | Self::NotLoopback(_)
            | Self::TicketKey
            | Self::Load { .. } => INVALID_INPUT,
            Self::Admin { .. }
            | Self::Panicked
            | Self::Runtime(_)
            | Self::WorkDir(_)
            | Self::CurrentProgram(_)
            | Self::Run(_)
            | Self::Gateway(_)
            | Self::Fake(_) => FAILED,
        })
    }
}
