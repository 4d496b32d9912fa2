//! Events that a member reports to the program that runs it.

use crate::Millis;
use crate::member_table::StateChange;
use crate::reachability::Reachability;

/// A change that operators need to know about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// A member's state changed.
    StateChanged(StateChange),
    /// This process was paused for this many milliseconds and has taken the next incarnation.
    Paused(Millis),
    /// An earlier process with this member number used this later incarnation; this process has taken the
    /// next one.
    IncarnationRaised(u64),
    /// Another process with this member number uses this later incarnation; this process no longer takes
    /// part.
    Superseded(u64),
    /// A member is configured with a different fleet size.
    FleetSizeMismatch {
        /// The member's number.
        member: u16,
        /// The fleet size that it is configured with.
        size: u16,
    },
    /// The [fraction](Reachability::fraction) of the fleet that this member can reach fell below one half.
    Isolated(Reachability),
    /// The fraction has been at least three quarters again for
    /// [`DEATH_KNOWN_WITHIN`](crate::DEATH_KNOWN_WITHIN).
    Reconnected(Reachability),
}
