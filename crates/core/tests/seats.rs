//! Clients' connections in a bounded number: which gives way, and when.

use weirusher_core::{FIRST_REQUEST, Seats};

#[test]
fn the_longest_useless_gives_way_and_an_open_request_never() {
    let mut seats = Seats::new(4);
    for (at, id) in [(9.0, 1), (9.1, 2), (9.2, 3), (9.3, 4)] {
        seats.sit(at, id);
    }
    seats.busy(9.3, 1);
    seats.idle(9.3, 2);
    assert!(!seats.free());
    assert_eq!(seats.overdue(9.44), [0u64; 0], "its request may be on its way");
    assert_eq!(seats.next_overdue(), Some(9.45));
    assert_eq!(seats.overdue(9.45), [3], "before an idle one");
    seats.leave(3);
    assert!(seats.free());
    seats.sit(9.5, 5);
    assert_eq!(seats.overdue(9.8), [4]);
    assert_eq!(seats.overdue(9.8), [5], "none is named twice");
    assert_eq!(seats.overdue(9.8), [2], "then one that is idle for as long");
    assert_eq!(seats.overdue(1e6), [0u64; 0], "the busy one stays");
}

#[test]
fn at_the_end_the_idle_go_and_the_new_keep_their_time() {
    let mut seats = Seats::new(4);
    (1..=3).for_each(|id| seats.sit(1.0, id));
    seats.idle(1.5, 2);
    seats.busy(1.5, 3);
    assert_eq!(seats.unused(), [2]);
    assert_eq!(seats.unused(), [0u64; 0], "none is named twice");
    assert_eq!(seats.overdue(1.0 + FIRST_REQUEST), [1]);
}

#[test]
fn one_that_says_nothing_is_let_go_though_seats_are_free() {
    let mut seats = Seats::new(4);
    seats.sit(1.0, 1);
    assert_eq!(seats.next_overdue(), Some(1.0 + FIRST_REQUEST));
    assert_eq!(seats.overdue(1.0 + FIRST_REQUEST), [1]);
    seats.leave(1);
    assert_eq!((seats.len(), seats.next_overdue()), (0, None));
}

#[test]
fn where_hundreds_say_nothing_several_give_way_at_once() {
    let mut seats = Seats::new(80);
    (0..80).for_each(|id| seats.sit(100.0, id));
    assert_eq!(seats.overdue(101.0).len(), 10);
}

#[test]
fn where_idle_ones_fill_all_seats_the_longest_idle_gives_way_before_a_new_one_waits_long() {
    let mut seats = Seats::new(16);
    for id in 0..16 {
        seats.sit(100.0, id);
        seats.idle(100.0 + id as f64 / 100.0, id);
    }
    assert_eq!(seats.next_overdue(), Some(100.25));
    assert_eq!(seats.overdue(100.24), [0u64; 0], "its next request may be on its way");
    assert_eq!(seats.overdue(100.4), [0, 1], "an eighth, the longest idle first");
    // Where a seat is free nobody is in the way.
    seats.leave(0);
    assert_eq!(seats.overdue(101.0), [0u64; 0]);
    // One that says nothing keeps its time, and no idle one that has had its own waits for that.
    seats.sit(101.0, 20);
    assert_eq!(seats.overdue(101.0), [2, 3]);
    seats.leave(1);
    seats.sit(101.0, 21);
    assert_eq!(seats.overdue(101.25), [20, 21], "first those that say nothing");
}

/// Connections come faster than those that are of no use go by themselves: half of them say nothing, half ask once and
/// stay. None waits past a moment for a seat, and no open request gives way.
#[test]
fn a_crowd_that_fills_all_seats_keeps_nobody_waiting() {
    let (mut seats, mut waits, mut next) = (Seats::new(300), 0.0_f64, 0);
    seats.sit(0.0, u64::MAX);
    seats.busy(0.0, u64::MAX);
    let mut waiting = std::collections::VecDeque::new();
    for tick in 0..20_000 {
        let now = f64::from(tick) / 1000.0;
        if tick % 2 == 0 {
            waiting.push_back(now);
        }
        for id in seats.overdue(now) {
            assert_ne!(id, u64::MAX);
            seats.leave(id);
        }
        while seats.free() {
            let Some(since) = waiting.pop_front() else { break };
            waits = waits.max(now - since);
            next += 1;
            seats.sit(now, next);
            if next % 2 == 0 {
                seats.busy(now, next);
                seats.idle(now, next);
            }
        }
    }
    assert!(waits <= 0.25 && next > 9_000, "{waits} s, {next} of them");
}
