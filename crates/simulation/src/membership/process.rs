//! What a process is to the network, whatever protocol it runs.

use std::net::{Ipv4Addr, SocketAddr};
use weirusher_fleet::{Event, MemberState, Membership, Millis, Settings};

/// The key of fleets in virtual time.
const KEY: &[u8] = b"a key for tests, of 32 bytes and more";
/// Port of the member with number 0.
const FIRST_PORT: u16 = 1024;

/// What a process believes of a member, in terms that all protocols have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Belief {
    /// It is alive.
    Alive,
    /// It is suspected.
    Suspected,
    /// It is dead.
    Dead,
}

/// A change of what a process believes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BeliefChange {
    /// When, on the network's clock.
    pub at: Millis,
    /// Which member believes it.
    pub by: u16,
    /// Of which member.
    pub of: u16,
    /// What it believes now.
    pub belief: Belief,
}

/// A process without I/O.
pub trait Process {
    /// Takes in a datagram.
    fn handle_datagram(&mut self, from: u16, bytes: &[u8], now: Millis);
    /// Does what is due.
    fn handle_timeout(&mut self, now: Millis);
    /// When `handle_timeout` is due.
    fn poll_timeout(&self) -> Millis;
    /// The next datagram to send, and to whom.
    fn poll_transmit(&mut self) -> Option<(u16, Vec<u8>)>;
    /// The members of which the belief changed, with the new one.
    fn take_belief_changes(&mut self) -> Vec<(u16, Belief)>;
}

/// A member as it runs in service.
pub struct Member {
    /// The state machine under test.
    pub fleet: Membership,
    /// Its events besides changes of members' states.
    pub events: Vec<Event>,
}

fn address(number: u16) -> SocketAddr {
    (Ipv4Addr::LOCALHOST, FIRST_PORT + number).into()
}

impl Member {
    /// Member `me` of a fleet of `size`.
    ///
    /// # Panics
    /// No fleet has this size, or `me` is none of its members.
    pub fn new(size: u16, me: u16, incarnation: u64, seed: u64, now: Millis) -> Self {
        let settings =
            Settings { instance: me, members: (0..size).map(address).collect(), key: KEY.to_vec() };
        let fleet = Membership::new(settings, incarnation, seed, now).expect("these settings can work");
        Self { fleet, events: Vec::new() }
    }
}

impl Process for Member {
    fn handle_datagram(&mut self, from: u16, bytes: &[u8], now: Millis) {
        self.fleet.handle_datagram(address(from), bytes, now);
    }

    fn handle_timeout(&mut self, now: Millis) {
        self.fleet.handle_timeout(now);
    }

    fn poll_timeout(&self) -> Millis {
        self.fleet.poll_timeout()
    }

    fn poll_transmit(&mut self) -> Option<(u16, Vec<u8>)> {
        self.fleet.poll_transmit().map(|(to, bytes)| (to.port() - FIRST_PORT, bytes))
    }

    fn take_belief_changes(&mut self) -> Vec<(u16, Belief)> {
        let mut changes = Vec::new();
        while let Some(event) = self.fleet.poll_event() {
            match event {
                Event::StateChanged(change) => {
                    let belief = match change.to {
                        MemberState::Unknown | MemberState::Alive => Belief::Alive,
                        MemberState::Suspected => Belief::Suspected,
                        MemberState::Dead => Belief::Dead,
                    };
                    changes.push((change.member, belief));
                }
                other => self.events.push(other),
            }
        }
        changes
    }
}
