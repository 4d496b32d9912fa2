//! Memory for what passes through: bodies of requests and of answers, each kind within a bound of its own.

use std::cell::Cell;
use std::rc::Rc;

/// Bytes that bodies of one kind may take together.
#[derive(Debug)]
pub struct Room {
    most: usize,
    taken: Cell<usize>,
}

impl Room {
    pub fn new(most: usize) -> Rc<Self> {
        Rc::new(Self { most, taken: Cell::new(0) })
    }

    /// A body that takes nothing yet.
    pub fn held(self: &Rc<Self>) -> Held {
        Held { room: self.clone(), bytes: 0 }
    }
}

/// What one body takes, as its bytes come: one that is only announced takes nothing. Dropped, it is free again.
#[derive(Debug)]
pub struct Held {
    room: Rc<Room>,
    bytes: usize,
}

impl Held {
    /// It takes `bytes` in all from now on; `false`: there is no room for them.
    #[must_use]
    pub fn grow(&mut self, bytes: usize) -> bool {
        let taken = self.room.taken.get() + bytes.saturating_sub(self.bytes);
        if taken > self.room.most {
            return false;
        }
        self.room.taken.set(taken);
        self.bytes = self.bytes.max(bytes);
        true
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.room.taken.set(self.room.taken.get() - self.bytes);
    }
}

#[cfg(test)]
mod tests;
