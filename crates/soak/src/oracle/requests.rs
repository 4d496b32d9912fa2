//! The rules for each request: one response in time, no second execution, no attempt after the client's close, no
//! timeout past its deadline, no new attempt at a draining backend.

use super::evidence::{Evidence, after};
use super::finding::Finding;
use crate::record::{Attempt, Class, Outcome, Process, Request};
use crate::wire::{DEDUPLICATION_WINDOW, DRAIN_GRACE};

/// Seconds after its deadline within which a response is accepted.
const RESPONSE_SLACK: f64 = 0.5;
/// Seconds after a client's close within which an attempt may begin.
const CLIENT_CLOSE_SLACK: f64 = 0.1;
/// Seconds by which the timeout of an attempt may exceed the client's remaining time.
const TIMEOUT_SLACK: f64 = 0.15;

/// All violations of the rules for requests.
pub(super) fn check(evidence: &Evidence<'_>) -> Vec<Finding> {
    let mut findings = Vec::new();
    for request in &evidence.records.requests {
        findings.extend(check_response(evidence, request));
        findings.extend(check_executions(evidence, request));
        for attempt in evidence.attempts_of(request) {
            findings.extend(check_client_close(evidence, request, attempt));
            findings.extend(check_timeout(evidence, request, attempt));
        }
        findings.extend(check_drains(evidence, request));
    }
    for (id, attempts) in &evidence.attempts {
        if !evidence.requests.contains_key(id) {
            let observation = format!("{} attempts of {id}, which was not sent completely", attempts.len());
            findings.push(Finding::new("lost", observation));
        }
    }
    findings
}

/// A request that was read gets one response, within its deadline.
fn check_response(evidence: &Evidence<'_>, request: &Request) -> Option<Finding> {
    // A process that was killed by an injected crash answers nobody.
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
            "another request's response"
        }
        Outcome::Response { .. } if request.ended_at > deadline => "a response that is too late",
        Outcome::Response { .. } | Outcome::ClientClosed => return None,
        Outcome::ResetUnread if evidence.attempts_of(request).is_empty() => return None,
        Outcome::ResetUnread => "forwarded, and its connection reset",
        Outcome::ClosedUnanswered => "read, and its connection closed",
        Outcome::TimedOut if request.behaviour == "stalled" => "neither an error nor a close for half of it",
        Outcome::TimedOut => "no response",
    };
    Some(Finding::new("lost", format!("{violation}: {}", evidence.describe(request))))
}

/// A request is executed at most as often as its class allows.
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

/// No attempt begins for a client that has closed its connection or has its response.
fn check_client_close(evidence: &Evidence<'_>, request: &Request, attempt: &Attempt) -> Option<Finding> {
    let is_closed = matches!(request.outcome, Outcome::ClientClosed | Outcome::Response { .. });
    let limit = after(request.ended_at, CLIENT_CLOSE_SLACK + evidence.timer_lag());
    (is_closed && attempt.first_byte_at > limit).then(|| {
        let late = (attempt.first_byte_at - request.ended_at).as_secs_f64();
        let request = evidence.describe(request);
        Finding::new("lost", format!("an attempt {late:.3} s after its end: {request}"))
    })
}

/// No attempt is given more time than its client has left.
fn check_timeout(evidence: &Evidence<'_>, request: &Request, attempt: &Attempt) -> Option<Finding> {
    let remaining =
        evidence.seconds(request.sent_at) + request.time_budget - evidence.seconds(attempt.first_byte_at);
    (attempt.timeout > remaining + TIMEOUT_SLACK + evidence.timer_lag()).then(|| {
        let request = evidence.describe(request);
        let observation = format!("timeout {:.3} s with {remaining:.3} s left: {request}", attempt.timeout);
        Finding::new("deadline", observation)
    })
}

/// No attempt begins at a backend that the gateway knows to be draining.
fn check_drains(evidence: &Evidence<'_>, request: &Request) -> Vec<Finding> {
    let Some(process) = evidence.process(request) else { return Vec::new() };
    let grace = DRAIN_GRACE + evidence.send_delay();
    let attempts = evidence.attempts_of(request).iter();
    let violation = |attempt: &&Attempt| {
        let since = seconds_since_drain(process, attempt, grace)?;
        let request = evidence.describe(request);
        let observation = format!("s-{:04} {since:.3} s after the notification: {request}", attempt.backend);
        Some(Finding::new("drain", observation))
    };
    attempts.filter_map(violation).collect()
}

/// Seconds from the drain of an attempt's backend to the attempt, where the process was notified more than `grace` seconds
/// before and the backend did not return since.
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
