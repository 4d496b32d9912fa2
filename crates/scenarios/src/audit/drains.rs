//! Rule 3: a gateway sends nothing to a backend after the grace of its drain.
//!
//! A gateway knows of a drain once it acknowledged a list that has it. A newer list that was sent to it already says
//! otherwise may be used before it is acknowledged.

use super::Moment;
use super::report::{AuditReport, Rule};
use super::requests::Check;
use std::collections::{HashMap, HashSet};

/// What gateways know of draining and removed backends.
#[derive(Default)]
pub(super) struct Drains {
    /// When a gateway came to know of a backend's drain, by gateway and backend.
    known_since: HashMap<(usize, String), Moment>,
    /// The stopped backends of the newest list that was sent to a gateway.
    newest: HashMap<usize, HashSet<String>>,
}

impl Drains {
    pub fn list_sent(&mut self, gateway: usize, stopped_backends: Vec<String>) {
        let stopped: HashSet<String> = stopped_backends.into_iter().collect();
        self.forget_others(gateway, &stopped);
        self.newest.insert(gateway, stopped);
    }

    pub fn list_acknowledged(&mut self, at: Moment, gateway: usize, stopped_backends: Vec<String>) {
        let stopped: HashSet<String> = stopped_backends.into_iter().collect();
        self.forget_others(gateway, &stopped);
        let newest = self.newest.get(&gateway);
        let in_newest = |backend: &String| newest.is_none_or(|newest| newest.contains(backend));
        for backend in stopped.into_iter().filter(in_newest) {
            self.known_since.entry((gateway, backend)).or_insert(at);
        }
    }

    /// Drops what a gateway knows of backends that are not in its list of stopped ones any more.
    fn forget_others(&mut self, gateway: usize, stopped: &HashSet<String>) {
        self.known_since.retain(|(known, backend), _| *known != gateway || stopped.contains(backend));
    }

    /// Checks the backend that a check was allowed for. A check that was sent after the grace was decided after it.
    pub fn audit_allowed(
        &self,
        at: Moment,
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
            "allowed for {backend}, {:.3} s after gateway {} knew that it stops",
            sent - known.time_seconds,
            check.gateway
        );
        let lines = vec![known.line, check.sent.line, at.line];
        report.violation(Rule::DrainsRespected, Some(check.request), at.time_seconds, lines, description);
    }
}
