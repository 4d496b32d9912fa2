//! The fault soak test with a few seeds. `cargo run --release -p weirusher-soak` runs any number of seeds.

use weirusher_soak::{Options, Plan, run};

/// Number of gateway processes, and seconds of load, which two busy cores can handle.
const NODES: usize = 10;
const SECONDS: f64 = 6.0;
/// A seed whose plan has crowds of clients; the plan of the next seed has none.
const SEED_WITH_CROWDS: u64 = 21;

/// Runs a plan, which must give no findings.
async fn assert_no_findings(plan: Plan) {
    let dir = tempfile::tempdir().unwrap();
    let options = Options { exe: env!("CARGO_BIN_EXE_weirusher").into(), dir: dir.path().to_path_buf() };
    let report = run(plan, &options).await.unwrap();
    assert!(report.findings.is_empty(), "{report}");
    // Without load and faults the test would be meaningless.
    assert!(report.attempts > 200 && report.faults.len() > 5 && report.injected > 0, "{report}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_fleet_under_overlapping_faults_keeps_the_rules() {
    for seed in [11, 12] {
        assert_no_findings(Plan::new(seed, NODES, SECONDS)).await;
    }
}

/// The plans have series of signals, crowds of clients, and clients that stay connected until the gateway is killed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_fleet_under_hostile_plans_keeps_the_rules() {
    for seed in [SEED_WITH_CROWDS, SEED_WITH_CROWDS + 1] {
        let plan = Plan::with_signal_series(seed, NODES, SECONDS);
        let has_crowds = plan.faults.iter().any(|fault| fault.kind.name() == "crowd");
        assert_eq!(has_crowds, seed == SEED_WITH_CROWDS);
        assert_no_findings(plan).await;
    }
}
