//! Random legal event sequences with fixed seeds: whatever happens, the rules that one gateway can keep are kept.

mod common;
use common::*;
use std::collections::{BTreeMap, BTreeSet};
use weirusher::*;

/// A small fixed generator, so that a seed names one sequence for ever.
struct Dice(u64);

impl Dice {
    fn roll(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.0 >> 33) % n
    }
}

#[derive(Default)]
struct World {
    deadline: BTreeMap<RequestId, Time>,
    ended: BTreeSet<RequestId>,
    attempts: BTreeMap<RequestId, Vec<bool>>,
    out: Vec<(RequestId, u32, BackendId, Time)>,
    calls: Vec<u64>,
    timers: Vec<(Time, u64)>,
    stopped: BTreeSet<BackendId>,
    counter: BTreeMap<u64, f64>,
}

impl World {
    fn check(&mut self, now: Time, unsafe_class: bool, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Forward { request: job, backend: server, timeout, .. } => {
                    assert!(!self.ended.contains(job), "sent after its end");
                    assert!(!self.stopped.contains(server), "sent to a server that drains or is gone");
                    let attempts = self.attempts.entry(job.clone()).or_default();
                    assert!(!unsafe_class || attempts.iter().all(|never| *never), "may run twice");
                    self.out.push((job.clone(), attempts.len() as u32, server.clone(), now + timeout));
                    attempts.push(false);
                }
                Action::Reject { request: job, .. } | Action::Fail { request: job, .. } => {
                    let clean = self.attempts.get(job).is_none_or(|a| a.iter().all(|never| *never));
                    let refuses = matches!(action, Action::Reject { .. });
                    assert!(!(unsafe_class && refuses) || clean, "refused though it may have run");
                    assert!(self.ended.insert(job.clone()), "ended twice");
                    assert!(now <= self.deadline[job] + 0.008, "answered too late");
                }
                Action::AddToCounter { counter, amount, .. } => {
                    *self.counter.entry(*counter).or_default() += amount;
                    self.calls.push(*counter);
                }
                Action::SetTimer { token, at } => self.timers.push((*at, *token)),
                _ => {}
            }
        }
    }
}

fn play(seed: u64) -> Vec<Action> {
    let (mut dice, mut world) = (Dice(seed), World::default());
    let unsafe_class = seed % 3 == 0;
    let mut s = settings();
    s.classes[0].idempotency =
        if unsafe_class { Idempotency::NonIdempotent } else { Idempotency::Idempotent };
    s.plans.push(plan(1.0, 3.0));
    s.plans[1].max_concurrent = 2;
    (s.plans[0].ceiling_rate, s.plans[0].ceiling_burst) = (20.0, 40.0);
    s.plans.push(Plan::default());
    let mut rig = Rig::new(s);
    for n in 0..1500 {
        rig.now += 0.002 * dice.roll(4) as f64;
        let due: Vec<u64> = world.timers.iter().filter(|t| t.0 <= rig.now).map(|t| t.1).collect();
        world.timers.retain(|t| t.0 > rig.now);
        for token in due {
            let out = rig.event(Event::Timer { token });
            world.check(rig.now, unsafe_class, &out);
        }
        while let Some(i) = world.out.iter().position(|o| o.3 <= rig.now) {
            let (job, attempt, server, _) = world.out.remove(i);
            let out = rig.outcome(&job, attempt, &server, Status::Timeout);
            world.check(rig.now, unsafe_class, &out);
        }
        let out = match dice.roll(10) {
            0..4 => {
                let mut r = request(&format!("j{n}"), rig.now);
                (r.plan, r.customer_instances) = (dice.roll(3) as usize, 1 + dice.roll(3) as u32);
                r.customer = format!("c{}", dice.roll(4)).as_str().into();
                r.deadline = rig.now + 0.01 * dice.roll(100) as f64;
                world.deadline.insert(r.id.clone(), r.deadline);
                rig.event(Event::Request(r))
            }
            4..7 if !world.out.is_empty() => {
                let i = dice.roll(world.out.len() as u64) as usize;
                let (job, attempt, server, _) = world.out.remove(i);
                let ends =
                    [Status::Ok, Status::Error, Status::Rejected, Status::ConnectFailed, Status::Reset];
                let status = ends[dice.roll(5) as usize];
                let never = matches!(status, Status::Rejected | Status::ConnectFailed);
                world.attempts.get_mut(&job).expect("sent")[attempt as usize] = never;
                if status == Status::Ok {
                    world.ended.insert(job.clone());
                }
                rig.outcome(&job, attempt, &server, status)
            }
            7 | 8 if !world.calls.is_empty() => {
                let name = world.calls.remove(0);
                if dice.roll(200) == 0 {
                    world.counter.clear();
                }
                let ends = [Status::Ok, Status::Ok, Status::Ok, Status::Timeout, Status::Rejected];
                let total = world.counter.get(&name).copied().unwrap_or(0.0);
                rig.counted(name, ends[dice.roll(5) as usize], total)
            }
            _ => {
                let name = ["a", "b", "c"][dice.roll(3) as usize];
                let life =
                    [Lifecycle::Running, Lifecycle::Draining, Lifecycle::Removed][dice.roll(3) as usize];
                match life {
                    Lifecycle::Running => world.stopped.remove(name),
                    _ => world.stopped.insert(name.into()),
                };
                rig.event(Event::EndpointList {
                    kind: EndpointListKind::Delta,
                    endpoints: vec![server(name, life, rig.now)],
                })
            }
        };
        world.check(rig.now, unsafe_class, &out);
    }
    for (job, deadline) in &world.deadline {
        let out = world.out.iter().any(|o| o.0 == *job);
        assert!(world.ended.contains(job) || out || *deadline > rig.now, "{job} was never answered");
    }
    rig.actions
}

#[test]
fn random_legal_days_keep_the_rules() {
    for seed in 0..60 {
        play(seed);
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    assert_eq!(play(5), play(5));
}
