//! Resource usage of one gateway by fleet size: a single `weirusher node` process that is configured as one
//! of many, with all the backends of that fleet, under the same traffic at each size.

mod fleet_size;
mod measurement;
mod usage;

pub use fleet_size::FleetSize;
pub use measurement::{GrowthOptions, measure};
pub use usage::{Row, Usage, compare};
