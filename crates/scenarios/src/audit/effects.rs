//! Rule 2: no request takes effect twice. Each attempt needs a ticket that a gateway issued for its request and
//! backend, and each ticket admits one attempt; a request that is not idempotent is executed at most once.

use super::CapturePosition;
use super::report::{AuditReport, Rule};
use super::requests::Request;
use std::collections::HashMap;
use weirusher_fakes::{AuditParameters, ClientOutcome};

const RULE: Rule = Rule::NoDuplicateEffect;

/// Request and backend that a gateway issued a ticket for.
struct Ticket {
    request: u64,
    backend: String,
    used: bool,
}

/// The tickets that gateways issued.
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
        at: CapturePosition,
        request: u64,
        backend: &str,
        ticket: &str,
        report: &mut AuditReport,
    ) {
        let description = match self.by_text.get_mut(ticket) {
            None => "attempt was executed with a ticket that no gateway issued",
            Some(ticket) if ticket.used => "ticket was used twice",
            Some(ticket) if ticket.request != request || ticket.backend != backend => {
                "attempt was executed with the ticket of another request or backend"
            }
            Some(ticket) => {
                ticket.used = true;
                return;
            }
        };
        report.add_violation(RULE, Some(request), at.time_seconds, vec![at.line], description);
    }
}

/// Checks on the complete capture how often and when a request was executed.
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
        "unsafe" if request.executions.len() > 1 => "non-idempotent request was executed more than once",
        "unsafe" if rejected() => "non-idempotent request was executed, but rejected as safe to retry",
        "keyed" if request.executions.iter().any(|run| run.time_seconds > window_end) => {
            "request with an idempotency key was executed again after the window of the key"
        }
        _ => return,
    };
    let lines = request.executions.iter().map(|run| run.line).collect();
    report.add_violation(RULE, Some(number), first.time_seconds, lines, description);
}
