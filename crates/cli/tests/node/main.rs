//! The gateway on the platform as a process between scripted servers; judged from what passed on the sockets.

#[path = "../support/log_sink.rs"]
mod log_sink;
#[path = "../support/platform.rs"]
mod platform;
#[path = "../support/process.rs"]
mod process;

mod backends;
mod clients;
mod close_races;
mod configuration;
mod discovery;
mod graceful_shutdown;
mod idle_connections;
mod log;
mod resource_limits;
mod scheduling_delay;
mod shutdown_deadline;
mod support;
mod system_calls;
mod wall_clock;
