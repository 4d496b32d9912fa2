//! The bound on what a customer may get beyond its bucket, and what is still given, under random schedules.

use weirusher_core::OvershootBound;
use weirusher_simulation::{Schedule, Trouble, play, prove, prove_many};

/// Schedules of each landing.
const TIMELINES: u64 = 10_000;

#[test]
fn no_timeline_passes_the_bound_and_what_is_due_is_given() {
    let threads = std::thread::available_parallelism().map_or(2, usize::from);
    let proof = prove_many(0, TIMELINES, threads, |_| {});
    assert_eq!((proof.timelines, proof.broken), (TIMELINES, 0), "{:#?}", proof.worst);
    let share = |(due, served): (u64, u64)| served as f64 / due as f64;
    assert!(share(proof.within) >= 0.94, "{:?}", proof.within);
    assert!(share(proof.hot) >= 0.94, "{:?}", proof.hot);
}

#[test]
fn a_seed_tells_all() {
    let results = |seed| format!("{:?}", prove(seed).1);
    for seed in [7, 307, 1505] {
        assert_eq!(results(seed), results(seed));
    }
}

#[test]
fn nine_outages_cost_no_more_than_one() {
    let quota = OvershootBound { burst: 20.0, instances: 4.0, largest_request: 1.0 };
    for trouble in [Trouble::Gone, Trouble::Silent, Trouble::Late(0.12), Trouble::Reset, Trouble::Wrong] {
        let verdict = play(&Schedule::looped(trouble, 4, 3, 1));
        assert!(verdict.worst() <= quota.burst, "{trouble:?}: {} beyond", verdict.worst());
        assert!(verdict.given() >= 0.96, "{trouble:?}: {} of what is due", verdict.given());
    }
    let verdict = play(&Schedule::looped(Trouble::Emptied, 4, 3, 1));
    assert!(verdict.worst() <= quota.burst, "emptied: {} beyond", verdict.worst());
}

#[test]
fn after_an_outage_a_customer_is_back_at_its_rate() {
    let mut line = Schedule::looped(Trouble::Gone, 4, 1, 3);
    line.faults.truncate(1);
    line.faults[0].lasts = 6.0;
    // Burst over rate and two refreshes after its end, ten seconds are looked at.
    let from = line.faults[0].at + line.faults[0].lasts + line.quota[1] / line.quota[0] + 2.0;
    line.length = from;
    let before = play(&line).customers[0].served;
    line.length = from + 10.0;
    let served = play(&line).customers[0].served - before;
    assert!((95..=110).contains(&served), "{served} of 100 due");
}
