//! The connection pool: which idle connection is used next, which is evicted, and which may not be reused
//! yet.

use weirusher_core::{ConnectionPool, Reservation};

#[test]
fn take_prefers_recent_and_evict_removes_timed_out_connections() {
    let mut pool = ConnectionPool::new(8, 10.0);
    for connection in 1..=3 {
        assert_eq!(pool.reserve(), Reservation::Granted);
        assert_eq!(pool.put(f64::from(connection), "a", connection), None);
    }
    assert_eq!(pool.take(4.0, &"a"), Some(3));
    assert_eq!(pool.next_eviction(), Some(11.0));
    assert_eq!(pool.evict(11.5, |_| true), [1]);
    assert_eq!((pool.take(12.5, &"a"), pool.open()), (None, 1), "the second connection has timed out");
}

#[test]
fn a_full_pool_evicts_the_longest_idle_for_a_new_connection() {
    let mut pool = ConnectionPool::new(2, 10.0);
    assert_eq!((pool.reserve(), pool.reserve()), (Reservation::Granted, Reservation::Granted));
    assert_eq!(pool.reserve(), Reservation::Exhausted);
    assert!(pool.put(1.0, "b", 2).is_none() && pool.put(0.5, "a", 1).is_none());
    assert_eq!(pool.reserve(), Reservation::Evicted(1));
    assert_eq!(pool.open(), 2);
    pool.release();
    assert_eq!((pool.reserve(), pool.open()), (Reservation::Granted, 2));
}

#[test]
fn connections_of_a_removed_endpoint_are_evicted() {
    let mut pool = ConnectionPool::new(8, 10.0);
    for endpoint in ["a", "b"] {
        pool.reserve();
        pool.put(0.0, endpoint, endpoint);
    }
    assert_eq!(pool.evict(0.0, |endpoint| *endpoint == "b"), ["a"]);
    assert_eq!((pool.open(), pool.take(0.1, &"a"), pool.take(0.1, &"b")), (1, None, Some("b")));
}

#[test]
fn idle_connections_for_one_endpoint_are_bounded() {
    let mut pool = ConnectionPool::new(1000, 10.0);
    (0..32).for_each(|n| assert_eq!((pool.reserve(), pool.put(0.0, "a", n)), (Reservation::Granted, None)));
    pool.reserve();
    assert_eq!((pool.put(0.0, "a", 999), pool.open()), (Some(0), 32));
}

#[test]
fn a_connection_is_not_reused_immediately_after_a_response() {
    let mut pool = ConnectionPool::new(8, 10.0);
    for (at, connection) in [(1.0, 1), (1.5, 2)] {
        assert_eq!((pool.reserve(), pool.put(at, "a", connection)), (Reservation::Granted, None));
    }
    assert_eq!(pool.take(1.505, &"a"), Some(1), "the most recently used connection that may be reused");
    assert_eq!(pool.take(1.505, &"a"), None, "the other may not be reused yet");
    assert_eq!((pool.take(1.515, &"a"), pool.open()), (Some(2), 2));
}
