//! Idle connections: which is used next, which gives way, which is too old or too young.

use weirusher_core::{Pool, Room};

#[test]
fn the_most_recently_used_goes_first_and_the_old_are_dropped() {
    let mut pool = Pool::new(8, 10.0);
    for connection in 1..=3 {
        assert_eq!(pool.opening(), Room::Free);
        assert_eq!(pool.put(f64::from(connection), "a", connection), None);
    }
    assert_eq!(pool.take(4.0, &"a"), Some(3));
    assert_eq!(pool.next_prune(), Some(11.0));
    assert_eq!(pool.prune(11.5, |_| true), [1]);
    assert_eq!((pool.take(12.5, &"a"), pool.open()), (None, 1), "the second is too old by now");
}

#[test]
fn at_the_bound_the_longest_idle_gives_way_to_a_new_one() {
    let mut pool = Pool::new(2, 10.0);
    assert_eq!((pool.opening(), pool.opening()), (Room::Free, Room::Free));
    assert_eq!(pool.opening(), Room::Full);
    assert!(pool.put(1.0, "b", 2).is_none() && pool.put(0.5, "a", 1).is_none());
    assert_eq!(pool.opening(), Room::Instead(1));
    assert_eq!(pool.open(), 2);
    pool.closed();
    assert_eq!((pool.opening(), pool.open()), (Room::Free, 2));
}

#[test]
fn a_place_that_is_left_loses_its_connections() {
    let mut pool = Pool::new(8, 10.0);
    for place in ["a", "b"] {
        pool.opening();
        pool.put(0.0, place, place);
    }
    assert_eq!(pool.prune(0.0, |place| *place == "b"), ["a"]);
    assert_eq!((pool.open(), pool.take(0.1, &"a"), pool.take(0.1, &"b")), (1, None, Some("b")));
}

#[test]
fn a_place_keeps_so_many_and_no_more() {
    let mut pool = Pool::new(1000, 10.0);
    (0..32).for_each(|n| assert_eq!((pool.opening(), pool.put(0.0, "a", n)), (Room::Free, None)));
    pool.opening();
    assert_eq!((pool.put(0.0, "a", 999), pool.open()), (Some(0), 32));
}

#[test]
fn one_that_has_just_answered_rests_as_a_second_answer_may_be_on_its_way() {
    let mut pool = Pool::new(8, 10.0);
    for (at, connection) in [(1.0, 1), (1.5, 2)] {
        assert_eq!((pool.opening(), pool.put(at, "a", connection)), (Room::Free, None));
    }
    assert_eq!(pool.take(1.505, &"a"), Some(1), "the youngest that has rested");
    assert_eq!(pool.take(1.505, &"a"), None, "a new one is to be made");
    assert_eq!((pool.take(1.515, &"a"), pool.open()), (Some(2), 2));
}
