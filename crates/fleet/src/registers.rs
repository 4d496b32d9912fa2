//! A shared state with one register per member. Only that member writes it, and its last write wins.

use crate::shared_state::{Malformed, SharedState};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use sha2::{Digest, Sha256};
use std::collections::VecDeque;
use std::marker::PhantomData;

/// Maximum number of registers covered by one digest.
const MAX_CHECKSUMS: usize = 64;
/// Maximum encoded size of one checksum in a digest, and of the digest's two numbers (first register and
/// count) together.
const CHECKSUM_BYTES: usize = 5;
/// Encoded size of the number of entries in a delta.
const COUNT_BYTES: usize = 2;
/// How many times each member that learns of a write passes it on.
const TRANSMISSIONS: u8 = 24;

/// What a member reports about itself to all others.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SelfReport {
    /// Subjects whose heartbeats do not arrive at the reporting member; at most eight.
    pub unheard_subjects: Vec<u16>,
}

/// A stamp that orders the writes of a member.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct Stamp {
    incarnation: u64,
    /// Number of earlier writes in that incarnation.
    count: u32,
}

/// The content of a register.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Write {
    stamp: Stamp,
    value: Vec<u8>,
}

impl Write {
    /// Two processes with the same member number may produce the same stamp; comparing the values as well
    /// makes all members keep the same write.
    fn is_newer_than(&self, other: &Write) -> bool {
        (self.stamp, &self.value) > (other.stamp, &other.value)
    }
}

/// A write to be disseminated by gossip.
#[derive(Debug, Clone)]
struct Pending {
    member: u16,
    times_sent: u8,
}

/// The registers of all members, for values of type `V`.
#[derive(Debug, Clone)]
pub struct Registers<V> {
    writes: Vec<Option<Write>>,
    max_value_bytes: usize,
    /// The first register of the next digest.
    next_digest: usize,
    pending: VecDeque<Pending>,
    value: PhantomData<fn() -> V>,
}

/// A digest: checksums of consecutive registers from `first` on, 0 for an empty register.
#[derive(Serialize, Deserialize)]
struct Checksums {
    first: u16,
    checksums: Vec<u32>,
}

fn checksum(write: Option<&Write>) -> u32 {
    let Some(write) = write else { return 0 };
    let mut hash = Sha256::new();
    hash.update(write.stamp.incarnation.to_be_bytes());
    hash.update(write.stamp.count.to_be_bytes());
    hash.update(&write.value);
    let full = hash.finalize();
    u32::from_be_bytes([full[0], full[1], full[2], full[3]]).max(1)
}

impl<V: Serialize + DeserializeOwned> Registers<V> {
    /// Creates empty registers for `size` members and values of at most `max_value_bytes`.
    pub fn new(size: u16, max_value_bytes: usize) -> Self {
        let writes = vec![None; usize::from(size)];
        Self { writes, max_value_bytes, next_digest: 0, pending: VecDeque::new(), value: PhantomData }
    }

    /// Writes a member's own register.
    ///
    /// # Errors
    /// The encoded value is larger than a register.
    pub fn write(&mut self, member: u16, incarnation: u64, value: &V) -> Result<(), Malformed> {
        let value = postcard::to_allocvec(value).map_err(|_| Malformed)?;
        if value.len() > self.max_value_bytes {
            return Err(Malformed);
        }
        let last = self.writes[usize::from(member)].as_ref().map(|write| write.stamp).unwrap_or_default();
        // An earlier process with this member number may have had a wall clock that was ahead.
        let stamp = if last.incarnation >= incarnation {
            Stamp { incarnation: last.incarnation, count: last.count + 1 }
        } else {
            Stamp { incarnation, count: 0 }
        };
        self.accept(member, Write { stamp, value }, true);
        Ok(())
    }

    /// Reads the value in a member's register.
    pub fn read(&self, member: u16) -> Option<V> {
        let write = self.writes.get(usize::from(member))?.as_ref()?;
        postcard::from_bytes(&write.value).ok()
    }

    /// Stores a write if it is newer than the stored one, and returns whether it was.
    fn accept(&mut self, member: u16, write: Write, gossip: bool) -> bool {
        let current = &mut self.writes[usize::from(member)];
        let newer = current.as_ref().is_none_or(|current| write.is_newer_than(current));
        if newer {
            *current = Some(write);
            self.pending.retain(|pending| pending.member != member);
            if gossip {
                self.pending.push_front(Pending { member, times_sent: 0 });
            }
        }
        newer
    }

    /// Encodes one delta of at most `max_bytes` from the first of `members` that fit; returns it with their
    /// number.
    fn encode_delta(&self, members: &[u16], max_bytes: usize) -> (Vec<u8>, usize) {
        let entry = |member: &u16| Some((*member, self.writes[usize::from(*member)].as_ref()?));
        let mut entries: Vec<(u16, &Write)> = Vec::new();
        let (mut included, mut bytes) = (0, COUNT_BYTES);
        for member in members {
            if let Some(entry) = entry(member) {
                bytes += postcard::experimental::serialized_size(&entry).unwrap_or(max_bytes);
                if bytes > max_bytes {
                    break;
                }
                entries.push(entry);
            }
            included += 1;
        }
        (postcard::to_allocvec(&entries).unwrap_or_default(), included)
    }
}

impl<V: Serialize + DeserializeOwned> SharedState for Registers<V> {
    fn digest(&mut self, max_bytes: usize) -> Vec<u8> {
        let fitting = max_bytes.saturating_sub(CHECKSUM_BYTES) / CHECKSUM_BYTES;
        let count = fitting.min(MAX_CHECKSUMS).min(self.writes.len());
        if count == 0 {
            return Vec::new();
        }
        let first = self.next_digest;
        let end = (first + count).min(self.writes.len());
        self.next_digest = end % self.writes.len();
        let checksums = self.writes[first..end].iter().map(|write| checksum(write.as_ref())).collect();
        postcard::to_allocvec(&Checksums { first: u16::try_from(first).unwrap_or(0), checksums })
            .unwrap_or_default()
    }

    fn deltas(&self, digest: &[u8], max_bytes: usize, max_deltas: usize) -> Result<Vec<Vec<u8>>, Malformed> {
        let Checksums { first, checksums } = match digest {
            [] => Checksums { first: 0, checksums: vec![0; self.writes.len()] },
            _ => postcard::from_bytes(digest).map_err(|_| Malformed)?,
        };
        if usize::from(first) + checksums.len() > self.writes.len() {
            return Err(Malformed);
        }
        let differs = |(member, theirs): (u16, &u32)| {
            let write = self.writes[usize::from(member)].as_ref();
            (write.is_some() && checksum(write) != *theirs).then_some(member)
        };
        let members: Vec<u16> = (first..).zip(&checksums).filter_map(differs).collect();
        let (mut left, mut deltas) = (&members[..], Vec::new());
        while !left.is_empty() && deltas.len() < max_deltas {
            let (delta, included) = self.encode_delta(left, max_bytes);
            if included == 0 {
                break;
            }
            deltas.push(delta);
            left = &left[included..];
        }
        Ok(deltas)
    }

    fn next_gossip(&mut self, max_bytes: usize) -> Option<Vec<u8>> {
        let members: Vec<u16> = self.pending.iter().map(|pending| pending.member).collect();
        let (delta, included) = self.encode_delta(&members, max_bytes);
        if included == 0 {
            return None;
        }
        let sent: Vec<Pending> = self.pending.drain(..included).collect();
        let repeated = sent
            .into_iter()
            .map(|Pending { member, times_sent }| Pending { member, times_sent: times_sent + 1 });
        self.pending.extend(repeated.filter(|pending| pending.times_sent < TRANSMISSIONS));
        Some(delta)
    }

    fn merge(&mut self, delta: &[u8], gossip: bool) -> Result<bool, Malformed> {
        let entries: Vec<(u16, Write)> = postcard::from_bytes(delta).map_err(|_| Malformed)?;
        let valid = |(member, write): &(u16, Write)| {
            usize::from(*member) < self.writes.len()
                && write.value.len() <= self.max_value_bytes
                && postcard::from_bytes::<V>(&write.value).is_ok()
        };
        if !entries.iter().all(valid) {
            return Err(Malformed);
        }
        let mut any_newer = false;
        for (member, write) in entries {
            any_newer |= self.accept(member, write, gossip);
        }
        Ok(any_newer)
    }
}
