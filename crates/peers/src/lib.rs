//! Runs [`weirusher_fleet::Membership`]: one UDP socket, the clock, log lines, and the admin page with the views. It
//! decides nothing. Without `[fleet]` in the configuration, nothing of it is started.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod clock;
mod driver;
mod event_log;
pub mod page;
mod peers;

pub use peers::{Peers, StartError};
