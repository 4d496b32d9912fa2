//! Outgoing datagrams, and what is piggybacked on them within the send budget.

use super::Membership;
use crate::Millis;
use crate::datagram::{Datagram, Header, MAX_DATAGRAM_BYTES, Message};

/// Bytes of a datagram reserved for the header, the authentication tag and the framing of messages.
pub(super) const OVERHEAD_BYTES: usize = 96;
/// Bytes that the framing of a delta takes in a datagram.
const DELTA_FRAME_BYTES: usize = 4;
/// Capacity of the outbox. The caller empties it after each call, so it is not expected to fill up.
const MAX_QUEUED_DATAGRAMS: usize = 512;

impl Membership {
    /// Sends messages to a member, with relayed heartbeats and gossip piggybacked. Without messages, the
    /// datagram is a plain heartbeat.
    pub(super) fn send(&mut self, to: u16, messages: Vec<Message>, now: Millis) {
        self.send_with_piggyback(to, false, messages, now);
    }

    /// Asks a member to send heartbeats to this one.
    pub(super) fn request_heartbeats(&mut self, from: u16, now: Millis) {
        self.send_with_piggyback(from, true, Vec::new(), now);
    }

    fn send_with_piggyback(
        &mut self,
        to: u16,
        wants_heartbeats: bool,
        mut messages: Vec<Message>,
        now: Millis,
    ) {
        if !self.send_budget.allows_heartbeat(now) || self.outbox.len() >= MAX_QUEUED_DATAGRAMS {
            self.counters.deferred += 1;
            return;
        }
        // Relayed heartbeats do not depend on the budget: without them, members would be declared dead after
        // the forget timeout.
        messages.push(self.next_relayed_heartbeats(now));
        let used: usize = messages.iter().map(Message::encoded_len).sum();
        let left = self
            .send_budget
            .left_for_gossip(now)
            .min(MAX_DATAGRAM_BYTES - OVERHEAD_BYTES)
            .saturating_sub(used);
        messages.extend(self.next_gossip(left));
        let known_incarnation = self.table.latest(to).incarnation;
        self.transmit(to, known_incarnation, wants_heartbeats, messages, now);
    }

    /// Returns gossip of at most `max_bytes`: about members first, then about shared state in the order of
    /// its kinds.
    fn next_gossip(&mut self, max_bytes: usize) -> Vec<Message> {
        let mut messages = self.gossip.take(max_bytes);
        let mut left = max_bytes.saturating_sub(messages.iter().map(Message::encoded_len).sum::<usize>());
        for kind in 0..=u8::try_from(self.shared_states.len()).unwrap_or(0) {
            let delta = self
                .shared_state(kind)
                .and_then(|state| state.next_gossip(left.saturating_sub(DELTA_FRAME_BYTES)));
            if let Some(delta) = delta {
                let message = Message::Delta { kind, delta, gossip: true };
                left = left.saturating_sub(message.encoded_len());
                messages.push(message);
            }
        }
        messages
    }

    /// Builds a message from the latest evidence of another member's life.
    pub(super) fn alive_message(&self, member: u16, gossip: bool, now: Millis) -> Message {
        let evidence = self.table.latest(member);
        Message::Alive {
            member,
            incarnation: evidence.incarnation,
            heartbeat: evidence.heartbeat,
            age: self.table.age(member, now),
            gossip,
        }
    }

    /// Signs a datagram with exactly these messages and adds it to the outbox.
    pub(super) fn transmit(
        &mut self,
        to: u16,
        recipient_incarnation: u64,
        wants_heartbeats: bool,
        messages: Vec<Message>,
        now: Millis,
    ) {
        self.own.sequence += 1;
        let header = Header {
            fleet_size: self.table.size(),
            sender: self.me,
            recipient: to,
            incarnation: self.own.number,
            recipient_incarnation,
            sequence: self.own.sequence,
            heartbeat: self.own.heartbeat,
            hears_recipient: self.links.hears(to, now),
            wants_heartbeats,
        };
        let Ok(content) = postcard::to_allocvec(&Datagram { header, messages }) else { return };
        let bytes = self.authenticator.sign(content);
        debug_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        self.send_budget.spend(bytes.len());
        self.links.get_mut(to).last_sent = Some(now);
        self.counters.sent += 1;
        self.counters.sent_bytes += bytes.len() as u64;
        self.outbox.push_back((self.addresses[usize::from(to)], bytes));
    }
}
