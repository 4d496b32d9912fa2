//! Simulates a fleet of gateways in front of backends with queues, in virtual time, and prints the outcomes of the
//! requests in each phase of a short run: `cargo run --release --example fleet_load -- GATEWAYS BACKENDS [SEED]`.
//!
//! The mean traffic of a gateway and the total backend capacity for each gateway are the same at every size.
//! With more backends, each one takes longer for a request; the latency objective and the deadline are
//! multiples of that time.

use std::cmp::Ordering;
use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};
use weirusher::{
    Action, BackendId, Class, Endpoint, EndpointListKind, Event, Gateway, LoadReport, Plan, Request,
    RequestId, Settings, Status, Time,
};

/// Mean request rate of a gateway, in requests a second.
const MEAN_REQUEST_RATE: f64 = 8.0;
/// Ratio of the highest possible request rate of a gateway to the lowest.
const MAX_RATE_RATIO: f64 = 8.0;
/// Mean utilization of the backends, as a fraction of their capacity.
const UTILIZATION: f64 = 0.6;
/// Number of requests that a backend serves concurrently; further ones are queued.
const SLOTS: usize = 3;
/// The latency objective, as a multiple of the mean service time.
const LATENCY_OBJECTIVE: f64 = 10.0;
/// The deadline of a request, as a multiple of the mean service time.
const DEADLINE: f64 = 30.0;
/// One-way network delay between a backend and a gateway, in seconds.
const ONE_WAY_SECONDS: f64 = 0.001;

/// A phase of the run.
struct Phase {
    /// End of the phase, in seconds from the start of the run.
    end: Time,
    /// Request rate, as a multiple of the mean.
    traffic: f64,
}

const PHASES: [Phase; 4] = [
    Phase { end: 2.0, traffic: 1.0 },
    Phase { end: 10.0, traffic: 1.0 },
    Phase { end: 15.0, traffic: 1.5 },
    Phase { end: 20.0, traffic: 1.0 },
];
/// End of the last phase, after which no requests arrive.
const END: Time = PHASES[PHASES.len() - 1].end;

/// An event of the simulation.
enum SimEvent {
    /// A request arrives at a gateway.
    Arrival { gateway: usize },
    /// A backend completes an attempt.
    Done { backend: usize, attempt: Attempt },
    /// The outcome of an attempt is known to its gateway.
    Outcome { backend: usize, attempt: Attempt, status: Status },
    /// A timer of a gateway is due.
    Timer { gateway: usize, token: u64 },
}

/// An event in the queue, with the time at which it is due.
struct Entry {
    at: Time,
    sequence: u64,
    event: SimEvent,
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
        other.at.total_cmp(&self.at).then(other.sequence.cmp(&self.sequence))
    }
}

/// An attempt that was sent to a backend.
#[derive(Clone)]
struct Attempt {
    gateway: usize,
    request: RequestId,
    number: u32,
    sent: Time,
}

/// A backend with a queue.
#[derive(Default)]
struct Backend {
    /// Number of attempts in service.
    busy: usize,
    queue: VecDeque<Attempt>,
    served: u64,
}

/// A request without a response so far.
struct OpenRequest {
    arrived: Time,
    phase: usize,
    attempts: u32,
}

/// The outcomes of the requests that arrived in a phase.
#[derive(Default, Clone, Copy)]
struct Outcomes {
    offered: u64,
    /// Requests served within the latency objective.
    in_time: u64,
    /// Requests served after the latency objective.
    late: u64,
    rejected: u64,
    failed: u64,
    /// Sum of the latencies of the served requests, in seconds.
    latency: f64,
}

/// The state of the simulation.
struct Fleet {
    now: Time,
    rng: fastrand::Rng,
    events: BinaryHeap<Entry>,
    sequence: u64,
    gateways: Vec<Gateway>,
    /// Request rate of each gateway.
    rates: Vec<f64>,
    backends: Vec<Backend>,
    backend_ids: Vec<BackendId>,
    backend_index: HashMap<BackendId, usize>,
    /// Mean service time of a request at a backend, in seconds.
    mean_service_time: f64,
    open_requests: HashMap<(usize, RequestId), OpenRequest>,
    /// Attempts without an outcome so far, by request and number of the attempt.
    pending_attempts: HashSet<(RequestId, u32)>,
    /// Pairs of gateway and backend between which attempts were sent.
    connected: HashSet<(usize, usize)>,
    phases: [Outcomes; PHASES.len()],
    last_request_id: u64,
}

fn settings(instance: usize, gateways: usize, mean_service_time: f64) -> Settings {
    let mut settings = Settings::default();
    (settings.instance, settings.instances) = (instance as u32, gateways as u32);
    (settings.hedging, settings.max_attempts) = (true, 3);
    let mut class = Class::default();
    (class.latency_objective, class.deadline, class.late_weight) =
        (LATENCY_OBJECTIVE * mean_service_time, DEADLINE * mean_service_time, 0.0);
    (settings.classes, settings.plans) = (vec![class], vec![Plan::default()]);
    settings
}

impl Fleet {
    fn new(gateways: usize, backends: usize, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let weights: Vec<f64> =
            (0..gateways).map(|_| 1.0 + (MAX_RATE_RATIO - 1.0) * rng.f64().powi(4)).collect();
        let sum: f64 = weights.iter().sum();
        let rates = weights.iter().map(|weight| MEAN_REQUEST_RATE * gateways as f64 * weight / sum).collect();
        let capacity = MEAN_REQUEST_RATE * gateways as f64 / UTILIZATION / backends as f64;
        let mean_service_time = SLOTS as f64 / capacity;
        let backend_ids: Vec<BackendId> = (0..backends).map(|n| format!("s-{n:04}").into()).collect();
        let backend_index = backend_ids.iter().cloned().enumerate().map(|(index, id)| (id, index)).collect();
        let gateway = |instance: usize| {
            Gateway::new(settings(instance, gateways, mean_service_time), seed ^ (instance as u64 * 7919 + 1))
        };
        let gateways =
            (0..gateways).map(|instance| gateway(instance).expect("the settings are valid")).collect();
        Self {
            now: 0.0,
            rng,
            events: BinaryHeap::new(),
            sequence: 0,
            gateways,
            rates,
            backends: (0..backends).map(|_| Backend::default()).collect(),
            backend_ids,
            backend_index,
            mean_service_time,
            open_requests: HashMap::new(),
            pending_attempts: HashSet::new(),
            connected: HashSet::new(),
            phases: [Outcomes::default(); PHASES.len()],
            last_request_id: 0,
        }
    }

    fn push(&mut self, at: Time, event: SimEvent) {
        self.sequence += 1;
        self.events.push(Entry { at, sequence: self.sequence, event });
    }

    /// The index of the current phase.
    fn phase(&self) -> usize {
        PHASES.iter().position(|phase| self.now < phase.end).unwrap_or(PHASES.len() - 1)
    }

    fn run(&mut self) {
        let endpoints: Vec<Endpoint> = self.backend_ids.iter().cloned().map(Endpoint::warm).collect();
        for gateway in 0..self.gateways.len() {
            self.handle_event(
                gateway,
                Event::EndpointList { kind: EndpointListKind::StaleSnapshot, endpoints: endpoints.clone() },
            );
            self.schedule_arrival(gateway);
        }
        while let Some(Entry { at, event, .. }) = self.events.pop() {
            if at > END + DEADLINE * self.mean_service_time {
                return;
            }
            self.now = at;
            match event {
                SimEvent::Arrival { gateway } => self.handle_arrival(gateway),
                SimEvent::Done { backend, attempt } => self.complete_service(backend, attempt),
                SimEvent::Timer { gateway, token } => self.handle_event(gateway, Event::Timer { token }),
                SimEvent::Outcome { backend, attempt, status } => self.end_attempt(backend, attempt, status),
            }
        }
    }

    fn schedule_arrival(&mut self, gateway: usize) {
        let traffic = PHASES[self.phase()].traffic;
        let interval = -(1.0 - self.rng.f64()).ln() / (self.rates[gateway] * traffic);
        let at = self.now + interval;
        if at < END {
            self.push(at, SimEvent::Arrival { gateway });
        }
    }

    fn handle_arrival(&mut self, gateway: usize) {
        self.schedule_arrival(gateway);
        self.last_request_id += 1;
        let request: RequestId = format!("{}", self.last_request_id).into();
        let phase = self.phase();
        self.phases[phase].offered += 1;
        self.open_requests
            .insert((gateway, request.clone()), OpenRequest { arrived: self.now, phase, attempts: 0 });
        let request = Request {
            id: request,
            units: 1.0,
            deadline: self.now + DEADLINE * self.mean_service_time,
            plan: 0,
            customer_instances: 1,
            first_instance: 0,
            class: 0,
            customer: "customer".into(),
            is_retry: false,
        };
        self.handle_event(gateway, Event::Request(request));
    }

    /// Passes an event to a gateway, and carries out its actions.
    fn handle_event(&mut self, gateway: usize, event: Event) {
        let mut actions = Vec::new();
        self.gateways[gateway].handle_event(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Forward { request, backend, timeout, .. } => {
                    self.start_attempt(gateway, request, &backend, timeout);
                }
                Action::SetTimer { token, at } => self.push(at, SimEvent::Timer { gateway, token }),
                Action::Reject { request, .. } => {
                    self.close_request(gateway, &request, |outcomes| outcomes.rejected += 1);
                }
                Action::Fail { request, .. } => {
                    self.close_request(gateway, &request, |outcomes| outcomes.failed += 1);
                }
                _ => {}
            }
        }
    }

    /// Removes an open request, and counts its outcome for the phase of its arrival.
    fn close_request(&mut self, gateway: usize, request: &RequestId, count: impl FnOnce(&mut Outcomes)) {
        if let Some(open) = self.open_requests.remove(&(gateway, request.clone())) {
            count(&mut self.phases[open.phase]);
        }
    }

    /// Sends an attempt to a backend, which serves it or queues it.
    fn start_attempt(&mut self, gateway: usize, request: RequestId, backend: &BackendId, timeout: f64) {
        let backend = self.backend_index[backend];
        self.connected.insert((gateway, backend));
        let Some(open) = self.open_requests.get_mut(&(gateway, request.clone())) else { return };
        let number = open.attempts;
        open.attempts += 1;
        self.pending_attempts.insert((request.clone(), number));
        let attempt = Attempt { gateway, request, number, sent: self.now };
        let timeout_event = SimEvent::Outcome { backend, attempt: attempt.clone(), status: Status::Timeout };
        self.push(self.now + timeout, timeout_event);
        if self.backends[backend].busy < SLOTS {
            self.start_service(backend, attempt);
        } else {
            self.backends[backend].queue.push_back(attempt);
        }
    }

    fn start_service(&mut self, backend: usize, attempt: Attempt) {
        self.backends[backend].busy += 1;
        let service_time = -(1.0 - self.rng.f64()).ln() * self.mean_service_time;
        self.push(self.now + service_time, SimEvent::Done { backend, attempt });
    }

    /// Completes an attempt at a backend, which then serves the next one in its queue.
    fn complete_service(&mut self, backend: usize, attempt: Attempt) {
        self.backends[backend].served += 1;
        self.backends[backend].busy -= 1;
        let outcome = SimEvent::Outcome { backend, attempt, status: Status::Ok };
        self.push(self.now + 2.0 * ONE_WAY_SECONDS, outcome);
        while let Some(next) = self.backends[backend].queue.pop_front() {
            // Attempts of closed requests are skipped: the gateway closes the connection, and the backend drops them.
            if self.open_requests.contains_key(&(next.gateway, next.request.clone())) {
                return self.start_service(backend, next);
            }
        }
    }

    /// Reports the outcome of an attempt to its gateway, unless one was reported before.
    fn end_attempt(&mut self, backend: usize, attempt: Attempt, status: Status) {
        let Attempt { gateway, request, number, sent } = attempt;
        if !self.pending_attempts.remove(&(request.clone(), number)) {
            return;
        }
        let request_ended = status == Status::Ok;
        if request_ended && let Some(open) = self.open_requests.get(&(gateway, request.clone())) {
            let latency = self.now - open.arrived;
            let objective = LATENCY_OBJECTIVE * self.mean_service_time;
            self.close_request(gateway, &request, |outcomes| {
                outcomes.in_time += u64::from(latency <= objective);
                outcomes.late += u64::from(latency > objective);
                outcomes.latency += latency;
            });
        }
        let backend = self.backend_ids[backend].clone();
        self.handle_event(
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
    println!("{gateways} gateways, {backends} backends, {:.3} s of work", fleet.mean_service_time);
    for (Phase { end, traffic }, outcomes) in PHASES.iter().zip(fleet.phases) {
        let fraction = |count: u64| count as f64 / outcomes.offered.max(1) as f64;
        println!(
            "  to {end:>4} s at {traffic}: in time {:.3}, late {:.3}, rejected {:.3}, failed {:.3}, mean {:.2} of the work",
            fraction(outcomes.in_time),
            fraction(outcomes.late),
            fraction(outcomes.rejected),
            fraction(outcomes.failed),
            outcomes.latency / fleet.mean_service_time / (outcomes.in_time + outcomes.late).max(1) as f64
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
