//! Rule 1: each request gets exactly one response within its deadline, and no attempt is sent after it.
//!
//! A gateway that was killed or cannot be reached need not respond. One that is shutting down gracefully must answer
//! each check that was sent before the shutdown began.

use super::outages::Outages;
use super::report::{AuditReport, Rule};
use super::requests::{Check, Request, Requests};
use super::{CapturePosition, LATENESS_ALLOWANCE_SECONDS};
use weirusher_fakes::{CheckOutcome, ClientOutcome};

const RULE: Rule = Rule::NoRequestLost;

/// Checks that an answer belongs to a check that has not ended yet. Returns the check.
pub(super) fn match_answer<'a>(
    at: CapturePosition,
    call: u64,
    requests: &'a mut Requests,
    report: &mut AuditReport,
) -> Option<&'a Check> {
    let Some(check) = requests.check(call) else {
        report.add_violation(RULE, None, at.time_seconds, vec![at.line], "answer without a check");
        return None;
    };
    if std::mem::replace(&mut check.ended, true) {
        let lines = vec![check.sent.line, at.line];
        report.add_violation(
            RULE,
            Some(check.request),
            at.time_seconds,
            lines,
            "check was answered twice, or after it was cancelled",
        );
    }
    Some(check)
}

/// Checks that a running gateway answers, and that it accepts valid checks as well-formed.
pub(super) fn audit_answer(
    at: CapturePosition,
    check: &Check,
    outcome: &CheckOutcome,
    outages: &Outages,
    report: &mut AuditReport,
) {
    let gateway = check.gateway;
    let description = match outcome {
        CheckOutcome::ConnectionLost
            if !outages.affect(gateway, check.sent.time_seconds, at.time_seconds) =>
        {
            format!("gateway {gateway} was running, but its connection broke before the answer")
        }
        CheckOutcome::Invalid => {
            format!("gateway {gateway} rejected a valid check as malformed, or its answer was unreadable")
        }
        CheckOutcome::ConnectionLost
        | CheckOutcome::Allowed { .. }
        | CheckOutcome::Rejected { .. }
        | CheckOutcome::Failed => return,
    };
    let lines = vec![check.sent.line, at.line];
    report.add_violation(RULE, Some(check.request), at.time_seconds, lines, description);
}

/// Checks on the complete capture how a request ended.
pub(super) fn audit_request(
    number: u64,
    request: &Request,
    requests: &Requests,
    outages: &Outages,
    report: &mut AuditReport,
) {
    let mut violation = |time_seconds, lines, description| {
        report.add_violation(RULE, Some(number), time_seconds, lines, description);
    };
    let started = request.started;
    let Some((ended, outcome)) = request.outcomes.first().copied() else {
        return violation(started.time_seconds, vec![started.line], "no response");
    };
    if let Some((second, _)) = request.outcomes.get(1) {
        violation(second.time_seconds, vec![ended.line, second.line], "two responses");
    }
    let late_attempt = request.attempts.iter().find(|sent| sent.time_seconds > ended.time_seconds);
    if let Some(sent) = late_attempt {
        violation(sent.time_seconds, vec![ended.line, sent.line], "attempt was sent after the response");
    }
    let excused = requests
        .checks_of(request)
        .any(|check| outages.affect(check.gateway, check.sent.time_seconds, ended.time_seconds));
    let limit = started.time_seconds + request.deadline_seconds + LATENESS_ALLOWANCE_SECONDS;
    if ended.time_seconds > limit && !excused {
        let lines = vec![started.line, ended.line];
        violation(ended.time_seconds, lines, "response arrived after the client's deadline");
    }
    if outcome == ClientOutcome::ClientClosed && !request.closes_early && !excused {
        let lines = vec![started.line, ended.line];
        violation(ended.time_seconds, lines, "client reached its deadline without a response");
    }
    let unanswered = requests.checks_of(request).find(|check| !check.ended);
    if let Some(check) = unanswered {
        violation(check.sent.time_seconds, vec![check.sent.line], "check was not answered");
    }
}
