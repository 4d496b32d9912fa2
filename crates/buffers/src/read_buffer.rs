//! The bytes that were read from a socket and not interpreted yet.

use crate::budget::{BudgetExhausted, ByteBudget, BytePermit};
use bytes::Buf;

/// The sizes of a [`ReadBuffer`] in bytes.
#[derive(Debug, Clone, Copy)]
pub struct Growth {
    /// Size at first, which needs no grant.
    pub initial: usize,
    /// Largest size.
    pub max: usize,
}

/// A contiguous buffer for received bytes. It is a [`Buf`] whose chunk is all of its bytes.
///
/// It never grows by itself: the owner reads at most as many bytes as [`ReadBuffer::space`] has room for, and asks for
/// more with [`ReadBuffer::grow`].
#[derive(Debug)]
pub struct ReadBuffer {
    storage: Box<[u8]>,
    /// Offset of the first byte.
    start: usize,
    /// Offset behind the last byte.
    end: usize,
    growth: Growth,
    budget: ByteBudget,
    /// The grant for `storage`; `None` while it has its initial size. Declared after it, and so dropped after it.
    permit: Option<BytePermit>,
}

impl ReadBuffer {
    /// Creates an empty buffer. `budget` grants the memory beyond its initial size.
    pub fn new(growth: Growth, budget: ByteBudget) -> Self {
        let storage = vec![0; growth.initial].into_boxed_slice();
        Self { storage, start: 0, end: 0, growth, budget, permit: None }
    }

    /// Number of bytes in the buffer.
    pub fn len(&self) -> usize {
        self.end - self.start
    }

    /// Whether the buffer has no bytes.
    pub fn is_empty(&self) -> bool {
        self.start == self.end
    }

    /// Whether no byte can be added without growing.
    pub fn is_full(&self) -> bool {
        self.len() == self.storage.len()
    }

    /// The space behind the bytes. After writing to it, call [`Self::add`].
    pub fn space(&mut self) -> &mut [u8] {
        if self.start > 0 && self.end == self.storage.len() {
            self.storage.copy_within(self.start..self.end, 0);
            (self.start, self.end) = (0, self.end - self.start);
        }
        &mut self.storage[self.end..]
    }

    /// Adds the first `count` bytes of [`Self::space`].
    ///
    /// # Panics
    /// The space is smaller.
    pub fn add(&mut self, count: usize) {
        assert!(count <= self.storage.len() - self.end, "more bytes than the space has room for");
        self.end += count;
    }

    /// Doubles the size, up to the largest one.
    ///
    /// # Errors
    /// The buffer has its largest size, or the budget is exhausted. The buffer is unchanged.
    pub fn grow(&mut self) -> Result<(), BudgetExhausted> {
        let size = (2 * self.storage.len()).min(self.growth.max);
        if size <= self.storage.len() {
            return Err(BudgetExhausted);
        }
        let permit = self.budget.grant(size)?;
        self.replace_storage(size, Some(permit));
        Ok(())
    }

    /// Returns to the initial size, if the bytes fit into it.
    pub fn shrink(&mut self) {
        if self.permit.is_some() && self.len() <= self.growth.initial {
            self.replace_storage(self.growth.initial, None);
        }
    }

    /// Discards all bytes and returns to the initial size.
    pub fn reset(&mut self) {
        (self.start, self.end) = (0, 0);
        self.shrink();
    }

    fn replace_storage(&mut self, size: usize, permit: Option<BytePermit>) {
        let mut storage = vec![0; size].into_boxed_slice();
        let length = self.len();
        storage[..length].copy_from_slice(self.chunk());
        // The old memory is freed before its grant returns to the budget.
        self.storage = storage;
        self.permit = permit;
        (self.start, self.end) = (0, length);
    }
}

impl Buf for ReadBuffer {
    fn remaining(&self) -> usize {
        self.len()
    }

    fn chunk(&self) -> &[u8] {
        &self.storage[self.start..self.end]
    }

    fn advance(&mut self, count: usize) {
        assert!(count <= self.len(), "cannot advance past the end of a buffer");
        self.start += count;
        if self.is_empty() {
            (self.start, self.end) = (0, 0);
        }
    }
}
