//! Clients of the services that the gateway depends on.

pub mod counter;
pub mod discovery;
