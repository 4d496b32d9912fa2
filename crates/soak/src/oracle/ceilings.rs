//! The rule `ceiling`: no customer is served more than its ceiling, counted over all nodes.

use super::evidence::Evidence;
use super::finding::Finding;
use crate::wire::{CEILING_BURST, CEILING_RATE};
use std::collections::HashMap;

/// Units over the ceiling that are not a violation: the boundaries of a span are uncertain by one request.
const TOLERANCE: f64 = 1.0;

/// A time span, with the units that a customer was served over its ceiling (negative if it was served less).
#[derive(Debug, Clone, Copy)]
struct Excess {
    /// Units over the ceiling.
    units: f64,
    /// The start of the span, in seconds since the start of the soak.
    from: f64,
    /// The end of the span, in seconds since the start of the soak.
    to: f64,
}

/// One finding, with the worst span, for each customer that was served more than its ceiling. A request uses
/// one unit at the time of its first executed attempt.
pub(super) fn check(evidence: &Evidence<'_>) -> Vec<Finding> {
    let mut times: HashMap<usize, Vec<f64>> = HashMap::new();
    for request in &evidence.records.requests {
        let Some(customer) = request.limited_customer else { continue };
        let executed = evidence.attempts_of(request).iter().filter(|attempt| !attempt.not_executed);
        let first = executed.map(|attempt| attempt.received_at).min();
        times.entry(customer).or_default().extend(first.map(|first| evidence.seconds(first)));
    }
    let mut findings = Vec::new();
    for (customer, mut times) in times {
        times.sort_by(f64::total_cmp);
        let worst = worst_span(&times, evidence.send_delay());
        if let Some(Excess { units, from, to }) = worst.filter(|worst| worst.units > TOLERANCE) {
            let observation = format!(
                "customer {customer}: {units:.1} units over its ceiling from {from:.3} s to {to:.3} s"
            );
            findings.push(Finding::new("ceiling", observation));
        }
    }
    findings
}

/// The span with the largest excess, among the spans between any two of the sorted `times`. The ceiling of a
/// span allows for `slack` seconds more than its length.
fn worst_span(times: &[f64], slack: f64) -> Option<Excess> {
    let spans = (0..times.len()).flat_map(|first| (first..times.len()).map(move |last| (first, last)));
    let excess = |(first, last): (usize, usize)| {
        let (from, to) = (times[first], times[last]);
        let allowed = CEILING_BURST + CEILING_RATE * (to - from + slack);
        Excess { units: (last - first + 1) as f64 - allowed, from, to }
    };
    spans.map(excess).max_by(|a, b| a.units.total_cmp(&b.units))
}
