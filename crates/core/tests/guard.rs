//! What may be accepted, sent and repeated, and what is counted where it may not.

use proptest::prelude::*;
use weirusher::{Class, DedupScope, Idempotency, Reason, Settings};
use weirusher_core::{Blocked, Earlier, Guard, Progress, SendCheck, Shutdown, Violation, longest_deadline};

fn guard(effect: Idempotency, hedging: bool, deadline: f64) -> Guard {
    let mut class = Class::default();
    (class.idempotency, class.deadline, class.latency_objective) = (effect, deadline, deadline / 2.0);
    let mut settings = Settings::default();
    (settings.max_attempts, settings.hedging, settings.classes) = (3, hedging, vec![class]);
    Guard::new(&settings)
}

#[test]
fn the_earliest_kill_is_the_longest_deadline_counted_as_three_seconds_at_most_and_a_margin() {
    for (deadline, span) in [(0.2, 0.9), (1.5, 2.2), (3.0, 3.7), (6.0, 3.7)] {
        let shutdown = Shutdown::new(100.0, deadline);
        assert!((shutdown.kill - 100.0 - span).abs() < 1e-9, "{deadline}");
        assert!(shutdown.respond_by() < shutdown.kill - 0.29, "two delays of 0.15 s fit in");
        assert!(shutdown.accept_until() <= shutdown.respond_by());
    }
    let mut class = Class::default();
    (class.latency_objective, class.deadline) = (2.0, 1.0);
    assert_eq!(longest_deadline(&[class]), 2.0, "a deadline is never shorter than the aim");
    assert_eq!(longest_deadline(&[]), 0.0);
}

proptest! {
    /// Whenever a request is read, its response is due before its client's deadline and before the process may be killed.
    #[test]
    fn an_accepted_request_has_its_response_while_everyone_is_there(
        deadline in 0.05..8.0f64, waits in 0.001..8.0f64, stopped in 0.0..5.0f64, read in 0.0..12.0f64,
    ) {
        let mut guard = guard(Idempotency::NonIdempotent, false, deadline);
        let (stopped, read) = (1e9 + stopped, 1e9 + read);
        let shutdown = (read >= stopped).then(|| guard.stop(stopped));
        match (guard.accept(read, waits), shutdown) {
            (Ok(due), None) => prop_assert!(due < read + waits),
            (Ok(due), Some(shutdown)) => {
                prop_assert!(due < read + waits && due <= shutdown.respond_by());
                prop_assert!(read < due || waits < 0.001, "there is time left for it");
            }
            (Err(reason), Some(shutdown)) => {
                prop_assert_eq!(reason, Reason::Stopping);
                prop_assert!(read > shutdown.respond_by() - 0.1, "refused only where nothing is left");
            }
            (Err(reason), None) => prop_assert!(false, "{}", reason),
        }
    }
}

#[test]
fn the_first_signal_counts() {
    let mut guard = guard(Idempotency::Idempotent, false, 1.0);
    assert!(guard.may_read(1e9));
    let first = guard.stop(10.0);
    assert_eq!(guard.stop(11.0), first);
    assert!(guard.may_read(first.respond_by() - 0.01) && !guard.may_read(first.respond_by()));
}

#[test]
fn an_attempt_is_sent_only_while_all_that_stands_behind_it_holds() {
    let guard = guard(Idempotency::Idempotent, false, 1.0);
    let check = SendCheck { deadline: Some(5.0), give_up: Some(4.0), send_by: 3.0, listed: true };
    let limits = guard.may_send(2.5, &check).unwrap();
    assert_eq!(limits.timeout, 1.5);
    assert!((limits.send_within - 0.35).abs() < 1e-9, "0.15 s are for being held up");
    let later = SendCheck { send_by: f64::INFINITY, deadline: Some(3.5), ..check };
    assert_eq!(guard.may_send(3.0, &later).unwrap().timeout, 0.5, "no longer than its request has");
    let blocked = [
        (SendCheck { deadline: None, ..check }, 2.5, Blocked::NotPending),
        (SendCheck { give_up: None, ..check }, 2.5, Blocked::Ended),
        (SendCheck { send_by: f64::INFINITY, ..check }, 4.0, Blocked::DeadlineExceeded),
        (SendCheck { deadline: Some(2.0), ..check }, 2.5, Blocked::DeadlineExceeded),
        (check, 2.86, Blocked::WindowOver),
        (SendCheck { listed: false, ..check }, 2.5, Blocked::ServerLeft),
    ];
    for (check, now, why) in blocked {
        assert_eq!(guard.may_send(now, &check), Err(why));
    }
}

#[test]
fn a_repeat_that_would_break_a_rule_is_stopped_and_counted() {
    let keyed = Idempotency::Keyed { scope: DedupScope::All, window: 2.0 };
    let at = |sent, progress| Earlier { sent, progress };
    let (never, maybe, out) =
        (at(0.0, Progress::NeverRan), at(0.5, Progress::MayHaveRun), at(0.5, Progress::Out));
    // Class, hedging, earlier attempts, moment, allowed.
    let cases = [
        (Idempotency::NonIdempotent, true, vec![], 1.0, true),
        (Idempotency::NonIdempotent, true, vec![never], 1.0, true),
        (Idempotency::NonIdempotent, true, vec![maybe], 1.0, false),
        (Idempotency::NonIdempotent, true, vec![out], 1.0, false),
        (Idempotency::NonIdempotent, true, vec![never, maybe], 1.0, false),
        (Idempotency::Idempotent, false, vec![out], 1.0, false),
        (Idempotency::Idempotent, true, vec![out], 1.0, true),
        (Idempotency::Idempotent, false, vec![maybe], 9.0, true),
        (Idempotency::Idempotent, true, vec![never, never, never], 1.0, false),
        (keyed, true, vec![never, maybe], 2.4, true),
        (keyed, true, vec![never, maybe], 2.5, false),
        (keyed, true, vec![never, never], 9.0, true),
    ];
    for (effect, hedging, earlier, now, allowed) in cases {
        let mut guard = guard(effect, hedging, 1.0);
        assert_eq!(
            guard.may_repeat(now, 0, &earlier).is_ok(),
            allowed,
            "{effect:?} {hedging} {earlier:?} {now}"
        );
        assert_eq!(guard.violations().total(), u64::from(!allowed));
        // A class that the settings do not have may not be repeated either.
        assert_eq!(guard.may_repeat(now, 7, &[maybe]), Err(Violation::UnsafeRepeat));
    }
    let mut guard = guard(keyed, true, 1.0);
    guard.closed(2);
    assert_eq!(guard.violations().closed_unanswered, 2);
}
