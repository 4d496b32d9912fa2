//! A priority queue of events. Events that are due at the same time keep the order in which they were added, so that
//! runs are deterministic.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

struct Entry<T, E> {
    at: T,
    sequence: u64,
    event: E,
}

impl<T: Ord, E> PartialEq for Entry<T, E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl<T: Ord, E> Eq for Entry<T, E> {}

impl<T: Ord, E> PartialOrd for Entry<T, E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T: Ord, E> Ord for Entry<T, E> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.at.cmp(&other.at).then(self.sequence.cmp(&other.sequence))
    }
}

/// A queue of events `E`, ordered by the time `T` at which they are due.
pub struct EventQueue<T, E> {
    entries: BinaryHeap<Reverse<Entry<T, E>>>,
    sequence: u64,
}

impl<T: Ord, E> Default for EventQueue<T, E> {
    fn default() -> Self {
        Self { entries: BinaryHeap::new(), sequence: 0 }
    }
}

impl<T: Ord + Copy, E> EventQueue<T, E> {
    /// Adds an event that is due at `at`.
    pub fn push(&mut self, at: T, event: E) {
        self.sequence += 1;
        self.entries.push(Reverse(Entry { at, sequence: self.sequence, event }));
    }

    /// When the earliest event is due.
    pub fn next_at(&self) -> Option<T> {
        self.entries.peek().map(|Reverse(entry)| entry.at)
    }

    /// Removes the earliest event if it is due at `by` or before; returns it with its time.
    pub fn pop_due(&mut self, by: T) -> Option<(T, E)> {
        self.next_at().filter(|at| *at <= by)?;
        self.entries.pop().map(|Reverse(Entry { at, event, .. })| (at, event))
    }
}
