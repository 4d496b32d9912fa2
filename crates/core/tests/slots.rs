//! The slots for client connections: which connection is evicted, and when.

use weirusher_core::{ConnectionSlots, REQUEST_READ_TIMEOUT, Shutdown};

#[test]
fn the_longest_unused_is_evicted_and_an_open_request_never() {
    let mut slots = ConnectionSlots::new(4);
    for (at, id) in [(9.0, 1), (9.1, 2), (9.2, 3), (9.3, 4)] {
        slots.insert(at, id);
    }
    slots.set_active(9.3, 1);
    slots.set_idle(9.3, 2);
    assert!(!slots.has_free());
    assert_eq!(slots.evict(9.44), [0u64; 0], "its request may be on its way");
    assert_eq!(slots.next_eviction(), Some(9.45));
    assert_eq!(slots.evict(9.45), [3], "before an idle one");
    slots.remove(3);
    assert!(slots.has_free());
    slots.insert(9.5, 5);
    assert_eq!(slots.evict(9.8), [4]);
    assert_eq!(slots.evict(9.8), [5], "none is returned twice");
    assert_eq!(slots.evict(9.8), [2], "then one that has been idle for as long");
    assert_eq!(slots.evict(1e6), [0u64; 0], "the active one stays");
}

#[test]
fn a_shutdown_closes_the_idle_at_once_the_new_after_a_moment_and_half_requests_before_the_last_response() {
    let mut slots = ConnectionSlots::new(8);
    (1..=5).for_each(|id| slots.insert(1.0, id));
    slots.set_idle(1.5, 2);
    slots.set_active(1.5, 3);
    slots.set_reading(1.9, 4);
    slots.set_reading(1.9, 5);
    slots.set_active(1.95, 5);
    // The longest deadline is 1 s: the kill may come at 3.7, and the last response is on its way by 3.4.
    let shutdown = Shutdown::new(2.0, 1.0);
    assert!((shutdown.respond_by() - 3.4).abs() < 1e-9);
    slots.begin_shutdown(shutdown);
    assert_eq!(slots.next_eviction(), Some(1.5));
    assert_eq!(slots.evict(2.0), [2], "idle");
    assert_eq!(slots.evict(2.0), [0u64; 0], "none is returned twice");
    assert_eq!(slots.evict(2.249), [0u64; 0], "its request may be on its way");
    assert_eq!(slots.evict(2.25), [1], "new at the signal");
    // One that is accepted later gets the grace too, and one that is idle again gets none.
    slots.insert(2.4, 6);
    slots.set_idle(2.5, 5);
    assert_eq!(slots.evict(2.5), [5]);
    assert_eq!(slots.evict(2.65), [6]);
    assert_eq!(slots.evict(3.399), [0u64; 0], "the rest of its request may come");
    assert_eq!(slots.evict(3.4), [4], "half a request, sooner than without a shutdown");
    assert_eq!(slots.evict(1e6), [0u64; 0], "an open request is never evicted");
}

#[test]
fn a_shutdown_with_all_slots_taken_evicts_silent_connections_after_a_short_grace() {
    let mut slots = ConnectionSlots::new(8);
    (0..8).for_each(|id| slots.insert(1.0, id));
    slots.begin_shutdown(Shutdown::new(2.0, 1.0));
    assert_eq!(slots.next_eviction(), Some(2.02));
    assert_eq!(slots.evict(2.02).len(), 8);
}

#[test]
fn a_silent_connection_times_out_though_slots_are_free() {
    let mut slots = ConnectionSlots::new(4);
    slots.insert(1.0, 1);
    assert_eq!(slots.next_eviction(), Some(1.0 + REQUEST_READ_TIMEOUT));
    assert_eq!(slots.evict(1.0 + REQUEST_READ_TIMEOUT), [1]);
    slots.remove(1);
    assert_eq!((slots.len(), slots.next_eviction()), (0, None));
}

#[test]
fn among_many_silent_connections_several_are_evicted_at_once() {
    let mut slots = ConnectionSlots::new(80);
    (0..80).for_each(|id| slots.insert(100.0, id));
    assert_eq!(slots.evict(101.0).len(), 10);
}

#[test]
fn when_idle_connections_fill_all_slots_the_longest_idle_are_evicted_after_the_grace() {
    let mut slots = ConnectionSlots::new(16);
    for id in 0..16 {
        slots.insert(100.0, id);
        slots.set_idle(100.0 + id as f64 / 100.0, id);
    }
    assert_eq!(slots.next_eviction(), Some(100.25));
    assert_eq!(slots.evict(100.24), [0u64; 0], "its next request may be on its way");
    assert_eq!(slots.evict(100.4), [0, 1], "an eighth, the longest idle first");
    // With a free slot none is evicted early.
    slots.remove(0);
    assert_eq!(slots.evict(101.0), [0u64; 0]);
    // A new connection keeps its grace, and does not delay the eviction of an idle one that has had its own.
    slots.insert(101.0, 20);
    assert_eq!(slots.evict(101.0), [2, 3]);
    slots.remove(1);
    slots.insert(101.0, 21);
    assert_eq!(slots.evict(101.25), [20, 21], "silent ones first");
}

/// Connections arrive faster than unused ones time out: half are silent, half send one request and stay open. None waits
/// longer than the grace for a slot, and no open request is evicted.
#[test]
fn connections_that_fill_all_slots_keep_no_client_waiting() {
    let (mut slots, mut waits, mut next) = (ConnectionSlots::new(300), 0.0_f64, 0);
    slots.insert(0.0, u64::MAX);
    slots.set_active(0.0, u64::MAX);
    let mut waiting = std::collections::VecDeque::new();
    for tick in 0..20_000 {
        let now = f64::from(tick) / 1000.0;
        if tick % 2 == 0 {
            waiting.push_back(now);
        }
        for id in slots.evict(now) {
            assert_ne!(id, u64::MAX);
            slots.remove(id);
        }
        while slots.has_free() {
            let Some(since) = waiting.pop_front() else { break };
            waits = waits.max(now - since);
            next += 1;
            slots.insert(now, next);
            if next % 2 == 0 {
                slots.set_active(now, next);
                slots.set_idle(now, next);
            }
        }
    }
    assert!(waits <= 0.25 && next > 9_000, "{waits} s, {next} of them");
}
