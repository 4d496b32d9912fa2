//! Many schedules, and how their outcomes compare with the bound. The JSON keys are those of `weirusher prove --json`.

use crate::outcome::Outcome;
use crate::schedule::{DemandPattern, FaultKind, Schedule};
use crate::simulator;
use serde::Serialize;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::thread::ScopedJoinHandle;
use std::time::Duration;
use weirusher_core::OvershootBound;

/// Worst schedules that a report names.
const MAX_NAMED: usize = 10;
/// Between two reports of progress.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);
/// Units of a request.
const REQUEST_UNITS: f64 = 1.0;
/// Slack of a hard ceiling, as a fraction of its burst. One request is allowed in any case.
const CEILING_SLACK: f64 = 0.1;

/// One schedule's outcome beside the bound.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct ScheduleResult {
    /// Its seed.
    pub seed: u64,
    /// Gateways.
    pub gateways: u32,
    /// Most units that a customer was served beyond its token bucket.
    #[serde(rename = "beyond")]
    pub overshoot: f64,
    /// What the bound allows, in units.
    pub allowed: f64,
    /// The overshoot in bursts of the customer's quota.
    #[serde(rename = "bursts")]
    pub overshoot_bursts: f64,
    /// Units beyond the hard ceiling and its slack; 0 where there is no ceiling.
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
        let slack = (CEILING_SLACK * ceiling_burst).max(REQUEST_UNITS);
        let excess = outcome
            .customers
            .iter()
            .map(|customer| customer.ceiling_overshoot - slack)
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

    /// Orders results: the worst is the one nearest to the bound or farthest beyond it.
    fn badness(&self) -> f64 {
        self.overshoot / self.allowed + self.ceiling_excess
    }
}

/// Requests that were due to customers, and those of them that were served.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
#[serde(into = "(u64, u64)")]
pub struct Fulfilment {
    /// Requests due.
    pub due: u64,
    /// Requests served.
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
    /// Schedules that were run.
    #[serde(rename = "timelines")]
    pub schedules: u64,
    /// Those beyond the bound, or beyond a ceiling's slack.
    #[serde(rename = "broken")]
    pub violations: u64,
    /// Those more than one burst beyond (or one request a gateway, if that is more), without a restart or a loss of
    /// counts. This is the target, which is stricter than the bound.
    #[serde(rename = "past_aim")]
    pub over_target: u64,
    /// Requests of customers that always stay within their rate.
    #[serde(rename = "within")]
    pub within_rate: Fulfilment,
    /// Requests of all other customers.
    #[serde(rename = "hot")]
    pub beyond_rate: Fulfilment,
    /// The worst schedules, the worst first.
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
        self.worst.sort_by(|a, b| b.badness().total_cmp(&a.badness()).then(a.seed.cmp(&b.seed)));
        self.worst.truncate(MAX_NAMED);
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
    /// Faults by which the counter loses its counts.
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

/// Runs the schedules of `count` seeds from `first_seed` on, on so many threads. `progress` is told now and then how many
/// are finished. The report is the same on any number of threads.
///
/// # Panics
/// A run panicked on one of the threads.
pub fn run_seeds(first_seed: u64, count: u64, threads: usize, mut progress: impl FnMut(u64)) -> Report {
    let (next, finished, report) = (AtomicU64::new(0), AtomicU64::new(0), Mutex::new(Report::default()));
    std::thread::scope(|scope| {
        let run_some = || {
            let mut own = Report::default();
            loop {
                let number = next.fetch_add(1, Relaxed);
                if number >= count {
                    break;
                }
                let (schedule, outcome) = run_seed(first_seed + number);
                own.add(&schedule, &outcome);
                finished.fetch_add(1, Relaxed);
            }
            report.lock().expect("no thread panics").merge(own);
        };
        let workers: Vec<_> = (0..threads.max(1)).map(|_| scope.spawn(run_some)).collect();
        while !workers.iter().all(ScopedJoinHandle::is_finished) {
            progress(finished.load(Relaxed));
            std::thread::sleep(PROGRESS_INTERVAL);
        }
    });
    report.into_inner().expect("no thread panics")
}
