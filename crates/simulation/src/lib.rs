//! Many gateways in virtual time: engines as they run in service, a model of the counter and of each
//! connection to it, and random schedules of faults, restarts and demand.
//!
//! What is proved is the bound on what a customer may get beyond its token bucket ,
//! and that what is due to customers is still given. Nothing here reads a clock or a socket; a seed tells all.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod counter;
mod judge;
pub mod membership;
mod schedule;
mod simulator;

pub use judge::{CustomerResult, Verdict};
pub use schedule::{Demand, Fault, Habit, Schedule, Trouble};
pub use simulator::play;

use serde::Serialize;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;
use weirusher_core::OvershootBound;

/// Worst schedules that a proof names.
const NAMED: usize = 10;
/// Between two looks at how far a proof is.
const LOOK: Duration = Duration::from_millis(500);

/// What one schedule came to, beside the bound.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Run {
    /// Its seed.
    pub seed: u64,
    /// Gateways.
    pub gateways: u32,
    /// Its worst customer's units beyond the bucket.
    pub beyond: f64,
    /// What the bound allows.
    pub allowed: f64,
    /// The same in bursts.
    pub bursts: f64,
    /// Units beyond the hard ceiling's own slack, where there is one.
    pub ceiling_over: f64,
}

/// What many schedules came to.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Proof {
    /// Schedules played.
    pub timelines: u64,
    /// Those beyond the bound, or beyond a ceiling's slack.
    pub broken: u64,
    /// Those more than one burst (one request a gateway, if that is more) beyond, without a restart or an
    /// emptied count: the aim.
    pub past_aim: u64,
    /// Requests that customers within their rate asked, and had served.
    pub within: (u64, u64),
    /// Requests due to customers beyond their rate, and those served.
    pub hot: (u64, u64),
    /// The worst, by share of what is allowed.
    pub worst: Vec<Run>,
}

impl Proof {
    fn take(&mut self, schedule: &Schedule, verdict: &Verdict) {
        let [_, burst] = schedule.quota;
        let forgets = |f: &&Fault| matches!(f.trouble, Trouble::Emptied | Trouble::Replaced);
        let emptied = schedule.faults.iter().filter(forgets).count() as u32;
        let quota = OvershootBound { burst, instances: f64::from(schedule.gateways), largest_request: 1.0 };
        let (beyond, allowed) = (verdict.worst(), quota.max_excess(verdict.restarts, emptied));
        let hard = (0.1 * schedule.ceiling[1]).max(1.0);
        let over = verdict.customers.iter().map(|c| c.ceiling_beyond - hard).fold(f64::MIN, f64::max);
        let run = Run {
            seed: schedule.seed,
            gateways: schedule.gateways,
            beyond,
            allowed,
            bursts: beyond / burst,
            ceiling_over: over.max(0.0),
        };
        self.timelines += 1;
        self.broken += u64::from(beyond > allowed || run.ceiling_over > 0.0);
        let aim = burst.max(f64::from(schedule.gateways));
        self.past_aim += u64::from(verdict.restarts + emptied == 0 && beyond > aim);
        for (demand, customer) in schedule.demand.iter().zip(&verdict.customers) {
            let within = matches!(demand.habit, Habit::Steady(factor) if factor < 1.0);
            let sums = if within { &mut self.within } else { &mut self.hot };
            *sums = (sums.0 + customer.due, sums.1 + customer.served.min(customer.due));
        }
        self.worst.push(run);
        self.cut();
    }

    fn cut(&mut self) {
        let badness = |r: &Run| r.beyond / r.allowed + r.ceiling_over;
        self.worst.sort_by(|a, b| badness(b).total_cmp(&badness(a)).then(a.seed.cmp(&b.seed)));
        self.worst.truncate(NAMED);
    }

    fn join(&mut self, other: Self) {
        self.timelines += other.timelines;
        self.broken += other.broken;
        self.past_aim += other.past_aim;
        self.within = (self.within.0 + other.within.0, self.within.1 + other.within.1);
        self.hot = (self.hot.0 + other.hot.0, self.hot.1 + other.hot.1);
        self.worst.extend(other.worst);
        self.cut();
    }
}

/// Plays the schedule of one seed.
pub fn prove(seed: u64) -> (Schedule, Verdict) {
    let schedule = Schedule::random(seed);
    let verdict = play(&schedule);
    (schedule, verdict)
}

/// Plays `count` schedules from seed `from` on, on so many threads; `progress` hears how many are played. The
/// result is the same on any number of threads.
pub fn prove_many(from: u64, count: u64, threads: usize, mut progress: impl FnMut(u64)) -> Proof {
    let (next, done, proof) = (AtomicU64::new(0), AtomicU64::new(0), Mutex::new(Proof::default()));
    std::thread::scope(|scope| {
        let worker = || {
            let mut own = Proof::default();
            loop {
                let number = next.fetch_add(1, Relaxed);
                if number >= count {
                    break;
                }
                let (schedule, verdict) = prove(from + number);
                own.take(&schedule, &verdict);
                done.fetch_add(1, Relaxed);
            }
            proof.lock().expect("no holder panics").join(own);
        };
        let workers: Vec<_> = (0..threads.max(1)).map(|_| scope.spawn(worker)).collect();
        while !workers.iter().all(|w| w.is_finished()) {
            progress(done.load(Relaxed));
            std::thread::sleep(LOOK);
        }
    });
    proof.into_inner().expect("no holder panics")
}
