//! The bound on the overshoot of a customer, and the fraction of its due requests that is served, under random and
//! periodic faults.

use weirusher_core::OvershootBound;
use weirusher_simulation::{FaultKind, Fulfilment, Schedule, run, run_seed, run_seeds};

/// Number of random schedules.
const SCHEDULES: u64 = 10_000;

#[test]
fn random_schedules_keep_the_bound_and_serve_due_requests() {
    let threads = std::thread::available_parallelism().map_or(2, usize::from);
    let report = run_seeds(0, SCHEDULES, threads, |_| {});
    assert_eq!((report.schedules, report.violations), (SCHEDULES, 0), "{:#?}", report.worst);
    let fraction = |Fulfilment { due, served }| served as f64 / due as f64;
    assert!(fraction(report.within_rate) >= 0.94, "{:?}", report.within_rate);
    assert!(fraction(report.beyond_rate) >= 0.94, "{:?}", report.beyond_rate);
}

/// Seeds whose schedules kept the bound in the runs of docs/measurements.md.
#[test]
fn the_bound_holds_on_the_seeds_that_passed_it() {
    for seed in [1_125_004, 1_160_799, 1_074_323] {
        let report = run_seeds(seed, 1, 1, |_| {});
        assert_eq!(report.violations, 0, "seed {seed}: {:#?}", report.worst);
    }
}

#[test]
fn a_seed_determines_the_outcome() {
    let results = |seed| format!("{:?}", run_seed(seed).1);
    for seed in [7, 307, 1505] {
        assert_eq!(results(seed), results(seed));
    }
}

/// Nine faults in a row cause no more overshoot than a single one may: one burst.
#[test]
fn repeated_faults_do_not_add_up() {
    let quota = OvershootBound { burst: 20.0, instances: 4.0, largest_request: 1.0 };
    for fault in [
        FaultKind::Unreachable,
        FaultKind::Silent,
        FaultKind::Slow(0.12),
        FaultKind::Reset,
        FaultKind::WrongType,
    ] {
        let outcome = run(&Schedule::periodic(fault, 4, 3, 1));
        assert!(outcome.worst_overshoot() <= quota.burst, "{fault:?}: {} beyond", outcome.worst_overshoot());
        assert!(
            outcome.served_fraction() >= 0.96,
            "{fault:?}: {} of due requests served",
            outcome.served_fraction()
        );
    }
    let outcome = run(&Schedule::periodic(FaultKind::CountsLost, 4, 3, 1));
    assert!(outcome.worst_overshoot() <= quota.burst, "counts lost: {} beyond", outcome.worst_overshoot());
}

#[test]
fn after_an_outage_a_customer_is_back_at_its_rate() {
    let mut schedule = Schedule::periodic(FaultKind::Unreachable, 4, 1, 3);
    schedule.faults.truncate(1);
    schedule.faults[0].duration = 6.0;
    // Measures ten seconds. They begin after the end of the outage, once a full bucket has been used (burst over
    // rate) and two refresh intervals have passed.
    let from = schedule.faults[0].at
        + schedule.faults[0].duration
        + schedule.quota.burst / schedule.quota.rate
        + 2.0;
    schedule.duration = from;
    let before = run(&schedule).customers[0].served;
    schedule.duration = from + 10.0;
    let served = run(&schedule).customers[0].served - before;
    assert!((95..=110).contains(&served), "{served} of 100 due");
}
