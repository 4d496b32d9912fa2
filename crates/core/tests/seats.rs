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
    assert_eq!(seats.overdue(11.31), [2], "idle for two seconds");
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
    // One that says nothing gives way before an idle one that is young.
    seats.sit(101.0, 20);
    assert_eq!((seats.overdue(101.2), seats.next_overdue()), (vec![], Some(101.25)));
    assert_eq!(seats.overdue(101.25), [20]);
}
