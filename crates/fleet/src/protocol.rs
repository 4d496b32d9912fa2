//! Protocol timing that all members share, and the bounds derived from it. All times are in milliseconds.

/// Milliseconds on a monotonic clock of this process, from an arbitrary origin.
pub type Millis = u64;

/// Interval between two heartbeats of a member to each of its observers.
pub const HEARTBEAT_INTERVAL: Millis = 240;
/// Observers of each member: one per ring.
pub const OBSERVERS: usize = 8;
/// An observer that has received nothing from a subject for this long queries the subject's other observers:
/// three heartbeats lost in a row, plus 40 ms for late timers.
pub const QUERY_TIMEOUT: Millis = 760;
/// An observer that has received nothing from a subject for this long, and learned of no newer heartbeat from
/// others, suspects it.
pub const SUSPECT_TIMEOUT: Millis = 1_000;
/// A process that did nothing for this long counts as paused: its beliefs are too old to act on.
pub const PAUSE_THRESHOLD: Millis = SUSPECT_TIMEOUT;

/// Time to refute a suspicion held by enough observers: long enough for gossip to reach a thousand members
/// and for a refutation to come back.
pub(crate) const REFUTATION_TIMEOUT: Millis = 500;
/// Time in which gossip reaches all members.
const GOSSIP_TIME: Millis = 500;

/// Bound on the time until a death is known to every member that is reachable from an observer of the dead
/// member: the suspicion timeout, two heartbeat intervals of delay, the refutation timeout and the
/// dissemination by gossip.
pub const DEATH_KNOWN_WITHIN: Millis =
    SUSPECT_TIMEOUT + 2 * HEARTBEAT_INTERVAL + REFUTATION_TIMEOUT + GOSSIP_TIME;

/// The fixed part of [`forget_timeout`], and its part per member.
const FORGET_TIMEOUT_BASE: Millis = 10_000;
const FORGET_TIMEOUT_PER_MEMBER: Millis = 100;
/// The fixed part of [`recovery_known_within`], and its part per member.
const RECOVERY_BASE: Millis = 6_000;
const RECOVERY_PER_MEMBER: Millis = 30;

/// Bound on the time until all members beyond a network partition are known to be dead, in a fleet of `size`.
/// Members without an observer on this side are never suspected; they expire after [`forget_timeout`].
pub fn partition_known_within(size: u16) -> Millis {
    forget_timeout(size) + DEATH_KNOWN_WITHIN
}

/// Bound on the time until a member that has become reachable again is known to be alive, in a fleet of
/// `size`. It grows with the fleet: each other member probes one absent member every four heartbeats, and
/// gossip about half a fleet takes many datagrams.
pub fn recovery_known_within(size: u16) -> Millis {
    RECOVERY_BASE + RECOVERY_PER_MEMBER * Millis::from(size)
}

/// Time after which a member without any evidence of life, direct or relayed, is declared dead, in a fleet of
/// `size`. It covers one full cycle of relayed heartbeats, which takes longer in a larger fleet.
pub fn forget_timeout(size: u16) -> Millis {
    FORGET_TIMEOUT_BASE + FORGET_TIMEOUT_PER_MEMBER * Millis::from(size)
}
