//! Panics: caught at the edge of a task, logged and counted, and caused where a test wants one.
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
