//! The gateway on the operators' platform: sockets, tasks and signals around [`weirusher_core::ProxyCore`].
//!
//! This crate contains I/O only and makes no decisions: the proxy core decides how each request is handled,
//! and the connection pool and the connection slots of `weirusher-core` decide which connections are kept.
//! Everything runs on one thread, in tasks that share a `NodeContext`: one task per client connection and per
//! attempt, and one each for accepting connections, the counter, discovery, timers and evictions. The counter
//! has a further task per connection, and discovery one per poll.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod attempt;
mod backend_connection;
mod backends;
mod budget;
mod client_slot;
mod client_socket;
mod close_signal;
mod config_file;
mod connection;
mod context;
mod counter;
mod discovery;
mod effects;
mod events;
mod fleet_membership;
mod listener;
mod log;
mod memory;
mod metrics;
mod panics;
mod receive;
mod run;
mod run_error;
mod services;
mod wakeup;

pub use fleet_membership::FleetMembership;
pub use run::run;
pub use run_error::RunError;
