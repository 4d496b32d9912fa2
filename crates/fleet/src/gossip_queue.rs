//! Messages disseminated by gossip: each is repeated on outgoing datagrams a fixed number of times.

use crate::OBSERVERS;
use crate::datagram::Message;
use std::collections::VecDeque;

/// Capacity of the queue; when it is full, the message sent most often is dropped. Members send again what is
/// still true, so a dropped message only delays dissemination.
const MAX_QUEUED: usize = 2048;

#[derive(Debug, Clone)]
struct Queued {
    times_sent: u32,
    message: Message,
}

/// The gossip messages of one member, least often sent first.
#[derive(Debug, Clone)]
pub(crate) struct GossipQueue {
    queue: VecDeque<Queued>,
    /// How many times each message is sent.
    transmissions: u32,
    dropped: u64,
}

/// Whether a newer message makes an older one redundant.
fn supersedes(newer: &Message, older: &Message) -> bool {
    match (newer, older) {
        (Message::Alive { member: a, .. }, Message::Alive { member: b, .. }) => a == b,
        (Message::Suspect { member: a, .. }, Message::Suspect { member: b, .. }) => a == b,
        (Message::Alive { member: a, .. }, Message::Suspect { member: b, .. }) => a == b,
        _ => false,
    }
}

impl GossipQueue {
    /// Creates an empty queue. Each member that learns of a message sends it `log2(size) + 1` times, but at
    /// least once per observer, which reaches all but a small part of the fleet (Demers et al. 1987, section
    /// 1.4). Relayed heartbeats reach the rest.
    pub fn new(size: u16) -> Self {
        let transmissions = (u32::from(size).ilog2() + 1).max(OBSERVERS as u32);
        Self { queue: VecDeque::new(), transmissions, dropped: 0 }
    }

    /// Number of messages dropped because the queue was full, since the process started.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Adds a message and removes those it supersedes.
    pub fn push(&mut self, message: Message) {
        self.queue.retain(|queued| !supersedes(&message, &queued.message));
        if self.queue.len() >= MAX_QUEUED {
            self.queue.pop_back();
            self.dropped += 1;
        }
        self.queue.push_front(Queued { times_sent: 0, message });
    }

    /// Removes suspicions of a member, which has been found alive.
    pub fn remove_suspicions(&mut self, of: u16) {
        self.queue
            .retain(|queued| !matches!(queued.message, Message::Suspect { member, .. } if member == of));
    }

    /// Returns messages for one datagram, of at most `max_bytes` in total.
    pub fn take(&mut self, max_bytes: usize) -> Vec<Message> {
        let mut left = max_bytes;
        let mut taken = Vec::new();
        let mut repeated = VecDeque::new();
        while let Some(Queued { times_sent, message }) = self.queue.pop_front() {
            let bytes = message.encoded_len();
            if bytes > left {
                self.queue.push_front(Queued { times_sent, message });
                break;
            }
            left -= bytes;
            if times_sent + 1 < self.transmissions {
                repeated.push_back(Queued { times_sent: times_sent + 1, message: message.clone() });
            }
            taken.push(message);
        }
        self.queue.extend(repeated);
        taken
    }

    pub fn clear(&mut self) {
        self.queue.clear();
    }
}
