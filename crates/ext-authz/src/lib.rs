//! The runtime of external authorisation: sockets, clock and timers around [`weirusher_core::Engine`].
//!
//! One task owns the engine. The gRPC services, the admin page, the counter client and the discovery client
//! are tasks that talk to it over bounded channels. docs/external-authorisation.md says what happens at each
//! bound.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod acceptor;
mod admin;
mod attributes;
mod clients;
mod connection;
mod endpoint_cache;
mod engine_task;
mod gateway;
mod metrics;
mod server;
mod services;
mod shared_task;

pub use gateway::{GatewayHandle, StartError, start};
