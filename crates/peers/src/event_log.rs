//! Log lines about the fleet, few enough to be read: many members that die at once are one line.

#[cfg(test)]
mod tests;

use std::collections::HashSet;
use std::fmt::Write as _;
use weirusher_fleet::{Event, HEARTBEAT_INTERVAL, MemberState, Millis, StateChange};

/// Members that are named in one line; further ones are counted.
const MAX_NAMED: usize = 8;
/// Least time between two lines about members that died or came back.
const CHANGES_INTERVAL: Millis = 4 * HEARTBEAT_INTERVAL;

/// Writes events to the log.
#[derive(Debug, Default)]
pub(crate) struct EventLog {
    /// Changes that are not logged yet.
    changes: Vec<StateChange>,
    changes_logged_at: Millis,
    /// Members with another fleet size: one line each.
    size_mismatches: HashSet<u16>,
}

impl EventLog {
    /// Logs events, and the changes of members' states that were not logged yet.
    pub fn record(&mut self, events: impl Iterator<Item = Event>, now: Millis) {
        events.for_each(|event| self.record_event(event));
        if now >= self.changes_logged_at + CHANGES_INTERVAL && !self.changes.is_empty() {
            self.changes_logged_at = now;
            for line in change_lines(&std::mem::take(&mut self.changes)) {
                tracing::info!("{line}");
            }
        }
    }

    fn record_event(&mut self, event: Event) {
        match event {
            Event::StateChanged(change) => self.changes.push(change),
            Event::Paused(ms) => {
                tracing::warn!(ms, "this process stood still; it takes part in its fleet anew");
            }
            Event::IncarnationRaised(incarnation) => {
                tracing::info!(
                    incarnation,
                    "an earlier process under this number had this later incarnation"
                );
            }
            Event::Superseded(incarnation) => {
                tracing::error!(
                    incarnation,
                    "another process has this number; this one leaves the fleet to it"
                );
            }
            Event::FleetSizeMismatch { member, size } => {
                if self.size_mismatches.insert(member) {
                    tracing::warn!(member, size, "a gateway is configured with another size of the fleet");
                }
            }
            Event::Isolated(reachability) => {
                tracing::warn!(?reachability, "cut off from most of the fleet");
            }
            Event::Reconnected(reachability) => {
                tracing::info!(?reachability, "no longer cut off from the fleet");
            }
        }
    }
}

/// The lines about members that died or came back. Suspicions are not logged: most are refuted, and the page shows them.
fn change_lines(changes: &[StateChange]) -> Vec<String> {
    let died = |change: &&StateChange| change.to == MemberState::Dead;
    let came_back = |change: &&StateChange| {
        change.to == MemberState::Alive && matches!(change.from, MemberState::Dead | MemberState::Unknown)
    };
    let died = changes.iter().filter(died).map(|change| change.member).collect();
    let came_back = changes.iter().filter(came_back).map(|change| change.member).collect();
    let lines = [change_line(died, MemberState::Dead), change_line(came_back, MemberState::Alive)];
    lines.into_iter().flatten().collect()
}

fn change_line(mut members: Vec<u16>, state: MemberState) -> Option<String> {
    members.sort_unstable();
    members.dedup();
    let first = members.first()?;
    let mut text = format!("gateway {first}");
    for member in members.iter().take(MAX_NAMED).skip(1) {
        let _ = write!(text, ", {member}");
    }
    let unnamed = members.len().saturating_sub(MAX_NAMED);
    if unnamed > 0 {
        let _ = write!(text, " and {unnamed} more");
    }
    let _ = write!(text, ": {}", state.as_str());
    Some(text)
}
