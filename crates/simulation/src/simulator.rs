//! The event loop: engines, connections, the counter, and customers, on one virtual clock.

use crate::counter::{Counts, Line, State};
use crate::judge::{Verdict, Watch};
use crate::schedule::{Habit, Schedule, Trouble};
use std::cmp::Ordering;
use std::collections::{BinaryHeap, HashMap};
use weirusher::{Class, CustomerId, Endpoint, EndpointListKind, Plan, Settings, Status};
use weirusher_core::{
    Check, CheckOutcome, Command, Completion, Engine, EngineOutput, InstanceRange, Key, Keyring, Report,
};

/// Unix seconds at which every schedule begins.
const START: f64 = 1_800_000_000.0;
/// Seconds after which a call is given up.
const LIMIT: f64 = 0.05;
/// Seconds one way between a gateway and the counter, at the least; half of it again by chance.
const WAY: f64 = 0.0005;
/// Seconds between two looks at timers that are due.
const TICK: f64 = 0.001;
/// Seconds a checker works.
const WORK: f64 = 0.01;
/// Seconds that a client waits.
const PATIENCE: f64 = 3.0;

#[derive(Debug, Clone, Copy)]
enum Event {
    Ask(usize),
    Move(usize),
    Swing(usize),
    /// A call arrives at the counter.
    Arrives {
        instance: usize,
        made: u64,
        name: u64,
        amount: f64,
        ttl: f64,
    },
    /// Its answer arrives.
    Answers {
        instance: usize,
        made: u64,
        status: Status,
        total: f64,
    },
    /// Calls may have to be given up.
    Overdue {
        instance: usize,
        made: u64,
    },
    Reconnect {
        instance: usize,
        made: u64,
    },
    Timer {
        instance: usize,
        life: u64,
    },
    Begins(usize),
    Ends(usize),
}

struct Due {
    at: f64,
    order: u64,
    event: Event,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> Ordering {
        other.at.total_cmp(&self.at).then(other.order.cmp(&self.order))
    }
}

struct Gateway {
    engine: Engine,
    line: Line,
    life: u64,
    /// When its next timer event stands in the queue.
    timer: f64,
}

/// One customer as it asks.
struct Asker {
    id: CustomerId,
    factor: f64,
    /// Running sums of the gateways' weights.
    weights: Vec<f64>,
}

/// A schedule as it is played.
struct Play<'a> {
    line: &'a Schedule,
    now: f64,
    order: u64,
    queue: BinaryHeap<Due>,
    rng: fastrand::Rng,
    gateways: Vec<Gateway>,
    counts: Counts,
    state: State,
    askers: Vec<Asker>,
    watches: Vec<Watch>,
    callers: HashMap<u64, usize>,
    next_caller: u64,
    verdict: Verdict,
}

/// Plays a schedule to its end.
pub fn play(schedule: &Schedule) -> Verdict {
    let mut play = Play::new(schedule);
    while let Some(due) = play.queue.pop() {
        if due.at > START + schedule.length {
            break;
        }
        play.now = due.at;
        play.take(due.event);
    }
    play.verdict.customers = play.watches.into_iter().map(|w| w.result).collect();
    play.verdict
}

impl<'a> Play<'a> {
    fn new(line: &'a Schedule) -> Self {
        let mut play = Self {
            line,
            now: START,
            order: 0,
            queue: BinaryHeap::new(),
            rng: fastrand::Rng::with_seed(line.seed ^ 0x5EED),
            gateways: Vec::new(),
            counts: Counts::default(),
            state: State::Well,
            askers: Vec::new(),
            watches: Vec::new(),
            callers: HashMap::new(),
            next_caller: 0,
            verdict: Verdict::default(),
        };
        for instance in 0..line.gateways as usize {
            let gateway = play.gateway(instance, 0);
            play.gateways.push(gateway);
        }
        for customer in 0..line.demand.len() {
            let id = format!("customer-{customer}").into();
            play.askers.push(Asker { id, factor: 1.0, weights: Vec::new() });
            play.watches.push(Watch::new(START, line.quota, line.ceiling));
            play.swing(customer);
            play.shift(customer);
            play.next_ask(customer);
        }
        for (number, fault) in line.faults.iter().enumerate() {
            play.push(START + fault.at, Event::Begins(number));
            play.push(START + fault.at + fault.lasts, Event::Ends(number));
        }
        play
    }

    fn gateway(&mut self, instance: usize, life: u64) -> Gateway {
        let mut settings = Settings::default();
        let mut plan = Plan::default();
        [plan.rate, plan.burst] = self.line.quota;
        [plan.ceiling_rate, plan.ceiling_burst] = self.line.ceiling;
        plan.priority_weight = 1.0;
        (settings.plans, settings.classes) = (vec![plan], vec![Class::default()]);
        (settings.instance, settings.instances) = (instance as u32, self.line.gateways);
        (settings.has_counter, settings.counter_timeout, settings.max_attempts) = (true, LIMIT, 3);
        let ring = Keyring::new(vec![Key { id: 1, secret: vec![7; 32] }]).expect("one key is given");
        let seed = self.rng.u64(..);
        let mut engine = Engine::new(settings, ring, life, seed, self.now).expect("usable settings");
        let servers = (0..8).map(|n| Endpoint::warm(format!("127.0.0.1:{}", 7000 + n))).collect();
        engine.handle_endpoint_list(self.now, EndpointListKind::StaleSnapshot, servers);
        Gateway { engine, line: Line::new(LIMIT, seed), life, timer: f64::INFINITY }
    }

    fn push(&mut self, at: f64, event: Event) {
        self.order += 1;
        self.queue.push(Due { at, order: self.order, event });
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Ask(customer) => self.ask(customer),
            Event::Move(customer) => self.shift(customer),
            Event::Swing(customer) => self.swing(customer),
            Event::Arrives { instance, made, name, amount, ttl } => {
                self.arrives(instance, made, name, amount, ttl)
            }
            Event::Answers { instance, made, status, total } => self.answers(instance, made, status, total),
            Event::Overdue { instance, made } => self.overdue(instance, made),
            Event::Reconnect { instance, made } => self.reconnect(instance, made),
            Event::Timer { instance, life } => {
                if self.gateways[instance].life == life {
                    self.gateways[instance].timer = f64::INFINITY;
                    let now = self.now;
                    self.gateways[instance].engine.handle_timeout(now);
                    self.settle(instance);
                }
            }
            Event::Begins(fault) => self.begins(fault),
            Event::Ends(fault) => self.ends(fault),
        }
    }

    // ---- Customers ----

    fn swing(&mut self, customer: usize) {
        match self.line.demand[customer].habit {
            Habit::Steady(factor) => self.askers[customer].factor = factor,
            Habit::Swings(low, high, each) => {
                self.askers[customer].factor = if self.rng.bool() { low } else { high };
                self.push(self.now + each, Event::Swing(customer));
            }
        }
    }

    fn shift(&mut self, customer: usize) {
        let demand = self.line.demand[customer];
        let mut sum = 0.0;
        let mut weigh = |rng: &mut fastrand::Rng| {
            sum += (-(1.0 - rng.f64()).ln()).powf(demand.skew);
            sum
        };
        let weights = (0..self.line.gateways).map(|_| weigh(&mut self.rng)).collect();
        self.askers[customer].weights = weights;
        self.push(self.now + demand.moves, Event::Move(customer));
    }

    fn next_ask(&mut self, customer: usize) {
        let mean = 1.0 / (self.askers[customer].factor * self.line.quota[0]);
        // Never longer than a swing takes: an idle customer must notice that it has become busy.
        let wait = (-(1.0 - self.rng.f64()).ln() * mean).min(2.0);
        self.push(self.now + wait, Event::Ask(customer));
    }

    fn ask(&mut self, customer: usize) {
        self.next_ask(customer);
        let weights = &self.askers[customer].weights;
        let drawn = self.rng.f64() * weights.last().copied().unwrap_or(1.0);
        let instance = weights.partition_point(|w| *w <= drawn).min(weights.len() - 1);
        self.watches[customer].asks(self.now);
        self.verdict.asked += 1;
        self.next_caller += 1;
        self.callers.insert(self.next_caller, customer);
        let check = Check {
            customer: self.askers[customer].id.clone(),
            plan: 0,
            class: 0,
            units: 1.0,
            time_budget: PATIENCE,
            instances: InstanceRange { count: self.line.gateways, first: 0 },
            ticket: None,
        };
        self.gateways[instance].engine.handle_check(self.now, self.next_caller, &check);
        self.settle(instance);
    }

    // ---- Gateways ----

    /// Carries out what an engine wants, and keeps its timer in the queue.
    fn settle(&mut self, instance: usize) {
        loop {
            let outputs: Vec<EngineOutput> = self.gateways[instance].engine.drain_outputs().collect();
            if outputs.is_empty() {
                break;
            }
            outputs.into_iter().for_each(|output| self.output(instance, output));
        }
        let gateway = &mut self.gateways[instance];
        if let Some(at) = gateway.engine.next_timeout().filter(|at| *at < gateway.timer) {
            // The wheel turns in whole milliseconds: one that is due within this one must not be asked for again at once.
            let (at, life) = (at.max(self.now + TICK), gateway.life);
            gateway.timer = at;
            self.push(at, Event::Timer { instance, life });
        }
    }

    fn output(&mut self, instance: usize, output: EngineOutput) {
        match output {
            EngineOutput::CheckOutcome { caller, outcome, .. } => {
                let Some(customer) = self.callers.remove(&caller) else { return };
                if let CheckOutcome::Allowed(grant) = outcome {
                    self.watches[customer].sent(self.now);
                    let completion = Completion::Request(Status::Ok);
                    let report = Report {
                        ticket: &grant.ticket,
                        completion,
                        elapsed: Some(WORK),
                        settled_units: None,
                    };
                    self.gateways[instance].engine.handle_report(self.now, &report);
                }
            }
            EngineOutput::Command(Command::AddToCounter { call, counter, amount, ttl }) => {
                self.call(instance, call, counter, amount, ttl)
            }
            EngineOutput::Command(_) => {}
        }
    }

    fn call(&mut self, instance: usize, call: u64, name: u64, amount: f64, ttl: f64) {
        self.verdict.calls += 1;
        let (now, way) = (self.now, self.way());
        let gateway = &mut self.gateways[instance];
        if !gateway.line.up {
            return gateway.engine.handle_counter_response(now, call, Status::ConnectFailed, 0.0, 0.0);
        }
        if gateway.line.pipeline.send(now, call).is_err() {
            return gateway.engine.handle_counter_response(now, call, Status::Rejected, 0.0, 0.0);
        }
        let made = gateway.line.made;
        // Calls keep their order on a connection, both ways.
        gateway.line.sent = gateway.line.sent.max(now + way);
        let at = gateway.line.sent;
        self.push(at, Event::Arrives { instance, made, name, amount, ttl });
        self.push(now + LIMIT, Event::Overdue { instance, made });
    }

    // ---- The counter and the way to it ----

    fn way(&mut self) -> f64 {
        WAY * (1.0 + 0.5 * self.rng.f64())
    }

    fn arrives(&mut self, instance: usize, made: u64, name: u64, amount: f64, ttl: f64) {
        if self.state == State::Gone {
            return;
        }
        let total = self.counts.add(self.now, name, amount, ttl);
        let way = self.way();
        let line = &mut self.gateways[instance].line;
        if line.made != made {
            return;
        }
        line.mute |= self.state == State::Silent;
        if self.state == State::Reset {
            return self.lose(instance);
        }
        if line.mute {
            return;
        }
        let late = if let State::Late(seconds) = self.state { seconds } else { 0.0 };
        line.busy = (line.busy.max(self.now) + late).max(self.now + way);
        let (at, wrong) = (line.busy, self.state == State::Wrong);
        let status = if wrong { Status::Rejected } else { Status::Ok };
        self.push(at, Event::Answers { instance, made, status, total });
    }

    fn answers(&mut self, instance: usize, made: u64, status: Status, total: f64) {
        let gateway = &mut self.gateways[instance];
        if gateway.line.made != made {
            return;
        }
        gateway.line.answered = true;
        if let Ok(Some(ended)) = gateway.line.pipeline.response_completed(self.now) {
            gateway.engine.handle_counter_response(self.now, ended.call, status, total, ended.elapsed);
            self.settle(instance);
        }
    }

    fn overdue(&mut self, instance: usize, made: u64) {
        let gateway = &mut self.gateways[instance];
        if gateway.line.made != made {
            return;
        }
        for ended in gateway.line.pipeline.take_timed_out(self.now + 1e-9) {
            gateway.engine.handle_counter_response(self.now, ended.call, Status::Timeout, 0.0, ended.elapsed);
        }
        let dead = gateway.line.pipeline.is_unresponsive(self.now);
        let next = gateway.line.pipeline.deadline();
        if dead {
            self.lose(instance);
        } else if let Some(at) = next.filter(|at| *at > self.now) {
            self.push(at, Event::Overdue { instance, made });
        }
        self.settle(instance);
    }

    /// The connection breaks; a new one is tried after a pause.
    fn lose(&mut self, instance: usize) {
        let gateway = &mut self.gateways[instance];
        if !gateway.line.up {
            return;
        }
        let (calls, pause) = gateway.line.drop_connection(self.now);
        let made = gateway.line.made;
        for ended in calls {
            gateway.engine.handle_counter_response(self.now, ended.call, Status::Reset, 0.0, ended.elapsed);
        }
        self.push(self.now + pause, Event::Reconnect { instance, made });
        self.settle(instance);
    }

    fn reconnect(&mut self, instance: usize, made: u64) {
        let line = &mut self.gateways[instance].line;
        if line.made != made || line.up {
            return;
        }
        if self.state == State::Gone {
            let pause = line.backoff.next_delay();
            self.push(self.now + pause, Event::Reconnect { instance, made });
        } else {
            line.connect(LIMIT);
        }
    }

    // ---- Faults ----

    fn begins(&mut self, fault: usize) {
        match self.line.faults[fault].trouble {
            Trouble::Gone | Trouble::Replaced => {
                self.state = State::Gone;
                (0..self.gateways.len()).for_each(|instance| self.lose(instance));
            }
            Trouble::Silent => self.state = State::Silent,
            Trouble::Late(seconds) => self.state = State::Late(seconds),
            Trouble::Reset => self.state = State::Reset,
            Trouble::Wrong => self.state = State::Wrong,
            Trouble::Emptied => self.counts.empty(),
            Trouble::Restart(instance) => {
                let life = self.gateways[instance].life + 1;
                let made = self.gateways[instance].line.made + 1;
                self.verdict.restarts += 1;
                self.gateways[instance] = self.gateway(instance, life);
                self.gateways[instance].line.made = made;
                if self.state == State::Gone {
                    self.lose(instance);
                }
            }
        }
    }

    fn ends(&mut self, fault: usize) {
        match self.line.faults[fault].trouble {
            Trouble::Emptied | Trouble::Restart(_) => return,
            Trouble::Replaced => self.counts.empty(),
            _ => {}
        }
        self.state = State::Well; // The last of several that overlap ends them all.
    }
}
