//! Commands and options of the command line, and their help texts.
//!
//! Commands and options that were renamed keep their former name as a hidden alias.

use clap::{Args, Parser, Subcommand, ValueEnum};
use std::net::SocketAddr;
use std::path::PathBuf;

/// An API gateway that enforces quotas and priorities across a fleet of gateways.
///
/// Exit codes: 0 on success; 1 if a rule was violated or the command failed; 2 if the command line, a configuration, a
/// scenario or a capture is invalid.
#[derive(Parser)]
#[command(version, max_term_width = 100)]
pub struct Arguments {
    /// Format of the log, which is written to standard error. RUST_LOG sets the filter.
    #[arg(long, global = true, value_enum, default_value = "text")]
    pub log: LogFormat,
    #[command(subcommand)]
    pub command: Command,
}

/// The format of log lines.
#[derive(Clone, Copy, PartialEq, ValueEnum)]
pub enum LogFormat {
    Text,
    Json,
}

#[derive(Subcommand)]
pub enum Command {
    /// Run a gateway as Envoy's external authorisation service until SIGTERM or SIGINT. Prints one JSON line with its
    /// addresses.
    Run {
        /// Configuration file, in TOML.
        #[arg(long)]
        config: PathBuf,
    },
    /// Run a gateway that forwards HTTP requests on the platform, until SIGTERM or SIGINT. SIGHUP reloads the
    /// configuration.
    Node {
        /// Configuration file, in JSON.
        #[arg(long, env = "NODE_CONFIG")]
        config: PathBuf,
        /// TOML file with a [fleet] table, which makes the gateway a member of a fleet; prints one JSON line with its
        /// addresses. Without this option no socket, timer or memory is used for fleet membership.
        #[arg(long)]
        fleet: Option<PathBuf>,
    },
    /// Show a running gateway's view of its fleet.
    Fleet {
        /// Address of the gateway's admin server.
        #[arg(long)]
        admin: SocketAddr,
        /// Print the complete view as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Check a gateway configuration and list all problems in it.
    Check {
        /// Configuration file, in TOML.
        file: PathBuf,
    },
    /// Run a single fake server until SIGTERM or SIGINT. Prints one JSON line with its address.
    #[command(alias = "standin")]
    Fake {
        #[command(subcommand)]
        fake: Fake,
    },
    /// Run a fault-injection scenario: starts gateway processes and fake servers, generates load and faults, and audits
    /// the traffic captured on the sockets.
    #[command(alias = "rehearse")]
    Scenario(ScenarioArguments),
    /// Audit a stored capture: check the rules against the capture alone.
    Audit {
        /// Capture file, one JSON object per line.
        capture: PathBuf,
        /// Print the report as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Simulate random schedules of counter faults in virtual time, and check each against the bound on overshoot.
    #[command(alias = "prove")]
    Simulate {
        /// Number of schedules; each has its own seed.
        #[arg(long, alias = "timelines", default_value_t = 10_000)]
        schedules: u64,
        /// Seed of the first schedule; the following ones count up from it.
        #[arg(long, default_value_t = 0)]
        from: u64,
        /// Print the result as JSON.
        #[arg(long)]
        json: bool,
    },
}

#[derive(Args)]
pub struct ScenarioArguments {
    /// Scenario file, in TOML. The scenarios that ship with the program are in days/.
    pub file: PathBuf,
    /// Start the fleet without load, print its addresses as one JSON line, and stop on SIGTERM, SIGINT or end of file
    /// on standard input.
    #[arg(long, alias = "hold")]
    pub no_load: bool,
    /// Store the capture in this file.
    #[arg(long)]
    pub capture: Option<PathBuf>,
    /// Print the audit report as JSON.
    #[arg(long)]
    pub json: bool,
}

/// The fake servers. They accept loopback addresses only.
#[derive(Subcommand)]
pub enum Fake {
    /// Run a backend that admits requests by their tickets.
    #[command(alias = "checker")]
    Backend(BackendArguments),
    /// Run a counter that speaks RESP.
    Counter {
        /// Address to listen on.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
    },
    /// Run a load generator: simulates proxies and their clients for a limited time, and prints the outcomes of their
    /// requests as JSON.
    #[command(alias = "edge")]
    LoadGenerator(LoadArguments),
    /// Run a discovery service (EDS) with a fixed endpoint list.
    Discovery {
        /// Address to listen on.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// Address of a backend in the list; may be repeated.
        #[arg(long, alias = "checker", required = true)]
        backend: Vec<SocketAddr>,
    },
}

#[derive(Args)]
pub struct BackendArguments {
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Number of requests that the backend executes concurrently.
    #[arg(long, default_value_t = 3)]
    pub cores: usize,
    /// Mean service time per unit, in milliseconds.
    #[arg(long, default_value_t = 100.0)]
    pub service_ms: f64,
    /// The ticket key, in the form `id:secret`.
    #[arg(long)]
    pub key: String,
    /// Fraction of its capacity that the backend starts with; 1 disables slow start.
    #[arg(long, alias = "cold-from", default_value_t = 1.0)]
    pub slow_start_from: f64,
    /// Duration of slow start, in seconds.
    #[arg(long, alias = "cold-seconds", default_value_t = 10.0)]
    pub slow_start_seconds: f64,
}

#[derive(Args)]
pub struct LoadArguments {
    /// Address of a gateway; may be repeated. The load is spread evenly over all gateways.
    #[arg(long, alias = "gatekeeper", required = true)]
    pub gateway: Vec<SocketAddr>,
    /// Prefix of customer names; a number is appended.
    #[arg(long, default_value = "customer-")]
    pub prefix: String,
    /// Number of customers. The load is spread evenly over all customers.
    #[arg(long, default_value_t = 10)]
    pub customers: usize,
    /// Requests per second, of all customers together.
    #[arg(long, default_value_t = 20.0)]
    pub rate: f64,
    /// Duration of the load, in seconds.
    #[arg(long, default_value_t = 10.0)]
    pub seconds: f64,
    /// Path of the requests.
    #[arg(long, default_value = "/check-answer")]
    pub path: String,
    /// Time after which a client abandons its request, in milliseconds.
    #[arg(long, alias = "patience-ms", default_value_t = 3000.0)]
    pub deadline_ms: f64,
    /// Store the capture in this file.
    #[arg(long)]
    pub capture: Option<PathBuf>,
}
