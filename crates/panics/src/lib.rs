//! Handling of panics: catching them at the boundary of a task, logging and counting them, and injecting them in tests.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod catch;
mod fault_point;
mod hook;

pub use catch::{Panicked, catch};
pub use fault_point::fault_point;
#[cfg(feature = "fault-points")]
pub use fault_point::{arm, fault_triggered, silence_injected_panics};
pub use hook::{count, install_hook};
