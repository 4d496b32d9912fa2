//! The assumed bound on stalls of the process, for example when it is not scheduled.

/// Longest assumed stall of the process between reading the clock and writing to a socket, in seconds.
/// Anything that must be written by a given time is scheduled that much earlier.
pub(crate) const MAX_STALL: f64 = 0.15;
