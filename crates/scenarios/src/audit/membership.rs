//! What gateways report of each other, checked against what the run did to them: which processes ran, which were
//! suspended, and which directions of the network were open.

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

/// Milliseconds, in which the fleet's constants are given, in a second.
const MS_PER_SECOND: f64 = 1000.0;
/// Seconds that a busy machine may add to any bound, including the time that a report takes. A process that is delayed
/// for longer has been away, and reports so.
const BUSY_ALLOWANCE_SECONDS: f64 = PAUSE_THRESHOLD as f64 / MS_PER_SECOND;
/// Seconds for which a running gateway may report nothing: what is not reported cannot be checked.
const MAX_SILENCE_SECONDS: f64 = 3.0;
/// Seconds for which a new process may take a later incarnation of its number for that of an earlier process.
const START_SECONDS: f64 = 3.0;

/// What is checked of gateways with a membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum MembershipRule {
    /// A member that cannot be reached is not reported alive for longer than the bound.
    #[serde(rename = "gone-known")]
    DeathDetected,
    /// A member that can be reached is reported alive after the bound, and not reported dead.
    #[serde(rename = "life-known")]
    AliveDetected,
    /// A gateway that nobody reaches, or that reaches nobody, reports that it reaches no part of the fleet.
    #[serde(rename = "hearing-true")]
    ReachabilityTrue,
    /// A gateway that was suspended reports a new incarnation.
    #[serde(rename = "begun-anew")]
    NewIncarnation,
    /// Of two processes under one number, the later one takes part and the earlier one reports that it is superseded.
    #[serde(rename = "one-of-two")]
    DuplicateSuperseded,
    /// A gateway that runs reports its view.
    #[serde(rename = "states")]
    Responds,
}

/// A report that is not true.
pub(super) struct MembershipViolation {
    pub rule: MembershipRule,
    pub since_seconds: f64,
    pub description: String,
}

/// Whether one gateway can be reached by another, and what was reported of it.
#[derive(Clone, Copy, Default)]
struct Pair {
    reached: bool,
    since_seconds: f64,
    /// Whether the opposite was reported since, as it is at first: earlier reports still stand, and a suspicion that
    /// was under way may still be confirmed.
    opposite_reported: bool,
    /// Whether the truth was reported after that.
    truth_reported: bool,
}

/// Keeps what the run did, and checks the reports against it.
#[derive(Default)]
pub(super) struct MembershipAuditor {
    network: Network,
    /// By reporting gateway, then by member: whether the member's messages reach the gateway, directly or passed on.
    pairs: Vec<Vec<Pair>>,
    /// Since when a gateway is reached by nobody directly, by gateway.
    unreached_since: Vec<Option<f64>>,
    /// Since when a gateway reaches nobody directly, by gateway.
    reaching_none_since: Vec<Option<f64>>,
    traffic: Traffic,
    figures: MembershipFigures,
}

impl MembershipAuditor {
    /// All gateways were started; `outsiders` are no members.
    pub fn start(&mut self, size: usize, outsiders: Vec<usize>, now: f64) {
        self.network.start(size, outsiders, now);
        self.pairs = vec![vec![Pair { since_seconds: now, ..Pair::default() }; size]; size];
        (self.unreached_since, self.reaching_none_since) = (vec![None; size], vec![None; size]);
        self.traffic = Traffic::since(now);
        self.update_pairs(now);
    }

    /// Whether the run has gateways with a membership.
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
        // Duplicates, replays and forgeries were not sent by a gateway.
        if matches!(fate, DatagramFate::Delivered | DatagramFate::Lost | DatagramFate::Partitioned) {
            self.figures.bytes_per_second = self.traffic.add(bytes, now, self.network.size);
        }
    }

    /// Finds out who reaches whom after a change.
    fn update_pairs(&mut self, now: f64) {
        for gateway in 0..self.network.size {
            let reached = self.network.reaching(gateway);
            let unreached = !self.network.is_reached_directly(gateway);
            let reaching_none = !self.network.reaches_any_directly(gateway);
            let since = |began: Option<f64>| began.unwrap_or(now);
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

    /// Checks a report that was requested at `requested`; `duplicate`: by the second process under the number.
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

    /// The run ended at `now`.
    pub fn finish(&self, now: f64) -> Vec<MembershipViolation> {
        (0..self.network.size).filter_map(|gateway| self.check_responds(gateway, now)).collect()
    }

    pub fn into_figures(self) -> MembershipFigures {
        self.figures
    }

    fn check_responds(&self, gateway: usize, now: f64) -> Option<MembershipViolation> {
        let process = &self.network.processes[gateway];
        let since_seconds = process.last_report_seconds.max(process.since_seconds);
        let silent = now - since_seconds;
        (process.is_up() && now > since_seconds + MAX_SILENCE_SECONDS).then(|| MembershipViolation {
            rule: MembershipRule::Responds,
            since_seconds,
            description: format!("gateway {gateway} runs, and reports nothing for {silent:.2} s"),
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
        let settled = requested > since_seconds + START_SECONDS + detected + BUSY_ALLOWANCE_SECONDS;
        // The later process holds the number.
        let correct = report.superseded != duplicate;
        let which = if duplicate { "the later" } else { "the earlier" };
        (settled && !correct).then(|| MembershipViolation {
            rule: MembershipRule::DuplicateSuperseded,
            since_seconds,
            description: format!(
                "{which} of two gateways {gateway} reports superseded: {}",
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
                "gateway {gateway} was suspended, and still reports incarnation {}",
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
            .map(|since| (since, "is reached by nobody"))
            .or(reaching_none.map(|since| (since, "reaches nobody")))?;
        let description = format!(
            "gateway {gateway} {what} for {:.2} s, and reports a reachable share of {share:.2}, hearing {heard}",
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
                pair.opposite_reported = true;
            } else if elapsed > 0.0 && pair.opposite_reported && !pair.truth_reported {
                pair.truth_reported = true;
                self.figures.detected(pair.reached, requested - since_seconds);
            }
            let mut violation = |rule, what: &str| {
                let description = format!("gateway {gateway} reports {member} {what} after {elapsed:.2} s");
                found.push(MembershipViolation { rule, since_seconds, description });
            };
            if pair.reached && elapsed > alive_bound && !reported_alive {
                violation(MembershipRule::AliveDetected, "not alive, which it reaches,");
            }
            if !pair.reached && elapsed > death_bound && reported_alive {
                violation(MembershipRule::DeathDetected, "alive, which it cannot reach,");
            }
            if pair.reached && pair.truth_reported && dead.contains(&member) {
                self.figures.false_positives += 1;
                if elapsed <= alive_bound {
                    violation(MembershipRule::AliveDetected, "dead again, which it reaches,");
                }
            }
        }
        found
    }
}
