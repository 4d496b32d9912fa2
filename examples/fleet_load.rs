//! Simulates a fleet of gateways before backends that queue, in virtual time, and prints what was served in
//! each phase of a short run: `cargo run --release --example fleet_load -- GATEWAYS BACKENDS [SEED]`.
//!
//! Each gateway has the same mean traffic at every size, and the backends together the same capacity for each
//! gateway: where there are more of them, each works longer on a request, and the latency objective grows
//! with that.

use std::cmp::Ordering;
use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};
use weirusher::{
    Action, BackendId, Class, Endpoint, EndpointListKind, Event, Gateway, LoadReport, Plan, Request,
    RequestId, Settings, Status, Time,
};

/// Requests a second of a gateway, on average.
const RATE: f64 = 8.0;
/// Traffic of the busiest gateways, in that of the quietest.
const BUSIEST: f64 = 8.0;
/// Fraction of the capacity that the traffic takes.
const LOAD: f64 = 0.6;
/// Requests that a backend works on at a time; the rest wait.
const SLOTS: usize = 3;
/// The latency objective, in means of the work.
const LATENCY_OBJECTIVE: f64 = 10.0;
/// The deadline, in means of the work.
const DEADLINE: f64 = 30.0;
/// Seconds from a backend to a gateway, one way.
const ONE_WAY_SECONDS: f64 = 0.001;

/// A part of the run.
struct Phase {
    /// Its end, in seconds.
    end: Time,
    /// Its traffic, relative to the mean.
    traffic: f64,
}

const PHASES: [Phase; 4] = [
    Phase { end: 2.0, traffic: 1.0 },
    Phase { end: 10.0, traffic: 1.0 },
    Phase { end: 15.0, traffic: 1.5 },
    Phase { end: 20.0, traffic: 1.0 },
];
/// When the last requests arrive, in seconds.
const END: Time = PHASES[PHASES.len() - 1].end;

/// An event of the simulation.
enum Due {
    Arrival { gateway: usize },
    Done { backend: usize, attempt: Attempt },
    Outcome { backend: usize, attempt: Attempt, status: Status },
    Timer { gateway: usize, token: u64 },
}

/// An event and when it is due.
struct Entry {
    at: Time,
    order: u64,
    due: Due,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> Ordering {
        other.at.total_cmp(&self.at).then(other.order.cmp(&self.order))
    }
}

/// An attempt at a backend.
#[derive(Clone)]
struct Attempt {
    gateway: usize,
    request: RequestId,
    number: u32,
    sent: Time,
}

/// A backend: how many requests it works on, and which wait.
#[derive(Default)]
struct Backend {
    busy: usize,
    waiting: VecDeque<Attempt>,
    served: u64,
}

/// A request without a response.
struct OpenRequest {
    arrived: Time,
    phase: usize,
    attempts: u32,
}

/// How the requests of a phase ended.
#[derive(Default, Clone, Copy)]
struct Outcomes {
    offered: u64,
    in_time: u64,
    late: u64,
    rejected: u64,
    failed: u64,
    latency: f64,
}

struct Fleet {
    now: Time,
    rng: fastrand::Rng,
    due: BinaryHeap<Entry>,
    order: u64,
    gateways: Vec<Gateway>,
    rates: Vec<f64>,
    backends: Vec<Backend>,
    names: Vec<BackendId>,
    index: HashMap<BackendId, usize>,
    /// Mean seconds of work on a request.
    work: f64,
    open: HashMap<(usize, RequestId), OpenRequest>,
    /// Attempts without an outcome so far.
    pending: HashSet<(RequestId, u32)>,
    connected: HashSet<(usize, usize)>,
    phases: [Outcomes; PHASES.len()],
    next: u64,
}

fn settings(instance: usize, gateways: usize, work: f64) -> Settings {
    let mut settings = Settings::default();
    (settings.instance, settings.instances) = (instance as u32, gateways as u32);
    (settings.hedging, settings.max_attempts) = (true, 3);
    let mut class = Class::default();
    (class.latency_objective, class.deadline, class.late_weight) =
        (LATENCY_OBJECTIVE * work, DEADLINE * work, 0.0);
    (settings.classes, settings.plans) = (vec![class], vec![Plan::default()]);
    settings
}

impl Fleet {
    fn new(gateways: usize, backends: usize, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let weights: Vec<f64> = (0..gateways).map(|_| 1.0 + (BUSIEST - 1.0) * rng.f64().powi(4)).collect();
        let sum: f64 = weights.iter().sum();
        let rates = weights.iter().map(|weight| RATE * gateways as f64 * weight / sum).collect();
        let capacity = RATE * gateways as f64 / LOAD / backends as f64;
        let work = SLOTS as f64 / capacity;
        let names: Vec<BackendId> = (0..backends).map(|n| format!("s-{n:04}").into()).collect();
        let index = names.iter().cloned().enumerate().map(|(index, name)| (name, index)).collect();
        let gateway = |instance: usize| {
            Gateway::new(settings(instance, gateways, work), seed ^ (instance as u64 * 7919 + 1))
        };
        let gateways = (0..gateways).map(|instance| gateway(instance).expect("usable settings")).collect();
        Self {
            now: 0.0,
            rng,
            due: BinaryHeap::new(),
            order: 0,
            gateways,
            rates,
            backends: (0..backends).map(|_| Backend::default()).collect(),
            names,
            index,
            work,
            open: HashMap::new(),
            pending: HashSet::new(),
            connected: HashSet::new(),
            phases: [Outcomes::default(); PHASES.len()],
            next: 0,
        }
    }

    fn push(&mut self, at: Time, due: Due) {
        self.order += 1;
        self.due.push(Entry { at, order: self.order, due });
    }

    fn phase(&self) -> usize {
        PHASES.iter().position(|phase| self.now < phase.end).unwrap_or(PHASES.len() - 1)
    }

    fn run(&mut self) {
        let endpoints: Vec<Endpoint> = self.names.iter().cloned().map(Endpoint::warm).collect();
        for gateway in 0..self.gateways.len() {
            self.handle(
                gateway,
                Event::EndpointList { kind: EndpointListKind::StaleSnapshot, endpoints: endpoints.clone() },
            );
            self.next_arrival(gateway);
        }
        while let Some(Entry { at, due, .. }) = self.due.pop() {
            if at > END + DEADLINE * self.work {
                return;
            }
            self.now = at;
            match due {
                Due::Arrival { gateway } => self.arrive(gateway),
                Due::Done { backend, attempt } => self.finish(backend, attempt),
                Due::Timer { gateway, token } => self.handle(gateway, Event::Timer { token }),
                Due::Outcome { backend, attempt, status } => self.end_attempt(backend, attempt, status),
            }
        }
    }

    fn next_arrival(&mut self, gateway: usize) {
        let traffic = PHASES[self.phase()].traffic;
        let gap = -(1.0 - self.rng.f64()).ln() / (self.rates[gateway] * traffic);
        let at = self.now + gap;
        if at < END {
            self.push(at, Due::Arrival { gateway });
        }
    }

    fn arrive(&mut self, gateway: usize) {
        self.next_arrival(gateway);
        self.next += 1;
        let request: RequestId = format!("{}", self.next).into();
        let phase = self.phase();
        self.phases[phase].offered += 1;
        self.open.insert((gateway, request.clone()), OpenRequest { arrived: self.now, phase, attempts: 0 });
        let request = Request {
            id: request,
            units: 1.0,
            deadline: self.now + DEADLINE * self.work,
            plan: 0,
            customer_instances: 1,
            first_instance: 0,
            class: 0,
            customer: "customer".into(),
            is_retry: false,
        };
        self.handle(gateway, Event::Request(request));
    }

    fn handle(&mut self, gateway: usize, event: Event) {
        let mut actions = Vec::new();
        self.gateways[gateway].handle_event(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Forward { request, backend, timeout, .. } => {
                    self.begin(gateway, request, &backend, timeout);
                }
                Action::SetTimer { token, at } => self.push(at, Due::Timer { gateway, token }),
                Action::Reject { request, .. } => {
                    self.close(gateway, &request, |outcomes| outcomes.rejected += 1);
                }
                Action::Fail { request, .. } => {
                    self.close(gateway, &request, |outcomes| outcomes.failed += 1);
                }
                _ => {}
            }
        }
    }

    fn close(&mut self, gateway: usize, request: &RequestId, count: impl FnOnce(&mut Outcomes)) {
        if let Some(open) = self.open.remove(&(gateway, request.clone())) {
            count(&mut self.phases[open.phase]);
        }
    }

    fn begin(&mut self, gateway: usize, request: RequestId, backend: &BackendId, timeout: f64) {
        let backend = self.index[backend];
        self.connected.insert((gateway, backend));
        let Some(open) = self.open.get_mut(&(gateway, request.clone())) else { return };
        let number = open.attempts;
        open.attempts += 1;
        self.pending.insert((request.clone(), number));
        let attempt = Attempt { gateway, request, number, sent: self.now };
        let timeout_event = Due::Outcome { backend, attempt: attempt.clone(), status: Status::Timeout };
        self.push(self.now + timeout, timeout_event);
        if self.backends[backend].busy < SLOTS {
            self.work_on(backend, attempt);
        } else {
            self.backends[backend].waiting.push_back(attempt);
        }
    }

    fn work_on(&mut self, backend: usize, attempt: Attempt) {
        self.backends[backend].busy += 1;
        let work = -(1.0 - self.rng.f64()).ln() * self.work;
        self.push(self.now + work, Due::Done { backend, attempt });
    }

    fn finish(&mut self, backend: usize, attempt: Attempt) {
        self.backends[backend].served += 1;
        self.backends[backend].busy -= 1;
        let due = Due::Outcome { backend, attempt, status: Status::Ok };
        self.push(self.now + 2.0 * ONE_WAY_SECONDS, due);
        while let Some(next) = self.backends[backend].waiting.pop_front() {
            // One that its gateway has given up has left the queue with its connection.
            if self.open.contains_key(&(next.gateway, next.request.clone())) {
                return self.work_on(backend, next);
            }
        }
    }

    fn end_attempt(&mut self, backend: usize, attempt: Attempt, status: Status) {
        let Attempt { gateway, request, number, sent } = attempt;
        if !self.pending.remove(&(request.clone(), number)) {
            return;
        }
        let request_ended = status == Status::Ok;
        if request_ended && let Some(open) = self.open.get(&(gateway, request.clone())) {
            let latency = self.now - open.arrived;
            let objective = LATENCY_OBJECTIVE * self.work;
            self.close(gateway, &request, |outcomes| {
                outcomes.in_time += u64::from(latency <= objective);
                outcomes.late += u64::from(latency > objective);
                outcomes.latency += latency;
            });
        }
        let backend = self.names[backend].clone();
        self.handle(
            gateway,
            Event::AttemptEnded {
                request,
                attempt: number,
                backend,
                status,
                elapsed: self.now - sent,
                request_ended,
                settled_units: None,
                load: LoadReport::default(),
            },
        );
    }
}

fn main() {
    let mut arguments = std::env::args().skip(1).map(|text| text.parse::<u64>().expect("a number"));
    let gateways = arguments.next().unwrap_or(300) as usize;
    let backends = arguments.next().unwrap_or(200) as usize;
    let mut fleet = Fleet::new(gateways, backends, arguments.next().unwrap_or(1));
    fleet.run();
    println!("{gateways} gateways, {backends} backends, {:.3} s of work", fleet.work);
    for (Phase { end, traffic }, outcomes) in PHASES.iter().zip(fleet.phases) {
        let fraction = |count: u64| count as f64 / outcomes.offered.max(1) as f64;
        println!(
            "  to {end:>4} s at {traffic}: in time {:.3}, late {:.3}, rejected {:.3}, failed {:.3}, mean {:.2} of the work",
            fraction(outcomes.in_time),
            fraction(outcomes.late),
            fraction(outcomes.rejected),
            fraction(outcomes.failed),
            outcomes.latency / fleet.work / (outcomes.in_time + outcomes.late).max(1) as f64
        );
    }
    let connections = fleet.connected.len() as f64 / gateways as f64;
    let served: Vec<f64> = fleet.backends.iter().map(|backend| backend.served as f64).collect();
    let mean = served.iter().sum::<f64>() / backends as f64;
    let deviation = (served.iter().map(|s| (s - mean).powi(2)).sum::<f64>() / backends as f64).sqrt();
    println!(
        "  backends used by a gateway {connections:.1}; load of a backend {mean:.0}, deviation {:.2}",
        deviation / mean
    );
}
