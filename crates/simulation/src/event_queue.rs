//! Events in the order of their time, and in the order in which they were added where that is the same.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

struct Entry<T, E> {
    at: T,
    order: u64,
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
        self.at.cmp(&other.at).then(self.order.cmp(&other.order))
    }
}

/// A queue of events by time `T`.
pub struct EventQueue<T, E> {
    entries: BinaryHeap<Reverse<Entry<T, E>>>,
    order: u64,
}

impl<T: Ord, E> Default for EventQueue<T, E> {
    fn default() -> Self {
        Self { entries: BinaryHeap::new(), order: 0 }
    }
}

impl<T: Ord + Copy, E> EventQueue<T, E> {
    /// Adds an event that is due at a time.
    pub fn push(&mut self, at: T, event: E) {
        self.order += 1;
        self.entries.push(Reverse(Entry { at, order: self.order, event }));
    }

    /// When the first event is due.
    pub fn next_at(&self) -> Option<T> {
        self.entries.peek().map(|Reverse(entry)| entry.at)
    }

    /// Takes the first event that is due at `by` or earlier, with its time.
    pub fn pop_due(&mut self, by: T) -> Option<(T, E)> {
        self.next_at().filter(|at| *at <= by)?;
        self.entries.pop().map(|Reverse(Entry { at, event, .. })| (at, event))
    }
}
