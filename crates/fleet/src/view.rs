//! Snapshots of a member's view of the fleet, for operators and tools. Their JSON keys are part of the
//! interface of the admin page.

use crate::Millis;
use crate::member_table::MemberState;
use crate::reachability::Reachability;
use serde::{Deserialize, Serialize};

/// Counts of datagrams sent, received, rejected and deferred since the process started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct DatagramCounters {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of the datagrams sent.
    pub sent_bytes: u64,
    /// Datagrams accepted.
    pub received: u64,
    /// Bytes of all datagrams that arrived, accepted or not.
    pub received_bytes: u64,
    /// Rejected: longer than [`MAX_DATAGRAM_BYTES`](crate::MAX_DATAGRAM_BYTES).
    pub oversized: u64,
    /// Rejected: the source address belongs to no other member, or to a member other than the sender in the
    /// header.
    #[serde(rename = "misplaced")]
    pub wrong_sender: u64,
    /// Rejected: above the rate limit of its sender or of all members together.
    #[serde(rename = "flooded")]
    pub rate_limited: u64,
    /// Rejected: the authentication tag does not match, because of a different key or a forgery.
    #[serde(rename = "forged")]
    pub unauthenticated: u64,
    /// Rejected: the tag matches, but the content does not decode, or a member number, an incarnation or the
    /// length of a list is out of bounds.
    pub malformed: u64,
    /// Rejected: the sender is configured with a different fleet size.
    #[serde(rename = "other_size")]
    pub wrong_fleet_size: u64,
    /// Rejected: addressed to another member.
    #[serde(rename = "misdelivered")]
    pub wrong_recipient: u64,
    /// Rejected: a duplicate, or too old for the replay window to tell.
    pub replayed: u64,
    /// Replied to but not accepted: sent by an earlier incarnation of the sender.
    #[serde(rename = "stale")]
    pub stale_sender: u64,
    /// Replied to but not accepted: addressed to an incarnation other than this member's current one.
    #[serde(rename = "unproven")]
    pub stale_recipient: u64,
    /// Deltas or digests of shared state that could not be decoded.
    #[serde(rename = "unreadable")]
    pub malformed_state: u64,
    /// Datagrams not sent when due, because the send budget was exhausted or the outbox was full. A later
    /// round makes up for them.
    #[serde(rename = "put_off")]
    pub deferred: u64,
    /// Gossip messages dropped because the queue was full.
    #[serde(rename = "rumors_dropped")]
    pub gossip_dropped: u64,
    /// Pauses of this process that were long enough to start a new incarnation.
    #[serde(rename = "away")]
    pub pauses: u64,
}

/// What this member believes about one other member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberView {
    /// The other member's number.
    pub number: u16,
    /// Its state, as this member believes it.
    pub state: MemberState,
    /// Milliseconds since the state began.
    #[serde(rename = "for_ms")]
    pub state_age_ms: Millis,
    /// Its latest known incarnation; 0 if none is known.
    pub incarnation: u64,
    /// Milliseconds since its latest known heartbeat was sent; an estimate where that heartbeat was relayed.
    #[serde(rename = "age_ms")]
    pub heartbeat_age_ms: Option<Millis>,
    /// Milliseconds since the last datagram that arrived from it directly.
    #[serde(rename = "direct_ms")]
    pub last_received_ms: Option<Millis>,
    /// Whether it reports that it does not receive this member's heartbeats.
    #[serde(rename = "denies")]
    pub reports_unheard: bool,
}

/// The full view of a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// This member's number.
    pub number: u16,
    /// This member's incarnation.
    pub incarnation: u64,
    /// How much of the fleet this member can reach.
    #[serde(rename = "hearing")]
    pub reachability: Reachability,
    /// All other members.
    pub members: Vec<MemberView>,
    /// Counts of datagrams sent, received, rejected and deferred since the process started.
    pub counters: DatagramCounters,
    /// Gossip messages queued for sending.
    #[serde(rename = "rumors")]
    pub gossip_queued: usize,
}

/// A summary of [`View`], small enough to be polled often.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewSummary {
    /// This member's number.
    pub number: u16,
    /// This member's incarnation.
    pub incarnation: u64,
    /// How much of the fleet this member can reach.
    #[serde(rename = "hearing")]
    pub reachability: Reachability,
    /// Other members that are alive, suspected or not.
    pub alive: Vec<u16>,
    /// Other members that are dead.
    #[serde(rename = "gone")]
    pub dead: Vec<u16>,
}
