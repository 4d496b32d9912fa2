//! The gateway on the platform as a process between scripted servers; judged from what passed on the sockets.

#[path = "../support/platform.rs"]
mod platform;
#[path = "../support/process.rs"]
mod process;

mod backends;
mod clients;
mod clocks;
mod crossing;
mod discovery;
mod ends;
mod held_up;
mod limits;
mod quiet;
mod shutdown;
mod support;
mod system_calls;
