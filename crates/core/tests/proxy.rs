//! The proxy core in virtual time: in whatever order attempts end or time out, clients disconnect and counter
//! responses arrive, each request gets one response in time and is removed from the table.

use proptest::prelude::*;
use std::collections::{HashMap, HashSet};
use weirusher::{Class, Endpoint, EndpointListKind, LoadReport, Plan, RequestId, Settings, Status};
use weirusher_core::{Command, IncomingRequest, NewAttempt, ProxyCore, ProxyOutput, RequestStatus};

const START: f64 = 1_000_000.0;
const TIME_BUDGET: f64 = 3.0;

#[derive(Debug, Clone)]
enum Step {
    Arrive,
    /// A request with the id of an open request.
    Duplicate {
        request: usize,
    },
    End {
        attempt: usize,
        status: Status,
    },
    /// The end of an attempt that has already ended or does not exist.
    UnexpectedEnd {
        request: usize,
        attempt: u32,
    },
    ClientGone {
        request: usize,
    },
    CounterResponse {
        status: Status,
    },
    Wait {
        millis: u64,
    },
    /// The process receives the signal to stop.
    Shutdown,
}

fn step() -> impl Strategy<Value = Step> {
    let status = prop_oneof![
        3 => Just(Status::Ok),
        1 => Just(Status::Error),
        1 => Just(Status::Rejected),
        1 => Just(Status::ConnectFailed),
        1 => Just(Status::Reset),
        1 => Just(Status::NotSent),
    ];
    prop_oneof![
        4 => Just(Step::Arrive),
        1 => (0..32usize).prop_map(|request| Step::Duplicate { request }),
        4 => (0..32usize, status.clone()).prop_map(|(attempt, status)| Step::End { attempt, status }),
        1 => (0..32usize, 0..4u32).prop_map(|(request, attempt)| Step::UnexpectedEnd { request, attempt }),
        1 => (0..32usize).prop_map(|request| Step::ClientGone { request }),
        2 => status.prop_map(|status| Step::CounterResponse { status }),
        2 => (0..900u64).prop_map(|millis| Step::Wait { millis }),
    ]
}

/// Like [`step`], with an occasional shutdown.
fn step_or_shutdown() -> impl Strategy<Value = Step> {
    prop_oneof![30 => step(), 1 => Just(Step::Shutdown)]
}

fn settings() -> Settings {
    let mut plan = Plan::default();
    (plan.rate, plan.burst, plan.priority_weight) = (50.0, 50.0, 1.0);
    let mut settings = Settings::default();
    (settings.instances, settings.has_counter, settings.max_attempts) = (2, true, 3);
    settings.hedging = true;
    settings.plans = vec![plan];
    settings.classes = vec![Class::default()];
    settings
}

struct ProxyHarness {
    proxy: ProxyCore,
    now: f64,
    next: u64,
    in_flight: Vec<(RequestId, u32)>,
    requests: Vec<RequestId>,
    answered: HashMap<RequestId, u32>,
    client_gone: HashSet<RequestId>,
    arrived: HashMap<RequestId, f64>,
    calls: Vec<u64>,
    /// When the last response has to be written, once a shutdown has begun.
    respond_by: f64,
}

impl ProxyHarness {
    fn new() -> Self {
        let mut proxy = ProxyCore::new(settings(), 7, START).unwrap();
        proxy.handle_endpoint_list(
            START,
            EndpointListKind::Snapshot,
            (0..6).map(|n| Endpoint::warm(format!("w{n}"))).collect(),
        );
        let (in_flight, requests, calls) = Default::default();
        let (answered, client_gone, arrived) = Default::default();
        let respond_by = f64::INFINITY;
        Self {
            proxy,
            now: START,
            next: 0,
            in_flight,
            requests,
            answered,
            client_gone,
            arrived,
            calls,
            respond_by,
        }
    }

    fn carry_out(&mut self) {
        let mut outputs = Vec::new();
        self.proxy.take_outputs(&mut outputs);
        for output in outputs {
            match output {
                ProxyOutput::Forward(NewAttempt { request: id, number: attempt, timeout, .. }) => {
                    assert!(!self.answered.contains_key(&id), "no attempt starts for an answered request");
                    assert!(!self.client_gone.contains(&id), "no attempt starts for a disconnected client");
                    assert!(self.now + timeout <= self.arrived[&id] + TIME_BUDGET);
                    assert!(
                        self.now + timeout <= self.respond_by + 1e-6,
                        "it ends before the process may be killed"
                    );
                    self.in_flight.push((id, attempt));
                }
                ProxyOutput::Abort { request: id, attempt } => {
                    self.in_flight.retain(|attempts| *attempts != (id.clone(), attempt));
                }
                ProxyOutput::AttemptPrevented { request: id, attempt, violation } => {
                    panic!("attempt {attempt} of {id}: {violation}")
                }
                ProxyOutput::Respond { request: id, .. } => self.answer(id),
                ProxyOutput::Command(Command::AddToCounter { call, .. }) => self.calls.push(call),
                ProxyOutput::Command(_) => {}
            }
        }
    }

    fn answer(&mut self, id: RequestId) {
        assert!(!self.client_gone.contains(&id));
        assert!(self.now < self.arrived[&id] + TIME_BUDGET, "answered in time");
        let rejected_late = self.arrived[&id] > self.respond_by - 0.1;
        assert!(
            rejected_late || self.now < self.respond_by + 0.01,
            "answered before the process may be killed"
        );
        *self.answered.entry(id).or_default() += 1;
    }

    fn arrive(&mut self) {
        self.next += 1;
        let id: RequestId = format!("request{}", self.next).into();
        self.arrived.insert(id.clone(), self.now);
        self.requests.push(id.clone());
        assert_eq!(self.proxy.handle_request(self.now, arrival(&id)), RequestStatus::Accepted);
    }

    fn wait(&mut self, until: f64) {
        while let Some(due) = self.proxy.next_timeout().filter(|due| *due <= until) {
            // A little later, so that time advances despite rounding.
            self.now = due.max(self.now) + 1e-5;
            self.proxy.handle_timeout(self.now);
            self.carry_out();
        }
        self.now = until;
    }

    fn step(&mut self, step: Step) {
        let pick = |ids: &[RequestId], index: usize| ids.get(index % ids.len().max(1)).cloned();
        match step {
            Step::Arrive => self.arrive(),
            Step::Duplicate { request } => {
                if let Some(id) = pick(&self.requests, request).filter(|id| self.proxy.contains(id)) {
                    assert_eq!(self.proxy.handle_request(self.now, arrival(&id)), RequestStatus::Duplicate);
                }
            }
            Step::End { attempt, status } if !self.in_flight.is_empty() => {
                let (id, attempt) = self.in_flight.remove(attempt % self.in_flight.len());
                if self.proxy.handle_attempt_ended(self.now, &id, attempt, status, LoadReport::default()) {
                    assert_eq!(status, Status::Ok);
                    self.answer(id);
                }
            }
            Step::UnexpectedEnd { request, attempt } => {
                let Some(id) = pick(&self.requests, request) else { return };
                if !self.in_flight.contains(&(id.clone(), attempt)) {
                    assert!(!self.proxy.handle_attempt_ended(
                        self.now,
                        &id,
                        attempt,
                        Status::Ok,
                        LoadReport::default()
                    ));
                }
            }
            Step::ClientGone { request } => {
                let Some(id) = pick(&self.requests, request) else { return };
                self.proxy.handle_client_gone(self.now, &id);
                if !self.answered.contains_key(&id) {
                    self.client_gone.insert(id);
                }
            }
            Step::CounterResponse { status } if !self.calls.is_empty() => {
                let call = self.calls.remove(0);
                self.proxy.handle_counter_response(self.now, call, status, 1.0, 0.001);
            }
            Step::Shutdown => self.respond_by = self.proxy.begin_shutdown(self.now).respond_by(),
            Step::Wait { millis } => self.wait(self.now + millis as f64 / 1e3),
            Step::End { .. } | Step::CounterResponse { .. } => {}
        }
        self.carry_out();
    }
}

fn arrival(id: &RequestId) -> IncomingRequest {
    IncomingRequest {
        id: id.clone(),
        customer: "c".into(),
        plan: 0,
        class: 0,
        units: 1.0,
        time_budget: TIME_BUDGET,
        customer_instances: 2,
        first_instance: 0,
        is_retry: false,
    }
}

proptest! {
    #[test]
    fn each_request_gets_one_response_and_is_removed(steps in proptest::collection::vec(step_or_shutdown(), 1..120)) {
        let mut harness = ProxyHarness::new();
        steps.into_iter().for_each(|step| harness.step(step));
        // Nothing more arrives: timeouts end the open requests.
        harness.wait(harness.now + 2.0 * TIME_BUDGET);
        for id in &harness.requests {
            let responses = harness.answered.get(id).copied().unwrap_or(0);
            prop_assert_eq!(responses, u32::from(!harness.client_gone.contains(id)), "{}", id);
        }
        prop_assert_eq!((harness.proxy.pending(), harness.proxy.open_requests(), harness.in_flight.len()), (0, 0, 0));
        prop_assert_eq!(harness.proxy.violations().total(), 0);
    }
}

#[test]
fn an_undecided_request_is_answered_before_its_deadline() {
    let mut harness = ProxyHarness::new();
    harness.arrive();
    harness.carry_out();
    harness.wait(START + TIME_BUDGET);
    assert_eq!(harness.answered.len(), 1);
    let metrics = harness.proxy.metrics();
    assert_eq!(
        (metrics.attempts_timed_out + metrics.undecided, metrics.served),
        (metrics.attempts.max(1), 0)
    );
}

#[test]
fn the_request_table_is_empty_after_thousands_of_requests() {
    let mut harness = ProxyHarness::new();
    for round in 0..2_000u32 {
        harness.arrive();
        harness.carry_out();
        harness.calls.clear();
        while let Some((id, attempt)) = harness.in_flight.pop() {
            if harness.proxy.handle_attempt_ended(
                harness.now,
                &id,
                attempt,
                Status::Ok,
                LoadReport::default(),
            ) {
                harness.answer(id);
            }
            harness.carry_out();
        }
        harness.wait(START + f64::from(round) * 0.1);
    }
    harness.wait(harness.now + TIME_BUDGET);
    assert_eq!((harness.proxy.pending(), harness.proxy.open_requests()), (0, 0));
    assert!(harness.proxy.metrics().served > 500);
}
