//! The runtime of the external authorisation service: the sockets, clock and timers that drive
//! [`weirusher_core::Engine`].
//!
//! One task owns the engine. The gRPC services, the admin page, the counter client and the discovery client
//! are tasks that communicate with it over bounded channels. docs/external-authorisation.md describes what
//! happens when a channel is full.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod acceptor;
mod admin;
mod attributes;
mod budgeted_body;
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
