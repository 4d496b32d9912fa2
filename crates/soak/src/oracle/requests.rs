//! The rules for each request: one response in time (`lost`), no more executions than its class allows
//! (`duplicate`), no attempt after its end (`lost`), no attempt with a timeout past its deadline
//! (`deadline`), and no new attempt at a draining backend (`drain`).

use super::evidence::{Evidence, after};
use super::finding::Finding;
use crate::record::{Attempt, Class, Outcome, Process, Request};
use crate::wire::{DEDUPLICATION_WINDOW, DRAIN_GRACE};

/// Seconds after the deadline within which a response is accepted.
const RESPONSE_SLACK: f64 = 0.5;
/// Seconds after the end of a request within which an attempt may begin.
const REQUEST_END_SLACK: f64 = 0.1;
/// Seconds by which the timeout of an attempt may exceed the time that is left until the client's deadline.
const TIMEOUT_SLACK: f64 = 0.15;

/// All violations of the rules for requests.
pub(super) fn check(evidence: &Evidence<'_>) -> Vec<Finding> {
    let mut findings = Vec::new();
    for request in &evidence.records.requests {
        findings.extend(check_response(evidence, request));
        findings.extend(check_executions(evidence, request));
        for attempt in evidence.attempts_of(request) {
            findings.extend(check_request_end(evidence, request, attempt));
            findings.extend(check_timeout(evidence, request, attempt));
        }
        findings.extend(check_drains(evidence, request));
    }
    for (id, attempts) in &evidence.attempts {
        if !evidence.requests.contains_key(id) {
            let observation =
                format!("{} attempts of request {id}, which was not sent completely", attempts.len());
            findings.push(Finding::new("lost", observation));
        }
    }
    findings
}

/// Checks that a request that the gateway read gets one response, within its deadline.
fn check_response(evidence: &Evidence<'_>, request: &Request) -> Option<Finding> {
    // A process that was killed by an injected crash cannot respond.
    let crashed_at = evidence
        .process(request)
        .and_then(|process| process.kill)
        .filter(|kill| kill.is_crash)
        .map(|kill| kill.at);
    if crashed_at.is_some_and(|at| at <= request.ended_at) {
        return None;
    }
    let deadline = after(request.sent_at, request.time_budget + RESPONSE_SLACK + evidence.timer_lag());
    let violation = match &request.outcome {
        Outcome::Response { status: 200, body } if !body.starts_with(&format!("done {} ", request.id)) => {
            "response to another request"
        }
        Outcome::Response { .. } if request.ended_at > deadline => "response after the deadline",
        Outcome::Response { .. } | Outcome::ClientClosed => return None,
        Outcome::ResetUnread if evidence.attempts_of(request).is_empty() => return None,
        Outcome::ResetUnread => "connection reset after the request was forwarded",
        Outcome::ClosedUnanswered => "connection closed without a response after the request was read",
        Outcome::TimedOut if request.behaviour == "stalled" => {
            "neither an error response nor a close for an incomplete request"
        }
        Outcome::TimedOut => "no response",
    };
    Some(Finding::new("lost", format!("{violation}: {}", evidence.describe(request))))
}

/// Checks that a request is executed no more often than its class allows.
fn check_executions(evidence: &Evidence<'_>, request: &Request) -> Option<Finding> {
    let attempts = evidence.attempts_of(request);
    let first = attempts.iter().find(|attempt| !attempt.not_executed)?;
    let mut repeats = attempts.iter().filter(|attempt| attempt.received_at > first.received_at);
    let is_violated = match request.class {
        Class::Idempotent => false,
        Class::AtMostOnce => repeats.next().is_some(),
        Class::Deduplicated => {
            let window_end = after(first.received_at, DEDUPLICATION_WINDOW + evidence.send_delay());
            repeats.any(|attempt| attempt.received_at > window_end)
        }
    };
    is_violated.then(|| Finding::new("duplicate", evidence.describe(request)))
}

/// Checks that no attempt begins after the client has closed its connection or received its response.
fn check_request_end(evidence: &Evidence<'_>, request: &Request, attempt: &Attempt) -> Option<Finding> {
    let has_ended = matches!(request.outcome, Outcome::ClientClosed | Outcome::Response { .. });
    let limit = after(request.ended_at, REQUEST_END_SLACK + evidence.timer_lag());
    (has_ended && attempt.first_byte_at > limit).then(|| {
        let late = (attempt.first_byte_at - request.ended_at).as_secs_f64();
        let request = evidence.describe(request);
        Finding::new("lost", format!("attempt began {late:.3} s after the end of the request: {request}"))
    })
}

/// Checks that the timeout of an attempt does not exceed the time that its client has left.
fn check_timeout(evidence: &Evidence<'_>, request: &Request, attempt: &Attempt) -> Option<Finding> {
    let remaining =
        evidence.seconds(request.sent_at) + request.time_budget - evidence.seconds(attempt.first_byte_at);
    (attempt.timeout > remaining + TIMEOUT_SLACK + evidence.timer_lag()).then(|| {
        let request = evidence.describe(request);
        let observation = format!(
            "attempt with a timeout of {:.3} s and {remaining:.3} s left: {request}",
            attempt.timeout
        );
        Finding::new("deadline", observation)
    })
}

/// Checks that no attempt begins at a backend that the gateway knows to be draining.
fn check_drains(evidence: &Evidence<'_>, request: &Request) -> Vec<Finding> {
    let Some(process) = evidence.process(request) else { return Vec::new() };
    let grace = DRAIN_GRACE + evidence.send_delay();
    let attempts = evidence.attempts_of(request).iter();
    let violation = |attempt: &&Attempt| {
        let since = seconds_since_drain(process, attempt, grace)?;
        let request = evidence.describe(request);
        let observation = format!(
            "attempt at s-{:04} {since:.3} s after the notification of its drain: {request}",
            attempt.backend
        );
        Some(Finding::new("drain", observation))
    };
    attempts.filter_map(violation).collect()
}

/// Seconds from the drain of an attempt's backend to the attempt, if the process was notified of the drain
/// more than `grace` seconds before the attempt and the backend has not returned since.
fn seconds_since_drain(process: &Process, attempt: &Attempt, grace: f64) -> Option<f64> {
    let mut updates = process.backend_updates.iter().filter(|update| update.backend == attempt.backend);
    let known = updates
        .clone()
        .rev()
        .find(|update| after(process.notified_at(update.at), grace) < attempt.first_byte_at)?;
    let returned =
        updates.any(|update| update.at > known.at && update.at <= attempt.first_byte_at && update.serving);
    (!known.serving && !returned).then(|| (attempt.first_byte_at - known.at).as_secs_f64())
}
