//! What a member shows of the fleet to operators and tools. The JSON keys are part of the page's interface.

use crate::Millis;
use crate::member_table::MemberState;
use crate::reachability::Reachability;
use serde::{Deserialize, Serialize};

/// Datagrams that were sent, accepted, rejected and put off, since the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Counters {
    /// Datagrams sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Datagrams accepted.
    pub received: u64,
    /// Bytes of all datagrams that arrived.
    pub received_bytes: u64,
    /// Rejected: longer than a datagram may be.
    pub oversized: u64,
    /// Rejected: from an address that is no member's, or another's than it names.
    #[serde(rename = "misplaced")]
    pub wrong_sender: u64,
    /// Rejected: more than a member may send.
    #[serde(rename = "flooded")]
    pub rate_limited: u64,
    /// Rejected: the tag does not match; another key, or forged.
    #[serde(rename = "forged")]
    pub unauthenticated: u64,
    /// Rejected: the tag matches, the content is not of the form or names numbers outside the fleet.
    pub malformed: u64,
    /// Rejected: the sender is configured with another fleet size.
    #[serde(rename = "other_size")]
    pub wrong_fleet_size: u64,
    /// Rejected: for another member.
    #[serde(rename = "misdelivered")]
    pub wrong_recipient: u64,
    /// Rejected: received before, or too old to tell.
    pub replayed: u64,
    /// Answered, not believed: of an incarnation that is over.
    #[serde(rename = "stale")]
    pub stale_sender: u64,
    /// Answered, not believed: sent before the sender knew this incarnation.
    #[serde(rename = "unproven")]
    pub stale_recipient: u64,
    /// Deltas or digests of shared state that were not of its form.
    #[serde(rename = "unreadable")]
    pub malformed_state: u64,
    /// Datagrams put off because the send budget was used up.
    #[serde(rename = "put_off")]
    pub deferred: u64,
    /// Gossip messages dropped because there were too many.
    #[serde(rename = "rumors_dropped")]
    pub gossip_dropped: u64,
    /// Pauses of this process that were long enough for a new incarnation.
    #[serde(rename = "away")]
    pub pauses: u64,
}

/// What is believed of one member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberView {
    /// Its number.
    pub number: u16,
    /// What is believed.
    pub state: MemberState,
    /// Milliseconds since that state began.
    #[serde(rename = "for_ms")]
    pub state_age_ms: Millis,
    /// Its incarnation, 0 for none.
    pub incarnation: u64,
    /// Milliseconds since its latest heartbeat was sent, as far as is known.
    #[serde(rename = "age_ms")]
    pub heartbeat_age_ms: Option<Millis>,
    /// Milliseconds since its last datagram arrived here.
    #[serde(rename = "direct_ms")]
    pub last_received_ms: Option<Millis>,
    /// It reports that it does not hear this member.
    #[serde(rename = "denies")]
    pub reports_unheard: bool,
}

/// All that a member believes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Its number.
    pub number: u16,
    /// Its incarnation.
    pub incarnation: u64,
    /// How much of the fleet it reaches.
    #[serde(rename = "hearing")]
    pub reachability: Reachability,
    /// The others.
    pub members: Vec<MemberView>,
    /// Datagrams that were sent, accepted, rejected and put off.
    pub counters: Counters,
    /// Gossip messages that wait to be sent.
    #[serde(rename = "rumors")]
    pub gossip_queued: usize,
}

/// A view in few enough bytes to be polled often.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewSummary {
    /// Its number.
    pub number: u16,
    /// Its incarnation.
    pub incarnation: u64,
    /// How much of the fleet it reaches.
    #[serde(rename = "hearing")]
    pub reachability: Reachability,
    /// Members that are alive, suspected or not.
    pub alive: Vec<u16>,
    /// Members that are dead.
    #[serde(rename = "gone")]
    pub dead: Vec<u16>,
}
