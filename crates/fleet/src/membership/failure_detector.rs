//! Suspicion and refutation, as in SWIM (Das et al. 2002). Each member (the subject) sends heartbeats to a
//! few others (its observers). An observer that receives nothing from a subject first queries the other
//! observers, then suspects the subject; any member that knows a later heartbeat refutes the
//! suspicion. Only evidence of life decides, so a broken link does not get a live member declared dead.
//! [`MemberTable`](crate::MemberTable) confirms the deaths.

use super::Membership;
use crate::Millis;
use crate::datagram::Message;
use crate::links::is_within;
use crate::member_table::{Evidence, MemberState, SuspicionOutcome};

/// Number of suspectors at which a suspicion is gossiped to all members. A single suspector first queries the
/// other observers.
const SUSPECTORS_TO_GOSSIP: usize = 2;
/// A suspicion that no other observer shares and that is not refuted is gossiped once this time has passed,
/// and again at this interval.
const REPEAT_SUSPICION_AFTER: Millis = 2_000;

impl Membership {
    /// Queries the other observers about silent subjects, and suspects the subjects for which no newer
    /// evidence arrives.
    pub(super) fn check_subjects(&mut self, now: Millis) {
        for member in self.links.subjects.clone() {
            let (link, record) = (self.links.get(member), self.table.record(member));
            if record.state == MemberState::Dead {
                continue;
            }
            let silent_since = record
                .last_alive
                .max(self.schedule.silence_counts_from)
                .max(link.observed_since.unwrap_or(now));
            let silence = now.saturating_sub(silent_since);
            let timeouts = link.silence_timeouts();
            let suspected_lately = is_within(link.suspected_at, REPEAT_SUSPICION_AFTER, now);
            if silence >= timeouts.suspect && !suspected_lately {
                self.suspect(member, now);
            } else if silence >= timeouts.query && !link.queried {
                self.links.get_mut(member).queried = true;
                let Evidence { incarnation, heartbeat } = self.table.latest(member);
                let query = Message::Suspect {
                    member,
                    incarnation,
                    heartbeat,
                    suspectors: Vec::new(),
                    gossip: false,
                };
                self.query_other_observers(member, &query, now);
            }
        }
    }

    fn suspect(&mut self, member: u16, now: Millis) {
        let first_time = self.links.get_mut(member).suspected_at.replace(now).is_none();
        let last = self.table.latest(member);
        self.table.handle_suspicion(member, &[self.me], last, now);
        if first_time && self.table.record(member).suspectors.len() < SUSPECTORS_TO_GOSSIP {
            self.query_other_observers(member, &self.suspect_message(member, false), now);
        } else {
            self.gossip_suspicion(member);
        }
    }

    /// Queries the other observers of a member. If the loss is only on this link, they usually have a later
    /// heartbeat and answer with it, so that the suspicion is not gossiped.
    fn query_other_observers(&mut self, member: u16, query: &Message, now: Millis) {
        for observer in self.links.other_observers(member, &self.table) {
            self.send(observer, vec![query.clone()], now);
        }
    }

    fn suspect_message(&self, member: u16, gossip: bool) -> Message {
        let Evidence { incarnation, heartbeat } = self.table.latest(member);
        let suspectors =
            self.table.record(member).suspectors.iter().map(|suspector| suspector.number).collect();
        Message::Suspect { member, incarnation, heartbeat, suspectors, gossip }
    }

    fn gossip_suspicion(&mut self, member: u16) {
        let suspicion = self.suspect_message(member, true);
        self.gossip.push(suspicion);
    }

    /// Handles a suspicion by one or more observers. `queried_by` is the observer that asks whether this
    /// member knows a later heartbeat; only that observer gets the answer.
    pub(super) fn handle_suspicion(
        &mut self,
        member: u16,
        suspectors: &[u16],
        last: Evidence,
        queried_by: Option<u16>,
        now: Millis,
    ) {
        if member == self.me {
            return self.refute_own_suspicion();
        }
        match self.table.handle_suspicion(member, suspectors, last, now) {
            SuspicionOutcome::Stale => {}
            SuspicionOutcome::Accepted => {
                let suspectors = self.table.record(member).suspectors.len();
                if queried_by.is_none() || suspectors >= SUSPECTORS_TO_GOSSIP {
                    self.gossip_suspicion(member);
                }
            }
            SuspicionOutcome::Refuted => match queried_by {
                Some(observer) => {
                    let answer = self.alive_message(member, false, now);
                    self.send(observer, vec![answer], now);
                }
                None => self.refute(member, now),
            },
        }
    }

    /// Disseminates that this member is alive, at most once per heartbeat.
    fn refute_own_suspicion(&mut self) {
        let evidence = self.own.evidence();
        if std::mem::replace(&mut self.last_refutation, evidence) != evidence {
            let Evidence { incarnation, heartbeat } = evidence;
            self.gossip.push(Message::Alive {
                member: self.me,
                incarnation,
                heartbeat,
                age: 0,
                gossip: true,
            });
        }
    }

    /// Disseminates evidence that a member was alive later than its suspectors know, once for each of its
    /// heartbeats.
    fn refute(&mut self, member: u16, now: Millis) {
        let latest = self.table.latest(member);
        if std::mem::replace(&mut self.links.get_mut(member).last_refutation, latest) != latest {
            let refutation = self.alive_message(member, true, now);
            self.gossip.push(refutation);
        }
    }

    /// Handles evidence that a member sent a heartbeat `age` milliseconds ago; the age is 0 for a datagram
    /// from the member itself. If `gossip` is set, the end of a suspicion, the return of a dead member or a
    /// new incarnation is disseminated.
    pub(super) fn handle_evidence(
        &mut self,
        member: u16,
        evidence: Evidence,
        age: Millis,
        gossip: bool,
        now: Millis,
    ) {
        if evidence > self.table.latest(member) {
            self.links.get_mut(member).handle_evidence(age == 0);
        }
        let unknown = self.table.state(member) == MemberState::Unknown;
        if self.table.handle_alive(member, evidence, age, now) {
            self.gossip.remove_suspicions(member);
            // A member that was unknown is not gossiped: when the fleet starts, that would be a message for
            // each member, and relayed heartbeats spread the news sooner.
            if gossip && !unknown {
                let alive = self.alive_message(member, true, now);
                self.gossip.push(alive);
            }
        }
    }
}
