//! Runs many schedules and compares their outcomes with the bound on overshoot. The JSON keys are those of the
//! output of `weirusher simulate --json`.

use crate::outcome::Outcome;
use crate::schedule::{DemandPattern, FaultKind, Schedule};
use crate::simulator;
use serde::Serialize;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::thread::ScopedJoinHandle;
use std::time::Duration;
use weirusher_core::OvershootBound;

/// Maximum number of schedules in [`Report::worst`].
const MAX_WORST_SCHEDULES: usize = 10;
/// Interval between two calls of the progress callback.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);
/// Units of each request.
const REQUEST_UNITS: f64 = 1.0;
/// Tolerance of a hard ceiling, as a fraction of its burst, but at least one request.
const CEILING_TOLERANCE: f64 = 0.1;

/// The overshoot of one schedule, and the bound on it.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct ScheduleResult {
    /// The seed of the schedule.
    pub seed: u64,
    /// Number of gateways.
    pub gateways: u32,
    /// Maximum number of units that a customer was served beyond its token bucket.
    #[serde(rename = "beyond")]
    pub overshoot: f64,
    /// The bound on the overshoot, in units.
    pub allowed: f64,
    /// The overshoot as a multiple of the burst of the quota.
    #[serde(rename = "bursts")]
    pub overshoot_bursts: f64,
    /// Units served beyond the hard ceiling and its tolerance; 0 if there is no ceiling.
    #[serde(rename = "ceiling_over")]
    pub ceiling_excess: f64,
}

impl ScheduleResult {
    fn new(schedule: &Schedule, outcome: &Outcome) -> Self {
        let burst = schedule.quota.burst;
        let bound =
            OvershootBound { burst, instances: f64::from(schedule.gateways), largest_request: REQUEST_UNITS };
        let overshoot = outcome.worst_overshoot();
        let ceiling_burst = schedule.ceiling.map_or(0.0, |ceiling| ceiling.burst);
        let tolerance = (CEILING_TOLERANCE * ceiling_burst).max(REQUEST_UNITS);
        let excess = outcome
            .customers
            .iter()
            .map(|customer| customer.ceiling_overshoot - tolerance)
            .fold(f64::MIN, f64::max);
        Self {
            seed: schedule.seed,
            gateways: schedule.gateways,
            overshoot,
            allowed: bound.max_excess(outcome.restarts, schedule.count_losses()),
            overshoot_bursts: overshoot / burst,
            ceiling_excess: excess.max(0.0),
        }
    }

    fn violates_bound(&self) -> bool {
        self.overshoot > self.allowed || self.ceiling_excess > 0.0
    }

    /// The sort key of [`Report::worst`]: how close a result is to the bound, or how far beyond.
    fn severity(&self) -> f64 {
        self.overshoot / self.allowed + self.ceiling_excess
    }
}

/// How many requests were due to customers, and how many of those were served.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
#[serde(into = "(u64, u64)")]
pub struct Fulfilment {
    /// Number of requests due.
    pub due: u64,
    /// Number of due requests that were served.
    pub served: u64,
}

impl From<Fulfilment> for (u64, u64) {
    fn from(Fulfilment { due, served }: Fulfilment) -> Self {
        (due, served)
    }
}

impl Fulfilment {
    fn add(&mut self, due: u64, served: u64) {
        self.due += due;
        self.served += served;
    }
}

/// The outcomes of many schedules.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Report {
    /// Number of schedules that were run.
    #[serde(rename = "timelines")]
    pub schedules: u64,
    /// Number of schedules that exceeded the bound, or a ceiling and its tolerance.
    #[serde(rename = "broken")]
    pub violations: u64,
    /// Number of schedules without restarts and losses of counts that exceeded the design target, which is
    /// stricter than the bound: an overshoot of one burst, or of one request for each gateway if that is more.
    #[serde(rename = "past_aim")]
    pub over_target: u64,
    /// Requests of customers whose demand is always within their rate.
    #[serde(rename = "within")]
    pub within_rate: Fulfilment,
    /// Requests of all other customers.
    #[serde(rename = "hot")]
    pub beyond_rate: Fulfilment,
    /// The schedules closest to the bound or farthest beyond it, the worst first.
    pub worst: Vec<ScheduleResult>,
}

impl Report {
    fn add(&mut self, schedule: &Schedule, outcome: &Outcome) {
        let result = ScheduleResult::new(schedule, outcome);
        self.schedules += 1;
        self.violations += u64::from(result.violates_bound());
        let target = schedule.quota.burst.max(f64::from(schedule.gateways));
        let undisturbed = outcome.restarts + schedule.count_losses() == 0;
        self.over_target += u64::from(undisturbed && result.overshoot > target);
        for (demand, customer) in schedule.demand.iter().zip(&outcome.customers) {
            let within = matches!(demand.pattern, DemandPattern::Steady(factor) if factor < 1.0);
            let sums = if within { &mut self.within_rate } else { &mut self.beyond_rate };
            sums.add(customer.due, customer.served.min(customer.due));
        }
        self.worst.push(result);
        self.keep_worst();
    }

    fn keep_worst(&mut self) {
        self.worst.sort_by(|a, b| b.severity().total_cmp(&a.severity()).then(a.seed.cmp(&b.seed)));
        self.worst.truncate(MAX_WORST_SCHEDULES);
    }

    fn merge(&mut self, other: Self) {
        self.schedules += other.schedules;
        self.violations += other.violations;
        self.over_target += other.over_target;
        self.within_rate.add(other.within_rate.due, other.within_rate.served);
        self.beyond_rate.add(other.beyond_rate.due, other.beyond_rate.served);
        self.worst.extend(other.worst);
        self.keep_worst();
    }
}

impl Schedule {
    /// Number of faults that make the counter lose its counts.
    fn count_losses(&self) -> u32 {
        let loses =
            |fault: &&crate::Fault| matches!(fault.kind, FaultKind::CountsLost | FaultKind::ReplacedEmpty);
        self.faults.iter().filter(loses).count() as u32
    }
}

/// Runs the schedule of one seed.
pub fn run_seed(seed: u64) -> (Schedule, Outcome) {
    let schedule = Schedule::random(seed);
    let outcome = simulator::run(&schedule);
    (schedule, outcome)
}

/// Runs the schedules of `count` consecutive seeds from `first_seed` on `threads` threads. `progress` is called
/// periodically with the number of finished schedules. The report does not depend on the number of threads.
///
/// # Panics
/// A run panicked on one of the threads.
pub fn run_seeds(first_seed: u64, count: u64, threads: usize, mut progress: impl FnMut(u64)) -> Report {
    let (next, finished, report) = (AtomicU64::new(0), AtomicU64::new(0), Mutex::new(Report::default()));
    std::thread::scope(|scope| {
        let run_schedules = || {
            let mut thread_report = Report::default();
            loop {
                let number = next.fetch_add(1, Relaxed);
                if number >= count {
                    break;
                }
                let (schedule, outcome) = run_seed(first_seed + number);
                thread_report.add(&schedule, &outcome);
                finished.fetch_add(1, Relaxed);
            }
            report.lock().expect("no thread panics").merge(thread_report);
        };
        let workers: Vec<_> = (0..threads.max(1)).map(|_| scope.spawn(run_schedules)).collect();
        while !workers.iter().all(ScopedJoinHandle::is_finished) {
            progress(finished.load(Relaxed));
            std::thread::sleep(PROGRESS_INTERVAL);
        }
    });
    report.into_inner().expect("no thread panics")
}
