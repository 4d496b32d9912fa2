//! A hash that is the same in every process and version, so that gateways agree on it without communication.

use std::hash::Hasher;

/// Number of distinct values of [`hash_fraction`].
const FRACTION_VALUES: u64 = 1024;
/// 2^64 divided by the golden ratio: the multiplier of the final mixing round.
const MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// Hashes the concatenated `parts` to a value below 2^63.
pub(super) fn stable_hash(parts: &[&[u8]]) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    parts.iter().for_each(|part| hasher.write(part));
    // FNV mixes the high bits of short inputs poorly; one multiply-shift round spreads them.
    let hash = hasher.finish();
    (hash ^ (hash >> 32)).wrapping_mul(MULTIPLIER) >> 1
}

/// Hashes the concatenated `parts` to a fraction from 0 up to, but not including, 1.
pub(super) fn hash_fraction(parts: &[&[u8]]) -> f64 {
    (stable_hash(parts) % FRACTION_VALUES) as f64 / FRACTION_VALUES as f64
}
