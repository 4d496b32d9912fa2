//! The fleet's gateway processes: starting, killing, suspending and shutting them down.

use super::{ANY_PORT, Fleet, FleetError, gateway_config, io_error};
use crate::peers::MemberAddresses;
use crate::scenario::{GatewayProgram, Scenario};
use nix::sys::signal::Signal;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::task::JoinSet;
use weirusher_fakes::{CaptureEvent, Link};

/// Time limit for a gateway to print its addresses after its start, and to exit after SIGTERM.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(20);

/// Addresses that a gateway prints as JSON once it is listening.
#[derive(Debug, Deserialize)]
struct ListenAddresses {
    /// Absent for gateways that run `node`.
    ext_authz: Option<SocketAddr>,
    admin: SocketAddr,
    /// Address for datagrams of the membership protocol; absent without a membership.
    fleet: Option<SocketAddr>,
}

impl ListenAddresses {
    fn member(&self) -> Option<MemberAddresses> {
        self.fleet.map(|datagrams| MemberAddresses { datagrams, admin: self.admin })
    }
}

/// A gateway's process, links and files.
pub(crate) struct GatewayProcess {
    child: Option<Child>,
    /// A second process with the same gateway number.
    duplicate: Option<Child>,
    pub admin: SocketAddr,
    /// Link from the load generator.
    pub front: Link,
    pub to_counter: Link,
    pub to_discovery: Link,
    /// Configuration without the `[fleet]` section.
    config: String,
    config_file: PathBuf,
    /// File for the `[fleet]` section, which `node` reads separately.
    fleet_file: PathBuf,
}

impl GatewayProcess {
    /// A gateway whose process has not been started yet.
    pub fn new(
        scenario: &Scenario,
        number: usize,
        work_dir: &Path,
        front: Link,
        to_counter: Link,
        to_discovery: Link,
    ) -> Self {
        let list_file = work_dir.join(format!("list-{number}.json"));
        let config =
            gateway_config::toml(scenario, number, to_counter.address, to_discovery.address, &list_file);
        Self {
            child: None,
            duplicate: None,
            admin: ANY_PORT,
            front,
            to_counter,
            to_discovery,
            config,
            config_file: work_dir.join(format!("gateway-{number}.toml")),
            fleet_file: work_dir.join(format!("fleet-{number}.toml")),
        }
    }
}

impl Fleet {
    /// Starts gateways concurrently, with their wall clocks shifted by `clock_shift_seconds`.
    ///
    /// # Errors
    /// A file cannot be written, a process cannot be started, or a gateway does not listen in time.
    pub async fn start_gateways(
        &mut self,
        which: &[usize],
        clock_shift_seconds: f64,
    ) -> Result<(), FleetError> {
        let mut starting = JoinSet::new();
        for number in which.iter().copied() {
            let child = self.spawn_gateway(number, clock_shift_seconds)?;
            starting.spawn(async move { Ok((number, wait_until_listening(child, number).await?)) });
        }
        while let Some(started) = starting.join_next().await {
            let (number, (child, addresses)) = started.expect("the task does not panic")?;
            let gateway = &mut self.gateways[number];
            gateway.front.retarget(addresses.ext_authz);
            gateway.admin = addresses.admin;
            gateway.child = Some(child);
            if let Some(peers) = &mut self.peers {
                peers.set_member(number, addresses.member());
            }
            self.recorder.record(CaptureEvent::GatewayRunning { gateway: number, running: true });
        }
        Ok(())
    }

    /// Writes a gateway's configuration files and starts its process.
    fn spawn_gateway(&self, number: usize, clock_shift_seconds: f64) -> Result<Child, FleetError> {
        let gateway = &self.gateways[number];
        let membership =
            |with_number| self.peers.as_ref().map(|p| p.config(number, with_number, clock_shift_seconds));
        let write = |file: &Path, text: &str| {
            std::fs::write(file, text).map_err(io_error("cannot write a gateway's configuration"))
        };
        let mut command = Command::new(&self.program);
        match self.scenario.fleet.program {
            GatewayProgram::Run => {
                let text = gateway.config.clone() + &membership(false).unwrap_or_default();
                write(&gateway.config_file, &text)?;
                command.args(["run", "--config"]).arg(&gateway.config_file);
            }
            GatewayProgram::Node => {
                let size = self.peers.as_ref().map_or(1, |peers| peers.configured_size(number));
                let text = gateway_config::node_json(number, size, self.platform_discovery.address);
                write(&gateway.config_file, &text)?;
                command.args(["node", "--config"]).arg(&gateway.config_file);
                if let Some(text) = membership(true) {
                    write(&gateway.fleet_file, &text)?;
                    command.arg("--fleet").arg(&gateway.fleet_file);
                }
            }
        }
        command.stdout(Stdio::piped()).stdin(Stdio::null()).kill_on_drop(true);
        command.spawn().map_err(io_error("cannot start a gateway's process"))
    }

    /// Kills gateways with SIGKILL, and waits until their processes have ended.
    pub async fn kill_gateways(&mut self, which: &[usize]) {
        for number in which {
            // Recorded before the kill: anything sent from here on may reach a dead process.
            self.recorder.record(CaptureEvent::GatewayRunning { gateway: *number, running: false });
            if let Some(child) = &mut self.gateways[*number].child {
                let _ = child.start_kill(); // May fail if the process already exited, which the audit detects.
            }
        }
        for number in which {
            if let Some(mut child) = self.gateways[*number].child.take() {
                let _ = child.wait().await; // Only waits for the end; the exit status does not matter.
            }
            self.disconnect_gateway(*number);
        }
    }

    fn disconnect_gateway(&mut self, number: usize) {
        self.gateways[number].front.retarget(None);
        if let Some(peers) = &mut self.peers {
            peers.set_member(number, None);
        }
    }

    /// Suspends a gateway with SIGSTOP. Recorded before the signal, because nothing is expected of it from then on.
    pub fn pause_gateway(&self, number: usize) {
        let Some(child) = &self.gateways[number].child else { return };
        self.recorder.record(CaptureEvent::GatewayPaused { gateway: number, paused: true });
        send_signal(child, Signal::SIGSTOP);
    }

    /// Resumes a gateway with SIGCONT. Recorded after the signal: it counts as suspended until then.
    pub fn resume_gateway(&self, number: usize) {
        let Some(child) = &self.gateways[number].child else { return };
        send_signal(child, Signal::SIGCONT);
        self.recorder.record(CaptureEvent::GatewayPaused { gateway: number, paused: false });
    }

    /// Starts a second process with a gateway's number.
    ///
    /// # Errors
    /// The same as for [`Fleet::start_gateways`].
    pub async fn start_duplicate(&mut self, number: usize) -> Result<(), FleetError> {
        let (child, addresses) = wait_until_listening(self.spawn_gateway(number, 0.0)?, number).await?;
        self.gateways[number].duplicate = Some(child);
        self.recorder.record(CaptureEvent::DuplicateStarted { gateway: number });
        if let Some(peers) = &mut self.peers {
            peers.set_duplicate(number, addresses.member());
        }
        Ok(())
    }

    /// Kills the second process with a gateway's number, with SIGKILL.
    pub async fn kill_duplicate(&mut self, number: usize) {
        if let Some(mut child) = self.gateways[number].duplicate.take() {
            let _ = child.kill().await; // May fail if the process already exited.
        }
        if let Some(peers) = &mut self.peers {
            peers.set_duplicate(number, None);
        }
    }

    /// Shuts gateways down with SIGTERM, and disconnects each once it has exited. Returns whether all of them exited in
    /// time and without error.
    pub async fn stop_gateways(&mut self, which: &[usize]) -> bool {
        let mut exited_gracefully = true;
        for number in which.iter().copied() {
            if let Some(child) = &self.gateways[number].child {
                self.recorder.record(CaptureEvent::GatewayStopping { gateway: number });
                exited_gracefully &= send_signal(child, Signal::SIGTERM);
            }
        }
        for number in which.iter().copied() {
            let Some(mut child) = self.gateways[number].child.take() else { continue };
            let exit = tokio::time::timeout(PROCESS_TIMEOUT, child.wait()).await;
            self.recorder.record(CaptureEvent::GatewayRunning { gateway: number, running: false });
            self.disconnect_gateway(number);
            exited_gracefully &= matches!(exit, Ok(Ok(status)) if status.success());
        }
        exited_gracefully
    }
}

/// Sends a signal to a process. Returns whether it could be sent.
fn send_signal(child: &Child, signal: Signal) -> bool {
    let id = child.id().and_then(|id| i32::try_from(id).ok());
    id.is_some_and(|id| nix::sys::signal::kill(nix::unistd::Pid::from_raw(id), signal).is_ok())
}

/// Waits until a gateway has printed its addresses.
async fn wait_until_listening(
    mut child: Child,
    gateway: usize,
) -> Result<(Child, ListenAddresses), FleetError> {
    let not_listening = || FleetError::NotListening { gateway };
    let stdout = child.stdout.take().ok_or_else(not_listening)?;
    let mut lines = BufReader::new(stdout).lines();
    let line = tokio::time::timeout(PROCESS_TIMEOUT, lines.next_line()).await;
    let Ok(Ok(Some(line))) = line else { return Err(not_listening()) };
    let addresses = serde_json::from_str(&line).map_err(|_| not_listening())?;
    Ok((child, addresses))
}
