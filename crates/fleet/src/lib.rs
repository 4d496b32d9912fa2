//! Fleet membership for gateways: which members are alive, how much of the fleet a member can reach, and
//! state that all members replicate. The crate does no I/O: the caller passes in datagrams, time and
//! randomness.
//!
//! Each member sends heartbeats to eight observers: the next live member on each of eight fixed rings. An
//! observer that receives nothing suspects the member, and any member that knows a later heartbeat refutes
//! the suspicion. A member is confirmed dead when enough observers suspect it and the suspicion is not
//! refuted in time. Evidence of life always overrides suspicions, so a broken link does not get a live member
//! declared dead. docs/fleet.md describes the protocol and its bounds.
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
pub use settings::{MAX_MEMBERS, MembershipSettings, SettingsError};
pub use shared_state::{Malformed, SharedState};
pub use token_bucket::{Rate, TokenBucket};
pub use view::{DatagramCounters, MemberView, View, ViewSummary};
