//! Replay protection: each sequence number of a sender is accepted once, in any order within a sliding window
//! (as in RFC 4303, section 3.4.3).

/// Width of the window, in sequence numbers up to the newest one.
const WINDOW_BITS: u64 = 64;

/// The sequence numbers accepted from one incarnation of a sender.
#[derive(Debug, Clone, Default)]
pub struct ReplayWindow {
    newest: u64,
    /// Bit `i` is set if `newest - i` was accepted.
    accepted: u64,
}

impl ReplayWindow {
    /// Accepts a sequence number, starting at 1; `false` if it was accepted before or is older than the
    /// window.
    pub fn accept(&mut self, sequence: u64) -> bool {
        if sequence > self.newest {
            let ahead = sequence - self.newest;
            self.accepted = if ahead < WINDOW_BITS { self.accepted << ahead | 1 } else { 1 };
            self.newest = sequence;
            return true;
        }
        let back = self.newest - sequence;
        let bit = 1u64.checked_shl(u32::try_from(back).unwrap_or(u32::MAX)).unwrap_or(0);
        let fresh = sequence > 0 && back < WINDOW_BITS && self.accepted & bit == 0;
        self.accepted |= bit;
        fresh
    }
}
