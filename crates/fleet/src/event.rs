//! What a member reports to the program that runs it.

use crate::Millis;
use crate::member_table::StateChange;
use crate::reachability::Reachability;

/// Something that an operator wants to know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// A member's state changed.
    StateChanged(StateChange),
    /// This process did nothing for so many milliseconds; it took the next incarnation.
    Paused(Millis),
    /// An earlier process under this number had this later incarnation; this one took the next one.
    IncarnationRaised(u64),
    /// Another process has this number, under this later incarnation; this one takes no part any more.
    Superseded(u64),
    /// A member is configured with another size of the fleet.
    FleetSizeMismatch {
        /// Its number.
        member: u16,
        /// The size it names.
        size: u16,
    },
    /// Less than half of the fleet can be counted on to hear this member and be heard.
    Isolated(Reachability),
    /// Three quarters of the fleet can again.
    Reconnected(Reachability),
}
