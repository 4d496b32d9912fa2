//! What a process is to the network, whatever algorithm it runs.

use std::net::{Ipv4Addr, SocketAddr};
use weirusher_fleet::{Event, MemberState, Membership, Millis, Settings};

/// The key of fleets in virtual time.
const KEY: &[u8] = b"a key for tests, of 32 bytes and more";
/// Port of the member with number 0.
const FIRST_PORT: u16 = 1024;

/// What a process believes of a member, as far as ways to find it out can be compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Belief {
    /// It lives.
    Alive,
    /// It is under suspicion.
    Suspected,
    /// It is dead.
    Gone,
}

/// A process's belief became another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Seen {
    /// When, on the network's clock.
    pub at: Millis,
    /// Who believes.
    pub by: u16,
    /// Of whom.
    pub of: u16,
    /// What.
    pub belief: Belief,
}

/// A process without I/O.
pub trait Process {
    /// Takes in a datagram.
    fn receive(&mut self, from: u16, bytes: &[u8], now: Millis);
    /// Does what is due.
    fn advance(&mut self, now: Millis);
    /// When `advance` is due.
    fn next_deadline(&self) -> Millis;
    /// The next datagram to send.
    fn transmit(&mut self) -> Option<(u16, Vec<u8>)>;
    /// Beliefs that changed.
    fn changes(&mut self) -> Vec<(u16, Belief)>;
}

/// A member as it runs in service.
pub struct Member {
    /// The part under test.
    pub fleet: Membership,
    /// Events besides changes of belief.
    pub events: Vec<Event>,
}

fn address(number: u16) -> SocketAddr {
    (Ipv4Addr::LOCALHOST, FIRST_PORT + number).into()
}

impl Member {
    /// Member `me` of `size`.
    pub fn new(size: u16, me: u16, incarnation: u64, seed: u64, now: Millis) -> Self {
        let settings =
            Settings { instance: me, members: (0..size).map(address).collect(), key: KEY.to_vec() };
        let fleet = Membership::new(settings, incarnation, seed, now).expect("these settings can work");
        Self { fleet, events: Vec::new() }
    }
}

impl Process for Member {
    fn receive(&mut self, from: u16, bytes: &[u8], now: Millis) {
        self.fleet.handle_datagram(address(from), bytes, now);
    }

    fn advance(&mut self, now: Millis) {
        self.fleet.handle_timeout(now);
    }

    fn next_deadline(&self) -> Millis {
        self.fleet.poll_timeout()
    }

    fn transmit(&mut self) -> Option<(u16, Vec<u8>)> {
        self.fleet.poll_transmit().map(|(to, bytes)| (to.port() - FIRST_PORT, bytes))
    }

    fn changes(&mut self) -> Vec<(u16, Belief)> {
        let mut changes = Vec::new();
        while let Some(event) = self.fleet.poll_event() {
            match event {
                Event::StateChanged(change) => changes.push((
                    change.member,
                    match change.to {
                        MemberState::Unknown | MemberState::Alive => Belief::Alive,
                        MemberState::Suspected => Belief::Suspected,
                        MemberState::Dead => Belief::Gone,
                    },
                )),
                other => self.events.push(other),
            }
        }
        changes
    }
}
