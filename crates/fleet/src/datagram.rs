//! The datagram between two members: a header and messages, in postcard's wire format, followed by an authentication
//! tag. Its form is the order and the types of the fields below.

use crate::Millis;
use serde::{Deserialize, Serialize};

/// Most bytes of a datagram, its tag included: it passes every path without being fragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Suspecting observers that are named for one member at most: more change nothing.
pub const MAX_SUSPECTORS: usize = 3;
/// Largest incarnation that is accepted: the next one must still fit.
pub const MAX_INCARNATION: u64 = 1 << 62;

/// Sender, recipient, and what shows that the datagram is no replay.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Members of the fleet, as the sender is configured.
    pub fleet_size: u16,
    /// The sender's number.
    pub sender: u16,
    /// The recipient's number.
    pub recipient: u16,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// The recipient's incarnation as the sender knows it, 0 for none. A datagram that names the present one was sent
    /// after it began: older datagrams, replayed or left in a socket, cannot name it.
    pub recipient_incarnation: u64,
    /// Datagrams sent in this incarnation.
    pub sequence: u64,
    /// Heartbeats sent in this incarnation.
    pub heartbeat: u32,
    /// The sender has received a datagram of the recipient within [`SUSPECT_TIMEOUT`](crate::SUSPECT_TIMEOUT).
    pub hears_recipient: bool,
    /// The sender asks for the recipient's heartbeats.
    pub wants_heartbeats: bool,
}

/// The content of a datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// Sender and recipient.
    pub header: Header,
    /// What it carries.
    pub messages: Vec<Message>,
}

/// One message in a datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A member was alive.
    Alive {
        /// Its number.
        member: u16,
        /// Its incarnation.
        incarnation: u64,
        /// Its latest known heartbeat.
        heartbeat: u32,
        /// Tenths of a second since that heartbeat was sent, as far as is known.
        age: u16,
        /// It refutes a suspicion or tells of a change: the recipient passes it on.
        gossip: bool,
    },
    /// The latest heartbeats of a range of members, relayed to everybody in turn.
    Heartbeats {
        /// The number of the first member of the range.
        first: u16,
        /// One for each member from there on.
        heartbeats: Vec<CompactHeartbeat>,
    },
    /// Observers receive nothing from a member.
    Suspect {
        /// The member.
        member: u16,
        /// Its incarnation as the observers know it, 0 for none.
        incarnation: u64,
        /// Its latest heartbeat that they know.
        heartbeat: u32,
        /// The observers, [`MAX_SUSPECTORS`] at most.
        suspectors: Vec<u16>,
        /// The recipient passes it on. Otherwise it is a question to one of the member's other observers, which answers
        /// if it knows a later heartbeat.
        gossip: bool,
    },
    /// What the sender has of a shared state.
    Digest {
        /// Which state.
        kind: u8,
        /// In that state's own form.
        digest: Vec<u8>,
    },
    /// A part of a shared state.
    Delta {
        /// Which state.
        kind: u8,
        /// In that state's own form.
        delta: Vec<u8>,
        /// The recipient passes it on. Otherwise it answers the recipient's digest.
        gossip: bool,
    },
}

/// Milliseconds in the unit of all ages in messages.
pub(crate) const AGE_UNIT: Millis = 100;
/// The age of a relayed heartbeat whose sender takes the member for dead, or never heard of it.
pub const AGE_DEAD: u16 = u16::MAX;

/// A member's latest heartbeat in few bytes. It says nothing to those who do not know the member's incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompactHeartbeat {
    /// The low bits of its incarnation; 0 with heartbeat 0 where nothing is known.
    pub incarnation: u16,
    /// Its latest known heartbeat.
    pub heartbeat: u32,
    /// Tenths of a second since that was sent, or [`AGE_DEAD`].
    pub age: u16,
}

impl Message {
    /// Bytes that it takes in a datagram.
    pub fn encoded_len(&self) -> usize {
        postcard::experimental::serialized_size(self).unwrap_or(MAX_DATAGRAM_BYTES)
    }
}

impl Datagram {
    /// Whether all numbers lie within a fleet of `size` members, so that no table is indexed beyond its end.
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
