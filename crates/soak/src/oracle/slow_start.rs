//! The rule `slow start`: a backend in slow start does not receive more than its budget from gateways that
//! were notified of its restart.
//!
//! The backends of a soak have no limit of their own. The capacity of one is taken to be the highest rate so
//! far (attempts within a second, at all backends) divided by the number of backends.

use super::evidence::Evidence;
use super::finding::Finding;
use crate::record::{Attempt, BackendRestart, Records};
use crate::wire::{OVERLOAD_MULTIPLE, OVERLOAD_SECONDS, SLOW_START_FRACTION, SLOW_START_SECONDS};
use std::time::Duration;
use tokio::time::Instant;

/// An overload counts only if more than this fraction of its attempts came from notified gateways: the others
/// could not know of the slow start.
const NOTIFIED_FRACTION: f64 = 2.0 / 3.0;
/// Expected counts below this get the wider allowance for random variation.
const FEW_REQUESTS: f64 = 30.0;

/// An overload of a backend in slow start: it received more than its budget.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Overload {
    /// The number of the backend.
    backend: usize,
    /// When the first attempt over the budget was received.
    at: Instant,
    /// Seconds from the restart of the backend to `at`.
    age: f64,
    /// Attempts within the last [`OVERLOAD_SECONDS`].
    received: usize,
    /// The number of attempts that were allowed in that time.
    allowed: f64,
}

/// The highest rate of attempts up to a point in time.
#[derive(Debug, Clone, Copy)]
struct Peak {
    at: Instant,
    /// Attempts within one second, at all backends.
    rate: usize,
}

/// The first overload after each restart of a backend.
pub(super) fn check(evidence: &Evidence<'_>, backends: usize) -> Vec<Finding> {
    let peaks = peaks(evidence.records);
    let overload = |restart: &BackendRestart| first_overload(evidence, &peaks, backends, *restart);
    let finding = |Overload { backend, at, age, received, allowed }| {
        let at = evidence.seconds(at);
        let observation = format!(
            "at {at:.3} s: s-{backend:04} received {received} attempts where {allowed:.1} are allowed, \
             {age:.2} s after its restart"
        );
        Finding::new("slow start", observation)
    };
    evidence.records.backend_restarts.iter().filter_map(overload).map(finding).collect()
}

/// The largest number of requests that may be received if `expected` are allowed on average, with the
/// platform's allowance for random variation.
fn allowance(expected: f64) -> f64 {
    if expected < FEW_REQUESTS {
        expected + 3.0 * expected.sqrt() + 3.0
    } else {
        expected + 2.0 * expected.sqrt() + 2.0
    }
}

/// The first overload of a backend after a restart, within its slow start.
fn first_overload(
    evidence: &Evidence<'_>,
    peaks: &[Peak],
    backends: usize,
    restart: BackendRestart,
) -> Option<Overload> {
    let slow_start_end = restart.at + Duration::from_secs_f64(SLOW_START_SECONDS);
    let mut received: Vec<&Attempt> = evidence
        .records
        .attempts
        .iter()
        .filter(|attempt| attempt.backend == restart.backend)
        .filter(|attempt| (restart.at..slow_start_end).contains(&attempt.received_at))
        .collect();
    received.sort_unstable_by_key(|attempt| attempt.received_at);
    for (last, attempt) in received.iter().enumerate() {
        let at = attempt.received_at;
        let age = (at - restart.at).as_secs_f64();
        let capacity_fraction = SLOW_START_FRACTION + (1.0 - SLOW_START_FRACTION) * age / SLOW_START_SECONDS;
        let capacity = peak_until(peaks, at) as f64 / backends as f64;
        let allowed = allowance(OVERLOAD_MULTIPLE * capacity_fraction * capacity * OVERLOAD_SECONDS);
        let is_recent = |earlier: &&&Attempt| (at - earlier.received_at).as_secs_f64() < OVERLOAD_SECONDS;
        let recent: Vec<&&Attempt> = received[..=last].iter().filter(is_recent).collect();
        if recent.len() as f64 <= allowed {
            continue;
        }
        let notified = recent.iter().filter(|attempt| was_notified(evidence, attempt, restart)).count();
        if notified as f64 > NOTIFIED_FRACTION * recent.len() as f64 {
            return Some(Overload { backend: restart.backend, at, age, received: recent.len(), allowed });
        }
    }
    None
}

/// The highest rate up to each attempt, in the order in which backends received the attempts.
fn peaks(records: &Records) -> Vec<Peak> {
    const SECOND: Duration = Duration::from_secs(1);
    let mut arrivals: Vec<Instant> = records.attempts.iter().map(|attempt| attempt.received_at).collect();
    arrivals.sort_unstable();
    let (mut first, mut rate) = (0, 0);
    let peak = |(last, at): (usize, &Instant)| {
        while *at - arrivals[first] >= SECOND {
            first += 1;
        }
        rate = rate.max(last + 1 - first);
        Peak { at: *at, rate }
    };
    arrivals.iter().enumerate().map(peak).collect()
}

/// The highest rate, in attempts per second, up to `until`.
fn peak_until(peaks: &[Peak], until: Instant) -> usize {
    let count = peaks.partition_point(|peak| peak.at <= until);
    count.checked_sub(1).map_or(0, |last| peaks[last].rate)
}

/// Whether the gateway that sent an attempt had been notified of the restart before it.
fn was_notified(evidence: &Evidence<'_>, attempt: &Attempt, restart: BackendRestart) -> bool {
    let process = evidence.requests.get(attempt.id.as_str()).and_then(|request| evidence.process(request));
    process.is_some_and(|process| {
        process.backend_updates.iter().any(|update| {
            update.backend == restart.backend
                && update.serving
                && update.at >= restart.at
                && process.notified_at(update.at) <= attempt.first_byte_at
        })
    })
}
