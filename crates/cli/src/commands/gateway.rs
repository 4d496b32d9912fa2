//! `run` and `node`, which run a gateway, and `check`, which validates a configuration.

use crate::error::CommandError;
use crate::output::print_json;
use crate::signals::StopSignals;
use serde_json::json;
use std::path::Path;
use std::process::ExitCode;
use weirusher_config::{Config, ConfigError, FleetConfig};
use weirusher_node::FleetMembership;

/// Blocking threads of a node, which read its configuration file. When reads hang on all of them, later reloads wait.
const MAX_CONCURRENT_CONFIG_READS: usize = 8;

/// Reads and parses a configuration file.
fn parse_file<T>(file: &Path, parse: fn(&str) -> Result<T, ConfigError>) -> Result<T, CommandError> {
    let text = super::scenario::read_input(file)?;
    parse(&text).map_err(|error| CommandError::Config {
        path: file.to_path_buf(),
        count: error.problems().len(),
        listing: error.render(&file.display().to_string(), &text),
    })
}

/// Runs a gateway for external authorisation until a stop signal arrives or the gateway fails.
pub async fn run(file: &Path) -> Result<ExitCode, CommandError> {
    let config = parse_file(file, Config::parse)?;
    // Signal handlers come first, so that a signal during start-up leads to a graceful shutdown.
    let stop = StopSignals::new();
    let running =
        weirusher_ext_authz::start(config).await.map_err(|error| CommandError::Gateway(error.into()))?;
    let mut listening =
        json!({ "ext_authz": running.ext_authz, "access_log": running.ext_authz, "admin": running.admin });
    if let Some(fleet) = running.fleet {
        listening["fleet"] = json!(fleet);
    }
    print_json(&listening);
    let panicked = tokio::select! {
        () = stop.received() => false,
        () = running.failed() => true,
    };
    warn_of_unanswered(running.stop().await);
    if panicked { Err(CommandError::Panicked) } else { Ok(ExitCode::SUCCESS) }
}

/// Runs the gateway on the platform, on a single thread, until it is signalled to stop.
pub fn node(config: &Path, fleet: Option<&Path>) -> Result<ExitCode, CommandError> {
    let fleet = fleet.map(|file| parse_file(file, FleetConfig::parse)).transpose()?;
    let fleet = fleet.map(|config| FleetMembership {
        config,
        on_listening: |fleet, admin| print_json(&json!({ "fleet": fleet, "admin": admin })),
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .max_blocking_threads(MAX_CONCURRENT_CONFIG_READS)
        .build()
        .map_err(CommandError::Runtime)?;
    let result = tokio::task::LocalSet::new().block_on(&runtime, weirusher_node::run(config, fleet));
    runtime.shutdown_background(); // Does not wait for a read of the configuration that hangs.
    warn_of_unanswered(result.map_err(|error| CommandError::Gateway(error.into()))?);
    Ok(ExitCode::SUCCESS)
}

/// Logs the number of requests that were still without a response when the gateway stopped.
fn warn_of_unanswered(pending: usize) {
    if pending > 0 {
        tracing::warn!(pending, "stopped with requests still pending");
    }
}

/// Validates a configuration and prints a summary of it.
pub fn check(file: &Path) -> Result<ExitCode, CommandError> {
    let config = parse_file(file, Config::parse)?;
    let (plans, classes) = (config.settings.plans.len(), config.settings.classes.len());
    let fleet = config.fleet.as_ref().map_or_else(
        || "no [fleet]: fleet membership is disabled".to_string(),
        |fleet| {
            let (number, size) = (fleet.settings.instance, fleet.settings.members.len());
            format!("gateway {number} in a fleet of {size}, membership datagrams at {}", fleet.listen)
        },
    );
    println!("{}: valid; {plans} plans, {classes} classes; {fleet}", file.display());
    Ok(ExitCode::SUCCESS)
}
