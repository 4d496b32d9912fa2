//! Slots for client connections: which connection is evicted, and when.

use weirusher_core::{ConnectionSlots, REQUEST_READ_TIMEOUT, Shutdown};

/// A connection with an open request is never evicted.
#[test]
fn the_longest_unused_connection_is_evicted_first() {
    let mut slots = ConnectionSlots::new(4);
    for (at, id) in [(9.0, 1), (9.1, 2), (9.2, 3), (9.3, 4)] {
        slots.insert(at, id);
    }
    slots.set_active(9.3, 1);
    slots.set_idle(9.3, 2);
    assert!(!slots.has_free());
    assert_eq!(slots.take_evicted(9.44), [0u64; 0], "its request may be in transit");
    assert_eq!(slots.next_eviction(), Some(9.45));
    assert_eq!(slots.take_evicted(9.45), [3], "a silent connection is evicted before an idle one");
    slots.remove(3);
    assert!(slots.has_free());
    slots.insert(9.5, 5);
    assert_eq!(slots.take_evicted(9.8), [4]);
    assert_eq!(slots.take_evicted(9.8), [5], "none is returned twice");
    assert_eq!(slots.take_evicted(9.8), [2], "then the idle one");
    assert_eq!(slots.take_evicted(1e6), [0u64; 0], "the active connection is kept");
}

/// Idle connections are evicted at once, new ones after a grace period, and those with a partial request
/// before the time for the last response.
#[test]
fn a_shutdown_evicts_connections_according_to_their_state() {
    let mut slots = ConnectionSlots::new(8);
    (1..=5).for_each(|id| slots.insert(1.0, id));
    slots.set_idle(1.5, 2);
    slots.set_active(1.5, 3);
    slots.set_reading(1.9, 4);
    slots.set_reading(1.9, 5);
    slots.set_active(1.95, 5);
    // The longest deadline is 1 s: the process may be killed at 3.7, and the last response is written by 3.4.
    let shutdown = Shutdown::new(2.0, 1.0);
    assert!((shutdown.respond_by() - 3.4).abs() < 1e-9);
    slots.begin_shutdown(shutdown);
    assert_eq!(slots.next_eviction(), Some(1.5));
    assert_eq!(slots.take_evicted(2.0), [2], "idle");
    assert_eq!(slots.take_evicted(2.0), [0u64; 0], "none is returned twice");
    assert_eq!(slots.take_evicted(2.249), [0u64; 0], "its request may be in transit");
    assert_eq!(slots.take_evicted(2.25), [1], "the connection was new when the shutdown began");
    // A connection that is accepted later gets the grace period too, and one that becomes idle gets none.
    slots.insert(2.4, 6);
    slots.set_idle(2.5, 5);
    assert_eq!(slots.take_evicted(2.5), [5]);
    assert_eq!(slots.take_evicted(2.65), [6]);
    assert_eq!(slots.take_evicted(3.399), [0u64; 0], "the rest of its request may arrive");
    assert_eq!(slots.take_evicted(3.4), [4], "a partial request, evicted sooner than without a shutdown");
    assert_eq!(slots.take_evicted(1e6), [0u64; 0], "an open request is never evicted");
}

#[test]
fn a_shutdown_evicts_silent_connections_early_if_slots_are_full() {
    let mut slots = ConnectionSlots::new(8);
    (0..8).for_each(|id| slots.insert(1.0, id));
    slots.begin_shutdown(Shutdown::new(2.0, 1.0));
    assert_eq!(slots.next_eviction(), Some(2.02));
    assert_eq!(slots.take_evicted(2.02).len(), 8);
}

#[test]
fn a_silent_connection_times_out_even_if_slots_are_free() {
    let mut slots = ConnectionSlots::new(4);
    slots.insert(1.0, 1);
    assert_eq!(slots.next_eviction(), Some(1.0 + REQUEST_READ_TIMEOUT));
    assert_eq!(slots.take_evicted(1.0 + REQUEST_READ_TIMEOUT), [1]);
    slots.remove(1);
    assert_eq!((slots.len(), slots.next_eviction()), (0, None));
}

#[test]
fn several_silent_connections_are_evicted_at_once() {
    let mut slots = ConnectionSlots::new(80);
    (0..80).for_each(|id| slots.insert(100.0, id));
    assert_eq!(slots.take_evicted(101.0).len(), 10);
}

/// They are evicted once their grace period is over.
#[test]
fn the_longest_idle_are_evicted_if_slots_are_full() {
    let mut slots = ConnectionSlots::new(16);
    for id in 0..16 {
        slots.insert(100.0, id);
        slots.set_idle(100.0 + id as f64 / 100.0, id);
    }
    assert_eq!(slots.next_eviction(), Some(100.25));
    assert_eq!(slots.take_evicted(100.24), [0u64; 0], "its next request may be in transit");
    assert_eq!(slots.take_evicted(100.4), [0, 1], "an eighth of the capacity, longest idle first");
    // No connection is evicted early while a slot is free.
    slots.remove(0);
    assert_eq!(slots.take_evicted(101.0), [0u64; 0]);
    // A new connection gets its grace period, and does not delay the eviction of an idle one whose grace
    // period is over.
    slots.insert(101.0, 20);
    assert_eq!(slots.take_evicted(101.0), [2, 3]);
    slots.remove(1);
    slots.insert(101.0, 21);
    assert_eq!(slots.take_evicted(101.25), [20, 21], "silent connections first");
}

/// Connections arrive faster than unused ones time out: half are silent, half send one request and stay open.
/// None waits for a slot longer than the grace period, and no open request is evicted.
#[test]
fn full_slots_do_not_keep_new_clients_waiting() {
    let (mut slots, mut longest_wait, mut next) = (ConnectionSlots::new(300), 0.0_f64, 0);
    slots.insert(0.0, u64::MAX);
    slots.set_active(0.0, u64::MAX);
    let mut waiting = std::collections::VecDeque::new();
    for tick in 0..20_000 {
        let now = f64::from(tick) / 1000.0;
        if tick % 2 == 0 {
            waiting.push_back(now);
        }
        for id in slots.take_evicted(now) {
            assert_ne!(id, u64::MAX);
            slots.remove(id);
        }
        while slots.has_free() {
            let Some(since) = waiting.pop_front() else { break };
            longest_wait = longest_wait.max(now - since);
            next += 1;
            slots.insert(now, next);
            if next % 2 == 0 {
                slots.set_active(now, next);
                slots.set_idle(now, next);
            }
        }
    }
    assert!(longest_wait <= 0.25 && next > 9_000, "longest wait {longest_wait} s, {next} connections");
}
