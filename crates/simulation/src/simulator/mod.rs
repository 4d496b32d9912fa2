//! The event loop of the simulation: engines, connections, the counter and customers on one virtual clock in seconds.

mod counter_link;
mod customers;
mod faults;
mod gateways;

use crate::counter::{CounterHealth, Counts};
use crate::event_queue::EventQueue;
use crate::outcome::Outcome;
use crate::schedule::Schedule;
use counter_link::CounterLinkEvent;
use customers::Customer;
use fastrand::Rng;
use gateways::Gateway;
use std::cmp::Ordering;
use std::collections::HashMap;

/// Unix time in seconds at which every schedule begins.
const START: f64 = 1_800_000_000.0;
/// Combined with the seed of a schedule, so that a run does not repeat the random numbers that generated its
/// schedule.
const RUN_SEED: u64 = 0x5EED;

/// Unix time in seconds on the virtual clock, with a total order.
#[derive(Debug, Clone, Copy)]
struct VirtualTime(f64);

impl PartialEq for VirtualTime {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for VirtualTime {}

impl PartialOrd for VirtualTime {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for VirtualTime {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

#[derive(Debug, Clone, Copy)]
enum Event {
    /// A customer sends a request.
    Request {
        customer: usize,
    },
    /// A new distribution of a customer's requests over the gateways is drawn.
    Redistribute {
        customer: usize,
    },
    /// A customer's demand changes.
    ChangeDemand {
        customer: usize,
    },
    /// An event on a gateway's connection to the counter.
    CounterLink {
        instance: usize,
        generation: u64,
        event: CounterLinkEvent,
    },
    /// A timer of a gateway's engine is due.
    Timer {
        instance: usize,
        incarnation: u64,
    },
    FaultBegins {
        fault: usize,
    },
    FaultEnds {
        fault: usize,
    },
}

/// The state of a running schedule.
struct Simulation<'a> {
    schedule: &'a Schedule,
    now: f64,
    queue: EventQueue<VirtualTime, Event>,
    rng: Rng,
    gateways: Vec<Gateway>,
    counts: Counts,
    counter_health: CounterHealth,
    customers: Vec<Customer>,
    /// The customer of each check without an outcome, by caller number.
    callers: HashMap<u64, usize>,
    next_caller: u64,
    outcome: Outcome,
}

/// Runs a schedule until the end of its duration.
pub fn run(schedule: &Schedule) -> Outcome {
    let mut simulation = Simulation::new(schedule);
    let end = VirtualTime(START + schedule.duration);
    while let Some((VirtualTime(at), event)) = simulation.queue.pop_due(end) {
        simulation.now = at;
        simulation.handle_event(event);
    }
    let customers = simulation.customers.into_iter().map(|customer| customer.monitor.outcome).collect();
    Outcome { customers, ..simulation.outcome }
}

impl<'a> Simulation<'a> {
    fn new(schedule: &'a Schedule) -> Self {
        let mut simulation = Self {
            schedule,
            now: START,
            queue: EventQueue::default(),
            rng: Rng::with_seed(schedule.seed ^ RUN_SEED),
            gateways: Vec::new(),
            counts: Counts::default(),
            counter_health: CounterHealth::Healthy,
            customers: Vec::new(),
            callers: HashMap::new(),
            next_caller: 0,
            outcome: Outcome::default(),
        };
        for instance in 0..schedule.gateways as usize {
            let gateway = simulation.start_gateway(instance, 0);
            simulation.gateways.push(gateway);
        }
        for customer in 0..schedule.demand.len() {
            simulation.add_customer(customer);
        }
        for (number, fault) in schedule.faults.iter().enumerate() {
            simulation.push(START + fault.at, Event::FaultBegins { fault: number });
            simulation.push(START + fault.at + fault.duration, Event::FaultEnds { fault: number });
        }
        simulation
    }

    fn push(&mut self, at: f64, event: Event) {
        self.queue.push(VirtualTime(at), event);
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Request { customer } => self.send_request(customer),
            Event::Redistribute { customer } => self.redistribute(customer),
            Event::ChangeDemand { customer } => self.change_demand(customer),
            Event::CounterLink { instance, generation, event } => {
                self.handle_counter_link(instance, generation, event);
            }
            Event::Timer { instance, incarnation } => self.handle_timer(instance, incarnation),
            Event::FaultBegins { fault } => self.begin_fault(fault),
            Event::FaultEnds { fault } => self.end_fault(fault),
        }
    }
}
