//! The gateway's configuration: TOML, read key by key with source positions, and validated as a whole.
//!
//! [`Config::parse`] reports all problems at once, each with its line, its column and a hint.
//! docs/configuration.md lists every key with its unit and default. Each module maps the keys of one or a few
//! tables to the fields that the code uses.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod address;
mod classes;
mod config;
mod fleet;
mod listen;
mod plans;
mod problem;
mod request_rules;
mod settings;
mod table;
mod ticket_keys;
mod upstream;

pub use config::Config;
pub use fleet::FleetConfig;
pub use listen::ConnectionLimits;
pub use problem::{ConfigError, Problem};
pub use request_rules::{RequestRules, Route, UnitsRule};
pub use upstream::{CounterConfig, DiscoveryConfig};
