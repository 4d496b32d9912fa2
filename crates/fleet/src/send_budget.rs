//! What may still be sent: a budget of bytes that does not grow with the fleet, and what is put off first when it runs
//! low.
//!
//! In the order in which they stop: introductions of members (below [`INTRODUCTION_RESERVE`]), deltas of shared state
//! and gossip (at zero), heartbeats and replies (below minus [`OVERDRAFT`]). Evidence of life comes last, so that a
//! storm of gossip makes nobody look dead.

use crate::Millis;
use crate::token_bucket::{Rate, TokenBucket};

/// Bytes that a member sends.
const SEND_RATE: Rate = Rate { per_second: 8_000, burst: 4_000 };
/// Bytes by which heartbeats and replies may overdraw the budget.
const OVERDRAFT: i64 = 2_000;
/// Bytes that introductions leave for what is more urgent.
const INTRODUCTION_RESERVE: i64 = 1_000;

/// The budget of bytes of one member.
#[derive(Debug)]
pub(crate) struct SendBudget {
    bytes: TokenBucket,
}

impl SendBudget {
    pub fn new(now: Millis) -> Self {
        Self { bytes: TokenBucket::new(SEND_RATE, now) }
    }

    /// Whether a heartbeat or a reply may be sent.
    pub fn allows_heartbeat(&mut self, now: Millis) -> bool {
        self.bytes.level(now) >= -OVERDRAFT
    }

    /// Whether a member may be sent introductions of members that it does not know.
    pub fn allows_introduction(&mut self, now: Millis) -> bool {
        self.bytes.level(now) >= INTRODUCTION_RESERVE
    }

    /// Whether a delta of shared state of so many bytes may be sent.
    pub fn allows_delta(&mut self, bytes: usize, now: Millis) -> bool {
        self.bytes.level(now) >= i64::try_from(bytes).unwrap_or(i64::MAX)
    }

    /// Bytes left for gossip.
    pub fn left_for_gossip(&mut self, now: Millis) -> usize {
        usize::try_from(self.bytes.level(now)).unwrap_or(0)
    }

    /// So many bytes were sent.
    pub fn spend(&mut self, bytes: usize) {
        self.bytes.spend(bytes);
    }
}
