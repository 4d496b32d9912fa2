//! The shell of [`weirusher_fleet`]: one UDP socket, the clock, log lines, and the page that shows what is believed.
//! It decides nothing. Where there is no `[fleet]`, nothing of it is started.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod clock;
pub mod page;
mod peers;
mod told;

pub use peers::{Peers, StartError};
