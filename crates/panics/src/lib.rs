//! Handling of panics: catching them at the boundary of a task, logging and counting them, and injecting them in tests.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod catch;
mod fault_point;
mod hook;

pub use catch::{Panicked, catch};
pub use fault_point::reach;
#[cfg(feature = "fault-points")]
pub use fault_point::{arm, quiet, was_reached};
pub use hook::{count, install_hook};
