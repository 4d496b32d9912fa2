//! Buffers for bytes that peers send, whose memory is bounded before it is filled.
//!
//! A [`ByteBudget`] limits the total memory of all buffers of one kind. A buffer has a small part of its own, which is
//! bounded by the number of connections. Memory beyond that is allocated only once the budget has granted it, in
//! blocks of one size that are neither moved nor copied as the buffer grows. The grant belongs to the memory: it
//! returns to the budget when the memory is freed.
#![warn(missing_docs)]

mod budget;
mod read_buffer;
mod segmented;

pub use budget::{BudgetExhausted, BudgetUsage, ByteBudget, BytePermit};
pub use read_buffer::{Growth, ReadBuffer};
pub use segmented::{BLOCK_BYTES, SegmentedBuffer, SegmentedBytes, UNBUDGETED_BYTES};
