//! Fleets in virtual time: members as they run in service, the network between them, and what goes wrong. All times are
//! milliseconds.

mod host;
mod measurement;
mod network;
mod process;

pub use host::Traffic;
pub use measurement::{Measurement, Percentiles, measure};
pub use network::{DelayRange, LinkQuality, Network};
pub use process::{Belief, BeliefChange, Member, Process};
