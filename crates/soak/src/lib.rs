//! A randomized fault soak: many `weirusher node` processes on loopback, clients and backends with every behaviour that the
//! platform allows, and faults that overlap in time. An oracle checks what passed on the sockets against the rules.
//!
//! A [`Plan`] is drawn from a seed. [`run`] runs it and returns a [`Report`] with the [`Finding`]s of the oracle.
//! [`growth`] measures what one gateway uses at several sizes of its fleet.
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
