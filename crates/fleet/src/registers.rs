//! One register for each member, written by that member alone: the newest writing wins.

use crate::carrier::{Malformed, Shared};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use sha2::{Digest, Sha256};
use std::collections::VecDeque;

/// Registers whose sums one digest holds at most.
const SPAN: usize = 64;
/// Times that a change is passed on by each who learns of it.
const TOLD: u8 = 24;

/// What a member says of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fact {
    /// Members whose beats should reach it and do not, eight at most.
    pub deaf: Vec<u16>,
}

/// A register's content. The order of writings is that of `stamp`, and of the bytes where two processes under one
/// number wrote the same: any rule will do, so long as all use it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Writing {
    /// The writer's incarnation, and the count of its writings.
    stamp: (u64, u32),
    bytes: Vec<u8>,
}

impl Writing {
    fn rank(&self) -> ((u64, u32), &[u8]) {
        (self.stamp, &self.bytes)
    }
}

/// Registers of all members, for values of `most` bytes at most.
#[derive(Debug, Clone)]
pub struct Registers<V> {
    held: Vec<Option<Writing>>,
    most: usize,
    /// Where the next digest begins.
    cursor: usize,
    /// Registers that changed, and how often that was told.
    told: VecDeque<(u16, u8)>,
    value: std::marker::PhantomData<fn() -> V>,
}

/// A digest: sums of the registers from a number on.
#[derive(Serialize, Deserialize)]
struct Sums {
    from: u16,
    sums: Vec<u32>,
}

fn sum(writing: Option<&Writing>) -> u32 {
    let Some(writing) = writing else { return 0 };
    let mut hash = Sha256::new();
    hash.update(writing.stamp.0.to_be_bytes());
    hash.update(writing.stamp.1.to_be_bytes());
    hash.update(&writing.bytes);
    let full = hash.finalize();
    u32::from_be_bytes([full[0], full[1], full[2], full[3]]).max(1)
}

impl<V: Serialize + DeserializeOwned> Registers<V> {
    /// Empty registers of `size` members, for values of `most` bytes at most.
    pub fn new(size: u16, most: usize) -> Self {
        let held = vec![None; usize::from(size)];
        Self { held, most, cursor: 0, told: VecDeque::new(), value: std::marker::PhantomData }
    }

    /// Writes a member's own register; what is larger than a register is refused.
    ///
    /// # Errors
    /// The value is too large.
    pub fn write(&mut self, member: u16, incarnation: u64, value: &V) -> Result<(), Malformed> {
        let bytes = postcard::to_allocvec(value).map_err(|_| Malformed)?;
        if bytes.len() > self.most {
            return Err(Malformed);
        }
        let before = self.held[usize::from(member)].as_ref().map_or((0, 0), |writing| writing.stamp);
        // Also above what an earlier life wrote under a clock that stood ahead.
        let stamp = (incarnation.max(before.0), if before.0 >= incarnation { before.1 + 1 } else { 0 });
        self.take(member, Writing { stamp, bytes }, true);
        Ok(())
    }

    /// What a member's register holds.
    pub fn read(&self, member: u16) -> Option<V> {
        let writing = self.held.get(usize::from(member))?.as_ref()?;
        postcard::from_bytes(&writing.bytes).ok()
    }

    fn take(&mut self, member: u16, writing: Writing, news: bool) -> bool {
        let held = &mut self.held[usize::from(member)];
        let newer = held.as_ref().is_none_or(|held| writing.rank() > held.rank());
        if newer {
            *held = Some(writing);
            self.told.retain(|(told, _)| *told != member);
            if news {
                self.told.push_front((member, 0));
            }
        }
        newer
    }

    /// One piece of `room` bytes at most, of the first of `members` that fit; and how many those are.
    fn piece(&self, members: &[u16], room: usize) -> (Vec<u8>, usize) {
        let entry = |member: &u16| Some((*member, self.held[usize::from(*member)].as_ref()?));
        let mut entries: Vec<(u16, &Writing)> = Vec::new();
        let (mut taken, mut bytes) = (0, 2); // Two bytes hold any count of entries.
        for member in members {
            if let Some(entry) = entry(member) {
                bytes += postcard::experimental::serialized_size(&entry).unwrap_or(room);
                if bytes > room {
                    break;
                }
                entries.push(entry);
            }
            taken += 1;
        }
        (postcard::to_allocvec(&entries).unwrap_or_default(), taken)
    }
}

impl<V: Serialize + DeserializeOwned> Shared for Registers<V> {
    fn digest(&mut self, room: usize) -> Vec<u8> {
        // Five bytes hold any sum, five more where they begin and how many they are.
        let span = (room.saturating_sub(5) / 5).min(SPAN).min(self.held.len());
        if span == 0 {
            return Vec::new();
        }
        let from = self.cursor;
        let upto = (from + span).min(self.held.len());
        self.cursor = upto % self.held.len();
        let sums = self.held[from..upto].iter().map(|writing| sum(writing.as_ref())).collect();
        postcard::to_allocvec(&Sums { from: u16::try_from(from).unwrap_or(0), sums }).unwrap_or_default()
    }

    fn delta(&self, digest: &[u8], room: usize, pieces: usize) -> Result<Vec<Vec<u8>>, Malformed> {
        let Sums { from, sums } = match digest {
            [] => Sums { from: 0, sums: vec![0; self.held.len()] },
            _ => postcard::from_bytes(digest).map_err(|_| Malformed)?,
        };
        if usize::from(from) + sums.len() > self.held.len() {
            return Err(Malformed);
        }
        let other = |(member, theirs): (u16, &u32)| {
            let held = self.held[usize::from(member)].as_ref();
            (held.is_some() && sum(held) != *theirs).then_some(member)
        };
        let members: Vec<u16> = (from..).zip(&sums).filter_map(other).collect();
        let (mut left, mut given) = (&members[..], Vec::new());
        while !left.is_empty() && given.len() < pieces {
            let (piece, taken) = self.piece(left, room);
            if taken == 0 {
                break;
            }
            given.push(piece);
            left = &left[taken..];
        }
        Ok(given)
    }

    fn news(&mut self, room: usize) -> Option<Vec<u8>> {
        let members: Vec<u16> = self.told.iter().map(|(member, _)| *member).collect();
        let (piece, taken) = self.piece(&members, room);
        if taken == 0 {
            return None;
        }
        let again: Vec<(u16, u8)> =
            self.told.drain(..taken).map(|(member, times)| (member, times + 1)).collect();
        self.told.extend(again.into_iter().filter(|(_, times)| *times < TOLD));
        Some(piece)
    }

    fn merge(&mut self, piece: &[u8], news: bool) -> Result<bool, Malformed> {
        let entries: Vec<(u16, Writing)> = postcard::from_bytes(piece).map_err(|_| Malformed)?;
        let fits = |(member, writing): &(u16, Writing)| {
            usize::from(*member) < self.held.len()
                && writing.bytes.len() <= self.most
                && postcard::from_bytes::<V>(&writing.bytes).is_ok()
        };
        if !entries.iter().all(fits) {
            return Err(Malformed);
        }
        let mut new = false;
        for (member, writing) in entries {
            new |= self.take(member, writing, news);
        }
        Ok(new)
    }
}
