//! Compares failure detectors on the same simulated network with the same seed. PROTOCOL is one of
//! - `rings`: the membership protocol of `weirusher-fleet`,
//! - `foca`: the SWIM implementation of the crate `foca` with its LAN configuration,
//! - `foca-fast`: `foca` tuned to detect deaths about as fast as `rings`,
//! - `beats`: heartbeats from each member to all others.
//!
//! `cargo run --release -p weirusher-simulation --example membership --
//! PROTOCOL SIZE LOSS_PERCENT QUIET_SECONDS DEATHS`

use foca::{Config, Foca, NoCustomBroadcast, Notification, PostcardCodec, Runtime, Timer};
use rand::{SeedableRng, rngs::SmallRng};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::num::{NonZeroU32, NonZeroUsize};
use std::time::Duration;
use weirusher_fleet::Millis;
use weirusher_simulation::EventQueue;
use weirusher_simulation::membership::{Belief, LinkQuality, Member, Network, Process, measure};

/// The identity of a member in `foca`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Id {
    number: u16,
    incarnation: u64,
}

impl foca::Identity for Id {
    type Addr = u16;

    fn renew(&self) -> Option<Self> {
        Some(Self { incarnation: self.incarnation + 1, ..*self })
    }

    fn addr(&self) -> u16 {
        self.number
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        self.incarnation > adversary.incarnation
    }
}

/// The outputs of `foca`, kept until the network collects them.
#[derive(Default)]
struct FocaRuntime {
    sent: VecDeque<(u16, Vec<u8>)>,
    timers: Vec<(Duration, Timer<Id>)>,
    changes: Vec<(u16, Belief)>,
}

impl Runtime<Id> for &mut FocaRuntime {
    fn notify(&mut self, notification: Notification<'_, Id>) {
        match notification {
            Notification::MemberUp(id) => self.changes.push((id.number, Belief::Alive)),
            Notification::MemberDown(id) => self.changes.push((id.number, Belief::Dead)),
            _ => {}
        }
    }

    fn send_to(&mut self, to: Id, data: &[u8]) {
        self.sent.push_back((to.number, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Id>, after: Duration) {
        self.timers.push((after, event));
    }
}

/// Milliseconds between two announcements of a member that knows no other.
const ANNOUNCE_INTERVAL: Millis = 1_000;
/// Size of the authentication tag in the datagrams of `weirusher-fleet`. The other protocols append as many
/// bytes, so that their traffic is comparable.
const TAG_BYTES: usize = 16;

/// A member that runs `foca`.
struct Swim {
    foca: Foca<Id, PostcardCodec, SmallRng, NoCustomBroadcast>,
    runtime: FocaRuntime,
    timers: EventQueue<Millis, Timer<Id>>,
    announce_at: Millis,
    size: u16,
    rng: fastrand::Rng,
}

impl Swim {
    fn new(size: u16, number: u16, incarnation: u64, config: Config, now: Millis) -> Self {
        let seed = u64::from(number);
        let rng = SmallRng::seed_from_u64(seed);
        let foca = Foca::new(Id { number, incarnation }, config, rng, PostcardCodec);
        let rng = fastrand::Rng::with_seed(seed);
        Self {
            foca,
            runtime: FocaRuntime::default(),
            timers: EventQueue::default(),
            announce_at: now,
            size,
            rng,
        }
    }

    /// Queues the timers that `foca` has requested.
    fn queue_timers(&mut self, now: Millis) {
        for (after, timer) in self.runtime.timers.drain(..) {
            self.timers.push(now + after.as_millis() as Millis, timer);
        }
    }
}

impl Process for Swim {
    fn handle_datagram(&mut self, _: u16, bytes: &[u8], now: Millis) {
        let _ = self.foca.handle_data(&bytes[..bytes.len() - TAG_BYTES], &mut self.runtime);
        self.queue_timers(now);
    }

    fn handle_timeout(&mut self, now: Millis) {
        while let Some((_, timer)) = self.timers.pop_due(now) {
            let _ = self.foca.handle_timer(timer, &mut self.runtime);
            self.queue_timers(now);
        }
        if now >= self.announce_at {
            self.announce_at = now + ANNOUNCE_INTERVAL;
            if self.foca.iter_members().next().is_none() {
                let number = self.rng.u16(0..self.size);
                if number != self.foca.identity().number {
                    let _ = self.foca.announce(Id { number, incarnation: 0 }, &mut self.runtime);
                    self.queue_timers(now);
                }
            }
        }
    }

    fn poll_timeout(&self) -> Millis {
        self.timers.next_at().map_or(self.announce_at, |at| at.min(self.announce_at))
    }

    fn poll_transmit(&mut self) -> Option<(u16, Vec<u8>)> {
        let (to, mut bytes) = self.runtime.sent.pop_front()?;
        bytes.extend([0; TAG_BYTES]);
        Some((to, bytes))
    }

    fn take_belief_changes(&mut self) -> Vec<(u16, Belief)> {
        std::mem::take(&mut self.runtime.changes)
    }
}

/// Size of a heartbeat datagram: a header as large as that of `weirusher-fleet`, and the tag.
const HEARTBEAT_BYTES: usize = 44;
/// Milliseconds between two heartbeats to the same member.
const HEARTBEAT_INTERVAL: Millis = 240;
/// Milliseconds without a heartbeat after which a member is believed dead.
const SILENCE_TIMEOUT: Millis = 1_700;

/// A member that sends heartbeats to all others, and believes a member dead whose heartbeats cease.
struct AllToAll {
    me: u16,
    last_heard: Vec<Option<Millis>>,
    dead: Vec<bool>,
    next_heartbeat_at: Millis,
    sent: VecDeque<(u16, Vec<u8>)>,
    changes: Vec<(u16, Belief)>,
}

impl Process for AllToAll {
    fn handle_datagram(&mut self, from: u16, _: &[u8], now: Millis) {
        self.last_heard[usize::from(from)] = Some(now);
        if std::mem::take(&mut self.dead[usize::from(from)]) {
            self.changes.push((from, Belief::Alive));
        }
    }

    fn handle_timeout(&mut self, now: Millis) {
        if now < self.next_heartbeat_at {
            return;
        }
        self.next_heartbeat_at = now + HEARTBEAT_INTERVAL;
        for member in (0..self.last_heard.len() as u16).filter(|member| *member != self.me) {
            self.sent.push_back((member, vec![0; HEARTBEAT_BYTES]));
            let at = usize::from(member);
            let silent = self.last_heard[at].is_some_and(|last_heard| now - last_heard >= SILENCE_TIMEOUT);
            if silent && !std::mem::replace(&mut self.dead[at], true) {
                self.changes.push((member, Belief::Dead));
            }
        }
    }

    fn poll_timeout(&self) -> Millis {
        self.next_heartbeat_at
    }

    fn poll_transmit(&mut self) -> Option<(u16, Vec<u8>)> {
        self.sent.pop_front()
    }

    fn take_belief_changes(&mut self) -> Vec<(u16, Belief)> {
        std::mem::take(&mut self.changes)
    }
}

/// The configuration of `foca` that detects deaths about as fast as `weirusher-fleet`.
fn fast_config(size: NonZeroU32) -> Config {
    let mut config = Config::new_lan(size);
    config.probe_period = Duration::from_millis(250);
    config.probe_rtt = Duration::from_millis(100);
    config.suspect_to_down_after = Duration::from_millis(900);
    config.periodic_gossip = Some(foca::PeriodicParams {
        frequency: Duration::from_millis(100),
        num_members: NonZeroUsize::new(3).expect("three is not zero"),
    });
    config
}

/// Milliseconds after a start or a fault until beliefs are stable.
const SETTLE_TIME: Millis = 30_000;
/// Milliseconds for which changes of belief are then counted.
const OBSERVED_TIME: Millis = 120_000;

/// Prints the number of false deaths and of all changes of belief in two minutes under a fault that does not end.
fn run_with_permanent_fault<P: Process>(mut net: Network<P>, name: &str, fault: impl Fn(&mut Network<P>)) {
    (0..net.size()).for_each(|member| net.start(member));
    net.run_for(SETTLE_TIME);
    fault(&mut net);
    net.run_for(SETTLE_TIME);
    net.belief_changes.clear();
    net.run_for(OBSERVED_TIME);
    let dead = net.belief_changes.iter().filter(|change| change.belief == Belief::Dead).count();
    println!("  {name}: {dead} deaths, {} changes", net.belief_changes.len());
}

/// Blocks all datagrams except those from each member to its predecessor, so that each hears only the next.
fn block_all_but_ring<P: Process>(net: &mut Network<P>) {
    let size = net.size();
    for (from, to) in (0..size).flat_map(|from| (0..size).map(move |to| (from, to))) {
        if from != (to + 1) % size {
            net.block(from, to);
        }
    }
}

fn compare<P: Process + 'static>(args: &[u64], new: impl Fn(u16, u16, u64, Millis) -> P + Clone + 'static) {
    let [size, loss, quiet, deaths] = *args else {
        panic!("expected four numbers: SIZE LOSS_PERCENT QUIET_SECONDS DEATHS")
    };
    let make = |size: u16| {
        let new = new.clone();
        Network::new(size, 1, move |me, incarnation, now| new(size, me, incarnation, now))
    };
    let link_quality = LinkQuality { loss: loss as f64 / 100.0, ..LinkQuality::default() };
    let measurement = measure(make(size as u16), link_quality, 1000 * quiet, deaths as u32, 2);
    println!("{}", serde_json::to_string(&measurement).expect("a measurement can be serialized"));
    run_with_permanent_fault(make(8), "a ring in which each hears the next only", block_all_but_ring);
    run_with_permanent_fault(make(20), "one does not hear another", |net| net.block(0, 1));
    run_with_permanent_fault(make(20), "one hears nobody", |net| (1..20).for_each(|from| net.block(from, 0)));
}

fn main() {
    let mut args = std::env::args().skip(1);
    let protocol = args.next().unwrap_or_default();
    let args: Vec<u64> = args.map(|arg| arg.parse().expect("a whole number")).collect();
    let cluster_size = |size: u16| NonZeroU32::new(size.into()).expect("a fleet has at least one member");
    match protocol.as_str() {
        "rings" => compare(&args, |size, me, incarnation, now| {
            Member::new(size, me, incarnation, u64::from(me), now)
        }),
        "foca" => compare(&args, move |size, me, incarnation, now| {
            Swim::new(size, me, incarnation, Config::new_lan(cluster_size(size)), now)
        }),
        "foca-fast" => {
            compare(&args, move |size, me, incarnation, now| {
                Swim::new(size, me, incarnation, fast_config(cluster_size(size)), now)
            });
        }
        "beats" => compare(&args, |size, me, _, now| AllToAll {
            me,
            last_heard: vec![None; size.into()],
            dead: vec![false; size.into()],
            next_heartbeat_at: now,
            sent: VecDeque::new(),
            changes: Vec::new(),
        }),
        _ => eprintln!("PROTOCOL is rings, foca, foca-fast or beats"),
    }
}
