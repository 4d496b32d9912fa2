//! Which requests are accepted, which attempts may be sent and retried, and the counting of violations.

use proptest::prelude::*;
use weirusher::{Class, DedupScope, Idempotency, Reason, Settings};
use weirusher_core::{
    Execution, Guard, PriorAttempt, SendConditions, SendError, Shutdown, Violation, longest_deadline,
};

fn guard(idempotency: Idempotency, hedging: bool, deadline: f64) -> Guard {
    let mut class = Class::default();
    (class.idempotency, class.deadline, class.latency_objective) = (idempotency, deadline, deadline / 2.0);
    let mut settings = Settings::default();
    (settings.max_attempts, settings.hedging, settings.classes) = (3, hedging, vec![class]);
    Guard::new(&settings)
}

/// The platform counts the longest deadline as at most 3 s and adds a margin of 0.7 s.
#[test]
fn the_earliest_kill_follows_from_the_longest_deadline() {
    for (deadline, span) in [(0.2, 0.9), (1.5, 2.2), (3.0, 3.7), (6.0, 3.7)] {
        let shutdown = Shutdown::new(100.0, deadline);
        assert!((shutdown.kill_at - 100.0 - span).abs() < 1e-9, "{deadline}");
        assert!(shutdown.respond_by() < shutdown.kill_at - 0.29, "there is time for two stalls of 0.15 s");
        assert!(shutdown.accept_until() <= shutdown.respond_by());
    }
    let mut class = Class::default();
    (class.latency_objective, class.deadline) = (2.0, 1.0);
    assert_eq!(longest_deadline(&[class]), 2.0, "a deadline counts as at least the latency objective");
    assert_eq!(longest_deadline(&[]), 0.0);
}

proptest! {
    /// Whenever a request is read, its response is due before the client's deadline and before the process
    /// may be killed.
    #[test]
    fn a_response_is_due_before_the_deadline_and_the_kill(
        deadline in 0.05..8.0f64, waits in 0.001..8.0f64, stopped in 0.0..5.0f64, read in 0.0..12.0f64,
    ) {
        let mut guard = guard(Idempotency::NonIdempotent, false, deadline);
        let (stopped, read) = (1e9 + stopped, 1e9 + read);
        let shutdown = (read >= stopped).then(|| guard.begin_shutdown(stopped));
        match (guard.check_accept(read, waits), shutdown) {
            (Ok(due), None) => prop_assert!(due < read + waits),
            (Ok(due), Some(shutdown)) => {
                prop_assert!(due < read + waits && due <= shutdown.respond_by());
                prop_assert!(read < due || waits < 0.001, "there is time left to handle the request");
            }
            (Err(reason), Some(shutdown)) => {
                prop_assert_eq!(reason, Reason::Stopping);
                prop_assert!(read > shutdown.respond_by() - 0.1, "rejected only if there is no time left");
            }
            (Err(reason), None) => prop_assert!(false, "{}", reason),
        }
    }
}

#[test]
fn the_first_signal_determines_the_schedule() {
    let mut guard = guard(Idempotency::Idempotent, false, 1.0);
    assert!(guard.may_read(1e9));
    let first = guard.begin_shutdown(10.0);
    assert_eq!(guard.begin_shutdown(11.0), first);
    assert!(guard.may_read(first.respond_by() - 0.01) && !guard.may_read(first.respond_by()));
}

#[test]
fn an_attempt_is_sent_only_while_its_conditions_hold() {
    let guard = guard(Idempotency::Idempotent, false, 1.0);
    let conditions = SendConditions {
        request_deadline: Some(5.0),
        attempt_deadline: Some(4.0),
        write_deadline: 3.0,
        backend_available: true,
    };
    let limits = guard.check_send(2.5, &conditions).unwrap();
    assert_eq!(limits.timeout, 1.5);
    assert!((limits.write_timeout - 0.35).abs() < 1e-9, "0.15 s are reserved for a stall");
    let later = SendConditions { write_deadline: f64::INFINITY, request_deadline: Some(3.5), ..conditions };
    assert_eq!(guard.check_send(3.0, &later).unwrap().timeout, 0.5, "at most the request's time budget");
    let blocked = [
        (SendConditions { request_deadline: None, ..conditions }, 2.5, SendError::NotPending),
        (SendConditions { attempt_deadline: None, ..conditions }, 2.5, SendError::AttemptEnded),
        (SendConditions { write_deadline: f64::INFINITY, ..conditions }, 4.0, SendError::DeadlineExceeded),
        (SendConditions { request_deadline: Some(2.0), ..conditions }, 2.5, SendError::DeadlineExceeded),
        (conditions, 2.86, SendError::WindowOver),
        (SendConditions { backend_available: false, ..conditions }, 2.5, SendError::BackendUnavailable),
    ];
    for (conditions, now, error) in blocked {
        assert_eq!(guard.check_send(now, &conditions), Err(error));
    }
}

#[test]
fn an_attempt_that_breaks_a_rule_is_prevented_and_counted() {
    let keyed = Idempotency::Keyed { scope: DedupScope::All, window: 2.0 };
    let at = |started_at, execution| PriorAttempt { started_at, execution };
    let (never, maybe, in_flight) =
        (at(0.0, Execution::NotExecuted), at(0.5, Execution::MayHaveExecuted), at(0.5, Execution::InFlight));
    // Columns: idempotency, hedging, prior attempts, time, whether a further attempt is allowed.
    let cases = [
        (Idempotency::NonIdempotent, true, vec![], 1.0, true),
        (Idempotency::NonIdempotent, true, vec![never], 1.0, true),
        (Idempotency::NonIdempotent, true, vec![maybe], 1.0, false),
        (Idempotency::NonIdempotent, true, vec![in_flight], 1.0, false),
        (Idempotency::NonIdempotent, true, vec![never, maybe], 1.0, false),
        (Idempotency::Idempotent, false, vec![in_flight], 1.0, false),
        (Idempotency::Idempotent, true, vec![in_flight], 1.0, true),
        (Idempotency::Idempotent, false, vec![maybe], 9.0, true),
        (Idempotency::Idempotent, true, vec![never, never, never], 1.0, false),
        (keyed, true, vec![never, maybe], 2.4, true),
        (keyed, true, vec![never, maybe], 2.5, false),
        (keyed, true, vec![never, never], 9.0, true),
    ];
    for (idempotency, hedging, prior, now, allowed) in cases {
        let mut guard = guard(idempotency, hedging, 1.0);
        assert_eq!(
            guard.check_attempt(now, 0, &prior).is_ok(),
            allowed,
            "{idempotency:?} {hedging} {prior:?} {now}"
        );
        assert_eq!(guard.violations().total(), u64::from(!allowed));
        // A class that is not in the settings counts as non-idempotent.
        assert_eq!(guard.check_attempt(now, 7, &[maybe]), Err(Violation::UnsafeRetry));
    }
    let mut guard = guard(keyed, true, 1.0);
    guard.record_connection_closed(2);
    assert_eq!(guard.violations().closed_unanswered, 2);
}
