//! Simulation of fleet membership in virtual time: production members, and a network between them with faults.
//! All times are milliseconds.

mod host;
mod measurement;
mod network;
mod process;

pub use host::Traffic;
pub use measurement::{Measurement, Percentiles, measure};
pub use network::{DelayRange, LinkQuality, Network};
pub use process::{Belief, BeliefChange, Member, Process};
