//! Growth, upper bound and jitter of the delays.

use super::*;

#[test]
fn delays_grow_to_a_bound_and_differ_between_instances() {
    let (mut a, mut b) = (Backoff::new(1), Backoff::new(2));
    let (first, other) = (a.next_delay(), b.next_delay());
    assert!(first != other && first <= INITIAL_DELAY_SECONDS);
    let last = (0..40).map(|_| a.next_delay()).last().unwrap();
    assert!((MAX_DELAY_SECONDS / 2.0..=MAX_DELAY_SECONDS).contains(&last));
    a.reset();
    assert!(a.next_delay() <= INITIAL_DELAY_SECONDS);
}
