//! Membership between the gateways: their `[fleet]` configuration, the network between them, and polling of each
//! gateway's membership report.

use crate::scenario::{PeerSpec, Scenario};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;
use weirusher_fakes::{CaptureEvent, MembershipReport, PeerNetwork, Recorder};
use weirusher_fleet::ViewSummary;

/// The fleet key of all runs. It is no secret: nothing outside a run accepts it.
const FLEET_KEY: &str = "scenario-runs-only-0123456789abc";
/// The fleet key of gateways configured with a different one.
const OTHER_KEY: &str = "another-fleets-key-0123456789abc";
/// Address of the extra entry in a member list that is one longer than the others'; nothing listens there.
const EXTRA_MEMBER: &str = "127.0.0.1:9";
/// Time limit for fetching a gateway's membership report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Minimum milliseconds between requests for a gateway's membership report.
const MIN_POLL_INTERVAL_MS: u64 = 10;

/// Addresses at which a member receives datagrams and serves its admin pages.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MemberAddresses {
    pub datagrams: SocketAddr,
    pub admin: SocketAddr,
}

/// The processes that run with a gateway's number.
#[derive(Debug, Clone, Copy, Default)]
struct Member {
    process: Option<MemberAddresses>,
    duplicate: Option<MemberAddresses>,
}

/// The network between the gateways of a fleet, and the polling of their membership reports.
pub(crate) struct PeerHarness {
    pub network: PeerNetwork,
    spec: PeerSpec,
    members: Vec<Arc<Mutex<Member>>>,
    polling: JoinSet<()>,
}

impl PeerHarness {
    pub async fn start(scenario: &Scenario, spec: PeerSpec, recorder: &Recorder) -> std::io::Result<Self> {
        let size = scenario.fleet.gateways;
        let network = PeerNetwork::start(size, scenario.seed, recorder.clone()).await?;
        let members = (0..size).map(|_| Arc::default()).collect();
        Ok(Self { network, spec, members, polling: JoinSet::new() })
    }

    /// A gateway's `[fleet]` section. `with_number` includes its number, for configurations without `[instance]`.
    pub fn config(&self, gateway: usize, with_number: bool, clock_shift_seconds: f64) -> String {
        let mut members: Vec<String> =
            self.network.addresses.iter().map(|address| format!("\"{address}\"")).collect();
        if self.spec.other_size.contains(&gateway) {
            members.push(format!("\"{EXTRA_MEMBER}\""));
        }
        let key = if self.spec.other_key.contains(&gateway) { OTHER_KEY } else { FLEET_KEY };
        let number = if with_number { format!("number = {gateway}\n") } else { String::new() };
        format!(
            "\n[fleet]\n{number}listen = \"127.0.0.1:0\"\nclock_shift_seconds = {clock_shift_seconds}\n\
             key = \"{key}\"\nmembers = [{}]\n",
            members.join(", ")
        )
    }

    /// Number of members in a gateway's configuration.
    pub fn configured_size(&self, gateway: usize) -> usize {
        self.members.len() + usize::from(self.spec.other_size.contains(&gateway))
    }

    /// Sets the addresses of a gateway's process; `None` when it has ended.
    pub fn set_member(&mut self, gateway: usize, addresses: Option<MemberAddresses>) {
        self.change_member(gateway, |member| member.process = addresses);
    }

    /// Sets the addresses of the second process with a gateway's number; `None` when it has ended.
    pub fn set_duplicate(&mut self, gateway: usize, addresses: Option<MemberAddresses>) {
        self.change_member(gateway, |member| member.duplicate = addresses);
    }

    fn change_member(&mut self, gateway: usize, change: impl FnOnce(&mut Member)) {
        let mut member = self.members[gateway].lock().expect("no thread panics while it holds the lock");
        change(&mut member);
        let processes = [member.process, member.duplicate].into_iter().flatten();
        self.network.set_addresses(gateway, processes.map(|process| process.datagrams).collect());
    }

    /// Starts polling the membership report of each gateway. Called once all gateways are running.
    pub fn start_polling(&mut self, recorder: &Recorder) {
        let outsiders = self.spec.other_key.iter().chain(&self.spec.other_size).copied().collect();
        recorder.record(CaptureEvent::FleetStarted { size: self.members.len(), outsiders });
        let interval = Duration::from_millis(self.spec.poll_interval_ms.max(MIN_POLL_INTERVAL_MS));
        for (gateway, member) in self.members.iter().enumerate() {
            self.polling.spawn(poll_reports(gateway, member.clone(), interval, recorder.clone()));
        }
    }
}

async fn poll_reports(gateway: usize, member: Arc<Mutex<Member>>, interval: Duration, recorder: Recorder) {
    let mut interval = tokio::time::interval(interval);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let Member { process, duplicate } = *member.lock().expect("no thread panics while it holds the lock");
        for (addresses, duplicate) in [(process, false), (duplicate, true)] {
            let Some(addresses) = addresses else { continue };
            let requested_at_seconds = recorder.now();
            // A dead or suspended process returns no report.
            let report = tokio::time::timeout(REPORT_TIMEOUT, fetch_report(addresses.admin)).await;
            if let Ok(Some(report)) = report {
                let event =
                    CaptureEvent::MembershipReported { gateway, duplicate, requested_at_seconds, report };
                recorder.record(event);
            }
        }
    }
}

/// Fetches a gateway's membership report from its admin page; `None` if it cannot be read.
async fn fetch_report(admin: SocketAddr) -> Option<MembershipReport> {
    let response = weirusher_peers::page::get(admin, "/fleet/brief").await.ok()?;
    let summary: ViewSummary = serde_json::from_slice(&response.body).ok()?;
    let numbers = |members: &[u16]| members.iter().map(|number| usize::from(*number)).collect();
    Some(MembershipReport {
        incarnation: summary.incarnation,
        alive: numbers(&summary.alive),
        dead: numbers(&summary.dead),
        reachable_share: summary.reachability.fraction(),
        heard_directly: summary.reachability.subjects_heard,
        superseded: summary.reachability.superseded,
    })
}
