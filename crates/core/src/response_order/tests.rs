//! Responses are delivered in the order of their calls.

use super::*;

#[test]
fn an_immediate_rejection_does_not_overtake_a_pending_call() {
    let mut order = ResponseOrder::default();
    let (first, other, second) = (order.start_call(7), order.start_call(8), order.start_call(7));
    let full = CounterResponse { status: Status::Rejected, total: 0.0, elapsed: 0.0 };
    let ok = CounterResponse { status: Status::Ok, total: 3.0, elapsed: 0.01 };
    assert_eq!(order.end_call(second, full), Some(ReadyResponses { counter: 7, responses: vec![] }));
    assert_eq!(order.end_call(other, ok), Some(ReadyResponses { counter: 8, responses: vec![ok] }));
    assert_eq!(order.end_call(first, ok), Some(ReadyResponses { counter: 7, responses: vec![ok, full] }));
    assert_eq!(order.end_call(first, ok), None);
    assert!(order.counters.is_empty() && order.queues.is_empty());
}
