//! Black-box tests of `weirusher node`: the gateway runs as a process, with scripted backends, counter and discovery,
//! and is judged by what passes on its sockets.

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
mod locations;
mod log;
mod repeated_ids;
mod resource_limits;
mod scheduling_delay;
mod shutdown_deadline;
mod support;
mod system_calls;
mod wall_clock;
