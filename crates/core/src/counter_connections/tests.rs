//! Selection and opening of connections, and the backoff before a new one.

use super::*;
use crate::backoff::INITIAL_DELAY_SECONDS;

/// A time by which the backoff's first delay, which starts at 0, is certainly over.
const AFTER_FIRST_DELAY: Time = INITIAL_DELAY_SECONDS;

#[test]
fn an_incomplete_response_delays_only_its_own_connection() {
    let mut connections = CounterConnections::new(0.05, 1);
    assert_eq!(connections.send(0.0, 1, 11), Route::New(0));
    // Calls to the same counter stay in order on one connection; calls to another counter use another one.
    assert_eq!(connections.send(0.0, 2, 11), Route::Existing(0));
    assert_eq!(connections.send(0.0, 3, 12), Route::New(1));
    assert_eq!(connections.response_completed(0.01, 1), Ok(Some(EndedCall { call: 3, elapsed: 0.01 })));
    assert_eq!(connections.take_timed_out(0.06, 0).len(), 2);
    for call in 4..20 {
        assert_eq!(
            connections.send(0.06, call, call),
            Route::Existing(1),
            "not queued behind a call that timed out"
        );
        assert!(connections.response_completed(0.061, 1).unwrap().is_some());
    }
    assert!(connections.is_unresponsive(0.5, 0) && connections.closed(0.5, 0).is_empty());
    assert!(connections.routes.is_empty());
}

#[test]
fn an_unreachable_counter_is_retried_after_a_backoff() {
    let mut connections = CounterConnections::new(0.05, 1);
    assert_eq!(connections.send(0.0, 1, 1), Route::New(0));
    assert_eq!(connections.closed(0.0, 0), [EndedCall { call: 1, elapsed: 0.0 }]);
    assert_eq!(connections.send(0.0, 2, 2), Route::Unavailable);
    assert_eq!(connections.send(AFTER_FIRST_DELAY, 2, 2), Route::New(0));
    // A connection that answered before it closed is reopened without a delay.
    assert!(connections.response_completed(AFTER_FIRST_DELAY, 0).is_ok());
    assert!(connections.closed(AFTER_FIRST_DELAY, 0).is_empty());
    assert_eq!(connections.send(AFTER_FIRST_DELAY, 3, 3), Route::New(0));
}
