//! Shared state between members: kinds in the order of their urgency, digests to one random member a round, and the
//! deltas that answer them.

use super::Membership;
use super::outbound::OVERHEAD_BYTES;
use crate::Millis;
use crate::datagram::{MAX_DATAGRAM_BYTES, Message};
use crate::member_table::MemberState;
use crate::registers::SelfReport;
use crate::shared_state::SharedState;

/// Most bytes of a member's self-report.
pub(super) const SELF_REPORT_BYTES: usize = 48;
/// The kind of the members' self-reports.
const SELF_REPORTS_KIND: u8 = 0;
/// Kinds of shared state at most, self-reports included.
const MAX_KINDS: usize = 8;
/// Bytes of a digest with its frame, and of the frame alone.
const DIGEST_BYTES: usize = 330;
const DIGEST_FRAME_BYTES: usize = 8;
/// Bytes that the relayed heartbeats of a datagram take at most.
const RELAYED_HEARTBEATS_BYTES: usize = 112;
/// Digests that fit a datagram.
const DIGESTS_PER_DATAGRAM: usize =
    (MAX_DATAGRAM_BYTES - OVERHEAD_BYTES - RELAYED_HEARTBEATS_BYTES) / DIGEST_BYTES;
/// Deltas that answer one digest at most.
const DELTAS_PER_DIGEST: usize = 3;

impl Membership {
    /// Adds a shared state, less urgent than those before it. Returns its kind, or `None` where there are too many.
    pub fn register_shared_state(&mut self, state: Box<dyn SharedState + Send>) -> Option<u8> {
        if self.shared_states.len() + 1 >= MAX_KINDS {
            return None;
        }
        self.shared_states.push(state);
        u8::try_from(self.shared_states.len()).ok()
    }

    /// A shared state by its kind.
    pub fn shared_state(&mut self, kind: u8) -> Option<&mut (dyn SharedState + Send)> {
        match kind {
            SELF_REPORTS_KIND => Some(&mut self.self_reports),
            _ => self.shared_states.get_mut(usize::from(kind) - 1).map(|state| &mut **state as _),
        }
    }

    /// Whether a member reports that it does not hear this one.
    pub(super) fn is_reported_unheard_by(&self, member: u16) -> bool {
        self.self_reports.read(member).is_some_and(|report| report.unheard_subjects.contains(&self.me))
    }

    /// Reports the subjects that this member does not hear, when that changed.
    pub(super) fn write_self_report(&mut self, now: Millis) {
        let report = SelfReport { unheard_subjects: self.links.unheard_subjects(&self.table, now) };
        if self.self_reports.read(self.me).unwrap_or_default() != report {
            // Eight numbers fit, and there are no more subjects.
            let written = self.self_reports.write(self.me, self.own.number, &report);
            debug_assert!(written.is_ok());
        }
    }

    /// Compares shared state with one member that is alive.
    pub(super) fn send_digests(&mut self, now: Millis) {
        let alive = self.table.others().filter(|member| self.table.state(*member) == MemberState::Alive);
        let alive: Vec<u16> = alive.collect();
        if let Some(member) = self.rng.choice(alive) {
            let digests = self.next_digests();
            self.send(member, digests, now);
        }
    }

    /// Digests of as many kinds as a datagram holds, in turn: no kind waits for another.
    fn next_digests(&mut self) -> Vec<Message> {
        let kinds = self.shared_states.len() + 1;
        let mut digests = Vec::new();
        for _ in 0..kinds.min(DIGESTS_PER_DATAGRAM) {
            let kind = u8::try_from(self.next_digest_kind).unwrap_or(u8::MAX);
            self.next_digest_kind = (self.next_digest_kind + 1) % kinds;
            let digest = self
                .shared_state(kind)
                .map(|state| state.digest(DIGEST_BYTES - DIGEST_FRAME_BYTES))
                .unwrap_or_default();
            digests.push(Message::Digest { kind, digest });
        }
        digests
    }

    /// Sends what the sender of a digest lacks, as far as the budget allows: it will compare again.
    pub(super) fn handle_digest(&mut self, from: u16, kind: u8, digest: &[u8], now: Millis) {
        let deltas = self
            .shared_state(kind)
            .map(|state| state.deltas(digest, MAX_DATAGRAM_BYTES - OVERHEAD_BYTES, DELTAS_PER_DIGEST));
        let Some(Ok(deltas)) = deltas else {
            self.counters.malformed_state += 1;
            return;
        };
        for delta in deltas {
            if !self.send_budget.allows_delta(delta.len(), now) {
                self.counters.deferred += 1;
                return;
            }
            let known_incarnation = self.table.latest(from).incarnation;
            let message = Message::Delta { kind, delta, gossip: false };
            self.transmit(from, known_incarnation, false, vec![message], now);
        }
    }

    pub(super) fn handle_delta(&mut self, kind: u8, delta: &[u8], gossip: bool) {
        let merged = self.shared_state(kind).map(|state| state.merge(delta, gossip));
        if !matches!(merged, Some(Ok(_))) {
            self.counters.malformed_state += 1;
        }
    }
}
