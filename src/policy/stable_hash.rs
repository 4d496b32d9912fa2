//! A hash that is the same in every process and version: gateways that do not talk to each other agree on it.

use std::hash::Hasher;

/// Steps of [`hash_fraction`].
const STEPS: u64 = 1024;
/// 2^64 over the golden ratio, for the last mixing round.
const MIXER: u64 = 0x9E37_79B9_7F4A_7C15;

/// A hash below 2^63.
pub(super) fn stable_hash(parts: &[&[u8]]) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    parts.iter().for_each(|part| hasher.write(part));
    // FNV leaves the high bits of short inputs poor; one multiply-shift round spreads them.
    let hash = hasher.finish();
    (hash ^ (hash >> 32)).wrapping_mul(MIXER) >> 1
}

/// A hash as a fraction, from 0 to 1.
pub(super) fn hash_fraction(parts: &[&[u8]]) -> f64 {
    (stable_hash(parts) % STEPS) as f64 / STEPS as f64
}
