//! Runs a plan: starts the fleet, runs clients and faults, stops the fleet, and checks the records.

use crate::client::Clients;
use crate::faults;
use crate::fleet::{Fleet, Options};
use crate::oracle;
use crate::plan::Plan;
use crate::record::Recorder;
use crate::report::Report;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

/// The interval at which this program measures the delay of its own timers.
const TIMER_LAG_INTERVAL: Duration = Duration::from_millis(5);
/// The time after the exit of the nodes within which backends observe the ends of the last attempts.
const LAST_ATTEMPTS_DELAY: Duration = Duration::from_millis(100);

/// Runs a plan to its end and checks what was recorded.
///
/// # Errors
/// The fleet does not start, a process cannot be restarted, or a configuration or log cannot be read or written.
pub async fn run(plan: Plan, options: &Options) -> io::Result<Report> {
    let fleet = Fleet::start(&plan, options).await?;
    let timer_lag = tokio::spawn(measure_timer_lag(fleet.recorder.clone()));
    run_clients_and_faults(&fleet, &plan).await?;
    stop_nodes(&fleet).await;
    sleep(LAST_ATTEMPTS_DELAY).await;
    timer_lag.abort();
    let injected = fleet.nodes.iter().map(|node| node.shim.total_changed_calls()).sum();
    let logs = read_logs(&fleet)?;
    let records = fleet.recorder.take();
    let findings = oracle::check(&records, &logs, plan.backends);
    Ok(Report::new(plan, &records, injected, findings))
}

/// Runs all clients and injects all faults; returns once both have ended.
async fn run_clients_and_faults(fleet: &Arc<Fleet>, plan: &Plan) -> io::Result<()> {
    let clients = Arc::new(Clients {
        nodes: fleet.nodes.clone(),
        plan: plan.clone(),
        recorder: fleet.recorder.clone(),
        end: Instant::now() + plan.duration,
        next_request: AtomicU64::new(1),
    });
    let mut client_tasks = JoinSet::new();
    for number in 0..plan.clients {
        client_tasks.spawn(clients.clone().run(plan.seed.rotate_left(32) ^ number as u64));
    }
    let mut fault_tasks = JoinSet::new();
    for fault in &plan.faults {
        fault_tasks.spawn(faults::inject(fleet.clone(), *fault));
    }
    while let Some(client) = client_tasks.join_next().await {
        client.map_err(io::Error::other)?;
    }
    while let Some(fault) = fault_tasks.join_next().await {
        fault.map_err(io::Error::other)??;
    }
    Ok(())
}

/// Stops all nodes concurrently.
async fn stop_nodes(fleet: &Fleet) {
    let mut tasks = JoinSet::new();
    for node in fleet.nodes.clone() {
        tasks.spawn(async move { node.stop().await });
    }
    while tasks.join_next().await.is_some() {}
}

fn read_logs(fleet: &Fleet) -> io::Result<Vec<(PathBuf, String)>> {
    let read = |file: &PathBuf| Ok((file.clone(), std::fs::read_to_string(file)?));
    fleet.nodes.iter().map(|node| read(&node.log)).collect()
}

/// Records the largest delay of this program's own timers, until the task is aborted.
async fn measure_timer_lag(recorder: Recorder) {
    loop {
        let due = Instant::now() + TIMER_LAG_INTERVAL;
        sleep_until(due).await;
        let lag = due.elapsed().as_secs_f64();
        recorder.with(|records| records.timer_lag = records.timer_lag.max(lag));
    }
}
