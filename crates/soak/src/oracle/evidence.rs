//! The records, indexed for the checks of the oracle, and the uncertainty of the recorded times.

use crate::record::{Attempt, Process, Records, Request};
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// The longest time, in seconds, for which a fault may delay a gateway between reading its clock and writing
/// to a socket.
const MAX_PROCESSING_DELAY: f64 = 0.15;

/// The indexed records that all checks use.
pub(super) struct Evidence<'a> {
    /// The records of the soak.
    pub records: &'a Records,
    /// Requests by their ids.
    pub requests: HashMap<&'a str, &'a Request>,
    /// Attempts by the ids of their requests, in the order in which backends received them.
    pub attempts: HashMap<&'a str, Vec<&'a Attempt>>,
    /// The start of the first process. Findings give times in seconds since then.
    start: Instant,
}

impl<'a> Evidence<'a> {
    /// Indexes the records.
    pub fn new(records: &'a Records) -> Self {
        let started = records.processes.values().map(|process| process.started_at);
        let mut attempts: HashMap<&str, Vec<&Attempt>> = HashMap::new();
        for attempt in &records.attempts {
            attempts.entry(&attempt.id).or_default().push(attempt);
        }
        let requests = records.requests.iter().map(|request| (request.id.as_str(), request)).collect();
        Self { records, requests, attempts, start: started.min().unwrap_or_else(Instant::now) }
    }

    /// Seconds from the start of the soak to `instant`.
    pub fn seconds(&self, instant: Instant) -> f64 {
        instant.saturating_duration_since(self.start).as_secs_f64()
    }

    /// The gateway process that a request was sent to.
    pub fn process(&self, request: &Request) -> Option<&'a Process> {
        self.records.processes.get(&request.incarnation)
    }

    /// The attempts of a request, in the order in which backends received them.
    pub fn attempts_of(&self, request: &Request) -> &[&'a Attempt] {
        self.attempts.get(request.id.as_str()).map_or(&[], Vec::as_slice)
    }

    /// Seconds by which a time that this program recorded may be wrong.
    pub fn timer_lag(&self) -> f64 {
        self.records.timer_lag
    }

    /// The longest time, in seconds, from the gateway's decision to send an attempt to the time at which a
    /// backend records it.
    pub fn send_delay(&self) -> f64 {
        MAX_PROCESSING_DELAY + self.timer_lag()
    }

    /// Describes a request with its attempts and its outcome, for a finding.
    pub fn describe(&self, request: &Request) -> String {
        let terminated_at = self.process(request).and_then(|process| process.terminated_at);
        let since_sigterm = terminated_at.map(|terminated_at| {
            if request.sent_at >= terminated_at {
                format!(", {:.3} s after SIGTERM", (request.sent_at - terminated_at).as_secs_f64())
            } else {
                format!(", {:.3} s before SIGTERM", (terminated_at - request.sent_at).as_secs_f64())
            }
        });
        let sent_at = self.seconds(request.sent_at);
        let describe_attempt = |attempt: &&Attempt| {
            let began = self.seconds(attempt.first_byte_at) - sent_at;
            let ended = attempt.ended_at.map(|ended_at| self.seconds(ended_at) - sent_at);
            format!("s-{:04} {began:+.3} to {ended:.3?}", attempt.backend)
        };
        let attempts: Vec<String> = self.attempts_of(request).iter().map(describe_attempt).collect();
        format!(
            "{} {:?} by a {} client at n{}.{}, sent at {sent_at:.3} s{}, time budget {:.3} s, {:?} after {:.3} s; \
             attempts {attempts:?}",
            request.id,
            request.class,
            request.behaviour,
            request.incarnation.node,
            request.incarnation.number,
            since_sigterm.unwrap_or_default(),
            request.time_budget,
            request.outcome,
            (request.ended_at - request.sent_at).as_secs_f64(),
        )
    }
}

/// The time that is `seconds` after `instant`; negative seconds count as 0.
pub(super) fn after(instant: Instant, seconds: f64) -> Instant {
    instant + Duration::from_secs_f64(seconds.max(0.0))
}
