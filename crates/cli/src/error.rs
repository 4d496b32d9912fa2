//! Why a command fails, and its exit code.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::process::ExitCode;
use weirusher_scenarios::{CaptureError, RunError, ScenarioError};

/// Exit code of a command that failed while it ran, or found a rule violated.
pub const FAILED: u8 = 1;
/// Exit code where the command line or an input file is not valid.
pub const INVALID_INPUT: u8 = 2;

/// Why a command fails.
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
        /// The problems with their lines, for people.
        listing: String,
    },
    /// A scenario is not valid.
    #[error("{}: {error}", path.display())]
    Scenario { path: PathBuf, error: ScenarioError },
    /// A capture cannot be audited.
    #[error("{}: {error}", path.display())]
    Capture { path: PathBuf, error: CaptureError },
    /// A gateway's admin page has no view of a fleet.
    #[error("{admin}: {body}")]
    NoFleet { admin: SocketAddr, body: String },
    /// A fake server is to use an address that others can reach.
    #[error("{0} is not loopback: fake servers use 127.0.0.1 and [::1] only")]
    NotLoopback(IpAddr),
    /// A ticket key is not of the form.
    #[error("--key is `id:secret`, such as 1:0123456789abcdef")]
    TicketKey,
    /// A load is empty or too large.
    #[error("--rate up to {max_rate}, --seconds up to {max_seconds}, --customers from 1")]
    Load { max_rate: f64, max_seconds: f64 },
    /// A gateway's admin page does not answer.
    #[error("{admin}: {error}")]
    Admin { admin: SocketAddr, error: io::Error },
    /// A panic may have broken what all requests depend on; the gateway has stopped in order.
    #[error("stopped after a panic")]
    Panicked,
    /// The tokio runtime cannot be built.
    #[error("no runtime: {0}")]
    Runtime(io::Error),
    /// The folder for a scenario's files cannot be created.
    #[error("no folder for the fleet: {0}")]
    WorkDir(io::Error),
    /// This program's own path is unknown.
    #[error("this program cannot be found: {0}")]
    CurrentProgram(io::Error),
    /// A scenario could not be run.
    #[error(transparent)]
    Run(#[from] RunError),
    /// A gateway could not be started.
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
