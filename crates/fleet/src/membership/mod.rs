//! The membership protocol as a state machine without I/O, for one member of the fleet.
//!
//! The caller passes in datagrams ([`Membership::handle_datagram`]) and time
//! ([`Membership::handle_timeout`]), and takes out datagrams ([`Membership::poll_transmit`]), events
//! ([`Membership::poll_event`]) and the time of the next timeout ([`Membership::poll_timeout`]). Each
//! submodule implements one concern; they share the state in [`Membership`].

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
use crate::settings::{MembershipSettings, SettingsError};
use crate::shared_state::SharedState;
use crate::token_bucket::TokenBucket;
use crate::view::DatagramCounters;
use fastrand::Rng;
use incarnation::{OwnIncarnation, STARTUP_PERIOD};
use schedule::Schedule;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

/// Capacity of the event queue; when it is full, the oldest event is dropped.
const MAX_QUEUED_EVENTS: usize = 4096;

/// The protocol state of one member of the fleet.
pub struct Membership {
    me: u16,
    addresses: Vec<SocketAddr>,
    numbers: HashMap<SocketAddr, u16>,
    authenticator: Authenticator,
    rng: Rng,
    own: OwnIncarnation,
    /// This member's own evidence in the last refutation of a suspicion of it.
    last_refutation: Evidence,
    table: MemberTable,
    links: Links,
    /// Whether observers and subjects have been recomputed since the last death or return.
    neighbours_current: bool,
    schedule: Schedule,
    isolation: IsolationDetector,
    gossip: GossipQueue,
    self_reports: Registers<SelfReport>,
    /// The registered shared states. Their kinds count up from the kind after that of `self_reports`.
    shared_states: Vec<Box<dyn SharedState + Send>>,
    /// The kind of shared state whose digest is sent next.
    next_digest_kind: usize,
    /// The member whose heartbeat is relayed next.
    next_relayed: u16,
    /// The absent member that was probed last.
    last_probed: u16,
    /// Number of members that are alive, this one included.
    alive_count: usize,
    send_budget: SendBudget,
    receive_limit: TokenBucket,
    counters: DatagramCounters,
    outbox: VecDeque<(SocketAddr, Vec<u8>)>,
    events: VecDeque<Event>,
}

impl Membership {
    /// Creates a member that knows nothing about the others yet. `incarnation` is the wall clock in
    /// milliseconds, which usually exceeds the incarnation of any earlier process with this member number. If
    /// it does not, replies from other members reveal the later incarnation.
    ///
    /// # Errors
    /// The settings are not valid.
    pub fn new(
        settings: MembershipSettings,
        incarnation: u64,
        seed: u64,
        now: Millis,
    ) -> Result<Self, SettingsError> {
        let size = settings.fleet_size()?;
        let numbers = settings.numbers_by_address()?;
        let MembershipSettings { instance: me, members: addresses, key } = settings;
        let mut rng = Rng::with_seed(seed);
        Ok(Self {
            me,
            addresses,
            numbers,
            authenticator: Authenticator::new(&key).ok_or(SettingsError::ShortKey(key.len()))?,
            last_probed: rng.u16(0..size),
            rng,
            own: OwnIncarnation::new(incarnation, now),
            last_refutation: Evidence::default(),
            table: MemberTable::new(size, me, now),
            links: Links::new(size, me, now),
            neighbours_current: false,
            schedule: Schedule::new(now),
            isolation: IsolationDetector::new(now + STARTUP_PERIOD, now),
            gossip: GossipQueue::new(size),
            self_reports: Registers::new(size, anti_entropy::MAX_SELF_REPORT_BYTES),
            shared_states: Vec::new(),
            next_digest_kind: 0,
            next_relayed: 0,
            alive_count: 1,
            send_budget: SendBudget::new(now),
            receive_limit: TokenBucket::new(inbound::RECEIVE_RATE, now),
            counters: DatagramCounters::default(),
            outbox: VecDeque::new(),
            events: VecDeque::new(),
        })
    }

    /// What this member believes about the others.
    pub fn table(&self) -> &MemberTable {
        &self.table
    }

    /// This member's current incarnation.
    pub fn incarnation(&self) -> u64 {
        self.own.number
    }

    /// Counts of datagrams sent, received, rejected and deferred since the process started.
    pub fn counters(&self) -> DatagramCounters {
        DatagramCounters { gossip_dropped: self.gossip.dropped(), ..self.counters }
    }

    /// Returns the next datagram to send and its destination. Call this until it returns `None` after each
    /// call of another method.
    pub fn poll_transmit(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.outbox.pop_front()
    }

    /// Returns the next event.
    pub fn poll_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// Returns when [`Membership::handle_timeout`] is to be called next.
    pub fn poll_timeout(&self) -> Millis {
        self.schedule.next_slot_at
    }

    fn emit(&mut self, event: Event) {
        if self.events.len() >= MAX_QUEUED_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(event);
    }

    /// Emits an event for each state change in the table. A death or a return changes the observers and
    /// subjects.
    fn emit_state_changes(&mut self) {
        for change in self.table.take_changes() {
            if change.from == MemberState::Dead || change.to == MemberState::Dead {
                self.neighbours_current = false;
            }
            self.emit(Event::StateChanged(change));
        }
    }
}
