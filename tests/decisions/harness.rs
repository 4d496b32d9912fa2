//! Test support: a gateway whose actions are recorded, and a fake counter that responds immediately.

use std::collections::{BTreeMap, VecDeque};
use weirusher::{
    Action, BackendId, Class, Endpoint, EndpointListKind, Event, Gateway, Lifecycle, LoadReport, Location,
    Plan, Request, RequestId, Settings, Status, Time,
};

/// A gateway with a clock that the test sets.
pub struct Harness {
    pub gateway: Gateway,
    pub now: Time,
    /// All actions so far.
    pub actions: Vec<Action>,
}

/// Creates a plan of `rate` units per second and a burst of `burst` units.
pub fn plan(rate: f64, burst: f64) -> Plan {
    let mut plan = Plan::default();
    (plan.rate, plan.burst, plan.priority_weight) = (rate, burst, 1.0);
    plan
}

/// Creates settings for one of two gateways, with one class and one plan of 10 units per second and a burst of 20.
pub fn settings() -> Settings {
    let mut settings = Settings::default();
    (settings.instances, settings.has_counter) = (2, true);
    (settings.hedging, settings.max_attempts) = (true, 3);
    (settings.slow_start_seconds, settings.slow_start_min_capacity) = (10.0, 0.2);
    (settings.overload_multiple, settings.overload_seconds) = (2.0, 1.0);
    settings.classes = vec![Class::default()];
    settings.plans = vec![plan(10.0, 20.0)];
    settings
}

/// Creates the same settings with a plan that has no quota.
pub fn settings_without_quota() -> Settings {
    let mut settings = settings();
    settings.plans = vec![Plan::default()];
    settings
}

pub fn endpoint(name: &str, lifecycle: Lifecycle, started: Time) -> Endpoint {
    Endpoint { id: name.into(), location: Location::from_numbers(0, 0), started, lifecycle }
}

/// Creates a request of one unit of the customer `c`, which both gateways serve.
pub fn new_request(id: &str, now: Time) -> Request {
    Request {
        id: id.into(),
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

impl Harness {
    /// Creates a gateway with three warmed-up backends `a`, `b` and `c`.
    pub fn new(settings: Settings) -> Self {
        let mut harness = Self::without_backends(settings);
        let endpoints = ["a", "b", "c"].map(|name| endpoint(name, Lifecycle::Running, 0.0)).to_vec();
        harness.update_endpoints(EndpointListKind::StaleSnapshot, endpoints);
        harness
    }

    pub fn without_backends(settings: Settings) -> Self {
        Self { gateway: Gateway::new(settings, 7).expect("valid settings"), now: 100.0, actions: Vec::new() }
    }

    pub fn update_endpoints(&mut self, kind: EndpointListKind, endpoints: Vec<Endpoint>) {
        self.handle(Event::EndpointList { kind, endpoints });
    }

    /// Handles one event and returns its actions.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.gateway.handle_event(self.now, event, &mut actions);
        self.actions.extend(actions.iter().cloned());
        actions
    }

    pub fn request(&mut self, id: &str) -> Vec<Action> {
        let request = new_request(id, self.now);
        self.handle(Event::Request(request))
    }

    pub fn counter_response(&mut self, counter: u64, status: Status, total: f64) -> Vec<Action> {
        self.handle(Event::CounterResponse { counter, status, total, elapsed: 0.002 })
    }

    /// Ends an attempt after 0.1 s; the request ends with it if the attempt was served.
    pub fn end_attempt(
        &mut self,
        id: &str,
        attempt: u32,
        backend: &BackendId,
        status: Status,
    ) -> Vec<Action> {
        self.handle(Event::AttemptEnded {
            request: id.into(),
            attempt,
            backend: backend.clone(),
            status,
            elapsed: 0.1,
            request_ended: status == Status::Ok,
            settled_units: None,
            load: LoadReport::default(),
        })
    }

    /// Ends the first attempt of a request after `elapsed` seconds.
    pub fn end_first_attempt(
        &mut self,
        id: &str,
        backend: &BackendId,
        status: Status,
        elapsed: f64,
        request_ended: bool,
    ) {
        self.handle(Event::AttemptEnded {
            request: id.into(),
            attempt: 0,
            backend: backend.clone(),
            status,
            elapsed,
            request_ended,
            settled_units: None,
            load: LoadReport::default(),
        });
    }
}

/// Returns the calls to the counter, as the name of the count and the units added.
pub fn counter_calls(actions: &[Action]) -> Vec<(u64, f64)> {
    let call = |action: &Action| match action {
        Action::AddToCounter { counter, amount, .. } => Some((*counter, *amount)),
        _ => None,
    };
    actions.iter().filter_map(call).collect()
}

/// Returns the attempts, as the request and the backend.
pub fn forwarded(actions: &[Action]) -> Vec<(RequestId, BackendId)> {
    let forward = |action: &Action| match action {
        Action::Forward { request, backend, .. } => Some((request.clone(), backend.clone())),
        _ => None,
    };
    actions.iter().filter_map(forward).collect()
}

/// Returns how many requests were rejected.
pub fn rejected(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Reject { .. })).count()
}

/// Returns how many requests failed.
pub fn failed(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Fail { .. })).count()
}

/// A counter that responds immediately; it holds the total of each count by name.
#[derive(Default)]
pub struct FakeCounter(pub BTreeMap<u64, f64>);

impl FakeCounter {
    /// Responds to the calls in `actions` and to the calls that follow from the responses. Returns the actions
    /// that follow.
    pub fn respond(&mut self, harness: &mut Harness, actions: &[Action]) -> Vec<Action> {
        let mut pending: VecDeque<_> = counter_calls(actions).into();
        let mut following = Vec::new();
        while let Some((counter, amount)) = pending.pop_front() {
            let total = self.0.entry(counter).or_default();
            *total += amount;
            let total = *total;
            let actions = harness.counter_response(counter, Status::Ok, total);
            pending.extend(counter_calls(&actions));
            following.extend(actions);
        }
        following
    }

    /// Passes one request to the gateway and responds to its calls; returns all actions.
    pub fn request(&mut self, harness: &mut Harness, id: &str) -> Vec<Action> {
        let mut actions = harness.request(id);
        actions.extend(self.respond(harness, &actions.clone()));
        actions
    }

    /// Passes `n` requests to the gateway, serves those that are forwarded, and returns their number.
    pub fn serve_many(&mut self, harness: &mut Harness, prefix: &str, n: usize) -> usize {
        let mut served = 0;
        for i in 0..n {
            let actions = self.request(harness, &format!("{prefix}{i}"));
            for (id, backend) in forwarded(&actions) {
                served += 1;
                let actions = harness.end_attempt(&id, 0, &backend, Status::Ok);
                self.respond(harness, &actions);
            }
        }
        served
    }

    /// Returns the sum of all counts.
    pub fn sum(&self) -> f64 {
        self.0.values().sum()
    }
}
