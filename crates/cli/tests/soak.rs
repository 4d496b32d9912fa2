//! The fault soak on a few seeds; `cargo run --release -p weirusher-soak` runs any number.

use weirusher_soak::{Options, Plan, run};

/// Gateway processes, and seconds of load: what two busy cores bear.
const NODES: usize = 10;
const SECONDS: f64 = 6.0;
/// A seed of a plan with crowds; the next one is without.
const SEED_WITH_CROWDS: u64 = 21;

async fn nothing_is_found(plan: Plan) {
    let dir = tempfile::tempdir().unwrap();
    let options = Options { exe: env!("CARGO_BIN_EXE_weirusher").into(), dir: dir.path().to_path_buf() };
    let report = run(plan, &options).await.unwrap();
    assert!(report.findings.is_empty(), "{report}");
    // A soak without load or faults shows nothing.
    assert!(report.attempts > 200 && report.faults.len() > 5 && report.injected > 0, "{report}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_fleet_under_overlapping_faults_keeps_the_rules() {
    for seed in [11, 12] {
        nothing_is_found(Plan::new(seed, NODES, SECONDS)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn series_of_signals_crowds_and_clients_that_stay_until_the_kill_keep_the_rules() {
    for seed in [SEED_WITH_CROWDS, SEED_WITH_CROWDS + 1] {
        let plan = Plan::hostile(seed, NODES, SECONDS);
        let has_crowds = plan.faults.iter().any(|fault| fault.kind.name() == "crowd");
        assert_eq!(has_crowds, seed == SEED_WITH_CROWDS);
        nothing_is_found(plan).await;
    }
}
