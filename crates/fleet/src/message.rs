//! What travels between two members: one datagram, postcard in front of a code.

use serde::{Deserialize, Serialize};

/// Most bytes of a datagram, its code included: it fits any path without being cut.
pub const MOST_BYTES: usize = 1200;
/// Accusers of one member that are told of at most: more add nothing.
pub const MOST_ACCUSERS: usize = 3;
/// Largest incarnation that is believed: one above it must still fit.
pub const MOST_INCARNATION: u64 = 1 << 62;

/// Who sends to whom, and what shows that it is no replay.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Members of the fleet, as the sender was told.
    pub size: u16,
    /// The sender's number.
    pub from: u16,
    /// The recipient's number.
    pub to: u16,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// The recipient's incarnation as the sender knows it, 0 for none. What names the recipient's present one was
    /// sent after the recipient began it: older datagrams, replayed or kept in a socket, cannot.
    pub knows: u64,
    /// Datagrams sent in this incarnation.
    pub sequence: u64,
    /// Beats sent in this incarnation.
    pub beat: u32,
    /// The sender has heard the recipient itself within the time of silence.
    pub hears: bool,
    /// The sender wants the recipient's beats.
    pub watch: bool,
}

/// A datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// Who sends to whom.
    pub header: Header,
    /// What it carries.
    pub parts: Vec<Part>,
}

/// Something that a datagram carries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Part {
    /// A member was alive.
    Life {
        /// Its number.
        member: u16,
        /// Its incarnation.
        incarnation: u64,
        /// Its newest beat that is known.
        beat: u32,
        /// Tenths of a second since that beat was sent, as far as the ways it took can tell.
        age: u16,
        /// It answers an accusation or tells of a change, and is passed on.
        news: bool,
    },
    /// Members' newest beats, as they go around all the time.
    Copies {
        /// The number of the first one; the others follow it.
        from: u16,
        /// One for each number from there on.
        beats: Vec<Copy>,
    },
    /// Watchers hear nothing of a member.
    Silent {
        /// The member.
        member: u16,
        /// Its incarnation as the watchers know it, 0 for none.
        incarnation: u64,
        /// Its newest beat that they know.
        beat: u32,
        /// The watchers, three at most.
        by: Vec<u16>,
        /// It is passed on; else it asks the other watchers, who contradict if they can.
        news: bool,
    },
    /// What the sender holds of a shared state.
    Digest {
        /// Which state.
        kind: u8,
        /// In that state's own form.
        digest: Vec<u8>,
    },
    /// A piece of a shared state.
    Piece {
        /// Which state.
        kind: u8,
        /// In that state's own form.
        piece: Vec<u8>,
        /// It is passed on; else it makes good what the recipient lacked.
        news: bool,
    },
}

/// The age of a copy that says its sender takes the member for dead, or never heard of it.
pub const GONE: u16 = u16::MAX;

/// A member's newest beat in few bytes. It says nothing to those who do not know the member's incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Copy {
    /// The low bits of its incarnation; 0 with beat 0 where nothing is known.
    pub incarnation: u16,
    /// Its newest beat that is known.
    pub beat: u32,
    /// Tenths of a second since that was sent, or [`GONE`].
    pub age: u16,
}

impl Part {
    /// Bytes that it takes in a datagram.
    pub fn bytes(&self) -> usize {
        postcard::experimental::serialized_size(self).unwrap_or(MOST_BYTES)
    }
}

impl Packet {
    /// Whether all numbers lie within the fleet, so that no table is asked for more.
    pub fn fits(&self, size: u16) -> bool {
        let known = |incarnation: u64| incarnation <= MOST_INCARNATION;
        let header = &self.header;
        let part = |part: &Part| match part {
            Part::Life { member, incarnation, .. } => {
                *member < size && *incarnation > 0 && known(*incarnation)
            }
            Part::Silent { member, by, incarnation, .. } => {
                let accuser = |by: &u16| *by < size && by != member;
                *member < size && known(*incarnation) && by.len() <= MOST_ACCUSERS && by.iter().all(accuser)
            }
            Part::Copies { from, beats } => usize::from(*from) + beats.len() <= usize::from(size),
            Part::Digest { .. } | Part::Piece { .. } => true,
        };
        header.from < size
            && header.to < size
            && header.from != header.to
            && header.incarnation > 0
            && known(header.incarnation)
            && known(header.knows)
            && self.parts.iter().all(part)
    }
}
