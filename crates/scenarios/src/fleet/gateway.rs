//! The fleet's gateways: starting, killing, suspending and shutting down their processes.

use super::{ANY_PORT, Fleet, FleetError, gateway_config, io};
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

/// Limit for a gateway to print its addresses, and to end after SIGTERM.
const PROCESS_LIMIT: Duration = Duration::from_secs(20);

/// What a gateway prints when it listens.
#[derive(Debug, Deserialize)]
struct Listening {
    /// Absent where it runs `node`.
    ext_authz: Option<SocketAddr>,
    admin: SocketAddr,
    /// Where it receives the datagrams of its fleet.
    fleet: Option<SocketAddr>,
}

impl Listening {
    fn member(&self) -> Option<MemberAddresses> {
        self.fleet.map(|datagrams| MemberAddresses { datagrams, admin: self.admin })
    }
}

/// A gateway's process, its links and its files.
pub(crate) struct GatewayProcess {
    child: Option<Child>,
    /// A second process under its number.
    duplicate: Option<Child>,
    pub admin: SocketAddr,
    /// Link from the load generator.
    pub front: Link,
    pub to_counter: Link,
    pub to_discovery: Link,
    /// Its configuration without the membership.
    config: String,
    config_file: PathBuf,
    /// The file of the membership, for `node`.
    fleet_file: PathBuf,
}

impl GatewayProcess {
    /// A gateway that is not started yet.
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
    /// Starts gateways, all at once, with a wall clock that is off by `clock_shift_seconds`.
    ///
    /// # Errors
    /// A file cannot be written, a process cannot be started, or does not listen in time.
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
            let (number, (child, listening)) = started.expect("it does not panic")?;
            let gateway = &mut self.gateways[number];
            gateway.front.retarget(listening.ext_authz);
            gateway.admin = listening.admin;
            gateway.child = Some(child);
            if let Some(peers) = &mut self.peers {
                peers.set_member(number, listening.member());
            }
            self.recorder.record(CaptureEvent::GatewayRunning { gateway: number, running: true });
        }
        Ok(())
    }

    /// Writes a gateway's files and starts its process.
    fn spawn_gateway(&self, number: usize, clock_shift_seconds: f64) -> Result<Child, FleetError> {
        let gateway = &self.gateways[number];
        let membership =
            |with_number| self.peers.as_ref().map(|p| p.config(number, with_number, clock_shift_seconds));
        let write =
            |file: &Path, text: &str| std::fs::write(file, text).map_err(io("a gateway's configuration"));
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
        command.spawn().map_err(io("a gateway's process"))
    }

    /// SIGKILL to all of these, and waits until they have ended.
    pub async fn kill_gateways(&mut self, which: &[usize]) {
        for number in which {
            // Recorded first: what is sent from here on may meet a dead process.
            self.recorder.record(CaptureEvent::GatewayRunning { gateway: *number, running: false });
            if let Some(child) = &mut self.gateways[*number].child {
                let _ = child.start_kill(); // It may have ended by itself, which the audit finds.
            }
        }
        for number in which {
            if let Some(mut child) = self.gateways[*number].child.take() {
                let _ = child.wait().await; // As above.
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

    /// SIGSTOP. It counts as suspended from before the signal: nothing is expected of it from then on.
    pub fn pause_gateway(&self, number: usize) {
        let Some(child) = &self.gateways[number].child else { return };
        self.recorder.record(CaptureEvent::GatewayPaused { gateway: number, paused: true });
        send_signal(child, Signal::SIGSTOP);
    }

    /// SIGCONT. It counts as suspended until after the signal.
    pub fn continue_gateway(&self, number: usize) {
        let Some(child) = &self.gateways[number].child else { return };
        send_signal(child, Signal::SIGCONT);
        self.recorder.record(CaptureEvent::GatewayPaused { gateway: number, paused: false });
    }

    /// Starts a second process under a gateway's number.
    ///
    /// # Errors
    /// As those of [`Fleet::start_gateways`].
    pub async fn start_duplicate(&mut self, number: usize) -> Result<(), FleetError> {
        let (child, listening) = wait_until_listening(self.spawn_gateway(number, 0.0)?, number).await?;
        self.gateways[number].duplicate = Some(child);
        self.recorder.record(CaptureEvent::DuplicateStarted { gateway: number });
        if let Some(peers) = &mut self.peers {
            peers.set_duplicate(number, listening.member());
        }
        Ok(())
    }

    /// SIGKILL to the second process under a gateway's number.
    pub async fn kill_duplicate(&mut self, number: usize) {
        if let Some(mut child) = self.gateways[number].duplicate.take() {
            let _ = child.kill().await; // It may have ended by itself.
        }
        if let Some(peers) = &mut self.peers {
            peers.set_duplicate(number, None);
        }
    }

    /// SIGTERM to all of these; each is disconnected when it has ended. Whether all ended in time and without error.
    pub async fn stop_gateways(&mut self, which: &[usize]) -> bool {
        let mut ended_well = true;
        for number in which.iter().copied() {
            if let Some(child) = &self.gateways[number].child {
                self.recorder.record(CaptureEvent::GatewayStopping { gateway: number });
                ended_well &= send_signal(child, Signal::SIGTERM);
            }
        }
        for number in which.iter().copied() {
            let Some(mut child) = self.gateways[number].child.take() else { continue };
            let ended = tokio::time::timeout(PROCESS_LIMIT, child.wait()).await;
            self.recorder.record(CaptureEvent::GatewayRunning { gateway: number, running: false });
            self.disconnect_gateway(number);
            ended_well &= matches!(ended, Ok(Ok(status)) if status.success());
        }
        ended_well
    }
}

/// Whether the signal could be sent.
fn send_signal(child: &Child, signal: Signal) -> bool {
    let id = child.id().and_then(|id| i32::try_from(id).ok());
    id.is_some_and(|id| nix::sys::signal::kill(nix::unistd::Pid::from_raw(id), signal).is_ok())
}

/// Waits until a gateway prints its addresses.
async fn wait_until_listening(mut child: Child, gateway: usize) -> Result<(Child, Listening), FleetError> {
    let not_listening = || FleetError::NotListening { gateway };
    let stdout = child.stdout.take().ok_or_else(not_listening)?;
    let mut lines = BufReader::new(stdout).lines();
    let line = tokio::time::timeout(PROCESS_LIMIT, lines.next_line()).await;
    let Ok(Ok(Some(line))) = line else { return Err(not_listening()) };
    let listening = serde_json::from_str(&line).map_err(|_| not_listening())?;
    Ok((child, listening))
}
