//! Random legal event sequences with fixed seeds: the rules that one gateway can keep by itself are kept.

use crate::harness::{Harness, endpoint, new_request, plan, settings};
use std::collections::{BTreeMap, BTreeSet};
use weirusher::{
    Action, BackendId, EndpointListKind, Event, Idempotency, Lifecycle, Plan, RequestId, Settings, Status,
    Time,
};

/// Events of one sequence.
const EVENTS: u32 = 1500;

/// A linear congruential generator of its own, so that a seed names the same sequence in every version.
struct Random(u64);

impl Random {
    /// A number below `n`.
    fn below(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.0 >> 33) % n
    }
}

/// An attempt in flight.
struct InFlight {
    request: RequestId,
    attempt: u32,
    backend: BackendId,
    times_out_at: Time,
}

/// What the rules need to know of the requests, the backends and the counter.
#[derive(Default)]
struct Observer {
    non_idempotent: bool,
    deadlines: BTreeMap<RequestId, Time>,
    ended: BTreeSet<RequestId>,
    /// By request, whether each attempt surely never ran.
    never_ran: BTreeMap<RequestId, Vec<bool>>,
    in_flight: Vec<InFlight>,
    calls: Vec<u64>,
    timers: Vec<(Time, u64)>,
    /// Backends that are draining or removed.
    stopped: BTreeSet<BackendId>,
    counts: BTreeMap<u64, f64>,
}

impl Observer {
    /// Checks the actions that an event at `now` has led to.
    fn check(&mut self, now: Time, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Forward { request, backend, timeout, .. } => {
                    assert!(!self.ended.contains(request), "sent after its end");
                    assert!(!self.stopped.contains(backend), "sent to a backend that is draining or removed");
                    let attempts = self.never_ran.entry(request.clone()).or_default();
                    assert!(!self.non_idempotent || attempts.iter().all(|never| *never), "may run twice");
                    self.in_flight.push(InFlight {
                        request: request.clone(),
                        attempt: attempts.len() as u32,
                        backend: backend.clone(),
                        times_out_at: now + timeout,
                    });
                    attempts.push(false);
                }
                Action::Reject { request, .. } | Action::Fail { request, .. } => {
                    let never_ran = self
                        .never_ran
                        .get(request)
                        .is_none_or(|attempts| attempts.iter().all(|never| *never));
                    let rejects = matches!(action, Action::Reject { .. });
                    assert!(
                        !(self.non_idempotent && rejects) || never_ran,
                        "rejected though it may have run"
                    );
                    assert!(self.ended.insert(request.clone()), "ended twice");
                    assert!(now <= self.deadlines[request] + 0.008, "responded to after its deadline");
                }
                Action::AddToCounter { counter, amount, .. } => {
                    *self.counts.entry(*counter).or_default() += amount;
                    self.calls.push(*counter);
                }
                Action::SetTimer { token, at } => self.timers.push((*at, *token)),
                _ => {}
            }
        }
    }
}

fn random_settings(non_idempotent: bool) -> Settings {
    let mut settings = settings();
    settings.classes[0].idempotency =
        if non_idempotent { Idempotency::NonIdempotent } else { Idempotency::Idempotent };
    (settings.plans[0].ceiling_rate, settings.plans[0].ceiling_burst) = (20.0, 40.0);
    settings.plans.extend([plan(1.0, 3.0), Plan::default()]);
    settings.plans[1].max_concurrent = 2;
    settings
}

/// Fires the timers that are due, and ends the attempts that time out.
fn let_time_pass(harness: &mut Harness, observer: &mut Observer) {
    let now = harness.now;
    let due: Vec<u64> =
        observer.timers.iter().filter(|(at, _)| *at <= now).map(|(_, token)| *token).collect();
    observer.timers.retain(|(at, _)| *at > now);
    for token in due {
        let actions = harness.handle(Event::Timer { token });
        observer.check(now, &actions);
    }
    while let Some(i) = observer.in_flight.iter().position(|attempt| attempt.times_out_at <= now) {
        let ended = observer.in_flight.remove(i);
        let actions = harness.end_attempt(&ended.request, ended.attempt, &ended.backend, Status::Timeout);
        observer.check(now, &actions);
    }
}

fn send_request(harness: &mut Harness, observer: &mut Observer, random: &mut Random, n: u32) -> Vec<Action> {
    let mut request = new_request(&format!("j{n}"), harness.now);
    (request.plan, request.customer_instances) = (random.below(3) as usize, 1 + random.below(3) as u32);
    request.customer = format!("c{}", random.below(4)).as_str().into();
    request.deadline = harness.now + 0.01 * random.below(100) as f64;
    observer.deadlines.insert(request.id.clone(), request.deadline);
    harness.handle(Event::Request(request))
}

fn end_attempt(harness: &mut Harness, observer: &mut Observer, random: &mut Random) -> Vec<Action> {
    const STATUSES: [Status; 5] =
        [Status::Ok, Status::Error, Status::Rejected, Status::ConnectFailed, Status::Reset];
    let i = random.below(observer.in_flight.len() as u64) as usize;
    let InFlight { request, attempt, backend, .. } = observer.in_flight.remove(i);
    let status = STATUSES[random.below(5) as usize];
    let never_ran = matches!(status, Status::Rejected | Status::ConnectFailed);
    observer.never_ran.get_mut(&request).expect("sent")[attempt as usize] = never_ran;
    if status == Status::Ok {
        observer.ended.insert(request.clone());
    }
    harness.end_attempt(&request, attempt, &backend, status)
}

fn respond_to_call(harness: &mut Harness, observer: &mut Observer, random: &mut Random) -> Vec<Action> {
    const STATUSES: [Status; 5] = [Status::Ok, Status::Ok, Status::Ok, Status::Timeout, Status::Rejected];
    let counter = observer.calls.remove(0);
    if random.below(200) == 0 {
        observer.counts.clear();
    }
    let total = observer.counts.get(&counter).copied().unwrap_or(0.0);
    harness.counter_response(counter, STATUSES[random.below(5) as usize], total)
}

fn change_list(harness: &mut Harness, observer: &mut Observer, random: &mut Random) -> Vec<Action> {
    const STATES: [Lifecycle; 3] = [Lifecycle::Running, Lifecycle::Draining, Lifecycle::Removed];
    let name = ["a", "b", "c"][random.below(3) as usize];
    let lifecycle = STATES[random.below(3) as usize];
    if lifecycle == Lifecycle::Running {
        observer.stopped.remove(name);
    } else {
        observer.stopped.insert(name.into());
    }
    let endpoints = vec![endpoint(name, lifecycle, harness.now)];
    harness.handle(Event::EndpointList { kind: EndpointListKind::Delta, endpoints })
}

/// Plays the sequence of a seed, checks the rules at each event, and returns all actions.
fn play(seed: u64) -> Vec<Action> {
    let non_idempotent = seed % 3 == 0;
    let mut random = Random(seed);
    let mut observer = Observer { non_idempotent, ..Observer::default() };
    let mut harness = Harness::new(random_settings(non_idempotent));
    for n in 0..EVENTS {
        harness.now += 0.002 * random.below(4) as f64;
        let_time_pass(&mut harness, &mut observer);
        let actions = match random.below(10) {
            0..4 => send_request(&mut harness, &mut observer, &mut random, n),
            4..7 if !observer.in_flight.is_empty() => end_attempt(&mut harness, &mut observer, &mut random),
            7 | 8 if !observer.calls.is_empty() => respond_to_call(&mut harness, &mut observer, &mut random),
            _ => change_list(&mut harness, &mut observer, &mut random),
        };
        observer.check(harness.now, &actions);
    }
    for (id, deadline) in &observer.deadlines {
        let in_flight = observer.in_flight.iter().any(|attempt| attempt.request == *id);
        let ended = observer.ended.contains(id);
        assert!(ended || in_flight || *deadline > harness.now, "{id} got no response");
    }
    harness.actions
}

#[test]
fn random_legal_sequences_keep_the_rules() {
    for seed in 0..60 {
        play(seed);
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    assert_eq!(play(5), play(5));
}
