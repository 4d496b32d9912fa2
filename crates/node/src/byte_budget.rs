//! A bound on the memory that the bodies in transit take together.

use std::cell::Cell;
use std::rc::Rc;

/// The bytes that the bodies of one kind may take together.
#[derive(Debug)]
pub struct ByteBudget {
    capacity: usize,
    used: Cell<usize>,
}

impl ByteBudget {
    /// A budget of `capacity` bytes.
    pub fn new(capacity: usize) -> Rc<Self> {
        Rc::new(Self { capacity, used: Cell::new(0) })
    }

    /// A permit for one body, of no bytes yet.
    pub fn permit(self: &Rc<Self>) -> BytePermit {
        BytePermit { budget: self.clone(), bytes: 0 }
    }
}

/// The bytes of one body. It grows as the body is received, not by the length that is announced; dropping it frees them.
#[derive(Debug)]
pub struct BytePermit {
    budget: Rc<ByteBudget>,
    bytes: usize,
}

impl BytePermit {
    /// Grows the permit to `bytes`; it never shrinks. Returns `false` if the budget does not have them.
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
