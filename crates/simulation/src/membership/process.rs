//! The interface between the simulated network and a process, for any membership protocol.

use std::net::{Ipv4Addr, SocketAddr};
use weirusher_fleet::{Event, MemberState, Membership, MembershipSettings, Millis};

/// The authentication key of simulated fleets.
const KEY: &[u8] = b"a key for tests, of 32 bytes and more";
/// Port of member 0; the others have the ports that follow.
const FIRST_PORT: u16 = 1024;

/// What a process believes about a member, in terms that all membership protocols share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Belief {
    /// The member is alive.
    Alive,
    /// The member is suspected to be dead.
    Suspected,
    /// The member is dead.
    Dead,
}

/// A change of a process's belief about a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BeliefChange {
    /// When the belief changed, on the network's clock.
    pub at: Millis,
    /// The member that holds the belief.
    pub by: u16,
    /// The member that the belief is about.
    pub of: u16,
    /// What that member believes from now on.
    pub belief: Belief,
}

/// A process without I/O of its own, driven by the network.
pub trait Process {
    /// Handles a datagram from a member.
    fn handle_datagram(&mut self, from: u16, bytes: &[u8], now: Millis);
    /// Runs the timers that are due.
    fn handle_timeout(&mut self, now: Millis);
    /// When `handle_timeout` has to be called next.
    fn poll_timeout(&self) -> Millis;
    /// The next datagram to send, with its recipient.
    fn poll_transmit(&mut self) -> Option<(u16, Vec<u8>)>;
    /// Returns the members about which the belief has changed since the last call, with the new beliefs.
    fn take_belief_changes(&mut self) -> Vec<(u16, Belief)>;
}

/// A member that runs the production membership protocol.
pub struct Member {
    /// The state machine under test.
    pub membership: Membership,
    /// The events of the membership, except changes of members' states.
    pub events: Vec<Event>,
}

fn address(number: u16) -> SocketAddr {
    (Ipv4Addr::LOCALHOST, FIRST_PORT + number).into()
}

impl Member {
    /// Creates member `me` of a fleet of `size` members.
    ///
    /// # Panics
    /// `size` is not a valid fleet size, or `me` is not below it.
    pub fn new(size: u16, me: u16, incarnation: u64, seed: u64, now: Millis) -> Self {
        let settings =
            MembershipSettings { instance: me, members: (0..size).map(address).collect(), key: KEY.to_vec() };
        let membership = Membership::new(settings, incarnation, seed, now).expect("the settings are valid");
        Self { membership, events: Vec::new() }
    }
}

impl Process for Member {
    fn handle_datagram(&mut self, from: u16, bytes: &[u8], now: Millis) {
        self.membership.handle_datagram(address(from), bytes, now);
    }

    fn handle_timeout(&mut self, now: Millis) {
        self.membership.handle_timeout(now);
    }

    fn poll_timeout(&self) -> Millis {
        self.membership.poll_timeout()
    }

    fn poll_transmit(&mut self) -> Option<(u16, Vec<u8>)> {
        self.membership.poll_transmit().map(|(to, bytes)| (to.port() - FIRST_PORT, bytes))
    }

    fn take_belief_changes(&mut self) -> Vec<(u16, Belief)> {
        let mut changes = Vec::new();
        while let Some(event) = self.membership.poll_event() {
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
