//! Implementations of the commands.

pub mod fake;
pub mod fleet;
pub mod gateway;
pub mod scenario;
pub mod simulate;
