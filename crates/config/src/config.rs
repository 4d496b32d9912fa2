//! The complete configuration of the `run` command.

use crate::classes::Classes;
use crate::fleet::{FleetConfig, FleetFile};
use crate::listen::{ConnectionLimits, Listen};
use crate::plans::Plans;
use crate::problem::ConfigError;
use crate::request_rules::RequestRules;
use crate::table::{self, Table};
use crate::upstream::{CounterConfig, DiscoveryConfig};
use crate::{settings, ticket_keys};
use std::net::SocketAddr;
use weirusher::Settings;
use weirusher_core::Key;

/// Maximum of any duration in a configuration: one day, in seconds.
pub(crate) const MAX_SECONDS: f64 = 86_400.0;
/// Maximum of any rate, amount or weight in a configuration.
pub(crate) const MAX_AMOUNT: f64 = 1e9;

/// A validated configuration.
#[derive(Debug, Clone)]
#[non_exhaustive]
pub struct Config {
    /// The settings of the policy, except for values that are known only when the process starts.
    pub settings: Settings,
    /// The listening address of the gRPC services.
    pub ext_authz_address: SocketAddr,
    /// The listening address of the admin page.
    pub admin_address: SocketAddr,
    /// Concurrency limits of the gRPC services.
    pub connection_limits: ConnectionLimits,
    /// The keys that verify tickets; the first one also signs them.
    pub ticket_keys: Vec<Key>,
    /// The shared counter, if one is configured.
    pub counter: Option<CounterConfig>,
    /// The source of the endpoint list.
    pub discovery: DiscoveryConfig,
    /// How the attributes of an `ext_authz` check are converted to a request.
    pub request_rules: RequestRules,
    /// Maximum time that a graceful shutdown waits for pending requests, in seconds.
    pub drain_seconds: f64,
    /// The membership of the fleet, if it is enabled.
    pub fleet: Option<FleetConfig>,
}

impl Config {
    /// Parses and validates a configuration.
    ///
    /// # Errors
    /// All problems in the configuration, in the order of their positions.
    pub fn parse(source: &str) -> Result<Self, ConfigError> {
        table::parse(source, "the configuration", read)
    }
}

fn read(root: &mut Table<'_, '_>) -> Option<Config> {
    let mut settings = Settings::default();
    let plans = Plans::read(root);
    let classes = Classes::read(root);
    settings::read_instance(root, &mut settings);
    settings::read_limits(root, &mut settings);
    settings::read_slow_start(root, &mut settings);
    let file = FleetFile::WithInstance { number: settings.instance, gateways: settings.instances };
    let fleet = FleetConfig::read(root, file);
    let listen = Listen::read(root);
    let ticket_keys = ticket_keys::read(root);
    let counter = CounterConfig::read(root, &mut settings);
    let discovery = DiscoveryConfig::read(root, &mut settings);
    let request_rules = RequestRules::read(root, &plans, &classes);
    settings.max_request_units = request_rules.max_units;
    (settings.plans, settings.classes) = (plans.plans, classes.classes);
    let listen = listen?;
    Some(Config {
        settings,
        ext_authz_address: listen.ext_authz,
        admin_address: listen.admin,
        connection_limits: listen.connection_limits,
        ticket_keys,
        counter,
        discovery: discovery?,
        request_rules,
        drain_seconds: listen.drain_seconds,
        fleet,
    })
}

/// Reads the `name` of a table in an array, and reports a duplicate. `what` names the array in messages.
pub(crate) fn read_name(table: &mut Table<'_, '_>, names: &mut Vec<String>, what: &str) {
    let name = match table.string("name") {
        Some(name) => {
            if names.contains(&name.value) {
                let hint = "names must be unique; the second one would never be used".to_string();
                let message = format!("two {what} are named \"{}\"", name.value);
                table.problems.add(name.offset, message, hint);
            }
            name.value
        }
        None => {
            table.report_missing("name", "expected a name, by which other tables refer to this one");
            String::new()
        }
    };
    names.push(name);
}
