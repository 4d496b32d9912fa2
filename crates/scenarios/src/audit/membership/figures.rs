//! Figures of a run's membership.

use serde::Serialize;
use std::collections::HashMap;

/// Figures of a run. The names in its JSON are those of the first version.
#[derive(Debug, Clone, Default, Serialize)]
pub struct MembershipFigures {
    /// Reports checked.
    #[serde(rename = "statements")]
    pub reports: usize,
    /// Datagrams, by fate.
    pub datagrams: HashMap<String, usize>,
    /// Mean bytes a second that a gateway sent while reports were requested.
    pub bytes_per_second: f64,
    /// Seconds from the moment a member could not be reached until it was no longer reported alive, by pair.
    #[serde(rename = "lost")]
    pub death_detection_seconds: Vec<f64>,
    /// Seconds from the moment a member could be reached again until it was reported alive, by pair.
    #[serde(rename = "back")]
    pub recovery_detection_seconds: Vec<f64>,
    /// Reports that a member is dead which was reported alive before and could be reached ever since.
    #[serde(rename = "false_alarms")]
    pub false_positives: usize,
}

impl MembershipFigures {
    /// A change was reported correctly so many seconds after it: a member that is reached, or not any more.
    pub(super) fn detected(&mut self, reached: bool, seconds: f64) {
        let times =
            if reached { &mut self.recovery_detection_seconds } else { &mut self.death_detection_seconds };
        times.push(seconds);
    }

    /// Lines for people.
    pub fn summary(&self) -> String {
        let mut fates: Vec<String> = self.datagrams.iter().map(|(fate, n)| format!("{fate} {n}")).collect();
        fates.sort();
        format!(
            "  fleet      {} reports, {} of them that a reachable member is dead; {:.0} bytes a second each\n  \
             datagrams  {}\n  death seen {}\n  back seen  {}\n",
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
    format!("p50 {:.2} s, p99 {:.2} s, most {:.2} s, {} pairs", at(0.5), at(0.99), at(1.0), seconds.len())
}

/// Bytes that gateways sent to each other.
#[derive(Default)]
pub(super) struct Traffic {
    bytes: u64,
    since_seconds: f64,
}

impl Traffic {
    /// Counts from now on.
    pub fn since(now: f64) -> Self {
        Self { bytes: 0, since_seconds: now }
    }

    /// Adds a datagram; the mean bytes a second of one gateway of a fleet of `size` so far.
    pub fn add(&mut self, bytes: usize, now: f64, size: usize) -> f64 {
        self.bytes += bytes as u64;
        let seconds = (now - self.since_seconds).max(1e-3) * size.max(1) as f64;
        self.bytes as f64 / seconds
    }
}
