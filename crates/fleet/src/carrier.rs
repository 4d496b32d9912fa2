//! State that members share: each kind merges, knows what it holds, and gives what another lacks.

/// A piece or digest that is not of its kind's form.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("not of this state's form")]
pub struct Malformed;

/// A bounded state whose merge is commutative, associative and idempotent, so that pieces may be lost, doubled and
/// come in any order. All sizes are in bytes.
pub trait Shared {
    /// A digest of a part of the state, of `room` bytes at most. Successive calls go around the whole state.
    fn digest(&mut self, room: usize) -> Vec<u8>;

    /// What whoever sent a digest lacks, in pieces of `room` bytes at most, `pieces` at most, most urgent first. An
    /// empty digest is of one who holds nothing: it is sent a full copy, as far as the pieces reach.
    ///
    /// # Errors
    /// It is no digest of this kind.
    fn delta(&self, digest: &[u8], room: usize, pieces: usize) -> Result<Vec<Vec<u8>>, Malformed>;

    /// What changed lately and should be passed on, in one piece of `room` bytes at most.
    fn news(&mut self, room: usize) -> Option<Vec<u8>>;

    /// Takes in a piece; `true` if anything was new. Of a piece that is `news`, what was new becomes news here too.
    ///
    /// # Errors
    /// It is no piece of this kind. Nothing of it was taken in.
    fn merge(&mut self, piece: &[u8], news: bool) -> Result<bool, Malformed>;
}
