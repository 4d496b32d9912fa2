//! Rule 3: a gateway sends no attempt to a draining backend after the grace period.
//!
//! A gateway knows of a drain once it has acknowledged a list that contains it. If a newer list without the drain has
//! already been sent, the gateway may use that one before it acknowledges it.

use super::CapturePosition;
use super::report::{AuditReport, Rule};
use super::requests::Check;
use std::collections::{HashMap, HashSet};

/// Draining and removed ("stopped") backends, as each gateway knows them.
#[derive(Default)]
pub(super) struct Drains {
    /// When a gateway learned that a backend has stopped, by gateway and backend.
    known_since: HashMap<(usize, String), CapturePosition>,
    /// Stopped backends in the newest list that was sent to each gateway.
    newest_sent: HashMap<usize, HashSet<String>>,
}

impl Drains {
    pub fn list_sent(&mut self, gateway: usize, stopped_backends: Vec<String>) {
        let stopped: HashSet<String> = stopped_backends.into_iter().collect();
        self.retain_stopped(gateway, &stopped);
        self.newest_sent.insert(gateway, stopped);
    }

    pub fn list_acknowledged(&mut self, at: CapturePosition, gateway: usize, stopped_backends: Vec<String>) {
        let stopped: HashSet<String> = stopped_backends.into_iter().collect();
        self.retain_stopped(gateway, &stopped);
        let newest = self.newest_sent.get(&gateway);
        let in_newest = |backend: &String| newest.is_none_or(|newest| newest.contains(backend));
        for backend in stopped.into_iter().filter(in_newest) {
            self.known_since.entry((gateway, backend)).or_insert(at);
        }
    }

    /// Removes backends that are no longer in the gateway's list of stopped ones.
    fn retain_stopped(&mut self, gateway: usize, stopped: &HashSet<String>) {
        self.known_since.retain(|(known, backend), _| *known != gateway || stopped.contains(backend));
    }

    /// Checks the backend that was selected for a check. The time of sending counts: a check that was sent after the
    /// grace period was also decided after it.
    pub fn audit_allowed(
        &self,
        at: CapturePosition,
        check: &Check,
        backend: &str,
        grace_seconds: f64,
        report: &mut AuditReport,
    ) {
        let Some(known) = self.known_since.get(&(check.gateway, backend.to_string())) else { return };
        let sent = check.sent.time_seconds;
        if sent <= known.time_seconds + grace_seconds {
            return;
        }
        let description = format!(
            "{backend} was selected {:.3} s after gateway {} learned that it was draining or removed",
            sent - known.time_seconds,
            check.gateway
        );
        let lines = vec![known.line, check.sent.line, at.line];
        report.add_violation(Rule::DrainsRespected, Some(check.request), at.time_seconds, lines, description);
    }
}
