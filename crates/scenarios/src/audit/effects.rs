//! Rule 2: no effect happens twice. An attempt runs only under the ticket that a gateway gave for this request and
//! backend, once; a request that is not idempotent runs once.

use super::Moment;
use super::report::{AuditReport, Rule};
use super::requests::Request;
use std::collections::HashMap;
use weirusher_fakes::{AuditParameters, ClientOutcome};

const RULE: Rule = Rule::NoDuplicateEffect;

/// What a gateway gave a ticket for.
struct Ticket {
    request: u64,
    backend: String,
    used: bool,
}

/// The tickets that gateways gave.
#[derive(Default)]
pub(super) struct Tickets {
    by_text: HashMap<String, Ticket>,
}

impl Tickets {
    pub fn issued(&mut self, text: String, request: u64, backend: String) {
        self.by_text.insert(text, Ticket { request, backend, used: false });
    }

    /// Checks the ticket of an attempt that a backend admitted.
    pub fn audit_execution(
        &mut self,
        at: Moment,
        request: u64,
        backend: &str,
        ticket: &str,
        report: &mut AuditReport,
    ) {
        let description = match self.by_text.get_mut(ticket) {
            None => "ran under a ticket that no gateway issued",
            Some(ticket) if ticket.used => "a ticket was used twice",
            Some(ticket) if ticket.request != request || ticket.backend != backend => {
                "ran under the ticket of another request or backend"
            }
            Some(ticket) => {
                ticket.used = true;
                return;
            }
        };
        report.violation(RULE, Some(request), at.time_seconds, vec![at.line], description);
    }
}

/// Checks how often a request ran, once the capture is complete.
pub(super) fn audit_request(
    number: u64,
    request: &Request,
    parameters: &AuditParameters,
    report: &mut AuditReport,
) {
    let Some(first) = request.executions.first() else { return };
    let rejected = || request.outcomes.iter().any(|(_, outcome)| *outcome == ClientOutcome::Rejected);
    let window_end = first.time_seconds + parameters.idempotency_window_seconds;
    let description = match parameters.effects.get(request.class).map_or("safe", String::as_str) {
        "unsafe" if request.executions.len() > 1 => "a request that is not idempotent ran more than once",
        "unsafe" if rejected() => "a request that is not idempotent ran, and was rejected as if it had not",
        "keyed" if request.executions.iter().any(|run| run.time_seconds > window_end) => {
            "a request with an idempotency key ran again after the window in which the key is remembered"
        }
        _ => return,
    };
    let lines = request.executions.iter().map(|run| run.line).collect();
    report.violation(RULE, Some(number), first.time_seconds, lines, description);
}
