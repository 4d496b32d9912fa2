//! Matching of responses to calls by order, and timeouts of calls.

use super::*;

#[test]
fn a_response_after_the_timeout_does_not_shift_later_ones() {
    let mut pipeline = Pipeline::new(0.05);
    pipeline.send(0.0, "slow").unwrap();
    pipeline.send(0.04, "quick").unwrap();
    assert_eq!(pipeline.take_timed_out(0.06).into_iter().map(|c| c.call).collect::<Vec<_>>(), ["slow"]);
    assert_eq!(pipeline.response_completed(0.07).unwrap(), None);
    assert_eq!(pipeline.response_completed(0.07).unwrap().unwrap().call, "quick");
    assert_eq!(pipeline.response_completed(0.08), Err(UnexpectedResponse));
}

/// The extension is one call timeout, and the elapsed time ends at the response's first byte.
#[test]
fn a_started_response_extends_the_timeout_of_its_call() {
    let mut pipeline = Pipeline::new(0.05);
    pipeline.send(0.0, "in pieces").unwrap();
    pipeline.send(0.01, "behind it").unwrap();
    pipeline.response_started(0.02);
    pipeline.response_started(0.07);
    assert_eq!((pipeline.deadline(), pipeline.take_timed_out(0.09).len()), (Some(0.1), 0));
    let EndedCall { call, elapsed } = pipeline.response_completed(0.09).unwrap().unwrap();
    assert!(call == "in pieces" && (elapsed - 0.02).abs() < 1e-9, "{elapsed}");
    // The next response has not started: its call has timed out.
    assert_eq!(pipeline.take_timed_out(0.09).len(), 1);
    // If a response never completes, its call and those behind it time out.
    let mut pipeline = Pipeline::new(0.05);
    pipeline.send(0.0, "endless").unwrap();
    pipeline.send(0.0, "behind it").unwrap();
    pipeline.response_started(0.04);
    assert_eq!(pipeline.take_timed_out(0.099).len(), 0);
    assert_eq!(pipeline.take_timed_out(0.1).len(), 2);
}

#[test]
fn a_connection_with_only_timed_out_calls_becomes_unresponsive() {
    let mut pipeline = Pipeline::new(0.05);
    pipeline.send(0.0, 1).unwrap();
    assert_eq!(pipeline.take_timed_out(0.1).len(), 1);
    assert!(!pipeline.is_unresponsive(0.1));
    assert!(pipeline.is_unresponsive(pipeline.deadline().unwrap()));
    assert!(pipeline.close(1.0).is_empty());
}

#[test]
fn pending_calls_are_bounded() {
    let mut pipeline = Pipeline::new(0.05);
    (0..MAX_PENDING).for_each(|n| pipeline.send(0.0, n).unwrap());
    assert_eq!(pipeline.send(0.0, 7), Err(7));
}
