//! What each command does.

use serde_json::json;
use std::fs::File;
use std::io::{BufReader, IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::io::AsyncReadExt;
use tokio::signal::unix::{SignalKind, signal};
use weirusher_config::{Config, FleetConfig, Problem, render};
use weirusher_node::FleetMembership;
use weirusher_scenarios::{Options, Scenario, audit as judge};

/// Something ran and failed, or a rule was broken.
pub const FAILED: u8 = 1;
/// What was given is not right.
pub const WRONG: u8 = 2;

pub fn fail(code: u8, message: &str) -> ExitCode {
    eprintln!("weirusher: {message}");
    ExitCode::from(code)
}

fn read(file: &Path) -> Result<String, ExitCode> {
    std::fs::read_to_string(file).map_err(|e| fail(WRONG, &format!("{}: {e}", file.display())))
}

fn config(file: &Path) -> Result<Config, ExitCode> {
    parsed(file, Config::parse)
}

/// A file as `parse` reads it, or all that is wrong in it, shown.
fn parsed<T>(file: &Path, parse: fn(&str) -> Result<T, Vec<Problem>>) -> Result<T, ExitCode> {
    let text = read(file)?;
    parse(&text).map_err(|problems| {
        eprint!("{}", render(&file.display().to_string(), &text, &problems));
        let many = problems.len();
        fail(WRONG, &format!("{many} problem{} in {}", if many == 1 { "" } else { "s" }, file.display()))
    })
}

/// One line of JSON on standard output, for whoever started this.
pub fn announce(value: &serde_json::Value) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{value}").and_then(|()| out.flush()); // Whoever wanted to read it is gone.
}

/// SIGINT or SIGTERM.
pub async fn told_to_stop() {
    let (Ok(mut int), Ok(mut term)) = (signal(SignalKind::interrupt()), signal(SignalKind::terminate()))
    else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = int.recv() => {}
        _ = term.recv() => {}
    }
}

pub async fn run(file: &Path) -> ExitCode {
    let config = match config(file) {
        Ok(config) => config,
        Err(code) => return code,
    };
    // Waited for from the start: a signal that comes early must not be lost.
    let stop = tokio::spawn(told_to_stop());
    let running = match weirusher_ext_authz::start(config).await {
        Ok(running) => running,
        Err(error) => return fail(FAILED, &error.to_string()),
    };
    let mut listening =
        json!({ "ext_authz": running.ext_authz, "access_log": running.ext_authz, "admin": running.admin });
    if let Some(fleet) = running.fleet {
        listening["fleet"] = json!(fleet);
    }
    announce(&listening);
    let _ = stop.await; // It ends when told, and not otherwise.
    match running.stop().await {
        0 => ExitCode::SUCCESS,
        owed => {
            tracing::warn!(owed, "stopped while requests were still owed their end");
            ExitCode::SUCCESS
        }
    }
}

/// One thread for all: the platform gives one core, and tasks that share it need no locks.
pub fn node(config: &Path, fleet: Option<&Path>) -> ExitCode {
    let fleet = match fleet.map(|file| parsed(file, FleetConfig::parse)).transpose() {
        Ok(config) => config.map(|config| FleetMembership {
            config,
            on_listening: |fleet, admin| announce(&json!({ "fleet": fleet, "admin": admin })),
        }),
        Err(code) => return code,
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return fail(FAILED, &format!("no runtime: {error}")),
    };
    match tokio::task::LocalSet::new().block_on(&runtime, weirusher_node::run(config, fleet)) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(owed) => {
            tracing::warn!(owed, "stopped while requests were still owed their end");
            ExitCode::SUCCESS
        }
        Err(error) => fail(FAILED, &error.to_string()),
    }
}

pub fn check(file: &Path) -> ExitCode {
    match config(file) {
        Ok(config) => {
            let (plans, classes) = (config.settings.plans.len(), config.settings.classes.len());
            let fleet = config.fleet.as_ref().map_or_else(
                || "no [fleet]: it knows of no other gateway".to_string(),
                |fleet| {
                    let (me, size) = (fleet.settings.instance, fleet.settings.members.len());
                    format!("gateway {me} of a fleet of {size}, datagrams at {}", fleet.listen)
                },
            );
            println!("{}: sound; {plans} plans, {classes} classes; {fleet}", file.display());
            ExitCode::SUCCESS
        }
        Err(code) => code,
    }
}

fn day(file: &Path) -> Result<Scenario, ExitCode> {
    Scenario::parse(&read(file)?).map_err(|error| fail(WRONG, &format!("{}: {error}", file.display())))
}

/// The folder must outlive the rehearsal.
fn options(capture: Option<PathBuf>) -> Result<(Options, tempfile::TempDir), ExitCode> {
    let dir = tempfile::tempdir().map_err(|e| fail(FAILED, &format!("no folder for the fleet: {e}")))?;
    let exe =
        std::env::current_exe().map_err(|e| fail(FAILED, &format!("this program cannot be found: {e}")))?;
    let capture = capture.unwrap_or_else(|| dir.path().join("capture.jsonl"));
    let visible = std::io::stderr().is_terminal();
    let progress = move |played: f64, of: f64, answers: usize| {
        if visible {
            eprint!("\r{played:>5.0} of {of:.0} s, {answers} answers ");
        }
    };
    let options = Options { exe, dir: dir.path().to_path_buf(), capture, progress: Box::new(progress) };
    Ok((options, dir))
}

pub async fn rehearse(file: &Path, capture: Option<PathBuf>, json: bool) -> ExitCode {
    let (day, (options, _dir)) = match (day(file), options(capture)) {
        (Ok(day), Ok(options)) => (day, options),
        (Err(code), _) | (_, Err(code)) => return code,
    };
    match weirusher_scenarios::rehearse(day, options).await {
        Ok(rehearsal) => {
            if std::io::stderr().is_terminal() {
                eprintln!();
            }
            if json {
                announce(&json!(rehearsal.audit));
            } else {
                print!("{}", rehearsal.table());
            }
            if rehearsal.audit.broken == 0 { ExitCode::SUCCESS } else { ExitCode::from(FAILED) }
        }
        Err(error) => fail(FAILED, &error.to_string()),
    }
}

pub async fn hold(file: &Path, capture: Option<PathBuf>) -> ExitCode {
    let (day, (options, _dir)) = match (day(file), options(capture)) {
        (Ok(day), Ok(options)) => (day, options),
        (Err(code), _) | (_, Err(code)) => return code,
    };
    let over = async {
        let mut input = tokio::io::stdin();
        let closed = async { while matches!(input.read(&mut [0; 64]).await, Ok(1..)) {} };
        tokio::select! {
            () = told_to_stop() => {}
            () = closed => {}
        }
    };
    match weirusher_scenarios::hold(day, &options, |addresses| announce(&json!(addresses)), over).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(FAILED, &error.to_string()),
    }
}

pub fn audit(capture: &Path, json: bool) -> ExitCode {
    let file = match File::open(capture) {
        Ok(file) => file,
        Err(error) => return fail(WRONG, &format!("{}: {error}", capture.display())),
    };
    match judge(BufReader::new(file)) {
        Ok(audit) => {
            if json {
                announce(&json!(audit));
            } else {
                print!("{}: {} tries\n{}", audit.day, audit.tries, audit.verdict());
            }
            if audit.broken == 0 { ExitCode::SUCCESS } else { ExitCode::from(FAILED) }
        }
        Err(error) => fail(WRONG, &format!("{}: {error}", capture.display())),
    }
}

pub fn prove(from: u64, timelines: u64, json: bool) -> ExitCode {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let visible = std::io::stderr().is_terminal();
    let proof = weirusher_simulation::prove_many(from, timelines, threads, |done| {
        if visible {
            eprint!("\r{done} of {timelines} timelines ");
        }
    });
    if visible {
        eprintln!();
    }
    if json {
        announce(&json!(proof));
    } else {
        let share = |(due, served): (u64, u64)| 100.0 * served as f64 / due.max(1) as f64;
        println!(
            "{} timelines from seed {from}: {} beyond the bound, {} beyond one burst without a restart or an emptied \
             count\n  given of what is due: {:.1} % within their rate, {:.1} % beyond it",
            proof.timelines,
            proof.broken,
            proof.past_aim,
            share(proof.within),
            share(proof.hot)
        );
        println!(
            "  {:>10} {:>11} {:>13} {:>7} {:>13}",
            "seed", "gateways", "units beyond", "bursts", "units allowed"
        );
        for run in &proof.worst {
            println!(
                "  {:>10} {:>11} {:>13.1} {:>7.2} {:>13.1}",
                run.seed, run.gateways, run.beyond, run.bursts, run.allowed
            );
        }
    }
    if proof.broken == 0 { ExitCode::SUCCESS } else { ExitCode::from(FAILED) }
}
