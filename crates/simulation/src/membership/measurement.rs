//! Measurement of a failure detector: detection times, false alarms and traffic.

use super::host::Traffic;
use super::network::{LinkQuality, Network};
use super::process::{Belief, Process};
use fastrand::Rng;
use hdrhistogram::Histogram;
use serde::Serialize;
use weirusher_fleet::Millis;

/// Time after a start until all members know each other, at any measured fleet size.
const SETTLE_TIME: Millis = 30_000;
/// Time within which all members have to detect a death; otherwise it counts as missed.
const DETECTION_LIMIT: Millis = 30_000;
/// False beliefs about one member that follow each other within this time count as one alarm.
const ALARM_SPAN: Millis = 10_000;
/// Range of the random delay before a member is killed.
const DEATH_TIME_SPREAD: Millis = 1_000;
const MILLIS_PER_HOUR: f64 = 3_600_000.0;

/// The median and the 99th percentile of durations in milliseconds.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Percentiles {
    /// The median, in milliseconds.
    pub p50: Millis,
    /// The 99th percentile, in milliseconds.
    pub p99: Millis,
    /// Number of measured durations.
    #[serde(rename = "of")]
    pub count: u64,
}

impl Percentiles {
    fn new(times: &Histogram<u64>) -> Self {
        Self { p50: times.value_at_quantile(0.5), p99: times.value_at_quantile(0.99), count: times.len() }
    }
}

/// The result of a measurement. The JSON keys match those of earlier results on record.
#[derive(Debug, Clone, Serialize)]
pub struct Measurement {
    /// Number of members of the simulated fleet.
    pub members: u16,
    /// Fraction of datagrams that the network lost.
    pub loss: f64,
    /// Time from a death until the first member detects it.
    #[serde(rename = "first")]
    pub first_detection: Percentiles,
    /// Time from a death until all members have detected it.
    #[serde(rename = "all")]
    pub full_detection: Percentiles,
    /// Number of deaths that not all members detected in time; a death that no member detected counts twice.
    pub missed: u64,
    /// False alarms an hour: a running member was declared dead by one or more others.
    #[serde(rename = "alarms_an_hour")]
    pub false_alarms_per_hour: f64,
    /// False beliefs an hour: like the alarms, but counted for each member that held one.
    #[serde(rename = "wrong_an_hour")]
    pub false_beliefs_per_hour: f64,
    /// Bytes a second that a member sends: the mean and the maximum over the members.
    #[serde(rename = "bytes")]
    pub bytes_per_second: (f64, f64),
    /// Datagrams a second that a member sends: the mean over the members.
    #[serde(rename = "datagrams")]
    pub datagrams_per_second: f64,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(DETECTION_LIMIT, 3).expect("three significant digits are supported")
}

/// Counts of false beliefs that a member is dead, while all members are alive.
#[derive(Default)]
struct FalseAlarms {
    beliefs: u64,
    alarms: u64,
}

impl FalseAlarms {
    fn count<P: Process>(network: &Network<P>) -> Self {
        let mut found = Self::default();
        let mut last_alarm: Vec<Option<Millis>> = vec![None; usize::from(network.size())];
        for change in network.belief_changes.iter().filter(|change| change.belief == Belief::Dead) {
            found.beliefs += 1;
            let last = &mut last_alarm[usize::from(change.of)];
            found.alarms += u64::from(last.is_none_or(|last| change.at - last >= ALARM_SPAN));
            *last = Some(change.at);
        }
        found
    }
}

/// Times from deaths until they were detected.
struct Detections {
    first: Histogram<u64>,
    all: Histogram<u64>,
    missed: u64,
}

impl Detections {
    fn new() -> Self {
        Self { first: histogram(), all: histogram(), missed: 0 }
    }

    /// Evaluates the changes of belief after a death.
    fn record<P: Process>(&mut self, network: &Network<P>, dead: u16, died_at: Millis) {
        // Only the last belief of each member counts: an earlier one may have been revoked.
        let mut detected: Vec<Option<Millis>> = vec![None; usize::from(network.size())];
        for change in network.belief_changes.iter().filter(|c| c.of == dead && c.at >= died_at) {
            detected[usize::from(change.by)] = (change.belief == Belief::Dead).then_some(change.at - died_at);
        }
        detected.swap_remove(usize::from(dead));
        match detected.iter().flatten().min() {
            Some(earliest) => self.first.saturating_record(*earliest),
            None => self.missed += 1,
        }
        match detected.into_iter().collect::<Option<Vec<Millis>>>() {
            Some(times) => self.all.saturating_record(times.into_iter().max().unwrap_or(0)),
            None => self.missed += 1,
        }
    }
}

/// Bytes and datagrams a second that each member sent since `before`.
fn traffic_rates<P: Process>(network: &Network<P>, before: &[Traffic], span: Millis) -> Vec<(f64, f64)> {
    let per_second = |sent: u64| sent as f64 * 1000.0 / span as f64;
    let rates = |(member, before): (u16, &Traffic)| {
        let now = network.traffic(member);
        (per_second(now.bytes - before.bytes), per_second(now.datagrams - before.datagrams))
    };
    (0..network.size()).zip(before).map(rates).collect()
}

/// Runs the network for `quiet` milliseconds without any fault but packet loss, then kills `deaths` members one
/// after the other, and restarts each 30 s after its death.
pub fn measure<P: Process>(
    mut network: Network<P>,
    link_quality: LinkQuality,
    quiet: Millis,
    deaths: u32,
    seed: u64,
) -> Measurement {
    let size = network.size();
    let mut rng = Rng::with_seed(seed);
    (0..size).for_each(|member| network.start(member));
    network.run_for(SETTLE_TIME);
    network.link_quality = link_quality;
    network.run_for(SETTLE_TIME);
    network.belief_changes.clear();
    let before: Vec<Traffic> = (0..size).map(|member| network.traffic(member)).collect();
    network.run_for(quiet);
    let hours = quiet as f64 / MILLIS_PER_HOUR;
    let false_alarms = FalseAlarms::count(&network);
    let rates = traffic_rates(&network, &before, quiet);
    let mean = |which: fn(&(f64, f64)) -> f64| rates.iter().map(which).sum::<f64>() / f64::from(size);
    let mut detections = Detections::new();
    for _ in 0..deaths {
        network.belief_changes.clear();
        let dead = rng.u16(0..size);
        let died_at = network.now() + rng.u64(0..DEATH_TIME_SPREAD);
        network.run_for(died_at - network.now());
        network.kill(dead);
        network.run_for(DETECTION_LIMIT);
        detections.record(&network, dead, died_at);
        network.start(dead);
        network.run_for(SETTLE_TIME / 2);
    }
    Measurement {
        members: size,
        loss: link_quality.loss,
        first_detection: Percentiles::new(&detections.first),
        full_detection: Percentiles::new(&detections.all),
        missed: detections.missed,
        false_alarms_per_hour: false_alarms.alarms as f64 / hours,
        false_beliefs_per_hour: false_alarms.beliefs as f64 / hours,
        bytes_per_second: (mean(|rate| rate.0), rates.iter().map(|rate| rate.0).fold(0.0, f64::max)),
        datagrams_per_second: mean(|rate| rate.1),
    }
}
