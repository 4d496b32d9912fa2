//! Membership of a fleet of gateways: which members are alive, how much of the fleet one member reaches, and state that
//! all members share. Without I/O: datagrams, time and randomness are passed in.
//!
//! Each member sends heartbeats to eight observers, its next live neighbours on eight fixed rings. An observer that
//! hears nothing suspects the member; any member that knows a later heartbeat refutes it. A member is confirmed dead when enough
//! observers suspect it and nobody refuted in time. Evidence of life always wins over suspicions, so that a broken link
//! costs no member its place. The protocol and its bounds are described in docs/fleet.md.
//!
//! [`Membership`] is the state machine; `weirusher-peers` runs it on a socket.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod authenticator;
mod datagram;
mod event;
mod gossip_queue;
mod link;
mod links;
mod member_table;
mod membership;
mod protocol;
mod reachability;
mod registers;
mod replay_window;
mod rings;
mod send_budget;
mod settings;
mod shared_state;
mod token_bucket;
mod view;

pub use authenticator::{Authenticator, MIN_KEY_BYTES};
pub use datagram::{
    AGE_DEAD, CompactHeartbeat, Datagram, Header, MAX_DATAGRAM_BYTES, MAX_INCARNATION, MAX_SUSPECTORS,
    Message,
};
pub use event::Event;
pub use member_table::{Evidence, MemberState, MemberTable, StateChange, SuspicionOutcome};
pub use membership::Membership;
pub use protocol::{
    DEATH_KNOWN_WITHIN, HEARTBEAT_INTERVAL, Millis, OBSERVERS, PAUSE_THRESHOLD, QUERY_TIMEOUT,
    SUSPECT_TIMEOUT, forget_timeout, partition_known_within, recovery_known_within,
};
pub use reachability::Reachability;
pub use registers::{Registers, SelfReport};
pub use replay_window::ReplayWindow;
pub use rings::Rings;
pub use settings::{MAX_MEMBERS, Settings, SettingsError};
pub use shared_state::{Malformed, SharedState};
pub use token_bucket::{Rate, TokenBucket};
pub use view::{Counters, MemberView, View, ViewSummary};
