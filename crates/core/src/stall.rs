//! How long the process may be kept from running.

/// Longest assumed stall of the process between reading the clock and writing to a socket, in seconds. Whatever has to be
/// written by a given time is planned that much earlier.
pub(crate) const MAX_STALL: f64 = 0.15;
