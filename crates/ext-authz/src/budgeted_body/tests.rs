//! Messages are passed on complete, however the frames split them.

use super::*;
use weirusher_buffers::BLOCK_BYTES;

const MAX_BYTES: usize = 4 * BLOCK_BYTES;

/// A message of `length` bytes with its prefix.
fn message(length: usize) -> Vec<u8> {
    let prefix = [&[0][..], &(length as u32).to_be_bytes()].concat();
    [prefix, vec![b'm'; length]].concat()
}

fn collector(budget: usize) -> (MessageCollector, ByteBudget) {
    let budget = ByteBudget::new(budget);
    (MessageCollector::new(MAX_BYTES, budget.clone()), budget)
}

/// All pieces that can be passed on.
fn pieces(messages: &mut MessageCollector) -> Vec<u8> {
    std::iter::from_fn(|| messages.next_piece()).collect::<Vec<_>>().concat()
}

#[test]
fn an_incomplete_message_is_kept_within_the_budget() {
    let (mut messages, budget) = collector(2 * BLOCK_BYTES);
    let bytes = message(MAX_BYTES / 2);
    messages.receive(&bytes[..BLOCK_BYTES]).unwrap();
    assert_eq!((pieces(&mut messages).len(), budget.usage().used), (0, BLOCK_BYTES));
    let mut other = MessageCollector::new(MAX_BYTES, budget.clone());
    assert!(other.receive(&bytes).is_err(), "one block is left");
    drop(other);
    messages.receive(&bytes[BLOCK_BYTES..]).unwrap();
    assert_eq!(pieces(&mut messages), bytes);
    assert_eq!(budget.usage().used, 0);
}

#[test]
fn the_split_of_the_frames_does_not_matter() {
    let bytes = [message(7), message(0), message(3000), message(1)].concat();
    for piece in [1, 2, 5, 6, 64, 5000] {
        let (mut messages, budget) = collector(BLOCK_BYTES);
        let mut received = Vec::new();
        for frame in bytes.chunks(piece) {
            messages.receive(frame).unwrap();
            received.extend(pieces(&mut messages));
        }
        assert_eq!((&received, budget.usage().used), (&bytes, 0), "{piece}");
    }
}

#[test]
fn a_message_that_is_too_long_is_passed_on_at_its_prefix() {
    let (mut messages, _) = collector(0);
    messages.receive(&message(MAX_BYTES + 1)[..PREFIX_BYTES + 1]).unwrap();
    assert_eq!(pieces(&mut messages)[..PREFIX_BYTES], message(MAX_BYTES + 1)[..PREFIX_BYTES]);
}
