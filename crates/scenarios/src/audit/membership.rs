//! Checks the gateways' membership reports against the actual state of the fleet: which processes were running, which
//! were suspended, and which directions of the network were open.

mod figures;
mod network;

pub use figures::MembershipFigures;

use figures::Traffic;
use network::{Network, Process};
use serde::Serialize;
use std::collections::HashSet;
use weirusher_fakes::{DatagramFate, MembershipReport};
use weirusher_fleet::{
    HEARTBEAT_INTERVAL, PAUSE_THRESHOLD, SUSPECT_TIMEOUT, partition_known_within, recovery_known_within,
};

/// Milliseconds in a second; the constants of the membership protocol are in milliseconds.
const MS_PER_SECOND: f64 = 1000.0;
/// Seconds by which delays on a busy machine may extend any bound, including the time to fetch a report. A process that
/// is delayed for longer counts itself as paused, and reports a new incarnation.
const BUSY_ALLOWANCE_SECONDS: f64 = PAUSE_THRESHOLD as f64 / MS_PER_SECOND;
/// Seconds for which a running gateway may return no report. Limited because nothing can be checked without reports.
const MAX_SILENCE_SECONDS: f64 = 3.0;
/// Seconds after a process starts during which it may not yet notice that a second process has the same number: it
/// takes that process's incarnation for one of its predecessors'.
const START_GRACE_SECONDS: f64 = 3.0;

/// The rules for membership reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum MembershipRule {
    /// An unreachable member is no longer reported alive after the detection bound.
    #[serde(rename = "gone-known")]
    DeathDetected,
    /// A reachable member is reported alive after the recovery bound, and not reported dead from then on.
    #[serde(rename = "life-known")]
    AliveDetected,
    /// A gateway that is reached by no other, or reaches no other, reports a reachable share of 0.
    #[serde(rename = "hearing-true")]
    ReachabilityTrue,
    /// A gateway reports a new incarnation after it was suspended.
    #[serde(rename = "begun-anew")]
    NewIncarnation,
    /// Of two processes with the same number, the earlier one reports that it is superseded, the later one does not.
    #[serde(rename = "one-of-two")]
    DuplicateSuperseded,
    /// A running gateway returns reports.
    #[serde(rename = "states")]
    Responds,
}

/// A violation of a membership rule.
pub(super) struct MembershipViolation {
    pub rule: MembershipRule,
    pub since_seconds: f64,
    pub description: String,
}

/// Whether a member's messages reach a gateway, and what the gateway has reported since that last changed.
#[derive(Clone, Copy, Default)]
struct Pair {
    reached: bool,
    since_seconds: f64,
    /// Whether a report since then still had the previous state. That is expected at first: the gateway has not noticed
    /// the change yet, or a suspicion raised before it is still confirmed. Only then does a later report with the
    /// current state show how long detection took.
    previous_reported: bool,
    /// Whether a later report had the current state.
    current_reported: bool,
}

/// Tracks the actual state of the fleet, and checks the membership reports against it.
#[derive(Default)]
pub(super) struct MembershipAuditor {
    network: Network,
    /// By reporting gateway, then by member: whether the member's messages reach the gateway, directly or relayed.
    pairs: Vec<Vec<Pair>>,
    /// When a gateway stopped being reached directly by any other, by gateway; `None` if it is reached.
    unreached_since: Vec<Option<f64>>,
    /// When a gateway stopped reaching any other directly, by gateway; `None` if it reaches one.
    reaching_none_since: Vec<Option<f64>>,
    traffic: Traffic,
    figures: MembershipFigures,
}

impl MembershipAuditor {
    /// Records that all gateways were started. `outsiders` have another key or fleet size, and are not members.
    pub fn start(&mut self, size: usize, outsiders: Vec<usize>, now: f64) {
        self.network.start(size, outsiders, now);
        self.pairs = vec![vec![Pair { since_seconds: now, ..Pair::default() }; size]; size];
        (self.unreached_since, self.reaching_none_since) = (vec![None; size], vec![None; size]);
        self.traffic = Traffic::since(now);
        self.update_pairs(now);
    }

    /// Whether the gateways of this run have a membership.
    pub fn is_started(&self) -> bool {
        self.network.size > 0
    }

    pub fn set_running(&mut self, gateway: usize, running: bool, now: f64) {
        let Some(process) = self.network.processes.get_mut(gateway) else { return };
        *process = Process { running, since_seconds: now, ..Process::default() };
        self.update_pairs(now);
    }

    pub fn set_paused(&mut self, gateway: usize, paused: bool, now: f64) {
        let Some(process) = self.network.processes.get_mut(gateway) else { return };
        process.paused = paused;
        if paused {
            process.paused_at_seconds = now;
        } else {
            process.since_seconds = now;
            let long = now - process.paused_at_seconds > 2.0 * BUSY_ALLOWANCE_SECONDS;
            process.incarnation_before_pause = if long { process.incarnation } else { 0 };
        }
        self.update_pairs(now);
    }

    pub fn duplicate_started(&mut self, gateway: usize, now: f64) {
        if let Some(process) = self.network.processes.get_mut(gateway) {
            process.duplicate_since_seconds = Some(now);
        }
    }

    pub fn partition(&mut self, groups: Vec<usize>, now: f64) {
        self.network.groups = groups;
        self.update_pairs(now);
    }

    pub fn set_blocked(&mut self, from: usize, to: usize, blocked: bool, now: f64) {
        self.network.set_blocked(from, to, blocked);
        self.update_pairs(now);
    }

    pub fn datagram(&mut self, bytes: usize, fate: DatagramFate, now: f64) {
        *self.figures.datagrams.entry(fate.as_str().to_string()).or_default() += 1;
        // Duplicates, replays and forgeries were made by the network, so they are not traffic of a gateway.
        if matches!(fate, DatagramFate::Delivered | DatagramFate::Lost | DatagramFate::Partitioned) {
            self.figures.bytes_per_second = self.traffic.add(bytes, now, self.network.size);
        }
    }

    /// Recomputes which gateways reach each other, after a change.
    fn update_pairs(&mut self, now: f64) {
        for gateway in 0..self.network.size {
            let reached = self.network.senders_reaching(gateway);
            let unreached = !self.network.is_reached_directly(gateway);
            let reaching_none = !self.network.reaches_any_directly(gateway);
            let since = |start: Option<f64>| start.unwrap_or(now);
            self.unreached_since[gateway] = unreached.then(|| since(self.unreached_since[gateway]));
            self.reaching_none_since[gateway] =
                reaching_none.then(|| since(self.reaching_none_since[gateway]));
            for (pair, reached) in self.pairs[gateway].iter_mut().zip(reached) {
                if pair.reached != reached {
                    *pair = Pair { reached, since_seconds: now, ..Pair::default() };
                }
            }
        }
    }

    /// Checks a report that was requested at `requested`. `duplicate` is set if it is of the second process with the
    /// gateway's number.
    pub fn audit_report(
        &mut self,
        gateway: usize,
        duplicate: bool,
        requested: f64,
        report: &MembershipReport,
    ) -> Vec<MembershipViolation> {
        let process = self.network.processes.get(gateway).copied().filter(Process::is_up);
        let Some(process) = process else { return Vec::new() };
        self.figures.reports += 1;
        let mut found: Vec<MembershipViolation> =
            self.check_responds(gateway, requested).into_iter().collect();
        self.network.processes[gateway].last_report_seconds = requested;
        if let Some(since) = process.duplicate_since_seconds {
            found.extend(self.check_duplicate(gateway, duplicate, since, requested, report));
            return found;
        }
        found.extend(self.check_incarnation(gateway, requested, report));
        found.extend(self.check_reachability(gateway, requested, report));
        if !self.network.is_outsider(gateway) {
            found.extend(self.check_members(gateway, requested, report));
        }
        found
    }

    /// Checks at the end of the run that no running gateway stopped reporting.
    pub fn finish(&self, now: f64) -> Vec<MembershipViolation> {
        (0..self.network.size).filter_map(|gateway| self.check_responds(gateway, now)).collect()
    }

    pub fn into_figures(self) -> MembershipFigures {
        self.figures
    }

    fn check_responds(&self, gateway: usize, now: f64) -> Option<MembershipViolation> {
        let process = &self.network.processes[gateway];
        let since_seconds = process.last_report_seconds.max(process.since_seconds);
        let silent_seconds = now - since_seconds;
        (process.is_up() && now > since_seconds + MAX_SILENCE_SECONDS).then(|| MembershipViolation {
            rule: MembershipRule::Responds,
            since_seconds,
            description: format!(
                "gateway {gateway} is running, but returned no report for {silent_seconds:.2} s"
            ),
        })
    }

    fn check_duplicate(
        &self,
        gateway: usize,
        duplicate: bool,
        since_seconds: f64,
        requested: f64,
        report: &MembershipReport,
    ) -> Option<MembershipViolation> {
        let detected = recovery_known_within(self.network.size as u16) as f64 / MS_PER_SECOND;
        let settled = requested > since_seconds + START_GRACE_SECONDS + detected + BUSY_ALLOWANCE_SECONDS;
        // The later process owns the number, so the earlier one must report that it is superseded.
        let correct = report.superseded != duplicate;
        let which = if duplicate { "the later" } else { "the earlier" };
        (settled && !correct).then(|| MembershipViolation {
            rule: MembershipRule::DuplicateSuperseded,
            since_seconds,
            description: format!(
                "{which} of two processes with gateway number {gateway} reports superseded: {}",
                report.superseded
            ),
        })
    }

    fn check_incarnation(
        &mut self,
        gateway: usize,
        requested: f64,
        report: &MembershipReport,
    ) -> Option<MembershipViolation> {
        let process = &mut self.network.processes[gateway];
        process.incarnation = process.incarnation.max(report.incarnation);
        let (before, since_seconds) = (process.incarnation_before_pause, process.since_seconds);
        let unchanged = requested >= since_seconds && before > 0 && report.incarnation <= before;
        unchanged.then(|| MembershipViolation {
            rule: MembershipRule::NewIncarnation,
            since_seconds,
            description: format!(
                "gateway {gateway} still reports incarnation {} after it was suspended",
                report.incarnation
            ),
        })
    }

    fn check_reachability(
        &self,
        gateway: usize,
        requested: f64,
        report: &MembershipReport,
    ) -> Option<MembershipViolation> {
        let up_since = self.network.processes[gateway].since_seconds;
        let silence = (SUSPECT_TIMEOUT + HEARTBEAT_INTERVAL) as f64 / MS_PER_SECOND;
        let overdue = |since: Option<f64>, bound: f64| {
            since.filter(|since| requested > since.max(up_since) + bound + BUSY_ALLOWANCE_SECONDS)
        };
        let (heard, share) = (report.heard_directly, report.reachable_share);
        let unreached = overdue(self.unreached_since[gateway], silence).filter(|_| heard > 0 || share > 0.0);
        let reaching_none = overdue(self.reaching_none_since[gateway], 2.0 * silence).filter(|_| share > 0.0);
        let (since_seconds, what) = unreached
            .map(|since| (since, "is reached by no other gateway"))
            .or(reaching_none.map(|since| (since, "reaches no other gateway")))?;
        let description = format!(
            "gateway {gateway} {what} for {:.2} s, but reports a reachable share of {share:.2} and {heard} members \
             that it hears",
            requested - since_seconds
        );
        Some(MembershipViolation { rule: MembershipRule::ReachabilityTrue, since_seconds, description })
    }

    fn check_members(
        &mut self,
        gateway: usize,
        requested: f64,
        report: &MembershipReport,
    ) -> Vec<MembershipViolation> {
        let size = self.network.size as u16;
        let death_bound = partition_known_within(size) as f64 / MS_PER_SECOND + BUSY_ALLOWANCE_SECONDS;
        let alive_bound = recovery_known_within(size) as f64 / MS_PER_SECOND + BUSY_ALLOWANCE_SECONDS;
        let alive: HashSet<usize> = report.alive.iter().copied().collect();
        let dead: HashSet<usize> = report.dead.iter().copied().collect();
        let up_since = self.network.processes[gateway].since_seconds;
        let mut found = Vec::new();
        for member in (0..self.network.size).filter(|member| *member != gateway) {
            let pair = &mut self.pairs[gateway][member];
            let (elapsed, since_seconds) = (requested - pair.since_seconds.max(up_since), pair.since_seconds);
            let reported_alive = alive.contains(&member);
            if elapsed > 0.0 && reported_alive != pair.reached {
                pair.previous_reported = true;
            } else if elapsed > 0.0 && pair.previous_reported && !pair.current_reported {
                pair.current_reported = true;
                self.figures.detected(pair.reached, requested - since_seconds);
            }
            let mut violation = |rule, what: &str| {
                let description =
                    format!("gateway {gateway} reports member {member} {what} after {elapsed:.2} s");
                found.push(MembershipViolation { rule, since_seconds, description });
            };
            if pair.reached && elapsed > alive_bound && !reported_alive {
                violation(MembershipRule::AliveDetected, "as not alive, although it is reachable,");
            }
            if !pair.reached && elapsed > death_bound && reported_alive {
                violation(MembershipRule::DeathDetected, "as alive, although it is unreachable,");
            }
            if pair.reached && pair.current_reported && dead.contains(&member) {
                self.figures.false_positives += 1;
                if elapsed <= alive_bound {
                    violation(MembershipRule::AliveDetected, "as dead again, although it is reachable,");
                }
            }
        }
        found
    }
}
