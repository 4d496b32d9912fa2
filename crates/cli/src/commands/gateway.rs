//! `run`, `node` and `check`: gateways and their configuration.

use crate::error::CommandError;
use crate::output::print_json;
use crate::signals::StopSignals;
use serde_json::json;
use std::path::Path;
use std::process::ExitCode;
use weirusher_config::{Config, ConfigError, FleetConfig};
use weirusher_node::FleetMembership;

/// Reads of a node's configuration that may hang at once; later ones wait for them.
const MAX_CONFIG_READS: usize = 8;

/// Parses a configuration file.
fn parse_file<T>(file: &Path, parse: fn(&str) -> Result<T, ConfigError>) -> Result<T, CommandError> {
    let text = super::scenario::read_input(file)?;
    parse(&text).map_err(|error| CommandError::Config {
        path: file.to_path_buf(),
        count: error.problems().len(),
        listing: error.render(&file.display().to_string(), &text),
    })
}

/// Runs a gateway for external authorisation until it is asked to stop.
pub async fn run(file: &Path) -> Result<ExitCode, CommandError> {
    let config = parse_file(file, Config::parse)?;
    // Before anybody can know that it runs: a signal during the start must not be lost or end the process.
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
    warn_of_pending(running.stop().await);
    if panicked { Err(CommandError::Panicked) } else { Ok(ExitCode::SUCCESS) }
}

/// Runs the gateway on the platform until it is asked to stop, on one thread.
pub fn node(config: &Path, fleet: Option<&Path>) -> Result<ExitCode, CommandError> {
    let fleet = fleet.map(|file| parse_file(file, FleetConfig::parse)).transpose()?;
    let fleet = fleet.map(|config| FleetMembership {
        config,
        on_listening: |fleet, admin| print_json(&json!({ "fleet": fleet, "admin": admin })),
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .max_blocking_threads(MAX_CONFIG_READS)
        .build()
        .map_err(CommandError::Runtime)?;
    let ended = tokio::task::LocalSet::new().block_on(&runtime, weirusher_node::run(config, fleet));
    runtime.shutdown_background(); // A read of the configuration may hang.
    warn_of_pending(ended.map_err(|error| CommandError::Gateway(error.into()))?);
    Ok(ExitCode::SUCCESS)
}

/// Logs requests that had no response when a gateway stopped.
fn warn_of_pending(pending: usize) {
    if pending > 0 {
        tracing::warn!(pending, "stopped with requests pending");
    }
}

/// Checks a configuration.
pub fn check(file: &Path) -> Result<ExitCode, CommandError> {
    let config = parse_file(file, Config::parse)?;
    let (plans, classes) = (config.settings.plans.len(), config.settings.classes.len());
    let fleet = config.fleet.as_ref().map_or_else(
        || "no [fleet]: it knows of no other gateway".to_string(),
        |fleet| {
            let (number, size) = (fleet.settings.instance, fleet.settings.members.len());
            format!("gateway {number} of a fleet of {size}, datagrams at {}", fleet.listen)
        },
    );
    println!("{}: valid; {plans} plans, {classes} classes; {fleet}", file.display());
    Ok(ExitCode::SUCCESS)
}
