//! Rule 1: each request gets one response, in time, and nothing is sent after it.
//!
//! A gateway that was killed, or cannot be reached, owes no response; one in its graceful shutdown owes one to each
//! check that was sent before.

use super::outages::Outages;
use super::report::{AuditReport, Rule};
use super::requests::{Check, Request, Requests};
use super::{LATENESS_ALLOWANCE_SECONDS, Moment};
use weirusher_fakes::{CheckOutcome, ClientOutcome};

const RULE: Rule = Rule::NoRequestLost;

/// Checks that an answer belongs to a check, and that the check has no other one. Returns the check.
pub(super) fn match_answer<'a>(
    at: Moment,
    call: u64,
    requests: &'a mut Requests,
    report: &mut AuditReport,
) -> Option<&'a Check> {
    let Some(check) = requests.check(call) else {
        report.violation(RULE, None, at.time_seconds, vec![at.line], "an answer without a check");
        return None;
    };
    if std::mem::replace(&mut check.ended, true) {
        let lines = vec![check.sent.line, at.line];
        report.violation(RULE, Some(check.request), at.time_seconds, lines, "a check was answered twice");
    }
    Some(check)
}

/// Checks that a gateway that runs answers, and understands a valid check.
pub(super) fn audit_answer(
    at: Moment,
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
            format!("gateway {gateway} was running, and broke off its answer")
        }
        CheckOutcome::Invalid => format!("gateway {gateway} did not understand a valid check"),
        CheckOutcome::ConnectionLost
        | CheckOutcome::Allowed { .. }
        | CheckOutcome::Rejected { .. }
        | CheckOutcome::Failed => return,
    };
    let lines = vec![check.sent.line, at.line];
    report.violation(RULE, Some(check.request), at.time_seconds, lines, description);
}

/// Checks how a request ended, once the capture is complete.
pub(super) fn audit_request(
    number: u64,
    request: &Request,
    requests: &Requests,
    outages: &Outages,
    report: &mut AuditReport,
) {
    let mut violation = |time_seconds, lines, description| {
        report.violation(RULE, Some(number), time_seconds, lines, description);
    };
    let started = request.started;
    let Some((ended, outcome)) = request.outcomes.first().copied() else {
        return violation(started.time_seconds, vec![started.line], "no response");
    };
    if let Some((again, _)) = request.outcomes.get(1) {
        violation(again.time_seconds, vec![ended.line, again.line], "two responses");
    }
    let late_attempt = request.attempts.iter().find(|sent| sent.time_seconds > ended.time_seconds);
    if let Some(sent) = late_attempt {
        violation(sent.time_seconds, vec![ended.line, sent.line], "an attempt was sent after the response");
    }
    let excused = requests
        .checks_of(request)
        .any(|check| outages.affect(check.gateway, check.sent.time_seconds, ended.time_seconds));
    let limit = started.time_seconds + request.deadline_seconds + LATENESS_ALLOWANCE_SECONDS;
    if ended.time_seconds > limit && !excused {
        let lines = vec![started.line, ended.line];
        violation(ended.time_seconds, lines, "the response came after the client's deadline");
    }
    if outcome == ClientOutcome::ClientClosed && !request.closes_early && !excused {
        let lines = vec![started.line, ended.line];
        violation(ended.time_seconds, lines, "the client reached its deadline without a response");
    }
    let unanswered = requests.checks_of(request).find(|check| !check.ended);
    if let Some(check) = unanswered {
        violation(check.sent.time_seconds, vec![check.sent.line], "a check without an answer");
    }
}
