//! Datagrams that are sent: what each carries besides its purpose, as far as the budget allows.

use super::Membership;
use crate::Millis;
use crate::datagram::{Datagram, Header, MAX_DATAGRAM_BYTES, Message};

/// Bytes of a datagram kept for the header, the tag and the frames of messages.
pub(super) const OVERHEAD_BYTES: usize = 96;
/// Bytes of a delta's frame in a datagram.
const DELTA_FRAME_BYTES: usize = 4;
/// Datagrams that wait to be polled at most. The caller takes all after each call, so that this is not reached.
const MAX_QUEUED_DATAGRAMS: usize = 512;

impl Membership {
    /// Sends messages to a member, with relayed heartbeats and gossip. Without messages it is a plain heartbeat.
    pub(super) fn send(&mut self, to: u16, messages: Vec<Message>, now: Millis) {
        self.send_with_piggyback(to, false, messages, now);
    }

    /// Asks a member for its heartbeats.
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
        // Relayed heartbeats do not depend on the budget: they keep members from being forgotten.
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

    /// Gossip of `max_bytes` at most: on members first, then on shared state in the order of its kinds.
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

    /// What is known of another member's life, as a message.
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

    /// Signs a datagram of exactly these messages and puts it into the outbox.
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
