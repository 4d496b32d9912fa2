//! Log lines about the fleet. They are aggregated: many members that die at once give one line.

#[cfg(test)]
mod tests;

use std::collections::HashSet;
use std::fmt::Write as _;
use weirusher_fleet::{Event, HEARTBEAT_INTERVAL, MemberState, Millis, StateChange};

/// Maximum number of members named in one line; the remaining ones are counted.
const MAX_NAMED: usize = 8;
/// Minimum time between two log lines about deaths and returns.
const CHANGES_INTERVAL: Millis = 4 * HEARTBEAT_INTERVAL;

/// Writes membership events to the log.
#[derive(Debug, Default)]
pub(crate) struct EventLog {
    /// State changes not logged yet.
    changes: Vec<StateChange>,
    changes_logged_at: Millis,
    /// Members whose different fleet size has been logged, so that each is logged once.
    size_mismatches: HashSet<u16>,
}

impl EventLog {
    /// Logs events, and pending state changes if [`CHANGES_INTERVAL`] has passed since the last ones.
    pub fn record(&mut self, events: impl Iterator<Item = Event>, now: Millis) {
        events.for_each(|event| self.record_event(event));
        if now >= self.changes_logged_at + CHANGES_INTERVAL && !self.changes.is_empty() {
            self.changes_logged_at = now;
            for line in format_changes(&std::mem::take(&mut self.changes)) {
                tracing::info!("{line}");
            }
        }
    }

    fn record_event(&mut self, event: Event) {
        match event {
            Event::StateChanged(change) => self.changes.push(change),
            Event::Paused(ms) => {
                tracing::warn!(ms, "process was paused; rejoining the fleet with a new incarnation");
            }
            Event::IncarnationRaised(incarnation) => {
                tracing::info!(
                    incarnation,
                    "an earlier process with this member number used a higher incarnation (its wall clock may have \
                     been ahead); continuing with the next higher one"
                );
            }
            Event::Superseded(incarnation) => {
                tracing::error!(
                    incarnation,
                    "another process has taken this member number; this one no longer takes part in the fleet: stop \
                     one of the two, or give it another number"
                );
            }
            Event::FleetSizeMismatch { member, size } => {
                if self.size_mismatches.insert(member) {
                    tracing::warn!(
                        member,
                        size,
                        "a gateway is configured with a different fleet size; its datagrams are rejected"
                    );
                }
            }
            Event::Isolated(reachability) => {
                tracing::warn!(?reachability, "isolated: less than half of the fleet is reachable");
            }
            Event::Reconnected(reachability) => {
                tracing::info!(
                    ?reachability,
                    "reconnected: at least three quarters of the fleet are reachable"
                );
            }
        }
    }
}

/// Formats the lines about members that died or came back. Suspicions are not logged: most are refuted, and
/// the admin page shows them.
fn format_changes(changes: &[StateChange]) -> Vec<String> {
    let died = |change: &&StateChange| change.to == MemberState::Dead;
    let came_back = |change: &&StateChange| {
        change.to == MemberState::Alive && matches!(change.from, MemberState::Dead | MemberState::Unknown)
    };
    let died = changes.iter().filter(died).map(|change| change.member).collect();
    let came_back = changes.iter().filter(came_back).map(|change| change.member).collect();
    let lines = [format_change(died, MemberState::Dead), format_change(came_back, MemberState::Alive)];
    lines.into_iter().flatten().collect()
}

fn format_change(mut members: Vec<u16>, state: MemberState) -> Option<String> {
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
