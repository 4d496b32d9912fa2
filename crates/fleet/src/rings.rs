//! Who watches whom: the next live member on each of eight fixed rings.
//!
//! All members derive the same rings from the fleet's size. A ring's order is a hash's, so that neighbours on one
//! ring are strangers on the others, and the graph of watchers stays connected when many are gone.

use crate::WATCHERS;
use sha2::{Digest, Sha256};

/// The rings of a fleet.
#[derive(Debug, Clone)]
pub struct Rings {
    order: Vec<Vec<u16>>,
    place: Vec<Vec<u16>>,
}

fn rank(ring: usize, member: u16) -> [u8; 8] {
    let mut hash = Sha256::new();
    hash.update((ring as u64).to_be_bytes());
    hash.update(member.to_be_bytes());
    let full = hash.finalize();
    std::array::from_fn(|i| full[i])
}

impl Rings {
    /// The rings of a fleet of `size`.
    pub fn new(size: u16) -> Self {
        let mut order = Vec::new();
        let mut place = Vec::new();
        for ring in 0..WATCHERS {
            let mut members: Vec<u16> = (0..size).collect();
            members.sort_by_cached_key(|member| rank(ring, *member));
            let mut places = vec![0; usize::from(size)];
            for (at, member) in (0u16..).zip(&members) {
                places[usize::from(*member)] = at;
            }
            order.push(members);
            place.push(places);
        }
        Self { order, place }
    }

    /// Whom `of` sends beats to, where `out` tells who is gone.
    pub fn watchers(&self, of: u16, out: impl Fn(u16) -> bool) -> Vec<u16> {
        self.neighbours(of, out, 1)
    }

    /// Whose beats `of` expects.
    pub fn subjects(&self, of: u16, out: impl Fn(u16) -> bool) -> Vec<u16> {
        self.neighbours(of, out, usize::from(self.size()) - 1)
    }

    fn size(&self) -> u16 {
        u16::try_from(self.order[0].len()).unwrap_or(u16::MAX)
    }

    /// The nearest on each ring, `step` places at a time. While no more are live than there are rings, all are:
    /// rings name some twice, and a small fleet needs each one.
    fn neighbours(&self, of: u16, out: impl Fn(u16) -> bool, step: usize) -> Vec<u16> {
        let mut live = (0..self.size()).filter(|member| *member != of && !out(*member));
        let few: Vec<u16> = live.by_ref().take(WATCHERS).collect();
        if live.next().is_none() {
            return few;
        }
        let mut chosen: Vec<u16> = Vec::with_capacity(WATCHERS);
        for (order, place) in self.order.iter().zip(&self.place) {
            let mut at = usize::from(place[usize::from(of)]);
            let next = std::iter::repeat_with(|| {
                at = (at + step) % order.len();
                order[at]
            });
            let next = next.take(order.len()).find(|member| *member != of && !out(*member));
            chosen.extend(next.filter(|member| !chosen.contains(member)));
        }
        chosen
    }
}
