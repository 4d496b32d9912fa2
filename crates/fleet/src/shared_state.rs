//! State that members replicate by anti-entropy: they compare digests and send each other the entries that
//! are missing (Demers et al. 1987).

/// A delta or digest that could not be decoded, or does not fit the shared state; or a value that does not fit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("delta, digest or value is not valid for this shared state")]
pub struct Malformed;

/// A replicated state of bounded size. Its merge is commutative, associative and idempotent, so that deltas
/// may be lost, duplicated and reordered. All sizes are in bytes.
pub trait SharedState {
    /// Returns a digest of part of the state, of at most `max_bytes`. Successive calls cycle through the
    /// whole state.
    fn digest(&mut self, max_bytes: usize) -> Vec<u8>;

    /// Returns what the sender of a digest lacks, most urgent first, in at most `max_deltas` deltas of at
    /// most `max_bytes` each. An empty digest stands for an empty state.
    ///
    /// # Errors
    /// The digest is not valid for this state.
    fn deltas(&self, digest: &[u8], max_bytes: usize, max_deltas: usize) -> Result<Vec<Vec<u8>>, Malformed>;

    /// Returns recent changes that are still to be disseminated, in one delta of at most `max_bytes`.
    fn next_gossip(&mut self, max_bytes: usize) -> Option<Vec<u8>>;

    /// Merges a delta, and returns whether anything in it was new. If `gossip` is set, what was new is
    /// disseminated further.
    ///
    /// # Errors
    /// The delta is not valid for this state; none of it was merged.
    fn merge(&mut self, delta: &[u8], gossip: bool) -> Result<bool, Malformed>;
}
