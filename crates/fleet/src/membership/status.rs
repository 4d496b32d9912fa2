//! The status of this member: reachability, isolation, and the views shown on the admin page.

use super::Membership;
use crate::Millis;
use crate::event::Event;
use crate::reachability::{IsolationChange, Reachability};
use crate::view::{MemberView, View, ViewSummary};

fn count(members: impl IntoIterator<Item = u16>, is: impl Fn(u16) -> bool) -> u16 {
    u16::try_from(members.into_iter().filter(|member| is(*member)).count()).unwrap_or(u16::MAX)
}

impl Membership {
    /// How much of the fleet this member can reach, in both directions. A pause of this process is detected
    /// first, so that no caller acts on what was known before the pause.
    pub fn reachability(&mut self, now: Millis) -> Reachability {
        self.detect_pause(now);
        let links = &self.links;
        let observers = || links.observers.iter().copied();
        let subjects = || links.subjects.iter().copied();
        Reachability {
            others: self.table.size() - 1,
            alive: count(self.table.others(), |member| self.table.is_alive(member)),
            subjects: count(subjects(), |_| true),
            subjects_heard: count(subjects(), |member| links.hears(member, now)),
            observers: count(observers(), |_| true),
            observers_confirming: count(observers(), |member| links.is_heard_by(member, now)),
            observers_denying: count(observers(), |member| self.is_reported_unheard_by(member)),
            last_received_ms: links.last_received.map(|last| now.saturating_sub(last)),
            superseded: self.own.superseded,
        }
    }

    /// Updates the number of live members, and reports when this member becomes isolated or reconnected.
    pub(super) fn update_isolation(&mut self, now: Millis) {
        let reachability = self.reachability(now);
        self.alive_count = 1 + usize::from(reachability.alive);
        match self.isolation.update(reachability.fraction(), now) {
            Some(IsolationChange::Isolated) => self.emit(Event::Isolated(reachability)),
            Some(IsolationChange::Reconnected) => self.emit(Event::Reconnected(reachability)),
            None => {}
        }
    }

    /// Returns the full view of the fleet.
    pub fn view(&mut self, now: Millis) -> View {
        let reachability = self.reachability(now);
        let member = |number: u16| {
            let record = self.table.record(number);
            let ever_alive = record.latest.incarnation > 0;
            MemberView {
                number,
                state: record.state,
                state_age_ms: now.saturating_sub(record.state_since),
                incarnation: record.latest.incarnation,
                heartbeat_age_ms: ever_alive.then(|| now.saturating_sub(record.last_alive)),
                last_received_ms: self.links.get(number).last_received.map(|at| now.saturating_sub(at)),
                reports_unheard: self.is_reported_unheard_by(number),
            }
        };
        View {
            number: self.me,
            incarnation: self.own.number,
            reachability,
            members: self.table.others().map(member).collect(),
            counters: self.counters(),
            gossip_queued: self.gossip.len(),
        }
    }

    /// Returns a summary of the view.
    pub fn view_summary(&mut self, now: Millis) -> ViewSummary {
        let reachability = self.reachability(now);
        let others = || self.table.others();
        ViewSummary {
            number: self.me,
            incarnation: self.own.number,
            reachability,
            alive: others().filter(|member| self.table.is_alive(*member)).collect(),
            dead: others().filter(|member| self.table.is_dead(*member)).collect(),
        }
    }
}
