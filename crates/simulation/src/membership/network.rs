//! The event loop of a simulated fleet: processes, their clocks, and a network that loses, duplicates, delays
//! and blocks datagrams. One seed determines everything.

use super::host::{Host, Traffic};
use super::process::{BeliefChange, Process};
use crate::event_queue::EventQueue;
use fastrand::Rng;
use std::collections::HashSet;
use weirusher_fleet::Millis;

/// Unix time in milliseconds at which every network begins.
const START: u64 = 1_800_000_000_000;

/// The range of a datagram's delay, both bounds included.
#[derive(Debug, Clone, Copy)]
pub struct DelayRange {
    /// Minimum delay in milliseconds.
    pub min: Millis,
    /// Maximum delay in milliseconds.
    pub max: Millis,
}

/// Loss, duplication and delay of datagrams, the same on all links.
#[derive(Debug, Clone, Copy)]
pub struct LinkQuality {
    /// Fraction of datagrams that are lost.
    pub loss: f64,
    /// Fraction of datagrams that are duplicated.
    pub duplication: f64,
    /// The delay. Datagrams may be reordered if the bounds differ.
    pub delay: DelayRange,
}

impl Default for LinkQuality {
    fn default() -> Self {
        Self { loss: 0.0, duplication: 0.0, delay: DelayRange { min: 0, max: 1 } }
    }
}

enum Event {
    Datagram { from: u16, to: u16, bytes: Vec<u8> },
    Timeout { member: u16, generation: u32 },
}

/// Creates the process of a member from its number, its incarnation and the time on its clock.
type StartProcess<P> = Box<dyn Fn(u16, u64, Millis) -> P>;

/// The processes of a fleet and the network between them.
pub struct Network<P> {
    /// Loss, duplication and delay of datagrams.
    pub link_quality: LinkQuality,
    /// Milliseconds by which the wall clock is ahead (negative: behind) for processes that are started from now on.
    pub wall_clock_shift: i64,
    /// All changes of belief in chronological order, until the caller clears them.
    pub belief_changes: Vec<BeliefChange>,
    start_process: StartProcess<P>,
    hosts: Vec<Host<P>>,
    /// The partition of each member. Members of different partitions cannot reach each other.
    partitions: Vec<u8>,
    /// Pairs of sender and recipient between which all datagrams are lost.
    blocked: HashSet<(u16, u16)>,
    events: EventQueue<Millis, Event>,
    now: Millis,
    rng: Rng,
}

impl<P: Process> Network<P> {
    /// Creates a network of `size` members, none of which is running. `start_process` is called with a member's
    /// number, its incarnation and the time on its clock.
    pub fn new(size: u16, seed: u64, start_process: impl Fn(u16, u64, Millis) -> P + 'static) -> Self {
        let mut rng = Rng::with_seed(seed);
        let hosts = (0..size).map(|_| Host::new(&mut rng)).collect();
        Self {
            link_quality: LinkQuality::default(),
            wall_clock_shift: 0,
            belief_changes: Vec::new(),
            start_process: Box::new(start_process),
            hosts,
            partitions: vec![0; usize::from(size)],
            blocked: HashSet::new(),
            events: EventQueue::default(),
            now: 0,
            rng,
        }
    }

    /// The current time of the network.
    pub fn now(&self) -> Millis {
        self.now
    }

    /// Number of members.
    pub fn size(&self) -> u16 {
        self.hosts.len() as u16
    }

    fn host(&mut self, number: u16) -> &mut Host<P> {
        &mut self.hosts[usize::from(number)]
    }

    /// A member's process and the time on its clock; `None` if it is not running.
    pub fn member(&mut self, number: u16) -> Option<(&mut P, Millis)> {
        let at = self.now;
        let host = self.host(number);
        let now = host.clock(at);
        host.process.as_mut().map(|process| (process, now))
    }

    /// Whether a member is running and not paused.
    pub fn is_running(&self, number: u16) -> bool {
        let host = &self.hosts[usize::from(number)];
        host.process.is_some() && !host.paused
    }

    /// The traffic that a member sent since the network began.
    pub fn traffic(&self, number: u16) -> Traffic {
        self.hosts[usize::from(number)].traffic
    }

    /// Starts a member. If it is running, a new process replaces the current one.
    pub fn start(&mut self, number: u16) {
        let incarnation = (START + self.now).saturating_add_signed(self.wall_clock_shift);
        let host = &mut self.hosts[usize::from(number)];
        host.generation += 1;
        (host.paused, host.socket) = (false, Vec::new());
        host.process = Some((self.start_process)(number, incarnation, host.clock(self.now)));
        self.schedule_timeout(number);
    }

    /// Kills a member.
    pub fn kill(&mut self, number: u16) {
        let host = self.host(number);
        host.generation += 1;
        (host.process, host.paused, host.socket) = (None, false, Vec::new());
    }

    /// Pauses a member (SIGSTOP).
    pub fn pause(&mut self, number: u16) {
        self.host(number).paused = true;
    }

    /// Resumes a paused member (SIGCONT). It handles its overdue timers and the datagrams that arrived during
    /// the pause, in random order.
    pub fn resume(&mut self, number: u16) {
        let host = self.host(number);
        host.paused = false;
        host.generation += 1;
        let waiting = std::mem::take(&mut host.socket);
        if self.rng.bool() {
            self.run_timeout(number);
        }
        for (from, bytes) in waiting {
            self.deliver(from, number, &bytes);
        }
        self.schedule_timeout(number);
    }

    /// Assigns each member to a partition; the same partition for all members heals the network.
    pub fn partition(&mut self, partition_of: impl Fn(u16) -> u8) {
        self.partitions = (0..self.size()).map(partition_of).collect();
    }

    /// Blocks the datagrams from one member to another, but not those in the opposite direction.
    pub fn block(&mut self, from: u16, to: u16) {
        self.blocked.insert((from, to));
    }

    /// Removes all blocks between members.
    pub fn unblock_all(&mut self) {
        self.blocked.clear();
    }

    /// Delivers arbitrary bytes to a member as if another had sent them, bypassing the faults of the network.
    pub fn inject(&mut self, from: u16, to: u16, bytes: Vec<u8>) {
        self.events.push(self.now, Event::Datagram { from, to, bytes });
    }

    /// Runs the network for a duration in milliseconds.
    pub fn run_for(&mut self, duration: Millis) {
        let end = self.now + duration;
        while let Some((at, event)) = self.events.pop_due(end) {
            self.now = at;
            match event {
                Event::Datagram { from, to, bytes } => self.deliver(from, to, &bytes),
                Event::Timeout { member, generation } => {
                    let host = self.host(member);
                    if host.generation == generation && !host.paused {
                        self.run_timeout(member);
                        self.schedule_timeout(member);
                    }
                }
            }
        }
        self.now = end;
    }

    fn schedule_timeout(&mut self, member: u16) {
        let host = &self.hosts[usize::from(member)];
        let Some(process) = &host.process else { return };
        let at = host.network_time(process.poll_timeout()).max(self.now);
        self.events.push(at, Event::Timeout { member, generation: host.generation });
    }

    fn run_timeout(&mut self, member: u16) {
        if let Some((process, now)) = self.member(member) {
            process.handle_timeout(now);
        }
        self.collect_output(member);
    }

    fn deliver(&mut self, from: u16, to: u16, bytes: &[u8]) {
        let host = &mut self.hosts[usize::from(to)];
        let now = host.clock(self.now);
        let Some(process) = &mut host.process else { return };
        if host.paused {
            return host.buffer_datagram(from, bytes);
        }
        process.handle_datagram(from, bytes, now);
        self.collect_output(to);
    }

    /// Takes a member's outgoing datagrams and its changes of belief.
    fn collect_output(&mut self, member: u16) {
        let at = self.now;
        let host = &mut self.hosts[usize::from(member)];
        let Some(process) = &mut host.process else { return };
        let sent: Vec<(u16, Vec<u8>)> = std::iter::from_fn(|| process.poll_transmit()).collect();
        let changes = process.take_belief_changes();
        host.traffic.datagrams += sent.len() as u64;
        host.traffic.bytes += sent.iter().map(|(_, bytes)| bytes.len() as u64).sum::<u64>();
        let changes = changes.into_iter().map(|(of, belief)| BeliefChange { at, by: member, of, belief });
        self.belief_changes.extend(changes);
        for (to, bytes) in sent {
            self.transmit(member, to, bytes);
        }
    }

    fn transmit(&mut self, from: u16, to: u16, bytes: Vec<u8>) {
        // A member that is configured with a larger fleet size may send to a member that does not exist.
        let partition = |member: u16| self.partitions.get(usize::from(member));
        let LinkQuality { loss, duplication, delay } = self.link_quality;
        if partition(from) != partition(to) || self.blocked.contains(&(from, to)) || self.rng.f64() < loss {
            return;
        }
        if self.rng.f64() < duplication {
            let at = self.now + self.rng.u64(delay.min..=delay.max);
            self.events.push(at, Event::Datagram { from, to, bytes: bytes.clone() });
        }
        let at = self.now + self.rng.u64(delay.min..=delay.max);
        self.events.push(at, Event::Datagram { from, to, bytes });
    }
}
