//! Runs [`weirusher_fleet::Membership`] on a UDP socket and a clock, logs its events, and serves its views on
//! the admin page. All protocol decisions are made by the state machine. Nothing is started unless the
//! configuration has a `[fleet]` table.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod clock;
mod driver;
mod event_log;
pub mod page;
mod peers;

pub use peers::{Peers, StartError};
