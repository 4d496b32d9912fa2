//! Calls in their order, given up in time; lines that are chosen and opened.

use super::*;

#[test]
fn an_answer_after_the_limit_does_not_shift_later_ones() {
    let mut calls = Pipeline::new(0.05);
    calls.send(0.0, "slow").unwrap();
    calls.send(0.04, "quick").unwrap();
    assert_eq!(calls.give_up(0.06).into_iter().map(|(c, _)| c).collect::<Vec<_>>(), ["slow"]);
    assert_eq!(calls.answered(0.07).unwrap(), None);
    assert_eq!(calls.answered(0.07).unwrap().unwrap().0, "quick");
    assert_eq!(calls.answered(0.08), Err(Unasked));
}

#[test]
fn an_answer_that_has_begun_gets_one_limit_more_and_counts_from_its_first_byte() {
    let mut calls = Pipeline::new(0.05);
    calls.send(0.0, "in pieces").unwrap();
    calls.send(0.01, "behind it").unwrap();
    calls.begun(0.02);
    calls.begun(0.07);
    assert_eq!((calls.deadline(), calls.give_up(0.09).len()), (Some(0.1), 0));
    let (call, spent) = calls.answered(0.09).unwrap().unwrap();
    assert!(call == "in pieces" && (spent - 0.02).abs() < 1e-9, "{spent}");
    // The next one has not begun: its own limit is over.
    assert_eq!(calls.give_up(0.09).len(), 1);
    // One that never ends is given up, with those behind it.
    let mut calls = Pipeline::new(0.05);
    calls.send(0.0, "endless").unwrap();
    calls.send(0.0, "behind it").unwrap();
    calls.begun(0.04);
    assert_eq!(calls.give_up(0.099).len(), 0);
    assert_eq!(calls.give_up(0.1).len(), 2);
}

#[test]
fn a_connection_that_answers_nothing_is_dead_though_all_its_calls_are_given_up() {
    let mut calls = Pipeline::new(0.05);
    calls.send(0.0, 1).unwrap();
    assert_eq!(calls.give_up(0.1).len(), 1);
    assert!(!calls.dead(0.1));
    assert!(calls.dead(calls.deadline().unwrap()));
    assert!(calls.broken(1.0).is_empty());
}

#[test]
fn a_call_turned_away_at_once_does_not_overtake_one_that_is_out() {
    let mut order = CallOrder::default();
    let (first, other, second) = (order.begin(7), order.begin(8), order.begin(7));
    let (full, ok) = ((Status::Rejected, 0.0, 0.0), (Status::Ok, 3.0, 0.01));
    assert_eq!(order.end(second, full), Some((7, vec![])));
    assert_eq!(order.end(other, ok), Some((8, vec![ok])));
    assert_eq!(order.end(first, ok), Some((7, vec![ok, full])));
    assert_eq!(order.end(first, ok), None);
    assert!(order.names.is_empty() && order.queues.is_empty());
}

#[test]
fn calls_that_wait_are_bounded() {
    let mut calls = Pipeline::new(0.05);
    (0..MOST_PENDING).for_each(|n| calls.send(0.0, n).unwrap());
    assert_eq!(calls.send(0.0, 7), Err(7));
}

#[test]
fn an_answer_that_never_ends_holds_up_its_own_line_only() {
    let mut lines = Lines::new(0.05, 1);
    assert_eq!(lines.send(0.0, 1, 11), Route::Open(0));
    // The same name stays in order; another goes its own way.
    assert_eq!(lines.send(0.0, 2, 11), Route::On(0));
    assert_eq!(lines.send(0.0, 3, 12), Route::Open(1));
    assert_eq!(lines.answered(0.01, 1), Ok(Some((3, 0.01))));
    assert_eq!(lines.give_up(0.06, 0).len(), 2);
    for call in 4..20 {
        assert_eq!(lines.send(0.06, call, call), Route::On(1), "never behind a late one");
        assert!(lines.answered(0.061, 1).unwrap().is_some());
    }
    assert!(lines.dead(0.5, 0) && lines.closed(0.5, 0).is_empty());
    assert!(lines.names.is_empty());
}

#[test]
fn a_counter_that_cannot_be_reached_is_tried_at_growing_pauses() {
    let mut lines = Lines::new(0.05, 1);
    assert_eq!(lines.send(0.0, 1, 1), Route::Open(0));
    assert_eq!(lines.closed(0.0, 0), [(1, 0.0)]);
    assert_eq!(lines.send(0.0, 2, 2), Route::Nowhere);
    assert_eq!(lines.send(PAUSE.0, 2, 2), Route::Open(0));
    // One that answered before it closed is opened again at once.
    assert!(lines.answered(PAUSE.0, 0).is_ok());
    assert!(lines.closed(PAUSE.0, 0).is_empty());
    assert_eq!(lines.send(PAUSE.0, 3, 3), Route::Open(0));
}

#[test]
fn pauses_grow_to_a_bound_and_differ_between_instances() {
    let (mut a, mut b) = (Backoff::new(1), Backoff::new(2));
    let (first, other) = (a.pause(), b.pause());
    assert!(first != other && first <= PAUSE.0);
    let last = (0..40).map(|_| a.pause()).last().unwrap();
    assert!((PAUSE.1 / 2.0..=PAUSE.1).contains(&last));
    a.reset();
    assert!(a.pause() <= PAUSE.0);
}
