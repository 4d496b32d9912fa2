//! Runs a scenario from the start of its fleet to the audit of its capture.

use crate::audit::{AuditReport, CaptureError, audit};
use crate::clients::ClientPopulation;
use crate::faults;
use crate::fleet::{Addresses, Fleet, FleetError};
use crate::scenario::Scenario;
use hdrhistogram::Histogram;
use std::fmt::Write as _;
use std::fs::File;
use std::io::BufReader;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;
use weirusher_fakes::{ClientOutcome, Recorder, RequestOutcome};

/// Time for pending requests to end after the load.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for gateways to receive the endpoint list before the load begins.
const SETTLE_TIME: Duration = Duration::from_millis(800);
/// Time between two calls of the progress callback.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// How a scenario is run.
pub struct RunOptions {
    /// The `weirusher` executable that the gateway processes run.
    pub program: PathBuf,
    /// Directory for the gateways' configuration files and cached endpoint lists.
    pub work_dir: PathBuf,
    /// File that the capture is written to.
    pub capture: PathBuf,
    /// Called about once a second while the load runs.
    pub progress: Box<dyn Fn(Progress) + Send>,
}

/// Progress of a run.
#[derive(Debug, Clone, Copy)]
pub struct Progress {
    /// Seconds since the load began.
    pub elapsed_seconds: f64,
    /// Total duration of the load, in seconds.
    pub duration_seconds: f64,
    /// Requests that have ended.
    pub requests: usize,
}

/// Why a run has no result.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum RunError {
    /// The fleet could not be started or changed.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// The capture cannot be audited.
    #[error("cannot audit the capture: {0}")]
    Capture(#[from] CaptureError),
    /// The capture file cannot be created or opened.
    #[error("capture file {}: {error}", path.display())]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        error: std::io::Error,
    },
    /// Requests were still pending long after the load.
    #[error("requests were still pending {COMPLETION_TIMEOUT:?} after the end of the load")]
    RequestsPending,
    /// The graceful shutdown of a gateway failed.
    #[error("a gateway did not exit in time after SIGTERM, or exited with an error")]
    Shutdown,
}

/// The result of a run.
pub struct ScenarioRun {
    /// What the audit found.
    pub report: AuditReport,
    /// How each request ended, as its client saw it.
    pub outcomes: Vec<RequestOutcome>,
    /// Requests that were not sent because too many clients were active.
    pub not_sent: u64,
}

/// Runs a scenario and audits its capture.
///
/// # Errors
/// The fleet cannot be started or does not shut down gracefully, requests stay pending, or the capture cannot be
/// audited.
pub async fn run(scenario: Scenario, options: RunOptions) -> Result<ScenarioRun, RunError> {
    let recorder = create_capture(&options.capture)?;
    let mut fleet = Fleet::start(scenario.clone(), &options.program, &options.work_dir, recorder).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    let (demand_factors, watched_factors) = watch::channel(vec![1.0; scenario.plans.len()]);
    let clients = ClientPopulation::new(scenario.clone(), fleet.load_generator.clone(), watched_factors);
    let start = Instant::now();
    let end = start + Duration::from_secs_f64(scenario.duration_seconds);
    let load = tokio::spawn({
        let clients = clients.clone();
        async move { tokio::time::timeout_at(end + COMPLETION_TIMEOUT, clients.run(end)).await }
    });
    let progress = tokio::spawn({
        let clients = clients.clone();
        async move {
            loop {
                tokio::time::sleep(PROGRESS_INTERVAL).await;
                (options.progress)(Progress {
                    elapsed_seconds: start.elapsed().as_secs_f64(),
                    duration_seconds: scenario.duration_seconds,
                    requests: clients.ended(),
                });
            }
        }
    });
    let faults_result = faults::inject(&mut fleet, &demand_factors, start).await;
    let load_result = load.await;
    progress.abort();
    let shut_down_gracefully = faults_result? & fleet.stop().await;
    if !matches!(load_result, Ok(Ok(()))) {
        return Err(RunError::RequestsPending);
    }
    if !shut_down_gracefully {
        return Err(RunError::Shutdown);
    }
    let file = File::open(&options.capture).map_err(|error| file_error(&options.capture, error))?;
    let report = audit(BufReader::new(file))?;
    Ok(ScenarioRun { report, outcomes: clients.take_outcomes(), not_sent: clients.not_sent() })
}

/// Starts a scenario's fleet without load or faults, passes its addresses to `ready`, and shuts it down when `until`
/// completes.
///
/// # Errors
/// The fleet cannot be started, or does not shut down gracefully.
pub async fn run_without_load(
    scenario: Scenario,
    options: &RunOptions,
    ready: impl FnOnce(&Addresses),
    until: impl Future<Output = ()>,
) -> Result<(), RunError> {
    let recorder = create_capture(&options.capture)?;
    let fleet = Fleet::start(scenario, &options.program, &options.work_dir, recorder).await?;
    ready(&fleet.addresses());
    until.await;
    if fleet.stop().await { Ok(()) } else { Err(RunError::Shutdown) }
}

fn create_capture(path: &Path) -> Result<Recorder, RunError> {
    let file = File::create(path).map_err(|error| file_error(path, error))?;
    Ok(Recorder::new(Some(Box::new(file))))
}

fn file_error(path: &Path, error: std::io::Error) -> RunError {
    RunError::File { path: path.to_path_buf(), error }
}

impl ScenarioRun {
    /// The result as a human-readable table.
    pub fn summary(&self) -> String {
        let report = &self.report;
        let requests = report.requests.max(1) as f64;
        let mut text =
            format!("{}: {} requests, {} checks\n", report.scenario, report.requests, report.checks.sent);
        for (outcome, count) in &report.outcomes {
            let percent = 100.0 * *count as f64 / requests;
            let _ = writeln!(text, "  {:<10} {count:>8}  {percent:>5.1} %", outcome.as_str());
        }
        text += &self.latencies();
        let admissions: Vec<String> =
            report.admissions.iter().map(|(decision, n)| format!("{decision} {n}")).collect();
        let _ = writeln!(text, "  admission  {}", admissions.join(", "));
        let _ = writeln!(
            text,
            "  counter    {} calls, {:.2} per request; {} units admitted, {:.1} counted",
            report.counter_calls,
            report.counter_calls as f64 / requests,
            report.units.admitted,
            report.units.counted
        );
        let _ = writeln!(
            text,
            "  quotas     at most {:.1} units over a quota, {:.1} allowed",
            report.overrun.units, report.overrun.allowed_units
        );
        if let Some(membership) = &report.membership {
            text += &membership.summary();
        }
        if self.not_sent > 0 {
            let _ = writeln!(text, "  not sent   {} requests: too many active clients", self.not_sent);
        }
        text + &report.summary()
    }

    fn latencies(&self) -> String {
        let mut microseconds = Histogram::<u64>::new(3).expect("three digits are allowed");
        for outcome in self.outcomes.iter().filter(|o| o.outcome == ClientOutcome::Served) {
            let _ = microseconds.record((outcome.latency_seconds * 1e6) as u64); // It resizes itself, so this never fails.
        }
        let ms = |quantile: f64| microseconds.value_at_quantile(quantile) as f64 / 1000.0;
        format!("  latency    p50 {:.1} ms, p99 {:.1} ms, p99.9 {:.1} ms\n", ms(0.5), ms(0.99), ms(0.999))
    }
}
