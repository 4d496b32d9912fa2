//! A harness that drives the module alone and keeps what it returned.
#![allow(dead_code)]

use weirusher::*;

pub struct Rig {
    pub gateway: Gateway,
    pub now: Time,
    pub actions: Vec<Action>,
}

pub fn plan(rate: f64, burst: f64) -> Plan {
    let mut plan = Plan::default();
    (plan.rate, plan.burst, plan.priority_weight) = (rate, burst, 1.0);
    plan
}

pub fn settings() -> Settings {
    let mut s = Settings::default();
    (s.instances, s.has_counter, s.hedging, s.max_attempts) = (2, true, true, 3);
    (s.slow_start_seconds, s.slow_start_min_capacity) = (10.0, 0.2);
    (s.overload_multiple, s.overload_seconds) = (2.0, 1.0);
    s.classes = vec![Class::default()];
    s.plans = vec![plan(10.0, 20.0)];
    s
}

pub fn server(name: &str, lifecycle: Lifecycle, started: Time) -> Endpoint {
    Endpoint { id: name.into(), zone: 0, cell: 0, started, lifecycle }
}

pub fn request(job: &str, now: Time) -> Request {
    Request {
        id: job.into(),
        units: 1.0,
        deadline: now + 3.0,
        plan: 0,
        customer_instances: 2,
        first_instance: 0,
        class: 0,
        customer: "c".into(),
        is_retry: false,
    }
}

impl Rig {
    pub fn new(settings: Settings) -> Self {
        let mut rig = Self::empty(settings);
        let servers = ["a", "b", "c"].map(|n| server(n, Lifecycle::Running, 0.0)).to_vec();
        rig.list(EndpointListKind::StaleSnapshot, servers);
        rig
    }

    pub fn empty(settings: Settings) -> Self {
        Self { gateway: Gateway::new(settings, 7).expect("usable settings"), now: 100.0, actions: Vec::new() }
    }

    pub fn list(&mut self, kind: EndpointListKind, servers: Vec<Endpoint>) {
        self.event(Event::EndpointList { kind, endpoints: servers });
    }

    /// Handles one event and returns what it led to.
    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.gateway.handle(self.now, event, &mut out);
        self.actions.extend(out.iter().cloned());
        out
    }

    pub fn ask(&mut self, job: &str) -> Vec<Action> {
        let request = request(job, self.now);
        self.event(Event::Request(request))
    }

    pub fn counted(&mut self, counter: u64, status: Status, total: f64) -> Vec<Action> {
        self.event(Event::CounterResponse { counter, status, total, elapsed: 0.002 })
    }

    pub fn outcome(&mut self, job: &str, attempt: u32, server: &BackendId, status: Status) -> Vec<Action> {
        self.event(Event::AttemptEnded {
            request: job.into(),
            attempt,
            backend: server.clone(),
            status,
            elapsed: 0.1,
            request_ended: status == Status::Ok,
            settled_units: None,
            load: LoadReport::default(),
        })
    }
}

pub fn counts(actions: &[Action]) -> Vec<(u64, f64)> {
    let count = |a: &Action| match a {
        Action::AddToCounter { counter, amount, .. } => Some((*counter, *amount)),
        _ => None,
    };
    actions.iter().filter_map(count).collect()
}

pub fn sends(actions: &[Action]) -> Vec<(RequestId, BackendId)> {
    let send = |a: &Action| match a {
        Action::Forward { request: job, backend: server, .. } => Some((job.clone(), server.clone())),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

pub fn refused(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Reject { .. })).count()
}

pub fn failed(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Fail { .. })).count()
}

/// A counter that answers at once, as the service would.
#[derive(Default)]
pub struct Counter(pub std::collections::BTreeMap<u64, f64>);

impl Counter {
    /// Answers the calls among `actions`, and those that follow, through `rig`; returns what they led to.
    pub fn answer(&mut self, rig: &mut Rig, actions: &[Action]) -> Vec<Action> {
        let mut pending: std::collections::VecDeque<_> = counts(actions).into();
        let mut led_to = Vec::new();
        while let Some((name, step)) = pending.pop_front() {
            let total = self.0.entry(name).or_default();
            *total += step;
            let total = *total;
            let out = rig.counted(name, Status::Ok, total);
            pending.extend(counts(&out));
            led_to.extend(out);
        }
        led_to
    }

    /// One request through `rig` with its calls answered; its actions.
    pub fn ask(&mut self, rig: &mut Rig, job: &str) -> Vec<Action> {
        let mut out = rig.ask(job);
        out.extend(self.answer(rig, &out.clone()));
        out
    }

    /// Asks `n` requests, answers those that are sent, and tells how many were.
    pub fn ask_many(&mut self, rig: &mut Rig, tag: &str, n: usize) -> usize {
        let mut sent = 0;
        for i in 0..n {
            let out = self.ask(rig, &format!("{tag}{i}"));
            for (job, server) in sends(&out) {
                sent += 1;
                let out = rig.outcome(&job, 0, &server, Status::Ok);
                self.answer(rig, &out);
            }
        }
        sent
    }

    pub fn sum(&self) -> f64 {
        self.0.values().sum()
    }
}
