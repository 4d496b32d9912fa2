//! Statistics of a run's membership protocol.

use serde::Serialize;
use std::collections::HashMap;

/// Statistics of a run's membership protocol. Its JSON keeps the names of the first version.
#[derive(Debug, Clone, Default, Serialize)]
pub struct MembershipFigures {
    /// Membership reports that were checked.
    #[serde(rename = "statements")]
    pub reports: usize,
    /// Datagrams, by what happened to them in the network.
    pub datagrams: HashMap<String, usize>,
    /// Mean bytes per second that each gateway sent, since all gateways were started.
    pub bytes_per_second: f64,
    /// Seconds from when a member became unreachable until it was no longer reported alive; one entry for each pair of
    /// reporting gateway and member.
    #[serde(rename = "lost")]
    pub death_detection_seconds: Vec<f64>,
    /// Seconds from when a member became reachable again until it was reported alive; one entry for each pair.
    #[serde(rename = "back")]
    pub recovery_detection_seconds: Vec<f64>,
    /// Reports of a member as dead that had been reported alive and stayed reachable since.
    #[serde(rename = "false_alarms")]
    pub false_positives: usize,
}

impl MembershipFigures {
    /// Records that a member's change to reachable or unreachable was reported correctly after some seconds.
    pub(super) fn detected(&mut self, reached: bool, seconds: f64) {
        let times =
            if reached { &mut self.recovery_detection_seconds } else { &mut self.death_detection_seconds };
        times.push(seconds);
    }

    /// Human-readable summary.
    pub fn summary(&self) -> String {
        let mut fates: Vec<String> = self.datagrams.iter().map(|(fate, n)| format!("{fate} {n}")).collect();
        fates.sort();
        format!(
            "  membership {} reports, {} false positives, {:.0} bytes/s per gateway\n  \
             datagrams  {}\n  deaths     detected in {}\n  recoveries detected in {}\n",
            self.reports,
            self.false_positives,
            self.bytes_per_second,
            fates.join(", "),
            percentiles(&self.death_detection_seconds),
            percentiles(&self.recovery_detection_seconds)
        )
    }
}

fn percentiles(seconds: &[f64]) -> String {
    let mut sorted = seconds.to_vec();
    sorted.sort_by(f64::total_cmp);
    let at = |quantile: f64| {
        let index = ((sorted.len() as f64 - 1.0) * quantile).round() as usize;
        sorted.get(index).copied().unwrap_or(0.0)
    };
    format!("p50 {:.2} s, p99 {:.2} s, max {:.2} s, {} pairs", at(0.5), at(0.99), at(1.0), seconds.len())
}

/// Bytes that the gateways sent to each other.
#[derive(Default)]
pub(super) struct Traffic {
    bytes: u64,
    since_seconds: f64,
}

impl Traffic {
    /// Starts counting at `now`.
    pub fn since(now: f64) -> Self {
        Self { bytes: 0, since_seconds: now }
    }

    /// Adds a datagram. Returns the mean bytes per second of each gateway so far, in a fleet of `size` gateways.
    pub fn add(&mut self, bytes: usize, now: f64, size: usize) -> f64 {
        self.bytes += bytes as u64;
        let seconds = (now - self.since_seconds).max(1e-3) * size.max(1) as f64;
        self.bytes as f64 / seconds
    }
}
