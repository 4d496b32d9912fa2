//! Random valid event sequences with fixed seeds: checks the invariants that a single gateway can guarantee.

use crate::harness::{Harness, endpoint, new_request, plan, settings};
use std::collections::{BTreeMap, BTreeSet};
use weirusher::{
    Action, BackendId, EndpointListKind, Event, Idempotency, Lifecycle, Plan, RequestId, Settings, Status,
    Time,
};

/// Number of events in a sequence.
const EVENTS: u32 = 1500;

/// A linear congruential generator, implemented here so that a seed gives the same sequence in every version.
struct Random(u64);

impl Random {
    /// Returns a number below `n`.
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

/// The state of requests, backends and the counter that the invariants depend on.
#[derive(Default)]
struct Checker {
    non_idempotent: bool,
    deadlines: BTreeMap<RequestId, Time>,
    ended: BTreeSet<RequestId>,
    /// For each attempt of a request, whether it was certainly not executed.
    not_executed: BTreeMap<RequestId, Vec<bool>>,
    in_flight: Vec<InFlight>,
    calls: Vec<u64>,
    timers: Vec<(Time, u64)>,
    /// Backends that are draining or removed.
    stopped: BTreeSet<BackendId>,
    counts: BTreeMap<u64, f64>,
}

impl Checker {
    /// Checks the actions that follow from an event at `now`.
    fn check(&mut self, now: Time, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Forward { request, backend, timeout, .. } => {
                    assert!(!self.ended.contains(request), "attempt sent after the request ended");
                    assert!(!self.stopped.contains(backend), "sent to a backend that is draining or removed");
                    let attempts = self.not_executed.entry(request.clone()).or_default();
                    assert!(
                        !self.non_idempotent || attempts.iter().all(|not_executed| *not_executed),
                        "non-idempotent request may be executed twice"
                    );
                    self.in_flight.push(InFlight {
                        request: request.clone(),
                        attempt: attempts.len() as u32,
                        backend: backend.clone(),
                        times_out_at: now + timeout,
                    });
                    attempts.push(false);
                }
                Action::Reject { request, .. } | Action::Fail { request, .. } => {
                    let not_executed = self
                        .not_executed
                        .get(request)
                        .is_none_or(|attempts| attempts.iter().all(|not_executed| *not_executed));
                    let rejects = matches!(action, Action::Reject { .. });
                    assert!(
                        !(self.non_idempotent && rejects) || not_executed,
                        "request rejected although it may have been executed"
                    );
                    assert!(self.ended.insert(request.clone()), "request ended twice");
                    assert!(now <= self.deadlines[request] + 0.008, "response sent after the deadline");
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

/// Fires the timers that are due, and ends the attempts that have timed out.
fn fire_timers(harness: &mut Harness, checker: &mut Checker) {
    let now = harness.now;
    let due: Vec<u64> = checker.timers.iter().filter(|(at, _)| *at <= now).map(|(_, token)| *token).collect();
    checker.timers.retain(|(at, _)| *at > now);
    for token in due {
        let actions = harness.handle(Event::Timer { token });
        checker.check(now, &actions);
    }
    while let Some(i) = checker.in_flight.iter().position(|attempt| attempt.times_out_at <= now) {
        let ended = checker.in_flight.remove(i);
        let actions = harness.end_attempt(&ended.request, ended.attempt, &ended.backend, Status::Timeout);
        checker.check(now, &actions);
    }
}

fn send_request(harness: &mut Harness, checker: &mut Checker, random: &mut Random, n: u32) -> Vec<Action> {
    let mut request = new_request(&format!("j{n}"), harness.now);
    (request.plan, request.customer_instances) = (random.below(3) as usize, 1 + random.below(3) as u32);
    request.customer = format!("c{}", random.below(4)).as_str().into();
    request.deadline = harness.now + 0.01 * random.below(100) as f64;
    checker.deadlines.insert(request.id.clone(), request.deadline);
    harness.handle(Event::Request(request))
}

fn end_attempt(harness: &mut Harness, checker: &mut Checker, random: &mut Random) -> Vec<Action> {
    const STATUSES: [Status; 5] =
        [Status::Ok, Status::Error, Status::Rejected, Status::ConnectFailed, Status::Reset];
    let i = random.below(checker.in_flight.len() as u64) as usize;
    let InFlight { request, attempt, backend, .. } = checker.in_flight.remove(i);
    let status = STATUSES[random.below(5) as usize];
    let not_executed = matches!(status, Status::Rejected | Status::ConnectFailed);
    checker.not_executed.get_mut(&request).expect("a request with attempts")[attempt as usize] = not_executed;
    if status == Status::Ok {
        checker.ended.insert(request.clone());
    }
    harness.end_attempt(&request, attempt, &backend, status)
}

fn respond_to_call(harness: &mut Harness, checker: &mut Checker, random: &mut Random) -> Vec<Action> {
    const STATUSES: [Status; 5] = [Status::Ok, Status::Ok, Status::Ok, Status::Timeout, Status::Rejected];
    let counter = checker.calls.remove(0);
    if random.below(200) == 0 {
        checker.counts.clear();
    }
    let total = checker.counts.get(&counter).copied().unwrap_or(0.0);
    harness.counter_response(counter, STATUSES[random.below(5) as usize], total)
}

fn change_endpoint_list(harness: &mut Harness, checker: &mut Checker, random: &mut Random) -> Vec<Action> {
    const STATES: [Lifecycle; 3] = [Lifecycle::Running, Lifecycle::Draining, Lifecycle::Removed];
    let name = ["a", "b", "c"][random.below(3) as usize];
    let lifecycle = STATES[random.below(3) as usize];
    if lifecycle == Lifecycle::Running {
        checker.stopped.remove(name);
    } else {
        checker.stopped.insert(name.into());
    }
    let endpoints = vec![endpoint(name, lifecycle, harness.now)];
    harness.handle(Event::EndpointList { kind: EndpointListKind::Delta, endpoints })
}

/// Runs the sequence of a seed, checks the invariants at each event, and returns all actions.
fn run_sequence(seed: u64) -> Vec<Action> {
    let non_idempotent = seed % 3 == 0;
    let mut random = Random(seed);
    let mut checker = Checker { non_idempotent, ..Checker::default() };
    let mut harness = Harness::new(random_settings(non_idempotent));
    for n in 0..EVENTS {
        harness.now += 0.002 * random.below(4) as f64;
        fire_timers(&mut harness, &mut checker);
        let actions = match random.below(10) {
            0..4 => send_request(&mut harness, &mut checker, &mut random, n),
            4..7 if !checker.in_flight.is_empty() => end_attempt(&mut harness, &mut checker, &mut random),
            7 | 8 if !checker.calls.is_empty() => respond_to_call(&mut harness, &mut checker, &mut random),
            _ => change_endpoint_list(&mut harness, &mut checker, &mut random),
        };
        checker.check(harness.now, &actions);
    }
    for (id, deadline) in &checker.deadlines {
        let in_flight = checker.in_flight.iter().any(|attempt| attempt.request == *id);
        let ended = checker.ended.contains(id);
        assert!(ended || in_flight || *deadline > harness.now, "{id} got no response");
    }
    harness.actions
}

#[test]
fn random_sequences_keep_the_invariants() {
    for seed in 0..60 {
        run_sequence(seed);
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    assert_eq!(run_sequence(5), run_sequence(5));
}
