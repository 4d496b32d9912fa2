//! The engine under events in any order: each check has one outcome, no non-idempotent request may be
//! executed twice, and no request stays open.

use proptest::prelude::*;
use std::collections::{HashMap, HashSet};
use weirusher::{Class, Endpoint, EndpointListKind, Idempotency, Plan, Settings, Status};
use weirusher_core::{
    AttemptId, Check, CheckOutcome, Command, Completion, DeliveryId, Engine, EngineOutput, InstanceRange,
    Key, Keyring, Report, ReportOutcome,
};

const START: f64 = 1_000_000.0;
/// Seconds that each client waits.
const TIME_BUDGET: f64 = 3.0;
/// Index of the non-idempotent class.
const NON_IDEMPOTENT: usize = 1;

#[derive(Debug, Clone)]
enum Step {
    Check {
        class: usize,
    },
    /// Asks for a retry with one of the issued tickets.
    Retry {
        ticket: usize,
    },
    ClientClosed {
        caller: usize,
    },
    Report {
        ticket: usize,
        status: Status,
        request_ended: bool,
    },
    /// Reports the last grant as undelivered.
    Undelivered,
    CounterResponse {
        status: Status,
    },
    Wait {
        millis: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let status = prop_oneof![
        Just(Status::Ok),
        Just(Status::Error),
        Just(Status::Rejected),
        Just(Status::Timeout),
        Just(Status::ConnectFailed),
        Just(Status::Reset),
        Just(Status::Cancelled)
    ];
    prop_oneof![
        5 => (0..2usize).prop_map(|class| Step::Check { class }),
        3 => (0..64usize).prop_map(|ticket| Step::Retry { ticket }),
        1 => (0..64usize).prop_map(|caller| Step::ClientClosed { caller }),
        5 => ((0..64usize), status.clone(), any::<bool>())
            .prop_map(|(ticket, status, request_ended)| Step::Report { ticket, status, request_ended }),
        1 => Just(Step::Undelivered),
        3 => status.prop_map(|status| Step::CounterResponse { status }),
        3 => prop_oneof![0..20u64, 0..3000u64].prop_map(|millis| Step::Wait { millis }),
    ]
}

fn keyring() -> Keyring {
    Keyring::new(vec![Key { id: 1, secret: vec![7; 32] }]).unwrap()
}

fn engine() -> Engine {
    let mut settings = Settings::default();
    let mut plan = Plan::default();
    (plan.rate, plan.burst, plan.max_concurrent) = (50.0, 50.0, 20);
    let mut non_idempotent_class = Class::default();
    non_idempotent_class.idempotency = Idempotency::NonIdempotent;
    settings.plans = vec![plan];
    settings.classes = vec![Class::default(), non_idempotent_class];
    (settings.has_counter, settings.max_attempts, settings.max_open_requests) = (true, 3, 1000);
    let mut engine = Engine::new(settings, keyring(), 5, 7, START).unwrap();
    let backend = |n: u32| Endpoint::warm(format!("127.0.0.1:{n}"));
    engine.handle_endpoint_list(START, EndpointListKind::Snapshot, (1..=4).map(backend).collect());
    engine
}

/// The engine, and the effects of it that were observed.
struct EngineHarness {
    engine: Engine,
    now: f64,
    callers: u64,
    outcomes: HashMap<u64, usize>,
    closed: HashSet<u64>,
    counter_calls: Vec<u64>,
    /// The issued tickets with their attempts.
    tickets: Vec<(String, AttemptId)>,
    /// Non-idempotent requests with an attempt that may have been executed.
    maybe_executed: HashMap<u64, u32>,
    non_idempotent_callers: HashSet<u64>,
    last_delivery: Option<DeliveryId>,
}

impl EngineHarness {
    fn process_outputs(&mut self) -> Result<(), TestCaseError> {
        loop {
            let outputs: Vec<EngineOutput> = self.engine.drain_outputs().collect();
            if outputs.is_empty() {
                return Ok(());
            }
            for output in outputs {
                self.process_output(output)?;
            }
        }
    }

    fn process_output(&mut self, output: EngineOutput) -> Result<(), TestCaseError> {
        match output {
            EngineOutput::CheckOutcome { caller, outcome, delivery } => {
                let outcomes = self.outcomes.entry(caller).or_default();
                *outcomes += 1;
                prop_assert_eq!(*outcomes, 1, "caller {} has two outcomes", caller);
                prop_assert!(
                    !self.closed.contains(&caller),
                    "caller {} got an outcome after it closed",
                    caller
                );
                if let CheckOutcome::Allowed(grant) = outcome {
                    let AttemptId { request, attempt } = grant.attempt;
                    if self.non_idempotent_callers.contains(&caller) {
                        let before = self.maybe_executed.insert(request, attempt);
                        prop_assert_eq!(before, None, "a non-idempotent request may be executed twice");
                    }
                    self.tickets.push((grant.ticket, grant.attempt));
                    self.last_delivery = Some(delivery);
                }
            }
            EngineOutput::Command(Command::AddToCounter { call, .. }) => self.counter_calls.push(call),
            EngineOutput::Command(_) => {}
        }
        Ok(())
    }

    fn check(&mut self, class: usize, ticket: Option<String>) {
        self.callers += 1;
        if class == NON_IDEMPOTENT {
            self.non_idempotent_callers.insert(self.callers);
        }
        let check = Check {
            customer: "c".into(),
            plan: 0,
            class,
            units: 1.0,
            time_budget: TIME_BUDGET,
            instances: InstanceRange { count: 1, first: 0 },
            ticket,
        };
        self.engine.handle_check(self.now, self.callers, &check);
    }

    fn step(&mut self, step: Step) -> Result<(), TestCaseError> {
        match step {
            Step::Check { class } => self.check(class, None),
            Step::Retry { ticket } if !self.tickets.is_empty() => {
                let (text, AttemptId { request, .. }) = self.tickets[ticket % self.tickets.len()].clone();
                self.check(usize::from(self.maybe_executed.contains_key(&request)), Some(text));
            }
            Step::ClientClosed { caller } if self.callers > 0 => {
                let caller = 1 + caller as u64 % self.callers;
                if !self.outcomes.contains_key(&caller) {
                    self.closed.insert(caller);
                }
                self.engine.handle_client_closed(self.now, caller);
            }
            Step::Report { ticket, status, request_ended } if !self.tickets.is_empty() => {
                let (text, AttemptId { request, attempt }) =
                    self.tickets[ticket % self.tickets.len()].clone();
                let completion =
                    if request_ended { Completion::Request(status) } else { Completion::Attempt(status) };
                let report = Report { ticket: &text, completion, elapsed: None, settled_units: None };
                let outcome = self.engine.handle_report(self.now, &report);
                let not_executed = matches!(status, Status::Rejected | Status::ConnectFailed);
                if outcome == ReportOutcome::AttemptClosed
                    && not_executed
                    && self.maybe_executed.get(&request) == Some(&attempt)
                {
                    self.maybe_executed.remove(&request);
                }
            }
            Step::Undelivered => {
                if let Some(delivery) = self.last_delivery.take() {
                    self.engine.handle_undelivered(self.now, delivery);
                }
            }
            Step::CounterResponse { status } if !self.counter_calls.is_empty() => {
                let call = self.counter_calls.remove(0);
                self.engine.handle_counter_response(self.now, call, status, 1.0, 0.002);
            }
            Step::Wait { millis } => {
                self.now += millis as f64 / 1000.0;
                self.engine.handle_timeout(self.now);
            }
            Step::Retry { .. }
            | Step::ClientClosed { .. }
            | Step::Report { .. }
            | Step::CounterResponse { .. } => {}
        }
        self.process_outputs()
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]
    #[test]
    fn every_check_has_one_outcome_and_no_request_stays_open(steps in proptest::collection::vec(step(), 1..120)) {
        let mut harness = EngineHarness {
            engine: engine(),
            now: START,
            callers: 0,
            outcomes: HashMap::new(),
            closed: HashSet::new(),
            counter_calls: Vec::new(),
            tickets: Vec::new(),
            maybe_executed: HashMap::new(),
            non_idempotent_callers: HashSet::new(),
            last_delivery: None,
        };
        for step in steps {
            harness.step(step)?;
        }
        // All deadlines pass without further reports.
        for _ in 0..20 {
            harness.step(Step::Wait { millis: 300 })?;
        }
        for caller in 1..=harness.callers {
            let answered = harness.outcomes.contains_key(&caller);
            prop_assert!(answered || harness.closed.contains(&caller), "caller {} has no outcome", caller);
        }
        prop_assert_eq!((harness.engine.pending(), harness.engine.open_requests()), (0, 0));
    }
}

#[test]
fn a_report_for_another_incarnation_has_no_effect() {
    let mut first = engine();
    let check = Check {
        customer: "c".into(),
        plan: 0,
        class: 0,
        units: 1.0,
        time_budget: TIME_BUDGET,
        instances: InstanceRange { count: 1, first: 0 },
        ticket: None,
    };
    first.handle_check(START, 1, &check);
    let outputs: Vec<EngineOutput> = first.drain_outputs().collect();
    let ticket = outputs.into_iter().find_map(|o| match o {
        EngineOutput::CheckOutcome { outcome: CheckOutcome::Allowed(grant), .. } => Some(grant.ticket),
        _ => None,
    });
    let ticket = ticket.expect("the fallback limit admits the request");
    let mut settings = Settings::default();
    (settings.classes, settings.plans) = (vec![Class::default()], vec![Plan::default()]);
    let mut second = Engine::new(settings, keyring(), 6, 7, START).unwrap();
    let report = Report {
        ticket: &ticket,
        completion: Completion::Request(Status::Ok),
        elapsed: None,
        settled_units: None,
    };
    assert_eq!(second.handle_report(START, &report), ReportOutcome::OtherIssuer { issuer: 0 });
    assert_eq!((second.metrics().foreign_reports, second.metrics().reported), (1, 0));
    assert_eq!(first.handle_report(START + 0.1, &report), ReportOutcome::AttemptClosed);
    assert_eq!(first.handle_report(START + 0.2, &report), ReportOutcome::Late);
}
