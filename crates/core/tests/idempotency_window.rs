//! Retries with an idempotency key: none may be accepted by a backend that does not know the key, or no longer
//! does.

use weirusher::{
    Class, DedupScope, Endpoint, EndpointListKind, Idempotency, Location, Plan, Settings, Status, ZoneId,
};
use weirusher_core::{
    Check, CheckOutcome, Completion, Engine, EngineOutput, Grant, InstanceRange, Key, Keyring, Report,
    TicketRejection, TicketValidator,
};

const START: f64 = 1_000_000.0;
/// Seconds for which the backends keep a key.
const WINDOW: f64 = 1.0;
/// Seconds by which a backend's clock may differ from the gateway's (docs/external-authorisation.md).
const CLOCK_SKEWS: [f64; 3] = [-0.25, 0.0, 0.25];
/// Longer than the window, so that only the window limits a retry.
const TIME_BUDGET: f64 = 6.0;

fn keyring() -> Keyring {
    Keyring::new(vec![Key { id: 1, secret: vec![7; 32] }]).unwrap()
}

fn engine(idempotency: Idempotency) -> Engine {
    let mut settings = Settings::default();
    let mut class = Class::default();
    (class.idempotency, class.deadline, class.latency_objective) = (idempotency, TIME_BUDGET, TIME_BUDGET);
    settings.plans = vec![Plan::default()];
    settings.classes = vec![class];
    (settings.max_attempts, settings.max_open_requests) = (3, 1000);
    let mut engine = Engine::new(settings, keyring(), 5, 7, START).unwrap();
    let backend = |port: u32| Endpoint::warm(format!("127.0.0.1:{port}"));
    engine.handle_endpoint_list(START, EndpointListKind::Snapshot, (1..=4).map(backend).collect());
    engine
}

fn keyed() -> Idempotency {
    Idempotency::Keyed { scope: DedupScope::All, window: WINDOW }
}

/// The outcome of a check at `now`, with the ticket of the previous attempt.
fn check(engine: &mut Engine, now: f64, ticket: Option<&str>) -> CheckOutcome {
    let check = Check {
        customer: "c".into(),
        plan: 0,
        class: 0,
        units: 1.0,
        time_budget: START + TIME_BUDGET - now,
        instances: InstanceRange { count: 1, first: 0 },
        ticket: ticket.map(str::to_string),
    };
    engine.handle_check(now, 1, &check);
    let outputs: Vec<EngineOutput> = engine.drain_outputs().collect();
    let outcome = outputs.into_iter().find_map(|output| match output {
        EngineOutput::CheckOutcome { outcome, .. } => Some(outcome),
        EngineOutput::Command(_) => None,
    });
    outcome.expect("the outcome of the check is immediate")
}

fn grant(engine: &mut Engine, now: f64, ticket: Option<&str>) -> Grant {
    match check(engine, now, ticket) {
        CheckOutcome::Allowed(grant) => grant,
        outcome => panic!("no grant: {outcome:?}"),
    }
}

/// Reports at `now` that the attempt's connection was reset: it may have been executed.
fn report_reset(engine: &mut Engine, now: f64, ticket: &str) {
    let completion = Completion::Attempt(Status::Reset);
    engine.handle_report(now, &Report { ticket, completion, elapsed: None, settled_units: None });
}

/// Validates the grant's ticket at its backend at `now`, with a backend clock that differs by `skew` seconds.
fn validate(grant: &Grant, now: f64, skew: f64) -> Result<(), TicketRejection> {
    let mut validator = TicketValidator::new(keyring(), grant.backend.to_string(), 10);
    validator.validate(now + skew, Some(&grant.ticket)).map(|_| ())
}

/// Guards against a retry that is granted within the window and reaches its backend after it.
#[test]
fn a_retry_ticket_expires_with_the_window_on_any_backend_clock() {
    let mut engine = engine(keyed());
    let first = grant(&mut engine, START, None);
    report_reset(&mut engine, START + 0.2, &first.ticket);
    let retry = grant(&mut engine, START + 0.3, Some(&first.ticket));
    for skew in CLOCK_SKEWS {
        assert_eq!(validate(&retry, START + 0.31, skew), Ok(()), "clock skew {skew}");
        let late = validate(&retry, START + WINDOW + 0.001, skew);
        assert_eq!(late, Err(TicketRejection::Expired), "clock skew {skew}");
    }
}

/// Guards against a retry that the policy started within the window and a check claims after it.
#[test]
fn a_retry_that_is_claimed_after_the_window_is_not_granted() {
    let mut engine = engine(keyed());
    let first = grant(&mut engine, START, None);
    report_reset(&mut engine, START + WINDOW - 0.1, &first.ticket);
    let outcome = check(&mut engine, START + WINDOW + 0.1, Some(&first.ticket));
    assert!(!matches!(outcome, CheckOutcome::Allowed(_)), "{outcome:?}");
    assert_eq!((engine.pending(), engine.open_requests()), (0, 0));
}

#[test]
fn the_window_does_not_limit_other_tickets() {
    let assert_ticket_lasts_to_deadline = |engine: &mut Engine, now: f64, ticket: Option<&str>| {
        let grant = grant(engine, now, ticket);
        let expires_at = keyring().verify(&grant.ticket).unwrap().expires_at;
        assert!((expires_at - (now + grant.timeout)).abs() < 1e-6, "{expires_at}");
        grant
    };
    // The first attempt of a keyed request, and a retry after an attempt that was certainly not executed.
    let mut keyed = engine(keyed());
    let first = assert_ticket_lasts_to_deadline(&mut keyed, START, None);
    let completion = Completion::Attempt(Status::ConnectFailed);
    let report = Report { ticket: &first.ticket, completion, elapsed: None, settled_units: None };
    keyed.handle_report(START + WINDOW + 0.2, &report);
    assert_ticket_lasts_to_deadline(&mut keyed, START + WINDOW + 0.3, Some(&first.ticket));
    // A retry of an idempotent request.
    let mut idempotent = engine(Idempotency::Idempotent);
    let first = assert_ticket_lasts_to_deadline(&mut idempotent, START, None);
    report_reset(&mut idempotent, START + WINDOW + 0.2, &first.ticket);
    assert_ticket_lasts_to_deadline(&mut idempotent, START + WINDOW + 0.3, Some(&first.ticket));
}

/// Guards against a ticket for another zone: a list without the zone of the first attempt, as while its backends are
/// replaced, gave the zone's number to another one.
#[test]
fn a_request_of_a_zone_that_left_the_list_gets_no_ticket_for_another_zone() {
    let mut engine = engine(Idempotency::Keyed { scope: DedupScope::Zone, window: 5.0 });
    let backend = |port: u32, zone| Endpoint {
        location: Location { zone: ZoneId::from_name(zone), cell: None },
        ..Endpoint::warm(format!("127.0.0.1:{port}"))
    };
    engine.handle_endpoint_list(START, EndpointListKind::Snapshot, vec![backend(1, "hall-a")]);
    let first = grant(&mut engine, START, None);
    engine.handle_endpoint_list(START + 0.1, EndpointListKind::Snapshot, vec![backend(2, "hall-b")]);
    report_reset(&mut engine, START + 0.2, &first.ticket);
    let outcome = check(&mut engine, START + 0.3, Some(&first.ticket));
    assert!(matches!(outcome, CheckOutcome::Failed(_)), "{outcome:?}");
}
