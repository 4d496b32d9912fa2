//! Which sequence numbers of a sender were seen: each is taken once, in any order within a window (as RFC 4303, 3.4.3).

/// Sequence numbers back from the newest one that are still told apart.
const WIDTH: u64 = 64;

/// The window of one sender's incarnation.
#[derive(Debug, Clone, Default)]
pub struct Window {
    newest: u64,
    /// Bit `i`: `newest - i` was seen.
    seen: u64,
}

impl Window {
    /// Takes a number; `false` if it was taken before, or is too old to tell. Numbers begin at 1.
    pub fn take(&mut self, sequence: u64) -> bool {
        if sequence > self.newest {
            let ahead = sequence - self.newest;
            self.seen = if ahead < WIDTH { self.seen << ahead | 1 } else { 1 };
            self.newest = sequence;
            return true;
        }
        let back = self.newest - sequence;
        let bit = 1u64.checked_shl(u32::try_from(back).unwrap_or(u32::MAX)).unwrap_or(0);
        let fresh = sequence > 0 && back < WIDTH && self.seen & bit == 0;
        self.seen |= bit;
        fresh
    }
}
