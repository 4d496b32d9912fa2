//! Bytes of any length in blocks of one size, such as the body of a message.

use crate::budget::{BudgetExhausted, ByteBudget, BytePermit};
use bytes::{Buf, Bytes};
use std::collections::VecDeque;
use std::io::IoSlice;

/// Size of a block in bytes.
pub const BLOCK_BYTES: usize = 8 * 1024;
/// Number of bytes at the start of a buffer that need no grant, so that short messages are still received while others
/// use the whole budget.
pub const UNBUDGETED_BYTES: usize = 1024;

/// The memory of one block, with its grant.
#[derive(Debug)]
struct Block {
    /// Never grows beyond the capacity that it was created with. Declared before the permit, and so freed before the
    /// grant returns to the budget.
    bytes: Vec<u8>,
    _permit: BytePermit,
}

impl AsRef<[u8]> for Block {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Bytes that are being received.
#[derive(Debug)]
pub struct SegmentedBuffer {
    budget: ByteBudget,
    /// The first [`UNBUDGETED_BYTES`] bytes.
    start: Vec<u8>,
    blocks: Vec<Block>,
    length: usize,
}

impl SegmentedBuffer {
    /// Creates an empty buffer. `budget` grants the memory for all but its first bytes.
    pub fn new(budget: ByteBudget) -> Self {
        Self { budget, start: Vec::new(), blocks: Vec::new(), length: 0 }
    }

    /// Number of bytes received.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether no bytes were received.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Appends bytes.
    ///
    /// # Errors
    /// The budget is exhausted. Some of the bytes may have been appended; the buffer must be given up.
    pub fn append(&mut self, mut bytes: &[u8]) -> Result<(), BudgetExhausted> {
        let unbudgeted = bytes.len().min(UNBUDGETED_BYTES - self.start.len());
        self.start.extend_from_slice(&bytes[..unbudgeted]);
        self.length += unbudgeted;
        bytes.advance(unbudgeted);
        while !bytes.is_empty() {
            let block = self.block_with_space()?;
            let count = bytes.len().min(BLOCK_BYTES - block.bytes.len());
            block.bytes.extend_from_slice(&bytes[..count]);
            self.length += count;
            bytes.advance(count);
        }
        Ok(())
    }

    /// The last block, or a new one if that is full.
    fn block_with_space(&mut self) -> Result<&mut Block, BudgetExhausted> {
        if self.blocks.last().is_none_or(|last| last.bytes.len() == BLOCK_BYTES) {
            let permit = self.budget.grant(BLOCK_BYTES)?;
            self.blocks.push(Block { bytes: Vec::with_capacity(BLOCK_BYTES), _permit: permit });
        }
        self.blocks.last_mut().ok_or(BudgetExhausted)
    }

    /// Takes the bytes received so far. Their memory returns to the budget once all clones of them are dropped.
    pub fn take(&mut self) -> SegmentedBytes {
        let start = Bytes::from(std::mem::take(&mut self.start));
        let blocks = std::mem::take(&mut self.blocks).into_iter().map(Bytes::from_owner);
        let segments = std::iter::once(start).filter(|start| !start.is_empty()).chain(blocks);
        SegmentedBytes { segments: segments.collect(), remaining: std::mem::take(&mut self.length) }
    }
}

/// Complete bytes, read from their start as a [`Buf`]. Clones share the memory.
#[derive(Debug, Clone, Default)]
pub struct SegmentedBytes {
    /// The bytes that remain. No segment is empty.
    segments: VecDeque<Bytes>,
    remaining: usize,
}

impl SegmentedBytes {
    /// Number of bytes that remain.
    pub fn len(&self) -> usize {
        self.remaining
    }

    /// Whether no bytes remain.
    pub fn is_empty(&self) -> bool {
        self.remaining == 0
    }

    /// Takes the first piece of the bytes that remain, without copying it.
    pub fn take_segment(&mut self) -> Option<Bytes> {
        let segment = self.segments.pop_front()?;
        self.remaining -= segment.len();
        Some(segment)
    }

    /// The bytes that remain, in one piece. Short ones are not copied.
    pub fn to_bytes(&self) -> Bytes {
        self.clone().copy_to_bytes(self.remaining)
    }
}

impl From<Bytes> for SegmentedBytes {
    fn from(bytes: Bytes) -> Self {
        let remaining = bytes.len();
        Self { segments: Some(bytes).filter(|bytes| !bytes.is_empty()).into_iter().collect(), remaining }
    }
}

impl PartialEq for SegmentedBytes {
    fn eq(&self, other: &Self) -> bool {
        self.remaining == other.remaining
            && self.segments.iter().flatten().eq(other.segments.iter().flatten())
    }
}

impl PartialEq<[u8]> for SegmentedBytes {
    fn eq(&self, other: &[u8]) -> bool {
        self.segments.iter().flatten().eq(other)
    }
}

impl Buf for SegmentedBytes {
    fn remaining(&self) -> usize {
        self.remaining
    }

    fn chunk(&self) -> &[u8] {
        self.segments.front().map_or(&[], |segment| segment)
    }

    fn chunks_vectored<'a>(&'a self, slices: &mut [IoSlice<'a>]) -> usize {
        let segments = slices.iter_mut().zip(&self.segments);
        segments.map(|(slice, segment)| *slice = IoSlice::new(segment)).count()
    }

    fn advance(&mut self, mut count: usize) {
        assert!(count <= self.remaining, "cannot advance past the end");
        self.remaining -= count;
        while let Some(segment) = self.segments.front_mut() {
            if count < segment.len() {
                segment.advance(count);
                return;
            }
            count -= segment.len();
            self.segments.pop_front();
        }
    }

    fn copy_to_bytes(&mut self, count: usize) -> Bytes {
        match self.segments.front_mut() {
            Some(segment) if count == self.remaining && segment.len() == count => {
                self.remaining = 0;
                self.segments.pop_front().unwrap_or_default()
            }
            _ => {
                let mut copy = vec![0; count];
                self.copy_to_slice(&mut copy);
                copy.into()
            }
        }
    }
}
