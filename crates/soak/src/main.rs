//! Runs one soak per seed, sequentially, and prints the reports.

use clap::Parser;
use std::path::PathBuf;
use std::process::ExitCode;
use weirusher_soak::{Options, Plan, Report, run};

/// Runs a randomized fault soak test of many gateway processes.
#[derive(Parser)]
struct Arguments {
    /// The gateway executable under test.
    #[arg(long, default_value = "target/release/weirusher")]
    exe: PathBuf,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    from: u64,
    /// The number of seeds.
    #[arg(long, default_value_t = 10)]
    seeds: u64,
    /// The number of gateway processes; by default 10 to 40, depending on the seed.
    #[arg(long)]
    nodes: Option<usize>,
    /// Seconds during which clients start new requests.
    #[arg(long, default_value_t = 15.0)]
    seconds: f64,
    /// Leaves out signal series, connection floods (`crowd`), and clients that use a connection until the
    /// process is killed.
    #[arg(long)]
    plain: bool,
    /// A directory that keeps the configurations and logs of soaks with findings; by default they are deleted.
    #[arg(long)]
    keep: Option<PathBuf>,
}

impl Arguments {
    fn plan(&self, seed: u64, nodes: usize) -> Plan {
        if self.plain {
            Plan::new(seed, nodes, self.seconds)
        } else {
            Plan::with_signal_series(seed, nodes, self.seconds)
        }
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let mut with_findings = 0;
    for seed in arguments.from..arguments.from + arguments.seeds {
        let nodes = arguments.nodes.unwrap_or_else(|| default_nodes(seed));
        match run_seed(&arguments, arguments.plan(seed, nodes)).await {
            Ok(report) => with_findings += usize::from(!report.findings.is_empty()),
            Err(error) => {
                eprintln!("seed {seed}: {error}");
                return ExitCode::from(2);
            }
        }
    }
    println!("{} seeds, {with_findings} with findings", arguments.seeds);
    ExitCode::from(u8::from(with_findings > 0))
}

/// The default number of gateway processes for a seed: 10 to 40.
fn default_nodes(seed: u64) -> usize {
    10 + (seed as usize * 7) % 31
}

/// Runs a plan, prints its report, and keeps its files if there are findings and `--keep` is given.
async fn run_seed(arguments: &Arguments, plan: Plan) -> std::io::Result<Report> {
    let dir = tempfile::tempdir()?;
    let name = format!("seed-{}", plan.seed);
    let options = Options { exe: arguments.exe.clone(), dir: dir.path().to_path_buf() };
    let report = run(plan, &options).await?;
    println!("{report}");
    if let Some(keep) = arguments.keep.as_ref().filter(|_| !report.findings.is_empty()) {
        std::fs::create_dir_all(keep)?;
        std::fs::rename(dir.keep(), keep.join(name))?;
    }
    Ok(report)
}
