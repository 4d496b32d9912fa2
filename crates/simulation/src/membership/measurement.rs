//! What is measured of a failure detector: how fast it is, how often it is wrong, and what it sends.

use super::host::Traffic;
use super::network::{LinkQuality, Network};
use super::process::{Belief, Process};
use fastrand::Rng;
use hdrhistogram::Histogram;
use serde::Serialize;
use weirusher_fleet::Millis;

/// Time until all members know each other after a start, at any size that is measured.
const SETTLE_TIME: Millis = 30_000;
/// Time that a death is given to be known by all.
const DETECTION_LIMIT: Millis = 30_000;
/// Wrong beliefs about one member within this time are one alarm.
const ALARM_SPAN: Millis = 10_000;
/// A member is killed at a random time within this one.
const DEATH_TIME_SPREAD: Millis = 1_000;
const MILLIS_PER_HOUR: f64 = 3_600_000.0;

/// The median and the 99th percentile of times in milliseconds.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Percentiles {
    /// Median.
    pub p50: Millis,
    /// 99th percentile.
    pub p99: Millis,
    /// Times that were measured.
    #[serde(rename = "of")]
    pub count: u64,
}

impl Percentiles {
    fn new(times: &Histogram<u64>) -> Self {
        Self { p50: times.value_at_quantile(0.5), p99: times.value_at_quantile(0.99), count: times.len() }
    }
}

/// What was measured. The JSON keys are those of kept measurements.
#[derive(Debug, Clone, Serialize)]
pub struct Measurement {
    /// Members.
    pub members: u16,
    /// Fraction of datagrams lost.
    pub loss: f64,
    /// From a death until the first member takes the dead one for dead.
    #[serde(rename = "first")]
    pub first_detection: Percentiles,
    /// From a death until all members do.
    #[serde(rename = "all")]
    pub full_detection: Percentiles,
    /// Deaths that not all knew of in time.
    pub missed: u64,
    /// Members that were alive and taken for dead by anybody, an hour.
    #[serde(rename = "alarms_an_hour")]
    pub false_alarms_per_hour: f64,
    /// The same, counted for each member that believed it.
    #[serde(rename = "wrong_an_hour")]
    pub false_beliefs_per_hour: f64,
    /// Bytes a second that a member sends: the mean, and the most of any.
    #[serde(rename = "bytes")]
    pub bytes_per_second: (f64, f64),
    /// Datagrams a second that a member sends, the mean.
    #[serde(rename = "datagrams")]
    pub datagrams_per_second: f64,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(DETECTION_LIMIT, 3).expect("three digits are kept")
}

/// Beliefs that a member is dead while all are alive.
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

/// Times from deaths until they were known.
struct Detections {
    first: Histogram<u64>,
    all: Histogram<u64>,
    missed: u64,
}

impl Detections {
    fn new() -> Self {
        Self { first: histogram(), all: histogram(), missed: 0 }
    }

    /// Records the changes of belief after a death.
    fn record<P: Process>(&mut self, network: &Network<P>, dead: u16, died_at: Millis) {
        // The last belief of each member is what counts: it may have been wrong before, and changed.
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

/// Bytes and datagrams a second of each member.
fn traffic_rates<P: Process>(network: &Network<P>, before: &[Traffic], span: Millis) -> Vec<(f64, f64)> {
    let per_second = |sent: u64| sent as f64 * 1000.0 / span as f64;
    let rates = |(member, before): (u16, &Traffic)| {
        let now = network.traffic(member);
        (per_second(now.bytes - before.bytes), per_second(now.datagrams - before.datagrams))
    };
    (0..network.size()).zip(before).map(rates).collect()
}

/// Runs `quiet` milliseconds without a fault but losses, then `deaths` deaths one after the other, each followed by the
/// member's restart.
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
