//! What is passed on from member to member until enough have it.

use crate::WATCHERS;
use crate::message::Part;
use std::collections::VecDeque;

/// Rumours that are kept at most; beyond that the one told most often is dropped. Each is told again by whoever it
/// concerns, so that a dropped one costs time only.
const MOST: usize = 2048;

/// The rumours of one member, the least told first.
#[derive(Debug, Clone)]
pub(crate) struct Rumors {
    waiting: VecDeque<(u32, Part)>,
    times: u32,
    dropped: u64,
}

/// Whether one makes the other needless.
fn same_matter(one: &Part, other: &Part) -> bool {
    match (one, other) {
        (Part::Life { member: a, .. }, Part::Life { member: b, .. }) => a == b,
        (Part::Silent { member: a, .. }, Part::Silent { member: b, .. }) => a == b,
        // Who is known to be alive is not accused any more by what was said before.
        (Part::Life { member: a, .. }, Part::Silent { member: b, .. }) => a == b,
        _ => false,
    }
}

impl Rumors {
    /// Each rumour is told `log2(size) + 1` times by each who hears of it, at least once on each way out: all have heard
    /// of it then but for a share that the copies of beats reach (Demers et al. 1987, 1.4).
    pub fn new(size: u16) -> Self {
        let times = (u32::from(size).ilog2() + 1).max(WATCHERS as u32);
        Self { waiting: VecDeque::new(), times, dropped: 0 }
    }

    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    pub fn tell(&mut self, part: Part) {
        self.waiting.retain(|(_, waiting)| !same_matter(&part, waiting));
        if self.waiting.len() >= MOST {
            self.waiting.pop_back();
            self.dropped += 1;
        }
        self.waiting.push_front((0, part));
    }

    /// A member is not under suspicion any more.
    pub fn acquit(&mut self, of: u16) {
        self.waiting.retain(|(_, part)| !matches!(part, Part::Silent { member, .. } if *member == of));
    }

    /// Up to `room` bytes of rumours; each is dropped once it was told often enough.
    pub fn next(&mut self, mut room: usize) -> Vec<Part> {
        let mut told = Vec::new();
        let mut kept = VecDeque::new();
        while let Some((times, part)) = self.waiting.pop_front() {
            let bytes = part.bytes();
            if bytes > room {
                self.waiting.push_front((times, part));
                break;
            }
            room -= bytes;
            if times + 1 < self.times {
                kept.push_back((times + 1, part.clone()));
            }
            told.push(part);
        }
        // Behind what was told less often.
        self.waiting.extend(kept);
        told
    }

    pub fn clear(&mut self) {
        self.waiting.clear();
    }
}
