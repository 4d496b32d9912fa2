//! The protocol's state machine: one member's part in the fleet, without I/O.
//!
//! Its caller passes in datagrams ([`Membership::handle_datagram`]) and time ([`Membership::handle_timeout`]), and takes
//! out datagrams ([`Membership::poll_transmit`]), events ([`Membership::poll_event`]) and the time of the next timeout
//! ([`Membership::poll_timeout`]). The modules below hold one concern each; they share the state in [`Membership`].

mod anti_entropy;
mod failure_detector;
mod inbound;
mod incarnation;
mod outbound;
mod relay;
mod schedule;
mod status;

use crate::Millis;
use crate::authenticator::Authenticator;
use crate::event::Event;
use crate::gossip_queue::GossipQueue;
use crate::links::Links;
use crate::member_table::{Evidence, MemberState, MemberTable};
use crate::reachability::IsolationDetector;
use crate::registers::{Registers, SelfReport};
use crate::send_budget::SendBudget;
use crate::settings::{Settings, SettingsError};
use crate::shared_state::SharedState;
use crate::token_bucket::TokenBucket;
use crate::view::Counters;
use fastrand::Rng;
use incarnation::{OwnIncarnation, STARTUP_PERIOD};
use schedule::Schedule;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

/// Events that wait to be polled at most; beyond that the oldest are dropped.
const MAX_QUEUED_EVENTS: usize = 4096;

/// One member of the fleet.
pub struct Membership {
    me: u16,
    addresses: Vec<SocketAddr>,
    numbers: HashMap<SocketAddr, u16>,
    authenticator: Authenticator,
    rng: Rng,
    own: OwnIncarnation,
    /// The own evidence with which suspicions of this member were last refuted.
    refuted_with: Evidence,
    table: MemberTable,
    links: Links,
    /// Whether observers and subjects match the members that are alive now.
    neighbours_current: bool,
    schedule: Schedule,
    isolation: IsolationDetector,
    gossip: GossipQueue,
    self_reports: Registers<SelfReport>,
    /// The other shared states; their kinds follow that of `self_reports`.
    shared_states: Vec<Box<dyn SharedState + Send>>,
    /// The kind whose digest is sent next.
    next_digest_kind: usize,
    /// The member whose heartbeat is relayed next.
    next_relayed: u16,
    /// The absent member that was last probed.
    last_probed: u16,
    /// Members that are alive, this one included.
    alive: usize,
    send_budget: SendBudget,
    receive_limit: TokenBucket,
    counters: Counters,
    outbox: VecDeque<(SocketAddr, Vec<u8>)>,
    events: VecDeque<Event>,
}

impl Membership {
    /// A member that knows nothing of the others yet. `incarnation` is the wall clock in milliseconds: a first guess that
    /// mostly lies above that of any earlier process under this number. Where it does not, the others say so.
    ///
    /// # Errors
    /// The settings cannot work.
    pub fn new(settings: Settings, incarnation: u64, seed: u64, now: Millis) -> Result<Self, SettingsError> {
        let size = settings.fleet_size()?;
        let numbers = settings.numbers_by_address()?;
        let Settings { instance: me, members: addresses, key } = settings;
        let mut rng = Rng::with_seed(seed);
        Ok(Self {
            me,
            addresses,
            numbers,
            authenticator: Authenticator::new(&key).ok_or(SettingsError::ShortKey(key.len()))?,
            last_probed: rng.u16(0..size),
            rng,
            own: OwnIncarnation::new(incarnation, now),
            refuted_with: Evidence::default(),
            table: MemberTable::new(size, me, now),
            links: Links::new(size, me, now),
            neighbours_current: false,
            schedule: Schedule::new(now),
            isolation: IsolationDetector::new(now + STARTUP_PERIOD, now),
            gossip: GossipQueue::new(size),
            self_reports: Registers::new(size, anti_entropy::SELF_REPORT_BYTES),
            shared_states: Vec::new(),
            next_digest_kind: 0,
            next_relayed: 0,
            alive: 1,
            send_budget: SendBudget::new(now),
            receive_limit: TokenBucket::new(inbound::RECEIVE_RATE, now),
            counters: Counters::default(),
            outbox: VecDeque::new(),
            events: VecDeque::new(),
        })
    }

    /// What is believed of the others.
    pub fn table(&self) -> &MemberTable {
        &self.table
    }

    /// This member's incarnation.
    pub fn incarnation(&self) -> u64 {
        self.own.number
    }

    /// Datagrams that were sent, accepted, rejected and put off.
    pub fn counters(&self) -> Counters {
        Counters { gossip_dropped: self.gossip.dropped(), ..self.counters }
    }

    /// The next datagram to send, and where to. To be called until it gives none after each other call.
    pub fn poll_transmit(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.outbox.pop_front()
    }

    /// The next event.
    pub fn poll_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// When [`Membership::handle_timeout`] is due.
    pub fn poll_timeout(&self) -> Millis {
        self.schedule.next_slot_at
    }

    fn emit(&mut self, event: Event) {
        if self.events.len() >= MAX_QUEUED_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(event);
    }

    /// Reports the changes in the table. A death or a return changes who observes whom.
    fn emit_state_changes(&mut self) {
        for change in self.table.take_changes() {
            if change.from == MemberState::Dead || change.to == MemberState::Dead {
                self.neighbours_current = false;
            }
            self.emit(Event::StateChanged(change));
        }
    }
}
