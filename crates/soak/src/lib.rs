//! A randomized fault soak test: many `weirusher node` processes on loopback, clients and backends with every
//! behaviour that the platform (the environment that gateways are deployed in) allows, and faults that
//! overlap in time. A test oracle checks the recorded traffic against the platform's rules.
//!
//! A [`Plan`] is generated from a seed. [`run`] executes it and returns a [`Report`] with the [`Finding`]s of
//! the oracle. [`growth`] measures the resource usage of one gateway at several fleet sizes.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod backend;
mod client;
mod endpoint_list;
mod faults;
mod fleet;
pub mod growth;
mod node;
mod oracle;
mod plan;
mod readiness;
mod record;
mod report;
mod run;
mod wire;

pub use fleet::Options;
pub use oracle::Finding;
pub use plan::Plan;
pub use report::Report;
pub use run::run;
