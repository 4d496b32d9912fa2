//! Datagrams that arrive: which are rejected, which are answered without being believed, and what the accepted ones
//! say.

use super::Membership;
use crate::Millis;
use crate::datagram::{AGE_UNIT, Datagram, Header, MAX_DATAGRAM_BYTES, Message};
use crate::event::Event;
use crate::links::is_within;
use crate::member_table::Evidence;
use crate::token_bucket::Rate;
use std::net::SocketAddr;

/// Datagrams whose tag is verified, from all members together: the budget of CPU.
pub(super) const RECEIVE_RATE: Rate = Rate { per_second: 1_000, burst: 1_000 };
/// Least time between two replies to a member that is not believed yet, or that asks for heartbeats.
const MIN_REPLY_INTERVAL: Millis = 200;

/// The age in milliseconds of what a message reports. It is never 0: only the member's own datagram is that fresh.
pub(super) fn age_millis(tenths: u16) -> Millis {
    AGE_UNIT * Millis::from(tenths).max(1)
}

impl Membership {
    /// Takes in a datagram that arrived from an address.
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

    /// Verifies and decodes a datagram, the cheapest check first, and counts what is rejected.
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

    /// Believes a datagram, once, if it was sent to this incarnation by the sender's latest one. Others are replied to,
    /// so that their sender learns the incarnation that it does not know.
    fn accept(&mut self, Datagram { header, messages }: Datagram, now: Millis) {
        let sender = header.sender;
        if header.recipient_incarnation > self.own.number {
            self.handle_later_incarnation(header.recipient_incarnation, now);
        }
        let known = self.table.latest(sender).incarnation;
        if header.incarnation < known {
            self.counters.stale_sender += 1;
            return self.reply_to_unproven(sender, known, now);
        }
        if header.recipient_incarnation != self.own.number {
            self.counters.stale_recipient += 1;
            return self.reply_to_unproven(sender, header.incarnation, now);
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

    /// Tells a member this one's incarnation, and that `known_incarnation` of its own is known here.
    fn reply_to_unproven(&mut self, to: u16, known_incarnation: u64, now: Millis) {
        let link = self.links.get_mut(to);
        let recent = is_within(link.last_handshake_reply, MIN_REPLY_INTERVAL, now);
        if recent || self.own.superseded || !self.send_budget.allows_heartbeat(now) {
            return;
        }
        link.last_handshake_reply = Some(now);
        self.transmit(to, known_incarnation, false, Vec::new(), now);
    }

    /// The sender itself is alive, and says whether it hears this member.
    fn handle_header(&mut self, header: &Header, now: Millis) {
        let evidence = Evidence { incarnation: header.incarnation, heartbeat: header.heartbeat };
        // A datagram that was overtaken says nothing of the link now.
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
                let asked_by = (!gossip).then_some(from);
                self.handle_suspicion(member, &suspectors, last, asked_by, now);
            }
            Message::Digest { kind, digest } => self.handle_digest(from, kind, &digest, now),
            Message::Delta { kind, delta, gossip } => self.handle_delta(kind, &delta, gossip),
        }
    }
}
