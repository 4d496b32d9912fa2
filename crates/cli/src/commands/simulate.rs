//! `simulate`: simulates random schedules of counter faults in virtual time.

use crate::error::FAILED;
use crate::output::print_json;
use serde_json::json;
use std::io::IsTerminal;
use std::process::ExitCode;
use weirusher_simulation::Fulfilment;

/// Simulates `schedules` schedules with consecutive seeds from `first_seed` and prints the result. Fails if one exceeds
/// the bound on overshoot.
pub fn run(first_seed: u64, schedules: u64, json: bool) -> ExitCode {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let show_progress = std::io::stderr().is_terminal();
    let report = weirusher_simulation::run_seeds(first_seed, schedules, threads, |done| {
        if show_progress {
            eprint!("\r{done} of {schedules} schedules ");
        }
    });
    if show_progress {
        eprintln!();
    }
    if json {
        print_json(&json!(report));
    } else {
        let percent = |Fulfilment { due, served }| 100.0 * served as f64 / due.max(1) as f64;
        println!(
            "{} schedules from seed {first_seed}: {} exceeded the bound, {} overshot by more than one burst without a \
             restart or a loss of counts\n  due requests that were served: {:.1} % of customers within their rate, \
             {:.1} % of customers beyond it",
            report.schedules,
            report.violations,
            report.over_target,
            percent(report.within_rate),
            percent(report.beyond_rate)
        );
        println!(
            "  {:>10} {:>11} {:>13} {:>7} {:>13}",
            "seed", "gateways", "overshoot", "bursts", "allowed units"
        );
        for run in &report.worst {
            println!(
                "  {:>10} {:>11} {:>13.1} {:>7.2} {:>13.1}",
                run.seed, run.gateways, run.overshoot, run.overshoot_bursts, run.allowed
            );
        }
    }
    if report.violations == 0 { ExitCode::SUCCESS } else { ExitCode::from(FAILED) }
}
