//! Backends in slow start: none receives more than its budget from gateways that were notified of its restart.
//!
//! The backends of a soak can serve any load. The capacity of one is taken to be the highest rate so far (attempts within a
//! second, at all backends), divided by the number of backends.

use super::evidence::Evidence;
use super::finding::Finding;
use crate::record::{Attempt, BackendRestart, Records};
use crate::wire::{OVERLOAD_MULTIPLE, OVERLOAD_SECONDS, SLOW_START_FRACTION, SLOW_START_SECONDS};
use std::time::Duration;
use tokio::time::Instant;

/// More than this fraction of the attempts of an overload must come from notified gateways: the others could not know.
const NOTIFIED_FRACTION: f64 = 2.0 / 3.0;
/// Expected counts below this are given the wider allowance.
const FEW_REQUESTS: f64 = 30.0;

/// A backend in slow start that received more than its budget.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Overload {
    /// The backend.
    backend: usize,
    /// When the attempt that was too many was received.
    at: Instant,
    /// Seconds since the restart.
    age: f64,
    /// Attempts within [`OVERLOAD_SECONDS`].
    received: usize,
    /// How many of them were allowed.
    allowed: f64,
}

/// The highest rate up to a moment.
#[derive(Debug, Clone, Copy)]
struct Peak {
    at: Instant,
    /// Attempts within a second, at all backends.
    rate: usize,
}

/// The first overload after each restart of a backend.
pub(super) fn check(evidence: &Evidence<'_>, backends: usize) -> Vec<Finding> {
    let peaks = peaks(evidence.records);
    let overload = |restart: &BackendRestart| first_overload(evidence, &peaks, backends, *restart);
    let finding = |Overload { backend, at, age, received, allowed }| {
        let at = evidence.seconds(at);
        let observation = format!(
            "at {at:.3}: s-{backend:04} got {received} of {allowed:.1} attempts at the age of {age:.2} s"
        );
        Finding::new("slow start", observation)
    };
    evidence.records.backend_restarts.iter().filter_map(overload).map(finding).collect()
}

/// The most requests that may be received where `expected` are allowed on average: the platform's allowance for chance.
fn allowance(expected: f64) -> f64 {
    if expected < FEW_REQUESTS {
        expected + 3.0 * expected.sqrt() + 3.0
    } else {
        expected + 2.0 * expected.sqrt() + 2.0
    }
}

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

/// For each attempt, in the order of arrival, the highest rate up to it.
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

/// The highest rate up to `until`.
fn peak_until(peaks: &[Peak], until: Instant) -> usize {
    let count = peaks.partition_point(|peak| peak.at <= until);
    count.checked_sub(1).map_or(0, |last| peaks[last].rate)
}

/// Whether the gateway that sent an attempt was notified of the restart before.
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
