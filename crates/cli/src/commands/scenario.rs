//! `scenario`, which runs a fault-injection scenario, and `audit`, which audits a stored capture.

use crate::error::{CommandError, FAILED};
use crate::output::print_json;
use crate::signals::StopSignals;
use serde_json::json;
use std::cell::Cell;
use std::fs::File;
use std::io::{BufReader, IsTerminal};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::io::AsyncReadExt;
use weirusher_scenarios::{Addresses, AuditReport, Progress, RunOptions, Scenario};

/// Reads an input file.
pub(super) fn read_input(file: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(file).map_err(|error| CommandError::Input { path: file.to_path_buf(), error })
}

fn parse_scenario(file: &Path) -> Result<Scenario, CommandError> {
    let text = read_input(file)?;
    Scenario::parse(&text).map_err(|error| CommandError::Scenario { path: file.to_path_buf(), error })
}

/// Creates a temporary directory for the files of a run. It is removed when the returned value is dropped, which must
/// be after the run.
fn create_work_dir() -> Result<tempfile::TempDir, CommandError> {
    tempfile::tempdir().map_err(CommandError::WorkDir)
}

fn run_options(work_dir: &Path, capture: Option<PathBuf>) -> Result<RunOptions, CommandError> {
    let program = std::env::current_exe().map_err(CommandError::CurrentProgram)?;
    let capture = capture.unwrap_or_else(|| work_dir.join("capture.jsonl"));
    let show_progress = std::io::stderr().is_terminal();
    let progress = move |Progress { elapsed_seconds, duration_seconds, requests }: Progress| {
        if show_progress {
            eprint!("\r{elapsed_seconds:>5.0} of {duration_seconds:.0} s, {requests} requests ");
        }
    };
    Ok(RunOptions { program, work_dir: work_dir.to_path_buf(), capture, progress: Box::new(progress) })
}

/// Success if no rule was violated.
fn exit_code(report: &AuditReport) -> ExitCode {
    if report.violation_count == 0 { ExitCode::SUCCESS } else { ExitCode::from(FAILED) }
}

/// Runs a scenario and prints its result.
pub async fn run(file: &Path, capture: Option<PathBuf>, json: bool) -> Result<ExitCode, CommandError> {
    let scenario = parse_scenario(file)?;
    let work_dir = create_work_dir()?;
    let result = weirusher_scenarios::run(scenario, run_options(work_dir.path(), capture)?).await?;
    if std::io::stderr().is_terminal() {
        eprintln!();
    }
    if json {
        print_json(&json!(result.report));
    } else {
        print!("{}", result.summary());
    }
    Ok(exit_code(&result.report))
}

/// Starts a scenario's fleet without load, prints its addresses, and stops it on a signal or end of file on standard
/// input.
pub async fn run_without_load(file: &Path, capture: Option<PathBuf>) -> Result<ExitCode, CommandError> {
    let scenario = parse_scenario(file)?;
    let work_dir = create_work_dir()?;
    let options = run_options(work_dir.path(), capture)?;
    // Signal handlers are installed before the addresses are printed: whoever reads those may send a signal at once.
    let stop = Cell::new(None);
    let until = async {
        let stop = stop.take().unwrap_or_else(StopSignals::new);
        let mut input = tokio::io::stdin();
        let input_closed = async { while matches!(input.read(&mut [0; 64]).await, Ok(1..)) {} };
        tokio::select! {
            () = stop.received() => {}
            () = input_closed => {}
        }
    };
    let ready = |addresses: &Addresses| {
        stop.set(Some(StopSignals::new()));
        print_json(&json!(addresses));
    };
    weirusher_scenarios::run_without_load(scenario, &options, ready, until).await?;
    Ok(ExitCode::SUCCESS)
}

/// Audits a stored capture and prints the report.
pub fn audit(capture: &Path, json: bool) -> Result<ExitCode, CommandError> {
    let path = || capture.to_path_buf();
    let file = File::open(capture).map_err(|error| CommandError::Input { path: path(), error })?;
    let report = weirusher_scenarios::audit(BufReader::new(file))
        .map_err(|error| CommandError::Capture { path: path(), error })?;
    if json {
        print_json(&json!(report));
    } else {
        print!("{}: {} requests\n{}", report.scenario, report.requests, report.summary());
    }
    Ok(exit_code(&report))
}
