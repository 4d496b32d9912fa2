//! Replication of shared state: kinds ordered by urgency, digests sent to one random member per round, and
//! the deltas that answer them.

use super::Membership;
use super::outbound::OVERHEAD_BYTES;
use crate::Millis;
use crate::datagram::{MAX_DATAGRAM_BYTES, Message};
use crate::member_table::MemberState;
use crate::registers::SelfReport;
use crate::shared_state::SharedState;

/// Maximum encoded size of a member's self-report.
pub(super) const MAX_SELF_REPORT_BYTES: usize = 48;
/// The kind of shared state that holds the members' self-reports.
const SELF_REPORTS_KIND: u8 = 0;
/// Maximum number of kinds of shared state, including self-reports.
const MAX_KINDS: usize = 8;
/// Maximum size of a digest with its framing, and of the framing alone.
const MAX_DIGEST_BYTES: usize = 330;
const DIGEST_FRAME_BYTES: usize = 8;
/// Maximum size of the relayed heartbeats in a datagram.
const MAX_RELAYED_HEARTBEATS_BYTES: usize = 112;
/// Number of digests that fit in a datagram.
const DIGESTS_PER_DATAGRAM: usize =
    (MAX_DATAGRAM_BYTES - OVERHEAD_BYTES - MAX_RELAYED_HEARTBEATS_BYTES) / MAX_DIGEST_BYTES;
/// Maximum number of deltas that answer one digest.
const DELTAS_PER_DIGEST: usize = 3;

impl Membership {
    /// Registers a shared state that is less urgent than those registered before. Returns its kind, or `None`
    /// if there are too many.
    pub fn register_shared_state(&mut self, state: Box<dyn SharedState + Send>) -> Option<u8> {
        if self.shared_states.len() + 1 >= MAX_KINDS {
            return None;
        }
        self.shared_states.push(state);
        u8::try_from(self.shared_states.len()).ok()
    }

    /// Returns the shared state of a kind.
    pub fn shared_state(&mut self, kind: u8) -> Option<&mut (dyn SharedState + Send)> {
        match kind {
            SELF_REPORTS_KIND => Some(&mut self.self_reports),
            _ => self.shared_states.get_mut(usize::from(kind) - 1).map(|state| &mut **state as _),
        }
    }

    /// Whether a member reports that it does not receive this member's heartbeats.
    pub(super) fn is_reported_unheard_by(&self, member: u16) -> bool {
        self.self_reports.read(member).is_some_and(|report| report.unheard_subjects.contains(&self.me))
    }

    /// Writes the self-report if the set of subjects that this member does not hear has changed.
    pub(super) fn write_self_report(&mut self, now: Millis) {
        let report = SelfReport { unheard_subjects: self.links.unheard_subjects(&self.table, now) };
        if self.self_reports.read(self.me).unwrap_or_default() != report {
            // The register has room for eight member numbers, and there are at most eight subjects.
            let written = self.self_reports.write(self.me, self.own.number, &report);
            debug_assert!(written.is_ok());
        }
    }

    /// Sends digests of shared state to one random live member.
    pub(super) fn send_digests(&mut self, now: Millis) {
        let alive = self.table.others().filter(|member| self.table.state(*member) == MemberState::Alive);
        let alive: Vec<u16> = alive.collect();
        if let Some(member) = self.rng.choice(alive) {
            let digests = self.next_digests();
            self.send(member, digests, now);
        }
    }

    /// Returns digests of as many kinds as fit in a datagram. The kinds take turns, so that none is starved.
    fn next_digests(&mut self) -> Vec<Message> {
        let kinds = self.shared_states.len() + 1;
        let mut digests = Vec::new();
        for _ in 0..kinds.min(DIGESTS_PER_DATAGRAM) {
            let kind = u8::try_from(self.next_digest_kind).unwrap_or(u8::MAX);
            self.next_digest_kind = (self.next_digest_kind + 1) % kinds;
            let digest = self
                .shared_state(kind)
                .map(|state| state.digest(MAX_DIGEST_BYTES - DIGEST_FRAME_BYTES))
                .unwrap_or_default();
            digests.push(Message::Digest { kind, digest });
        }
        digests
    }

    /// Sends what the sender of a digest lacks, as far as the send budget allows. The rest follows after a
    /// later digest.
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
