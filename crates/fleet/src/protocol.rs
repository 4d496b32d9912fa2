//! Timing that all members share, and the bounds that follow from it. All times are in milliseconds.

/// Milliseconds on the process's monotonic clock, from any origin.
pub type Millis = u64;

/// Between two heartbeats of a member to each of its observers.
pub const HEARTBEAT_INTERVAL: Millis = 240;
/// Observers of each member: one on each ring.
pub const OBSERVERS: usize = 8;
/// An observer that heard nothing of a subject for this long asks the subject's other observers: three heartbeats
/// lost in a row, and 40 ms for late timers.
pub const QUERY_TIMEOUT: Millis = 760;
/// An observer that heard nothing of a subject for this long, and learned of nothing newer from others, suspects it.
pub const SUSPECT_TIMEOUT: Millis = 1_000;
/// A process that did nothing for this long was paused: what it believes is too old to act on.
pub const PAUSE_THRESHOLD: Millis = SUSPECT_TIMEOUT;

/// Milliseconds in which a suspicion by enough observers can be refuted: gossip reaches a thousand members in it and a
/// refutation comes back.
pub(crate) const REFUTATION_TIMEOUT: Millis = 500;
/// Milliseconds in which gossip reaches all members.
const GOSSIP_TIME: Millis = 500;

/// Within this time a death is known to every member that can be reached from an observer of the dead one: the
/// suspicion, two heartbeat intervals of delay, the time to refute it and the time of its gossip.
pub const DEATH_KNOWN_WITHIN: Millis =
    SUSPECT_TIMEOUT + 2 * HEARTBEAT_INTERVAL + REFUTATION_TIMEOUT + GOSSIP_TIME;

/// What [`forget_timeout`] is for any fleet, and what each member adds to it.
const FORGET_TIMEOUT_BASE: Millis = 10_000;
const FORGET_TIMEOUT_PER_MEMBER: Millis = 100;
/// What [`recovery_known_within`] is for any fleet, and what each member adds to it.
const RECOVERY_BASE: Millis = 6_000;
const RECOVERY_PER_MEMBER: Millis = 30;

/// Milliseconds within which the members beyond a network partition are known to be dead in a fleet of `size`. Those
/// without an observer on this side are not suspected, but forgotten.
pub fn partition_known_within(size: u16) -> Millis {
    forget_timeout(size) + DEATH_KNOWN_WITHIN
}

/// Milliseconds within which a member that can be reached again is known to be alive in a fleet of `size`. Every other
/// member probes one absent member each four heartbeats, and gossip on half a fleet takes many datagrams.
pub fn recovery_known_within(size: u16) -> Millis {
    RECOVERY_BASE + RECOVERY_PER_MEMBER * Millis::from(size)
}

/// Milliseconds after which a member is dead when there was no evidence of its life at all, in a fleet of `size`. It
/// covers the time in which relayed heartbeats of all members go around, which grows with the fleet.
pub fn forget_timeout(size: u16) -> Millis {
    FORGET_TIMEOUT_BASE + FORGET_TIMEOUT_PER_MEMBER * Millis::from(size)
}
