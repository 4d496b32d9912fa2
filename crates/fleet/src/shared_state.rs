//! State that members share by anti-entropy: they compare digests and send each other what is missing (Demers et al.
//! 1987).

/// A delta or digest that does not have the form of its state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("not in the form of this shared state")]
pub struct Malformed;

/// A state of bounded size whose merge is commutative, associative and idempotent, so that deltas may be lost,
/// duplicated and reordered. All sizes are in bytes.
pub trait SharedState {
    /// A digest of a part of the state, of `max_bytes` at most. Successive calls go around the whole state.
    fn digest(&mut self, max_bytes: usize) -> Vec<u8>;

    /// What the sender of a digest lacks, most urgent first, in at most `max_deltas` deltas of at most `max_bytes`
    /// each. An empty digest stands for an empty state.
    ///
    /// # Errors
    /// The digest is not one of this state.
    fn deltas(&self, digest: &[u8], max_bytes: usize, max_deltas: usize) -> Result<Vec<Vec<u8>>, Malformed>;

    /// What changed lately and is to be disseminated, in one delta of `max_bytes` at most.
    fn next_gossip(&mut self, max_bytes: usize) -> Option<Vec<u8>>;

    /// Merges a delta; `true` if anything in it was new. What was new in `gossip` is disseminated further.
    ///
    /// # Errors
    /// The delta is not one of this state. Nothing of it was merged.
    fn merge(&mut self, delta: &[u8], gossip: bool) -> Result<bool, Malformed>;
}
