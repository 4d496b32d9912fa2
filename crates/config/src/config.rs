//! The whole configuration of `run`.

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

/// Seconds of a day: no time in a configuration is longer.
pub(crate) const MAX_SECONDS: f64 = 86_400.0;
/// No rate, amount or weight in a configuration is larger.
pub(crate) const MAX_AMOUNT: f64 = 1e9;

/// A checked configuration.
#[derive(Debug, Clone)]
#[non_exhaustive]
pub struct Config {
    /// The settings of the decisions, but for what is known only when the process starts.
    pub settings: Settings,
    /// Where the gRPC services listen.
    pub ext_authz_address: SocketAddr,
    /// Where the admin page listens.
    pub admin_address: SocketAddr,
    /// What the gRPC services accept at once.
    pub connection_limits: ConnectionLimits,
    /// Keys of tickets; the first one signs.
    pub ticket_keys: Vec<Key>,
    /// The counter, if there is one.
    pub counter: Option<CounterConfig>,
    /// Where the endpoint list comes from.
    pub discovery: DiscoveryConfig,
    /// How the attributes of an `ext_authz` check become a request.
    pub request_rules: RequestRules,
    /// Seconds that a graceful shutdown waits for pending requests.
    pub drain_seconds: f64,
    /// The other gateways, if it is to know of them.
    pub fleet: Option<FleetConfig>,
}

impl Config {
    /// Reads and checks a configuration.
    ///
    /// # Errors
    /// Everything that is wrong in it, by place.
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
    let whose = FleetFile::WithInstance { number: settings.instance, gateways: settings.instances };
    let fleet = FleetConfig::read(root, whose);
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

/// Reads the `name` of a table in a list, and reports one that stands twice. `what` names the list in messages.
pub(crate) fn read_name(table: &mut Table<'_, '_>, names: &mut Vec<String>, what: &str) {
    let name = match table.text("name") {
        Some(name) => {
            if names.contains(&name.value) {
                let hint = "names tell them apart; the second one would never be used".to_string();
                let message = format!("two {what} are called \"{}\"", name.value);
                table.problems.add(name.offset, message, hint);
            }
            name.value
        }
        None => {
            table.missing("name", "a name, by which other tables refer to it");
            String::new()
        }
    };
    names.push(name);
}
