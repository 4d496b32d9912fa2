//! The resources of one gateway with 3,200 backends, against the standing test's table of growth. `weirusher-growth` checks
//! processor time, with a release build.

use std::time::Duration;
use weirusher_soak::growth::{FleetSize, GrowthOptions, compare, measure};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_gateway_of_900_before_3200_backends_keeps_to_the_table_of_growth() {
    let dir = tempfile::tempdir().unwrap();
    let options = GrowthOptions {
        exe: env!("CARGO_BIN_EXE_weirusher").into(),
        dir: dir.path().to_path_buf(),
        duration: Duration::from_secs(6),
        seed: 1,
    };
    let usual = measure(FleetSize::USUAL, &options).await.unwrap();
    let large = measure(FleetSize::LARGEST, &options).await.unwrap();
    // A run without load shows nothing.
    assert!(usual.connections > 5.0 && usual.list_bytes > 0.0 && usual.served > 0.9, "{usual:?}");
    for row in compare(&usual, &large, FleetSize::LARGEST) {
        assert!(row.holds() || row.name == "CPU seconds", "{row:?}");
    }
}
