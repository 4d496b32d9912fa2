//! Simulates a fleet of gateways before servers that queue, in virtual time, and prints what was served in each phase of
//! a short day: `cargo run --release --example fleet_load -- GATEWAYS SERVERS [SEED]`.
//!
//! Each gateway has the same mean traffic at every size, and the servers together the same capacity for each gateway: where
//! there are more of them, each works longer on a request, and the aim grows with that.

use std::cmp::Ordering;
use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};
use weirusher::*;

/// Requests a second of a gateway, on average; the busiest have so many times what the quietest have.
const RATE: f64 = 8.0;
const BUSIEST: f64 = 8.0;
/// Share of the capacity that this takes.
const LOAD: f64 = 0.6;
/// Requests that a server works on at a time; the rest wait.
const SLOTS: usize = 3;
/// When a response is in time, and when its client has gone, in means of the work.
const AIM: f64 = 10.0;
const DEADLINE: f64 = 30.0;
/// Seconds between a gateway and a server.
const WAY: f64 = 0.001;
/// The phases of the day: their ends, in seconds, and their traffic relative to the usual one.
const PHASES: [(f64, f64); 4] = [(2.0, 1.0), (10.0, 1.0), (15.0, 1.5), (20.0, 1.0)];

/// What is due at a moment.
enum Due {
    Arrival { gateway: usize },
    Done { server: usize, attempt: Attempt },
    Outcome { server: usize, attempt: Attempt, status: Status },
    Timer { gateway: usize, token: u64 },
}

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

/// An attempt at a server.
#[derive(Clone)]
struct Attempt {
    gateway: usize,
    job: RequestId,
    number: u32,
    sent: Time,
}

/// A server: what it works on, and what waits.
#[derive(Default)]
struct Station {
    busy: usize,
    waiting: VecDeque<Attempt>,
    served: u64,
}

/// A request that has no response yet.
struct Open {
    arrived: Time,
    phase: usize,
    attempts: u32,
}

/// How the requests of a phase ended.
#[derive(Default, Clone, Copy)]
struct Ends {
    offered: u64,
    in_time: u64,
    late: u64,
    refused: u64,
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
    stations: Vec<Station>,
    names: Vec<BackendId>,
    places: HashMap<BackendId, usize>,
    /// Mean seconds of work on a request.
    work: f64,
    open: HashMap<(usize, RequestId), Open>,
    /// Attempts without an outcome so far.
    pending: HashSet<(RequestId, u32)>,
    connected: HashSet<(usize, usize)>,
    phases: [Ends; PHASES.len()],
    next: u64,
}

fn settings(me: usize, gateways: usize, work: f64) -> Settings {
    let mut settings = Settings::default();
    (settings.instance, settings.instances) = (me as u32, gateways as u32);
    (settings.hedging, settings.max_attempts) = (true, 3);
    let mut class = Class::default();
    (class.latency_objective, class.deadline, class.late_weight) = (AIM * work, DEADLINE * work, 0.0);
    (settings.classes, settings.plans) = (vec![class], vec![Plan::default()]);
    settings
}

impl Fleet {
    fn new(gateways: usize, servers: usize, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let weights: Vec<f64> = (0..gateways).map(|_| 1.0 + (BUSIEST - 1.0) * rng.f64().powi(4)).collect();
        let sum: f64 = weights.iter().sum();
        let rates = weights.iter().map(|weight| RATE * gateways as f64 * weight / sum).collect();
        let capacity = RATE * gateways as f64 / LOAD / servers as f64;
        let work = SLOTS as f64 / capacity;
        let names: Vec<BackendId> = (0..servers).map(|n| format!("s-{n:04}").into()).collect();
        let places = names.iter().cloned().enumerate().map(|(place, name)| (name, place)).collect();
        let gateway = |me: usize| Gateway::new(settings(me, gateways, work), seed ^ (me as u64 * 7919 + 1));
        let gateways = (0..gateways).map(|me| gateway(me).expect("usable settings")).collect();
        Self {
            now: 0.0,
            rng,
            due: BinaryHeap::new(),
            order: 0,
            gateways,
            rates,
            stations: (0..servers).map(|_| Station::default()).collect(),
            names,
            places,
            work,
            open: HashMap::new(),
            pending: HashSet::new(),
            connected: HashSet::new(),
            phases: [Ends::default(); PHASES.len()],
            next: 0,
        }
    }

    fn push(&mut self, at: Time, due: Due) {
        self.order += 1;
        self.due.push(Entry { at, order: self.order, due });
    }

    fn phase(&self) -> usize {
        PHASES.iter().position(|(end, _)| self.now < *end).unwrap_or(PHASES.len() - 1)
    }

    fn run(&mut self) {
        let servers: Vec<Endpoint> = self.names.iter().cloned().map(Endpoint::warm).collect();
        for gateway in 0..self.gateways.len() {
            self.handle(
                gateway,
                Event::EndpointList { kind: EndpointListKind::StaleSnapshot, endpoints: servers.clone() },
            );
            self.next_arrival(gateway);
        }
        while let Some(Entry { at, due, .. }) = self.due.pop() {
            if at > PHASES[PHASES.len() - 1].0 + DEADLINE * self.work {
                return;
            }
            self.now = at;
            match due {
                Due::Arrival { gateway } => self.arrive(gateway),
                Due::Done { server, attempt } => self.finish(server, attempt),
                Due::Timer { gateway, token } => self.handle(gateway, Event::Timer { token }),
                Due::Outcome { server, attempt, status } => self.end_attempt(server, attempt, status),
            }
        }
    }

    fn next_arrival(&mut self, gateway: usize) {
        let (_, traffic) = PHASES[self.phase()];
        let gap = -(1.0 - self.rng.f64()).ln() / (self.rates[gateway] * traffic);
        let at = self.now + gap;
        if at < PHASES[PHASES.len() - 1].0 {
            self.push(at, Due::Arrival { gateway });
        }
    }

    fn arrive(&mut self, gateway: usize) {
        self.next_arrival(gateway);
        self.next += 1;
        let job: RequestId = format!("{}", self.next).into();
        let phase = self.phase();
        self.phases[phase].offered += 1;
        self.open.insert((gateway, job.clone()), Open { arrived: self.now, phase, attempts: 0 });
        let request = Request {
            id: job,
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
        self.gateways[gateway].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Forward { request: job, backend: server, timeout, .. } => {
                    self.begin(gateway, job, &server, timeout)
                }
                Action::SetTimer { token, at } => self.push(at, Due::Timer { gateway, token }),
                Action::Reject { request: job, .. } => self.close(gateway, &job, |ends| ends.refused += 1),
                Action::Fail { request: job, .. } => self.close(gateway, &job, |ends| ends.failed += 1),
                _ => {}
            }
        }
    }

    fn close(&mut self, gateway: usize, job: &RequestId, count: impl FnOnce(&mut Ends)) {
        if let Some(open) = self.open.remove(&(gateway, job.clone())) {
            count(&mut self.phases[open.phase]);
        }
    }

    fn begin(&mut self, gateway: usize, job: RequestId, server: &BackendId, timeout: f64) {
        let server = self.places[server];
        self.connected.insert((gateway, server));
        let Some(open) = self.open.get_mut(&(gateway, job.clone())) else { return };
        let number = open.attempts;
        open.attempts += 1;
        self.pending.insert((job.clone(), number));
        let attempt = Attempt { gateway, job, number, sent: self.now };
        let given_up = Due::Outcome { server, attempt: attempt.clone(), status: Status::Timeout };
        self.push(self.now + timeout, given_up);
        if self.stations[server].busy < SLOTS {
            self.work_on(server, attempt);
        } else {
            self.stations[server].waiting.push_back(attempt);
        }
    }

    fn work_on(&mut self, server: usize, attempt: Attempt) {
        self.stations[server].busy += 1;
        let work = -(1.0 - self.rng.f64()).ln() * self.work;
        self.push(self.now + work, Due::Done { server, attempt });
    }

    fn finish(&mut self, server: usize, attempt: Attempt) {
        self.stations[server].served += 1;
        self.stations[server].busy -= 1;
        let due = Due::Outcome { server, attempt, status: Status::Ok };
        self.push(self.now + 2.0 * WAY, due);
        while let Some(next) = self.stations[server].waiting.pop_front() {
            // Its gateway has given it up, and its connection has ended.
            if self.open.contains_key(&(next.gateway, next.job.clone())) {
                return self.work_on(server, next);
            }
        }
    }

    fn end_attempt(&mut self, server: usize, attempt: Attempt, status: Status) {
        let Attempt { gateway, job, number, sent } = attempt;
        if !self.pending.remove(&(job.clone(), number)) {
            return;
        }
        let over = status == Status::Ok;
        if over && let Some(open) = self.open.get(&(gateway, job.clone())) {
            let (spent, work) = (self.now - open.arrived, self.work);
            self.close(gateway, &job, |ends| {
                ends.in_time += u64::from(spent <= AIM * work);
                ends.late += u64::from(spent > AIM * work);
                ends.latency += spent;
            });
        }
        let server = self.names[server].clone();
        let spent = self.now - sent;
        let load = LoadReport::default();
        self.handle(
            gateway,
            Event::AttemptEnded {
                request: job,
                attempt: number,
                backend: server,
                status,
                elapsed: spent,
                request_ended: over,
                settled_units: None,
                load,
            },
        );
    }
}

fn main() {
    let mut arguments = std::env::args().skip(1).map(|text| text.parse::<u64>().expect("a number"));
    let gateways = arguments.next().unwrap_or(300) as usize;
    let servers = arguments.next().unwrap_or(200) as usize;
    let mut fleet = Fleet::new(gateways, servers, arguments.next().unwrap_or(1));
    fleet.run();
    println!("{gateways} gateways, {servers} servers, {:.3} s of work", fleet.work);
    for ((end, traffic), ends) in PHASES.iter().zip(fleet.phases) {
        let share = |many: u64| many as f64 / ends.offered.max(1) as f64;
        println!(
            "  to {end:>4} s at {traffic}: in time {:.3}, late {:.3}, refused {:.3}, failed {:.3}, mean {:.2} of the work",
            share(ends.in_time),
            share(ends.late),
            share(ends.refused),
            share(ends.failed),
            ends.latency / fleet.work / (ends.in_time + ends.late).max(1) as f64
        );
    }
    let connections = fleet.connected.len() as f64 / gateways as f64;
    let served: Vec<f64> = fleet.stations.iter().map(|station| station.served as f64).collect();
    let mean = served.iter().sum::<f64>() / servers as f64;
    let deviation = (served.iter().map(|s| (s - mean).powi(2)).sum::<f64>() / servers as f64).sqrt();
    println!(
        "  servers used by a gateway {connections:.1}; load of a server {mean:.0}, deviation {:.2}",
        deviation / mean
    );
}
