//! Measures the resource usage of one gateway at the usual fleet size and at larger ones, and compares it with the
//! platform's bounds on growth.

use clap::Parser;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use weirusher_soak::growth::{FleetSize, GrowthOptions, Row, Usage, compare, measure};

/// Measures how the resource usage of one gateway grows with the size of its fleet.
#[derive(Parser)]
struct Arguments {
    /// The gateway executable under test.
    #[arg(long, default_value = "target/release/weirusher")]
    exe: PathBuf,
    /// The seed of the generated traffic.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Seconds during which requests are sent at each fleet size.
    #[arg(long, default_value_t = 20.0)]
    seconds: f64,
}

#[tokio::main]
async fn main() -> ExitCode {
    match measure_all(&Arguments::parse()).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}

/// Prints a table for each larger fleet size; returns `false` if any row exceeds its bound.
async fn measure_all(arguments: &Arguments) -> std::io::Result<bool> {
    let dir = tempfile::tempdir()?;
    let options = GrowthOptions {
        exe: arguments.exe.clone(),
        dir: dir.path().to_path_buf(),
        duration: Duration::from_secs_f64(arguments.seconds),
        seed: arguments.seed,
    };
    let usual = measure(FleetSize::USUAL, &options).await?;
    let mut all_within_bounds = true;
    for size in [FleetSize::MANY_GATEWAYS, FleetSize::LARGEST] {
        let large = measure(size, &options).await?;
        all_within_bounds &= print_table(&usual, &large, size);
    }
    Ok(all_within_bounds)
}

fn print_table(usual: &Usage, large: &Usage, size: FleetSize) -> bool {
    let FleetSize { gateways, backends } = size;
    println!("{gateways} gateways, {backends} backends:");
    let rows = compare(usual, large, size);
    for row in &rows {
        let verdict = if row.is_within_bound() { "" } else { "  OVER" };
        println!(
            "  {:<30} {:>9.3} {:>9.3} (bound {:.3}){verdict}",
            row.name, row.usual, row.large, row.bound
        );
    }
    rows.iter().all(Row::is_within_bound)
}
