//! The proxy in virtual time: whatever order outcomes, time-outs, departures and counter answers come in, each
//! request gets one answer in time and leaves nothing behind.

use proptest::prelude::*;
use std::collections::{HashMap, HashSet};
use weirusher::{Class, Endpoint, EndpointListKind, LoadReport, Plan, RequestId, Settings, Status};
use weirusher_core::{Arrived, Command, IncomingRequest, ProxyCore, ProxyOutput};

const START: f64 = 1_000_000.0;
const TIME_BUDGET: f64 = 3.0;

#[derive(Debug, Clone)]
enum Step {
    Arrive,
    /// The id of an open request once more.
    Double {
        job: usize,
    },
    End {
        attempt: usize,
        status: Status,
    },
    /// An end that was told already, or of an attempt that never was.
    Stray {
        job: usize,
        attempt: u32,
    },
    Leave {
        job: usize,
    },
    Counted {
        status: Status,
    },
    Wait {
        millis: u64,
    },
    /// The process is told to stop.
    Stop,
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
        1 => (0..32usize).prop_map(|job| Step::Double { job }),
        4 => (0..32usize, status.clone()).prop_map(|(attempt, status)| Step::End { attempt, status }),
        1 => (0..32usize, 0..4u32).prop_map(|(job, attempt)| Step::Stray { job, attempt }),
        1 => (0..32usize).prop_map(|job| Step::Leave { job }),
        2 => status.prop_map(|status| Step::Counted { status }),
        2 => (0..900u64).prop_map(|millis| Step::Wait { millis }),
    ]
}

/// The same, with a signal to stop among them now and then.
fn step_or_stop() -> impl Strategy<Value = Step> {
    prop_oneof![30 => step(), 1 => Just(Step::Stop)]
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

struct Rig {
    proxy: ProxyCore,
    now: f64,
    next: u64,
    out: Vec<(RequestId, u32)>,
    jobs: Vec<RequestId>,
    answered: HashMap<RequestId, u32>,
    left: HashSet<RequestId>,
    arrived: HashMap<RequestId, f64>,
    calls: Vec<u64>,
    /// By when a shutdown that has begun wants the last answers.
    respond_by: f64,
}

impl Rig {
    fn new() -> Self {
        let mut proxy = ProxyCore::new(settings(), 7, START).unwrap();
        proxy.update_endpoints(
            START,
            EndpointListKind::Snapshot,
            (0..6).map(|n| Endpoint::warm(format!("w{n}"))).collect(),
        );
        let (out, jobs, calls) = Default::default();
        let (answered, left, arrived) = Default::default();
        let respond_by = f64::INFINITY;
        Self { proxy, now: START, next: 0, out, jobs, answered, left, arrived, calls, respond_by }
    }

    fn settle(&mut self) {
        let mut outputs = Vec::new();
        self.proxy.take_outputs(&mut outputs);
        for output in outputs {
            match output {
                ProxyOutput::Forward { request: job, attempt, timeout, .. } => {
                    assert!(!self.answered.contains_key(&job), "nothing goes out for an answered request");
                    assert!(!self.left.contains(&job), "nothing goes out for a client that left");
                    assert!(self.now + timeout <= self.arrived[&job] + TIME_BUDGET);
                    assert!(self.now + timeout <= self.respond_by + 1e-6, "it ends before the process may");
                    self.out.push((job, attempt));
                }
                ProxyOutput::Abort { request: job, attempt } => {
                    self.out.retain(|out| *out != (job.clone(), attempt))
                }
                ProxyOutput::Prevented { request: job, attempt, violation } => {
                    panic!("attempt {attempt} of {job}: {violation}")
                }
                ProxyOutput::Respond { request: job, .. } => self.answer(job),
                ProxyOutput::Command(Command::AddToCounter { call, .. }) => self.calls.push(call),
                ProxyOutput::Command(_) => {}
            }
        }
    }

    fn answer(&mut self, job: RequestId) {
        assert!(!self.left.contains(&job));
        assert!(self.now < self.arrived[&job] + TIME_BUDGET, "answered in time");
        let refused_late = self.arrived[&job] > self.respond_by - 0.1;
        assert!(
            refused_late || self.now < self.respond_by + 0.01,
            "answered before the process may be killed"
        );
        *self.answered.entry(job).or_default() += 1;
    }

    fn arrive(&mut self) {
        self.next += 1;
        let job: RequestId = format!("job{}", self.next).into();
        self.arrived.insert(job.clone(), self.now);
        self.jobs.push(job.clone());
        assert_eq!(self.proxy.request(self.now, arrival(&job)), Arrived::Accepted);
    }

    fn wait(&mut self, until: f64) {
        while let Some(due) = self.proxy.next_deadline().filter(|due| *due <= until) {
            // A little on, so that rounding of the seconds does not stop the time.
            self.now = due.max(self.now) + 1e-5;
            self.proxy.advance(self.now);
            self.settle();
        }
        self.now = until;
    }

    fn step(&mut self, step: Step) {
        let job = |jobs: &[RequestId], at: usize| jobs.get(at % jobs.len().max(1)).cloned();
        match step {
            Step::Arrive => self.arrive(),
            Step::Double { job: at } => {
                if let Some(job) = job(&self.jobs, at).filter(|job| self.proxy.contains(job)) {
                    assert_eq!(self.proxy.request(self.now, arrival(&job)), Arrived::Duplicate);
                }
            }
            Step::End { attempt, status } if !self.out.is_empty() => {
                let (job, attempt) = self.out.remove(attempt % self.out.len());
                if self.proxy.attempt_ended(self.now, &job, attempt, status, LoadReport::default()) {
                    assert_eq!(status, Status::Ok);
                    self.answer(job);
                }
            }
            Step::Stray { job: at, attempt } => {
                let Some(job) = job(&self.jobs, at) else { return };
                if !self.out.contains(&(job.clone(), attempt)) {
                    assert!(!self.proxy.attempt_ended(
                        self.now,
                        &job,
                        attempt,
                        Status::Ok,
                        LoadReport::default()
                    ));
                }
            }
            Step::Leave { job: at } => {
                let Some(job) = job(&self.jobs, at) else { return };
                self.proxy.client_gone(self.now, &job);
                if !self.answered.contains_key(&job) {
                    self.left.insert(job);
                }
            }
            Step::Counted { status } if !self.calls.is_empty() => {
                let call = self.calls.remove(0);
                self.proxy.counter_response(self.now, call, status, 1.0, 0.001);
            }
            Step::Stop => self.respond_by = self.proxy.stop(self.now).respond_by(),
            Step::Wait { millis } => self.wait(self.now + millis as f64 / 1e3),
            Step::End { .. } | Step::Counted { .. } => {}
        }
        self.settle();
    }
}

fn arrival(job: &RequestId) -> IncomingRequest {
    let (customer, spread) = ("c".into(), (2, 0));
    let job = job.clone();
    IncomingRequest {
        id: job,
        customer,
        plan: 0,
        class: 0,
        units: 1.0,
        time_budget: TIME_BUDGET,
        customer_instances: spread,
        is_retry: false,
    }
}

proptest! {
    #[test]
    fn each_request_gets_one_answer_in_time_and_leaves_nothing(steps in proptest::collection::vec(step_or_stop(), 1..120)) {
        let mut rig = Rig::new();
        steps.into_iter().for_each(|step| rig.step(step));
        // Nothing more comes from anywhere: limits end what is open.
        rig.wait(rig.now + 2.0 * TIME_BUDGET);
        for job in &rig.jobs {
            let answers = rig.answered.get(job).copied().unwrap_or(0);
            prop_assert_eq!(answers, u32::from(!rig.left.contains(job)), "{}", job);
        }
        prop_assert_eq!((rig.proxy.pending(), rig.proxy.open_requests(), rig.out.len()), (0, 0, 0));
        prop_assert_eq!(rig.proxy.violations().total(), 0);
    }
}

#[test]
fn a_request_that_nobody_decides_is_answered_before_its_client_gives_up() {
    let mut rig = Rig::new();
    rig.arrive();
    rig.settle();
    rig.wait(START + TIME_BUDGET);
    assert_eq!(rig.answered.len(), 1);
    let tally = rig.proxy.tally();
    assert_eq!((tally.timed_out + tally.overdue, tally.served), (tally.attempts.max(1), 0));
}

#[test]
fn ever_new_requests_return_the_ledger_to_its_size() {
    let mut rig = Rig::new();
    for round in 0..2_000u32 {
        rig.arrive();
        rig.settle();
        rig.calls.clear();
        while let Some((job, attempt)) = rig.out.pop() {
            if rig.proxy.attempt_ended(rig.now, &job, attempt, Status::Ok, LoadReport::default()) {
                rig.answer(job);
            }
            rig.settle();
        }
        rig.wait(START + f64::from(round) * 0.1);
    }
    rig.wait(rig.now + TIME_BUDGET);
    assert_eq!((rig.proxy.pending(), rig.proxy.open_requests()), (0, 0));
    assert!(rig.proxy.tally().served > 500);
}
