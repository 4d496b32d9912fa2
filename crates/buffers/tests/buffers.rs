//! Memory is granted before it is allocated, and returns to the budget when it is freed.

use bytes::{Buf, Bytes};
use proptest::prelude::*;
use weirusher_buffers::{
    BLOCK_BYTES, BudgetExhausted, ByteBudget, Growth, ReadBuffer, SegmentedBuffer, SegmentedBytes,
    UNBUDGETED_BYTES,
};

const GROWTH: Growth = Growth { initial: 8, max: 20 };

fn received(budget: &ByteBudget, bytes: &[u8]) -> Result<SegmentedBytes, BudgetExhausted> {
    let mut buffer = SegmentedBuffer::new(budget.clone());
    buffer.append(bytes)?;
    Ok(buffer.take())
}

#[test]
fn permits_share_a_budget_and_return_their_bytes() {
    let budget = ByteBudget::new(10);
    let one = budget.grant(4).unwrap();
    let other = budget.grant(6).unwrap();
    assert_eq!(budget.grant(1).unwrap_err(), BudgetExhausted);
    drop(other);
    assert!(budget.grant(usize::MAX).is_err());
    assert!(budget.grant(6).is_ok());
    drop(one);
    let usage = budget.usage();
    assert_eq!((usage.capacity, usage.used, usage.peak, usage.refused), (10, 0, 10, 2));
}

/// Guards against a budget that counts less than what is allocated: memory is held until the last clone is dropped.
#[test]
fn bytes_hold_their_grant_until_the_last_clone_is_dropped() {
    let budget = ByteBudget::new(2 * BLOCK_BYTES);
    let bytes = vec![7; UNBUDGETED_BYTES + BLOCK_BYTES + 1];
    let first = received(&budget, &bytes).unwrap();
    assert_eq!(budget.usage().used, 2 * BLOCK_BYTES, "a part of a block counts as a block");
    assert!(received(&budget, &bytes).is_err(), "the budget is exhausted");
    let mut clone = first.clone();
    drop(first);
    clone.advance(UNBUDGETED_BYTES + BLOCK_BYTES);
    assert_eq!(budget.usage().used, BLOCK_BYTES, "what was written is freed");
    drop(clone);
    assert_eq!(budget.usage().used, 0);
}

#[test]
fn short_messages_need_no_grant() {
    let budget = ByteBudget::new(0);
    assert_eq!(received(&budget, &[7; UNBUDGETED_BYTES]).unwrap().len(), UNBUDGETED_BYTES);
    assert!(received(&budget, &[7; UNBUDGETED_BYTES + 1]).is_err());
    assert!(received(&budget, b"").unwrap().is_empty());
}

#[test]
fn a_read_buffer_grows_by_grants_only() {
    let budget = ByteBudget::new(30);
    let mut buffer = ReadBuffer::new(GROWTH, budget.clone());
    let fill = |buffer: &mut ReadBuffer| {
        let space = buffer.space();
        space.fill(b'x');
        let count = space.len();
        buffer.add(count);
    };
    fill(&mut buffer);
    assert!(buffer.is_full() && budget.usage().used == 0);
    buffer.grow().unwrap();
    assert_eq!((budget.usage().used, buffer.len()), (16, 8));
    fill(&mut buffer);
    assert!(
        buffer.grow().is_err(),
        "the old and the new memory exist at the same time: 16 and 20 of 30 bytes"
    );
    buffer.advance(9);
    assert_eq!(buffer.space().len(), 9, "the bytes are moved to the front");
    buffer.shrink();
    assert_eq!((budget.usage().used, buffer.chunk()), (0, &b"xxxxxxx"[..]));
    buffer.grow().unwrap();
    buffer.reset();
    assert!(buffer.is_empty() && budget.usage().used == 0);
}

#[test]
fn a_read_buffer_has_a_largest_size() {
    let mut buffer = ReadBuffer::new(GROWTH, ByteBudget::new(1000));
    while buffer.grow().is_ok() {}
    assert_eq!(buffer.space().len(), GROWTH.max);
}

proptest! {
    #[test]
    fn the_bytes_that_were_appended_are_read(parts in proptest::collection::vec(
            proptest::collection::vec(any::<u8>(), 0..9000), 0..6), skip in 0..40_000usize) {
        let budget = ByteBudget::new(64 * BLOCK_BYTES);
        let mut buffer = SegmentedBuffer::new(budget.clone());
        for part in &parts {
            buffer.append(part).unwrap();
        }
        let whole = parts.concat();
        let mut body = buffer.take();
        prop_assert_eq!(body.len(), whole.len());
        let (mut pieces, mut joined) = (body.clone(), Vec::new());
        while let Some(piece) = pieces.take_segment() {
            joined.extend_from_slice(&piece);
        }
        prop_assert_eq!((&joined[..], pieces.len()), (&whole[..], 0));
        prop_assert!(body == whole[..]);
        prop_assert!(body == SegmentedBytes::from(Bytes::from(whole.clone())));
        let mut slices = [std::io::IoSlice::new(&[]); 16];
        let count = body.chunks_vectored(&mut slices);
        let written: Vec<u8> = slices[..count].iter().flat_map(|slice| slice.to_vec()).collect();
        prop_assert_eq!(&written[..], &whole[..]);
        let skip = skip.min(whole.len());
        body.advance(skip);
        let rest = body.remaining();
        prop_assert_eq!(&body.copy_to_bytes(rest)[..], &whole[skip..]);
        prop_assert_eq!((body.is_empty(), budget.usage().used), (true, 0));
    }
}
