//! The send budget of a member: bytes per second, independent of the fleet size.
//!
//! When the budget runs low, traffic is deferred in this order: introductions of members (below
//! [`INTRODUCTION_RESERVE`]), deltas of shared state and gossip (at zero), heartbeats and replies (below
//! minus [`OVERDRAFT`]). Evidence of life is deferred last, so that a storm of gossip makes no member appear
//! dead.

use crate::Millis;
use crate::token_bucket::{Rate, TokenBucket};

/// Rate at which a member may send, in bytes.
const SEND_RATE: Rate = Rate { per_second: 8_000, burst: 4_000 };
/// Bytes by which heartbeats and replies may overdraw the budget.
const OVERDRAFT: i64 = 2_000;
/// Bytes of the budget that introductions leave to more urgent traffic.
const INTRODUCTION_RESERVE: i64 = 1_000;

/// The send budget of one member, in bytes.
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

    /// Whether introductions may be sent: evidence of members that the recipient does not know.
    pub fn allows_introduction(&mut self, now: Millis) -> bool {
        self.bytes.level(now) >= INTRODUCTION_RESERVE
    }

    /// Whether a delta of shared state of this many bytes may be sent.
    pub fn allows_delta(&mut self, bytes: usize, now: Millis) -> bool {
        self.bytes.level(now) >= i64::try_from(bytes).unwrap_or(i64::MAX)
    }

    /// Bytes available for gossip.
    pub fn left_for_gossip(&mut self, now: Millis) -> usize {
        usize::try_from(self.bytes.level(now)).unwrap_or(0)
    }

    /// Subtracts bytes that were sent, even if that overdraws the budget.
    pub fn spend(&mut self, bytes: usize) {
        self.bytes.spend(bytes);
    }
}
