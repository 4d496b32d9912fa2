//! Incoming datagrams: which are rejected, which are replied to without being accepted, and how accepted ones
//! are handled.

use super::Membership;
use crate::Millis;
use crate::datagram::{AGE_UNIT, Datagram, Header, MAX_DATAGRAM_BYTES, Message};
use crate::event::Event;
use crate::links::is_within;
use crate::member_table::Evidence;
use crate::token_bucket::Rate;
use std::net::SocketAddr;

/// Rate limit on datagrams from all members together, which bounds the CPU time spent on verifying tags.
pub(super) const RECEIVE_RATE: Rate = Rate { per_second: 1_000, burst: 1_000 };
/// Minimum time between two replies to a member whose datagrams are not accepted yet, or that asks for
/// heartbeats.
const MIN_REPLY_INTERVAL: Millis = 200;

/// The age of relayed evidence in milliseconds. It is never 0, which stands for a datagram from the member
/// itself.
pub(super) fn age_millis(tenths: u16) -> Millis {
    AGE_UNIT * Millis::from(tenths).max(1)
}

impl Membership {
    /// Handles a datagram that arrived from an address.
    pub fn handle_datagram(&mut self, from: SocketAddr, bytes: &[u8], now: Millis) {
        self.detect_pause(now);
        self.counters.received_bytes += bytes.len() as u64;
        if self.own.superseded {
            return;
        }
        if let Some(datagram) = self.decode(from, bytes, now) {
            self.accept(datagram, now);
        }
        self.emit_state_changes();
    }

    /// Verifies and decodes a datagram, cheapest check first, and counts rejected ones.
    fn decode(&mut self, from: SocketAddr, bytes: &[u8], now: Millis) -> Option<Datagram> {
        let Some(member) = self.numbers.get(&from).copied().filter(|member| *member != self.me) else {
            self.counters.wrong_sender += 1;
            return None;
        };
        if bytes.len() > MAX_DATAGRAM_BYTES {
            self.counters.oversized += 1;
            return None;
        }
        if !self.links.get_mut(member).receive_limit.try_take(now) || !self.receive_limit.try_take(now) {
            self.counters.rate_limited += 1;
            return None;
        }
        let Some(content) = self.authenticator.verify(bytes) else {
            self.counters.unauthenticated += 1;
            return None;
        };
        let Ok((datagram, [])) = postcard::take_from_bytes::<Datagram>(content) else {
            self.counters.malformed += 1;
            return None;
        };
        let header = &datagram.header;
        if header.fleet_size != self.table.size() {
            self.counters.wrong_fleet_size += 1;
            self.emit(Event::FleetSizeMismatch { member, size: header.fleet_size });
            return None;
        }
        if !datagram.is_valid(self.table.size()) {
            self.counters.malformed += 1;
            return None;
        }
        if header.sender != member {
            self.counters.wrong_sender += 1;
            return None;
        }
        if header.recipient != self.me {
            self.counters.wrong_recipient += 1;
            return None;
        }
        Some(datagram)
    }

    /// Accepts a datagram, at most once, if it was sent by the latest incarnation of the sender to the
    /// current one of this member. Others are replied to, so that their sender learns the incarnation that it
    /// lacks.
    fn accept(&mut self, Datagram { header, messages }: Datagram, now: Millis) {
        let sender = header.sender;
        if header.recipient_incarnation > self.own.number {
            self.handle_later_incarnation(header.recipient_incarnation, now);
        }
        let known = self.table.latest(sender).incarnation;
        if header.incarnation < known {
            self.counters.stale_sender += 1;
            return self.send_handshake_reply(sender, known, now);
        }
        if header.recipient_incarnation != self.own.number {
            self.counters.stale_recipient += 1;
            return self.send_handshake_reply(sender, header.incarnation, now);
        }
        let link = self.links.get_mut(sender);
        if header.incarnation > link.incarnation {
            (link.incarnation, link.replay_window) = (header.incarnation, Default::default());
        }
        if header.incarnation < link.incarnation || !link.replay_window.accept(header.sequence) {
            self.counters.replayed += 1;
            return;
        }
        self.counters.received += 1;
        self.handle_header(&header, now);
        for message in messages {
            self.handle_message(sender, message, now);
        }
    }

    /// Replies with this member's incarnation and with `known_incarnation`, the recipient's latest
    /// incarnation known here.
    fn send_handshake_reply(&mut self, to: u16, known_incarnation: u64, now: Millis) {
        let link = self.links.get_mut(to);
        let recent = is_within(link.last_handshake_reply, MIN_REPLY_INTERVAL, now);
        if recent || self.own.superseded || !self.send_budget.allows_heartbeat(now) {
            return;
        }
        link.last_handshake_reply = Some(now);
        self.transmit(to, known_incarnation, false, Vec::new(), now);
    }

    /// Handles a header: evidence that the sender is alive, and whether the sender receives this member's
    /// datagrams.
    fn handle_header(&mut self, header: &Header, now: Millis) {
        let evidence = Evidence { incarnation: header.incarnation, heartbeat: header.heartbeat };
        // A datagram older than the known evidence says nothing about the current state of the link.
        if evidence >= self.table.latest(header.sender) {
            self.links.last_received = Some(now);
            let link = self.links.get_mut(header.sender);
            link.last_received = Some(now);
            if header.hears_recipient {
                link.last_confirmed = Some(now);
            }
        }
        self.handle_evidence(header.sender, evidence, 0, true, now);
        if header.wants_heartbeats {
            self.links.subscribe(header.sender, now);
            if !is_within(self.links.get(header.sender).last_sent, MIN_REPLY_INTERVAL, now) {
                self.send(header.sender, Vec::new(), now);
            }
        }
    }

    fn handle_message(&mut self, from: u16, message: Message, now: Millis) {
        match message {
            Message::Alive { member, incarnation, heartbeat, age, gossip } if member != self.me => {
                let evidence = Evidence { incarnation, heartbeat };
                self.handle_evidence(member, evidence, age_millis(age), gossip, now);
            }
            Message::Alive { incarnation, .. } => {
                if incarnation > self.own.number {
                    self.handle_later_incarnation(incarnation, now);
                }
            }
            Message::Heartbeats { first, heartbeats } => {
                self.handle_relayed_heartbeats(from, first, heartbeats, now);
            }
            Message::Suspect { member, incarnation, heartbeat, suspectors, gossip } => {
                let last = Evidence { incarnation, heartbeat };
                let queried_by = (!gossip).then_some(from);
                self.handle_suspicion(member, &suspectors, last, queried_by, now);
            }
            Message::Digest { kind, digest } => self.handle_digest(from, kind, &digest, now),
            Message::Delta { kind, delta, gossip } => self.handle_delta(kind, &delta, gossip),
        }
    }
}
