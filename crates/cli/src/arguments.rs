//! The command line: commands, options and their help.
//!
//! Commands and options that had another name before keep it as a hidden alias.

use clap::{Args, Parser, Subcommand, ValueEnum};
use std::net::SocketAddr;
use std::path::PathBuf;

/// An API gateway that keeps quotas and priorities across a fleet of instances.
///
/// Exit codes: 0 success; 1 a rule was violated, or the command failed; 2 the command line, a configuration, a scenario
/// or a capture is not valid.
#[derive(Parser)]
#[command(version, max_term_width = 100)]
pub struct Arguments {
    /// Log lines as text or JSON, to standard error. RUST_LOG filters them.
    #[arg(long, global = true, value_enum, default_value = "text")]
    pub log: LogFormat,
    #[command(subcommand)]
    pub command: Command,
}

/// The form of log lines.
#[derive(Clone, Copy, PartialEq, ValueEnum)]
pub enum LogFormat {
    Text,
    Json,
}

#[derive(Subcommand)]
pub enum Command {
    /// Run a gateway for Envoy's external authorisation; prints one JSON line with its addresses and stops on SIGTERM or
    /// SIGINT.
    Run {
        /// Its configuration, as TOML.
        #[arg(long)]
        config: PathBuf,
    },
    /// Run the gateway on the platform until SIGTERM or SIGINT; SIGHUP reloads the configuration.
    Node {
        /// Its configuration, as JSON.
        #[arg(long, env = "NODE_CONFIG")]
        config: PathBuf,
        /// A file with [fleet], which makes it a member of a fleet; prints one JSON line with its addresses. Without it
        /// there is no socket, timer or memory for a membership.
        #[arg(long)]
        fleet: Option<PathBuf>,
    },
    /// Show a running gateway's view of its fleet.
    Fleet {
        /// Address of its admin page.
        #[arg(long)]
        admin: SocketAddr,
        /// Print the complete view as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Check a configuration and list all problems in it.
    Check {
        /// The configuration, as TOML.
        file: PathBuf,
    },
    /// Run one fake server alone; prints one JSON line with its address and stops on SIGTERM or SIGINT.
    #[command(alias = "standin")]
    Fake {
        #[command(subcommand)]
        fake: Fake,
    },
    /// Run a fault-injection scenario: gateway processes, fake servers, load and faults, and an audit of what passed on
    /// the sockets.
    #[command(alias = "rehearse")]
    Scenario(ScenarioArguments),
    /// Audit a stored capture: check the rules against it alone.
    Audit {
        /// The capture, as lines of JSON.
        capture: PathBuf,
        /// Print the report as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Simulate random schedules of counter faults in virtual time, and check each against the bound on overshoot.
    #[command(alias = "prove")]
    Simulate {
        /// Number of schedules; each has a seed of its own.
        #[arg(long, alias = "timelines", default_value_t = 10_000)]
        schedules: u64,
        /// The first seed.
        #[arg(long, default_value_t = 0)]
        from: u64,
        /// Print the result as JSON.
        #[arg(long)]
        json: bool,
    },
}

#[derive(Args)]
pub struct ScenarioArguments {
    /// The scenario, as TOML; those that are shipped are in days/.
    pub file: PathBuf,
    /// Start the fleet without load, print its addresses as one JSON line, and stop on SIGTERM, SIGINT or the end of
    /// standard input.
    #[arg(long, alias = "hold")]
    pub no_load: bool,
    /// Store the capture in this file.
    #[arg(long)]
    pub capture: Option<PathBuf>,
    /// Print the audit's report as JSON.
    #[arg(long)]
    pub json: bool,
}

/// The fake servers. They listen on loopback only.
#[derive(Subcommand)]
pub enum Fake {
    /// A backend that admits requests by ticket.
    #[command(alias = "checker")]
    Backend(BackendArguments),
    /// A counter that speaks RESP.
    Counter {
        /// Address to listen on.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
    },
    /// A load generator: plays proxies and their clients for a while, and prints how their requests ended as JSON.
    #[command(alias = "edge")]
    LoadGenerator(LoadArguments),
    /// A discovery service (EDS) with a fixed endpoint list.
    Discovery {
        /// Address to listen on.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// Address of a backend of the list; may be repeated.
        #[arg(long, alias = "checker", required = true)]
        backend: Vec<SocketAddr>,
    },
}

#[derive(Args)]
pub struct BackendArguments {
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Requests that it executes at once.
    #[arg(long, default_value_t = 3)]
    pub cores: usize,
    /// Mean work of a unit, in milliseconds.
    #[arg(long, default_value_t = 100.0)]
    pub service_ms: f64,
    /// The ticket key, as `id:secret`.
    #[arg(long)]
    pub key: String,
    /// Share of its capacity that it starts with; 1: it is warmed up from the start.
    #[arg(long, alias = "cold-from", default_value_t = 1.0)]
    pub slow_start_from: f64,
    /// Seconds until it has warmed up.
    #[arg(long, alias = "cold-seconds", default_value_t = 10.0)]
    pub slow_start_seconds: f64,
}

#[derive(Args)]
pub struct LoadArguments {
    /// Address of a gateway; may be repeated, and each gets the same load.
    #[arg(long, alias = "gatekeeper", required = true)]
    pub gateway: Vec<SocketAddr>,
    /// Prefix of the customers' names; a number follows it.
    #[arg(long, default_value = "customer-")]
    pub prefix: String,
    /// Number of customers; each has the same load.
    #[arg(long, default_value_t = 10)]
    pub customers: usize,
    /// Requests a second, of all customers together.
    #[arg(long, default_value_t = 20.0)]
    pub rate: f64,
    /// Length of the load, in seconds.
    #[arg(long, default_value_t = 10.0)]
    pub seconds: f64,
    /// Path of the requests.
    #[arg(long, default_value = "/check-answer")]
    pub path: String,
    /// Time until a client gives up, in milliseconds.
    #[arg(long, alias = "patience-ms", default_value_t = 3000.0)]
    pub deadline_ms: f64,
    /// Store the capture in this file.
    #[arg(long)]
    pub capture: Option<PathBuf>,
}
