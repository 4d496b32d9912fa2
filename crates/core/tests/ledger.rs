//! The ledger under any order of events: one answer a Check, no unsafe request twice, nothing left behind.

use proptest::prelude::*;
use std::collections::{HashMap, HashSet};
use weirusher::{Class, Endpoint, EndpointListKind, Idempotency, Plan, Settings, Status};
use weirusher_core::{Answer, Check, Command, Ending, Engine, Key, Keyring, Output, Report, Verdict};

const START: f64 = 1_000_000.0;
const PATIENCE: f64 = 3.0;

#[derive(Debug, Clone)]
enum Step {
    Check {
        class: usize,
    },
    /// Asks again with one of the tickets that are out.
    Further {
        ticket: usize,
    },
    Gone {
        caller: usize,
    },
    Report {
        ticket: usize,
        status: Status,
        over: bool,
    },
    /// Hands the oldest answer back as undelivered.
    Undelivered,
    Counted {
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
        3 => (0..64usize).prop_map(|ticket| Step::Further { ticket }),
        1 => (0..64usize).prop_map(|caller| Step::Gone { caller }),
        5 => ((0..64usize), status.clone(), any::<bool>())
            .prop_map(|(ticket, status, over)| Step::Report { ticket, status, over }),
        1 => Just(Step::Undelivered),
        3 => status.prop_map(|status| Step::Counted { status }),
        3 => prop_oneof![0..20u64, 0..3000u64].prop_map(|millis| Step::Wait { millis }),
    ]
}

fn ring() -> Keyring {
    Keyring::new(vec![Key { id: 1, secret: vec![7; 32] }]).unwrap()
}

fn engine() -> Engine {
    let mut settings = Settings::default();
    let mut plan = Plan::default();
    (plan.rate, plan.burst, plan.max_concurrent) = (50.0, 50.0, 20);
    let mut unsafe_class = Class::default();
    unsafe_class.idempotency = Idempotency::NonIdempotent;
    settings.plans = vec![plan];
    settings.classes = vec![Class::default(), unsafe_class];
    (settings.has_counter, settings.max_attempts, settings.max_open_requests) = (true, 3, 1000);
    let mut engine = Engine::new(settings, ring(), 5, 7, START).unwrap();
    let server = |n: u32| Endpoint::warm(format!("127.0.0.1:{n}"));
    engine.update_endpoints(START, EndpointListKind::Snapshot, (1..=4).map(server).collect());
    engine
}

/// What the outside has seen.
struct World {
    engine: Engine,
    now: f64,
    callers: u64,
    answers: HashMap<u64, usize>,
    gone: HashSet<u64>,
    calls: Vec<u64>,
    /// Tickets that are out, with their request and attempt.
    tickets: Vec<(String, (u64, u32))>,
    /// Requests of the unsafe class with an attempt of which it is not known that it never ran.
    risky: HashMap<u64, u32>,
    unsafe_callers: HashSet<u64>,
    last: Option<weirusher_core::Delivery>,
}

impl World {
    fn settle(&mut self) -> Result<(), TestCaseError> {
        loop {
            let outputs: Vec<Output> = self.engine.outputs().collect();
            if outputs.is_empty() {
                return Ok(());
            }
            for output in outputs {
                self.output(output)?;
            }
        }
    }

    fn output(&mut self, output: Output) -> Result<(), TestCaseError> {
        match output {
            Output::Answer { caller, answer, delivery } => {
                let answers = self.answers.entry(caller).or_default();
                *answers += 1;
                prop_assert_eq!(*answers, 1, "caller {} is answered twice", caller);
                prop_assert!(!self.gone.contains(&caller), "caller {} had left", caller);
                if let Answer::Allowed(allowed) = answer {
                    let (request, attempt) = allowed.attempt;
                    if self.unsafe_callers.contains(&caller) {
                        let before = self.risky.insert(request, attempt);
                        prop_assert_eq!(before, None, "an unsafe request may run twice");
                    }
                    self.tickets.push((allowed.ticket, (request, attempt)));
                    self.last = Some(delivery);
                }
            }
            Output::Command(Command::AddToCounter { call, .. }) => self.calls.push(call),
            Output::Command(_) => {}
        }
        Ok(())
    }

    fn check(&mut self, class: usize, ticket: Option<String>) {
        self.callers += 1;
        if class == 1 {
            self.unsafe_callers.insert(self.callers);
        }
        let check = Check {
            customer: "c".into(),
            plan: 0,
            class,
            units: 1.0,
            patience: PATIENCE,
            spread: (1, 0),
            ticket,
        };
        self.engine.check(self.now, self.callers, &check);
    }

    fn step(&mut self, step: Step) -> Result<(), TestCaseError> {
        match step {
            Step::Check { class } => self.check(class, None),
            Step::Further { ticket } if !self.tickets.is_empty() => {
                let (text, (request, _)) = self.tickets[ticket % self.tickets.len()].clone();
                self.check(usize::from(self.risky.contains_key(&request)), Some(text));
            }
            Step::Gone { caller } if self.callers > 0 => {
                let caller = 1 + caller as u64 % self.callers;
                if !self.answers.contains_key(&caller) {
                    self.gone.insert(caller);
                }
                self.engine.caller_gone(self.now, caller);
            }
            Step::Report { ticket, status, over } if !self.tickets.is_empty() => {
                let (text, (request, attempt)) = self.tickets[ticket % self.tickets.len()].clone();
                let ending = if over { Ending::Request(status) } else { Ending::Attempt(status) };
                let verdict = self
                    .engine
                    .report(self.now, &Report { ticket: &text, ending, spent: None, settled: None });
                let never = matches!(status, Status::Rejected | Status::ConnectFailed);
                if verdict == Verdict::Closed && never && self.risky.get(&request) == Some(&attempt) {
                    self.risky.remove(&request);
                }
            }
            Step::Undelivered => {
                if let Some(delivery) = self.last.take() {
                    self.engine.undelivered(self.now, delivery);
                }
            }
            Step::Counted { status } if !self.calls.is_empty() => {
                let call = self.calls.remove(0);
                self.engine.counter_response(self.now, call, status, 1.0, 0.002);
            }
            Step::Wait { millis } => {
                self.now += millis as f64 / 1000.0;
                self.engine.advance(self.now);
            }
            Step::Further { .. } | Step::Gone { .. } | Step::Report { .. } | Step::Counted { .. } => {}
        }
        self.settle()
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]
    #[test]
    fn every_check_is_answered_once_and_nothing_stays(steps in proptest::collection::vec(step(), 1..120)) {
        let mut world = World {
            engine: engine(),
            now: START,
            callers: 0,
            answers: HashMap::new(),
            gone: HashSet::new(),
            calls: Vec::new(),
            tickets: Vec::new(),
            risky: HashMap::new(),
            unsafe_callers: HashSet::new(),
            last: None,
        };
        for step in steps {
            world.step(step)?;
        }
        // All limits pass; no report comes any more.
        for _ in 0..20 {
            world.step(Step::Wait { millis: 300 })?;
        }
        for caller in 1..=world.callers {
            let answered = world.answers.contains_key(&caller);
            prop_assert!(answered || world.gone.contains(&caller), "caller {} waits for ever", caller);
        }
        prop_assert_eq!((world.engine.owed(), world.engine.open_requests()), (0, 0));
    }
}

#[test]
fn a_report_for_another_life_of_the_issuer_changes_nothing() {
    let mut first = engine();
    let check = Check {
        customer: "c".into(),
        plan: 0,
        class: 0,
        units: 1.0,
        patience: PATIENCE,
        spread: (1, 0),
        ticket: None,
    };
    first.check(START, 1, &check);
    let outputs: Vec<Output> = first.outputs().collect();
    let ticket = outputs.into_iter().find_map(|o| match o {
        Output::Answer { answer: Answer::Allowed(allowed), .. } => Some(allowed.ticket),
        _ => None,
    });
    let ticket = ticket.expect("the safe share lets it in");
    let mut settings = Settings::default();
    (settings.classes, settings.plans) = (vec![Class::default()], vec![Plan::default()]);
    let mut second = Engine::new(settings, ring(), 6, 7, START).unwrap();
    let report = Report { ticket: &ticket, ending: Ending::Request(Status::Ok), spent: None, settled: None };
    assert_eq!(second.report(START, &report), Verdict::Foreign { issuer: 0 });
    assert_eq!((second.tally().foreign_reports, second.tally().reported), (1, 0));
    assert_eq!(first.report(START + 0.1, &report), Verdict::Closed);
    assert_eq!(first.report(START + 0.2, &report), Verdict::Late);
}
