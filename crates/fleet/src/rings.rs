//! The monitoring topology, as in Rapid (Suresh et al. 2018): a member's observers are the next live members
//! on eight fixed rings, and its subjects are the previous ones.
//!
//! All members derive the same rings from the fleet size. Each ring is ordered by a hash, so that neighbours
//! on one ring are far apart on the others, and the monitoring graph stays connected when many members are
//! dead.

use crate::OBSERVERS;
use sha2::{Digest, Sha256};

/// The rings of a fleet.
#[derive(Debug, Clone)]
pub struct Rings {
    /// The members in the order of each ring.
    order: Vec<Vec<u16>>,
    /// The position of each member on each ring.
    positions: Vec<Vec<u16>>,
}

fn rank(ring: usize, member: u16) -> [u8; 8] {
    let mut hash = Sha256::new();
    hash.update((ring as u64).to_be_bytes());
    hash.update(member.to_be_bytes());
    let full = hash.finalize();
    std::array::from_fn(|i| full[i])
}

impl Rings {
    /// Creates the rings of a fleet of `size` members.
    pub fn new(size: u16) -> Self {
        let mut order = Vec::new();
        let mut positions = Vec::new();
        for ring in 0..OBSERVERS {
            let mut members: Vec<u16> = (0..size).collect();
            members.sort_by_cached_key(|member| rank(ring, *member));
            let mut ring_positions = vec![0; usize::from(size)];
            for (at, member) in (0u16..).zip(&members) {
                ring_positions[usize::from(*member)] = at;
            }
            order.push(members);
            positions.push(ring_positions);
        }
        Self { order, positions }
    }

    /// The members that a member sends heartbeats to.
    pub fn observers(&self, member: u16, is_dead: impl Fn(u16) -> bool) -> Vec<u16> {
        self.neighbours(member, is_dead, 1)
    }

    /// The members from which a member expects heartbeats.
    pub fn subjects(&self, member: u16, is_dead: impl Fn(u16) -> bool) -> Vec<u16> {
        self.neighbours(member, is_dead, usize::from(self.size()) - 1)
    }

    fn size(&self) -> u16 {
        u16::try_from(self.order[0].len()).unwrap_or(u16::MAX)
    }

    /// The nearest live member on each ring, in steps of `step` positions. If there are no more live members
    /// than rings, all of them are neighbours: the rings would give some of them twice and leave out others,
    /// and a small fleet needs each one.
    fn neighbours(&self, of: u16, is_dead: impl Fn(u16) -> bool, step: usize) -> Vec<u16> {
        let mut live = (0..self.size()).filter(|member| *member != of && !is_dead(*member));
        let first_live: Vec<u16> = live.by_ref().take(OBSERVERS).collect();
        if live.next().is_none() {
            return first_live;
        }
        let mut chosen: Vec<u16> = Vec::with_capacity(OBSERVERS);
        for (order, positions) in self.order.iter().zip(&self.positions) {
            let mut at = usize::from(positions[usize::from(of)]);
            let next = std::iter::repeat_with(|| {
                at = (at + step) % order.len();
                order[at]
            });
            let next = next.take(order.len()).find(|member| *member != of && !is_dead(*member));
            chosen.extend(next.filter(|member| !chosen.contains(member)));
        }
        chosen
    }
}
