//! A bound on the total memory for message bodies in transit.

use std::cell::Cell;
use std::rc::Rc;

/// A limit on the total number of bytes of all bodies of one kind.
#[derive(Debug)]
pub struct ByteBudget {
    capacity: usize,
    used: Cell<usize>,
}

impl ByteBudget {
    /// Creates a budget of `capacity` bytes.
    pub fn new(capacity: usize) -> Rc<Self> {
        Rc::new(Self { capacity, used: Cell::new(0) })
    }

    /// Returns a permit for one body, initially for zero bytes.
    pub fn permit(self: &Rc<Self>) -> BytePermit {
        BytePermit { budget: self.clone(), bytes: 0 }
    }
}

/// The bytes reserved for one body, released on drop. The permit grows as the body is received; the announced
/// length of the body reserves nothing.
#[derive(Debug)]
pub struct BytePermit {
    budget: Rc<ByteBudget>,
    bytes: usize,
}

impl BytePermit {
    /// Grows the permit to `bytes`; it never shrinks. Returns `false` if the budget is exhausted.
    #[must_use]
    pub fn try_grow_to(&mut self, bytes: usize) -> bool {
        let used = self.budget.used.get() + bytes.saturating_sub(self.bytes);
        if used > self.budget.capacity {
            return false;
        }
        self.budget.used.set(used);
        self.bytes = self.bytes.max(bytes);
        true
    }
}

impl Drop for BytePermit {
    fn drop(&mut self) {
        self.budget.used.set(self.budget.used.get() - self.bytes);
    }
}

#[cfg(test)]
mod tests;
