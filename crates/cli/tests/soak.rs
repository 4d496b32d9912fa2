//! The fault soak on a few seeds; `cargo run --release -p weirusher-soak` runs any number.

use weirusher_soak::{Options, Plan, run};

/// Gateway processes, and seconds of load: what two busy cores bear.
const NODES: usize = 10;
const SECONDS: f64 = 6.0;

async fn nothing_is_found(seed: u64) {
    let dir = tempfile::tempdir().unwrap();
    let options = Options { exe: env!("CARGO_BIN_EXE_weirusher").into(), dir: dir.path().to_path_buf() };
    let report = run(Plan::new(seed, NODES, SECONDS), &options).await.unwrap();
    assert!(report.findings.is_empty(), "{report}");
    // A soak without load or faults shows nothing.
    assert!(report.attempts > 200 && report.faults.len() > 5 && report.injected > 0, "{report}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_fleet_under_overlapping_faults_keeps_the_rules() {
    for seed in [11, 12] {
        nothing_is_found(seed).await;
    }
}
