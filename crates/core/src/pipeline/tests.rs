//! Responses matched by order, and calls that time out.

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

#[test]
fn a_response_that_has_started_gets_one_timeout_more_and_counts_from_its_first_byte() {
    let mut pipeline = Pipeline::new(0.05);
    pipeline.send(0.0, "in pieces").unwrap();
    pipeline.send(0.01, "behind it").unwrap();
    pipeline.response_started(0.02);
    pipeline.response_started(0.07);
    assert_eq!((pipeline.deadline(), pipeline.take_timed_out(0.09).len()), (Some(0.1), 0));
    let EndedCall { call, elapsed } = pipeline.response_completed(0.09).unwrap().unwrap();
    assert!(call == "in pieces" && (elapsed - 0.02).abs() < 1e-9, "{elapsed}");
    // The next response has not started: its call's own timeout is over.
    assert_eq!(pipeline.take_timed_out(0.09).len(), 1);
    // A response that never ends lets its call time out, with those behind it.
    let mut pipeline = Pipeline::new(0.05);
    pipeline.send(0.0, "endless").unwrap();
    pipeline.send(0.0, "behind it").unwrap();
    pipeline.response_started(0.04);
    assert_eq!(pipeline.take_timed_out(0.099).len(), 0);
    assert_eq!(pipeline.take_timed_out(0.1).len(), 2);
}

#[test]
fn a_connection_that_answers_nothing_is_unresponsive_though_all_its_calls_timed_out() {
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
