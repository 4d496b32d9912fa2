//! The resources of one gateway with 3,200 backends, compared with the limits in the growth table of `weirusher-soak`.
//! Processor time is not checked here, but by the `weirusher-growth` program with a release build.

use std::time::Duration;
use weirusher_soak::growth::{FleetSize, GrowthOptions, compare, measure};

/// One gateway of a fleet of 900, with 3,200 backends.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_gateway_of_the_largest_fleet_stays_within_its_limits() {
    let dir = tempfile::tempdir().unwrap();
    let options = GrowthOptions {
        exe: env!("CARGO_BIN_EXE_weirusher").into(),
        dir: dir.path().to_path_buf(),
        duration: Duration::from_secs(6),
        seed: 1,
    };
    let usual = measure(FleetSize::USUAL, &options).await.unwrap();
    let large = measure(FleetSize::LARGEST, &options).await.unwrap();
    // Without load the comparison would be meaningless.
    assert!(usual.connections > 5.0 && usual.list_bytes > 0.0 && usual.served > 0.9, "{usual:?}");
    for row in compare(&usual, &large, FleetSize::LARGEST) {
        assert!(row.is_within_bound() || row.name == "CPU seconds", "{row:?}");
    }
}
