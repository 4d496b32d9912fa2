//! Relaying of heartbeats: most datagrams carry those of a few members in turn, so that evidence of life also
//! reaches members that receive no heartbeat directly (heartbeat counters as in van Renesse et al. 1998).

use super::Membership;
use super::inbound::age_millis;
use crate::datagram::{AGE_DEAD, AGE_UNIT, CompactHeartbeat, Message};
use crate::member_table::Evidence;
use crate::{Millis, forget_timeout};

/// Number of members whose heartbeats a datagram relays: at fifty datagrams per second, a thousand members take
/// three seconds.
const HEARTBEATS_PER_DATAGRAM: u16 = 8;
/// The forget timeout divided by this is long enough for a later heartbeat of every live member to be relayed
/// here.
const RELAY_TIME_DIVISOR: Millis = 4;

impl Membership {
    /// Returns the latest heartbeats of the members whose turn it is.
    pub(super) fn next_relayed_heartbeats(&mut self, now: Millis) -> Message {
        let first = self.next_relayed;
        let end = (first + HEARTBEATS_PER_DATAGRAM).min(self.table.size());
        self.next_relayed = end % self.table.size();
        let compact = |member: u16| {
            let Evidence { incarnation, heartbeat } = self.table.latest(member);
            let alive = self.table.is_alive(member);
            let age = if alive { self.table.age(member, now).min(AGE_DEAD - 1) } else { AGE_DEAD };
            CompactHeartbeat { incarnation: incarnation as u16, heartbeat, age }
        };
        Message::Heartbeats { first, heartbeats: (first..end).map(compact).collect() }
    }

    /// Handles relayed heartbeats, and introduces members that the sender does not know.
    pub(super) fn handle_relayed_heartbeats(
        &mut self,
        from: u16,
        first: u16,
        heartbeats: Vec<CompactHeartbeat>,
        now: Millis,
    ) {
        let unknown_to_sender: Vec<u16> = (first..)
            .zip(heartbeats)
            .filter_map(|(member, relayed)| {
                self.handle_relayed_heartbeat(from, member, &relayed, now).then_some(member)
            })
            .collect();
        self.introduce(from, &unknown_to_sender, now);
    }

    /// Handles one relayed heartbeat. Returns `true` if the sender lacks what is known here of the member.
    fn handle_relayed_heartbeat(
        &mut self,
        from: u16,
        member: u16,
        relayed: &CompactHeartbeat,
        now: Millis,
    ) -> bool {
        let known = self.table.latest(member).incarnation;
        if member == self.me || known == 0 {
            return false;
        }
        if relayed.incarnation != known as u16 {
            return self.table.is_alive(member);
        }
        let evidence = Evidence { incarnation: known, heartbeat: relayed.heartbeat };
        if relayed.age == AGE_DEAD {
            return self.handle_reported_dead(from, member, evidence, now);
        }
        // The low bits may belong to another incarnation.
        if self.table.is_plausible(member, relayed.heartbeat, now) {
            self.handle_evidence(member, evidence, age_millis(relayed.age), false, now);
        }
        false
    }

    /// Handles a report that a member is dead, although it is alive according to this member: gossip failed
    /// to reach one of the two. Returns `true` if the sender lacks later evidence.
    ///
    /// Without later evidence the report counts as a suspicion, but only if a later heartbeat would have been
    /// relayed here by now: while a partition heals, members with older knowledge still report others as
    /// dead.
    fn handle_reported_dead(&mut self, from: u16, member: u16, last: Evidence, now: Millis) -> bool {
        if !self.table.is_alive(member) {
            return false;
        }
        let refuted = self.table.latest(member).refutes(last);
        let age = Millis::from(self.table.age(member, now)) * AGE_UNIT;
        if !refuted && age >= forget_timeout(self.table.size()) / RELAY_TIME_DIVISOR {
            self.table.handle_suspicion(member, &[from], last, now);
        }
        refuted
    }

    /// Sends evidence of members that the recipient does not know, as far as the send budget allows. It is
    /// repeated when relayed heartbeats show again that they are unknown.
    fn introduce(&mut self, to: u16, members: &[u16], now: Millis) {
        if members.is_empty() || !self.send_budget.allows_introduction(now) {
            return;
        }
        let introductions = members.iter().map(|member| self.alive_message(*member, false, now)).collect();
        self.send(to, introductions, now);
    }
}
