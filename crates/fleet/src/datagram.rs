//! Datagrams between members: a header and messages in postcard's wire format, followed by an authentication
//! tag. The order and types of the fields below define the wire format.

use crate::Millis;
use serde::{Deserialize, Serialize};

/// Maximum size of a datagram, including its tag: small enough not to be fragmented on any usual path.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Maximum number of suspecting observers listed for one member; further ones do not change the outcome.
pub const MAX_SUSPECTORS: usize = 3;
/// Largest incarnation accepted, so that the next one does not overflow.
pub const MAX_INCARNATION: u64 = 1 << 62;

/// Sender, recipient, and the incarnations and sequence number that protect against replays.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// The fleet size that the sender is configured with.
    pub fleet_size: u16,
    /// The sender's number.
    pub sender: u16,
    /// The recipient's number.
    pub recipient: u16,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// The recipient's incarnation as known to the sender; 0 if none is known. A datagram that carries the
    /// recipient's current incarnation was sent after it began; one that was replayed, or waited in a socket
    /// buffer since before, cannot carry it.
    pub recipient_incarnation: u64,
    /// Number of datagrams sent in this incarnation.
    pub sequence: u64,
    /// Number of heartbeats sent in this incarnation.
    pub heartbeat: u32,
    /// Whether the sender has received a datagram from the recipient within
    /// [`SUSPECT_TIMEOUT`](crate::SUSPECT_TIMEOUT).
    pub hears_recipient: bool,
    /// Whether the sender asks the recipient to send it heartbeats.
    pub wants_heartbeats: bool,
}

/// The authenticated content of a datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// Addressing and replay protection.
    pub header: Header,
    /// The messages, which may be none.
    pub messages: Vec<Message>,
}

/// One message in a datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Evidence that a member was alive.
    Alive {
        /// The member's number.
        member: u16,
        /// The member's incarnation.
        incarnation: u64,
        /// The latest known heartbeat of that incarnation.
        heartbeat: u32,
        /// Estimated time since that heartbeat was sent, in tenths of a second.
        age: u16,
        /// Whether the recipient disseminates the message further. Set for gossiped refutations and state changes,
        /// not for introductions and answers to queries.
        gossip: bool,
    },
    /// The latest known heartbeats of a range of members. Each datagram carries the next range in turn, except
    /// handshake replies, probes of absent members and answers to digests.
    Heartbeats {
        /// The number of the first member in the range.
        first: u16,
        /// One entry per member, in order of their numbers.
        heartbeats: Vec<CompactHeartbeat>,
    },
    /// One or more observers receive nothing from a member.
    Suspect {
        /// The member's number.
        member: u16,
        /// The member's incarnation as known to the observers; 0 if none is known.
        incarnation: u64,
        /// The latest heartbeat known to the observers.
        heartbeat: u32,
        /// The suspecting observers, at most [`MAX_SUSPECTORS`].
        suspectors: Vec<u16>,
        /// Whether the recipient disseminates the message further. If not set, it is a query to another
        /// observer of the member, which answers if it knows a later heartbeat.
        gossip: bool,
    },
    /// A digest of what the sender has of a shared state.
    Digest {
        /// The kind of shared state.
        kind: u8,
        /// The digest, encoded by that shared state.
        digest: Vec<u8>,
    },
    /// Entries of a shared state to be merged.
    Delta {
        /// The kind of shared state.
        kind: u8,
        /// The delta, encoded by that shared state.
        delta: Vec<u8>,
        /// Whether the recipient disseminates the delta further. If not set, it answers a digest of the
        /// recipient.
        gossip: bool,
    },
}

/// The unit of ages in messages, in milliseconds.
pub(crate) const AGE_UNIT: Millis = 100;
/// The age of a relayed heartbeat whose sender considers the member dead, or has never heard of it.
pub const AGE_DEAD: u16 = u16::MAX;

/// A member's latest known heartbeat in compact form, usable only by recipients that know the member's
/// incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompactHeartbeat {
    /// The low bits of the incarnation; 0, with heartbeat 0, if none is known.
    pub incarnation: u16,
    /// The latest known heartbeat.
    pub heartbeat: u32,
    /// Time since it was sent in tenths of a second, or [`AGE_DEAD`].
    pub age: u16,
}

impl Message {
    /// Number of bytes that the message takes in a datagram.
    pub fn encoded_len(&self) -> usize {
        postcard::experimental::serialized_size(self).unwrap_or(MAX_DATAGRAM_BYTES)
    }
}

impl Datagram {
    /// Whether all member numbers lie within a fleet of `size` members, so that they can index tables, and
    /// all incarnations and list lengths are within their limits.
    pub fn is_valid(&self, size: u16) -> bool {
        let incarnation_fits = |incarnation: u64| incarnation <= MAX_INCARNATION;
        let header = &self.header;
        let message = |message: &Message| match message {
            Message::Alive { member, incarnation, .. } => {
                *member < size && *incarnation > 0 && incarnation_fits(*incarnation)
            }
            Message::Suspect { member, suspectors, incarnation, .. } => {
                let valid = |suspector: &u16| *suspector < size && suspector != member;
                *member < size
                    && incarnation_fits(*incarnation)
                    && suspectors.len() <= MAX_SUSPECTORS
                    && suspectors.iter().all(valid)
            }
            Message::Heartbeats { first, heartbeats } => {
                usize::from(*first) + heartbeats.len() <= usize::from(size)
            }
            Message::Digest { .. } | Message::Delta { .. } => true,
        };
        header.sender < size
            && header.recipient < size
            && header.sender != header.recipient
            && header.incarnation > 0
            && incarnation_fits(header.incarnation)
            && incarnation_fits(header.recipient_incarnation)
            && self.messages.iter().all(message)
    }
}
