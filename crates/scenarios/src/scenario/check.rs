//! Validation of a parsed scenario: values out of range, and faults whose targets do not exist.

use super::fault::{Fault, FaultKind, Target};
use super::{GatewayProgram, Scenario};
use std::ops::RangeInclusive;

/// Maximum duration of a scenario: every run must end by itself.
const MAX_DURATION_SECONDS: f64 = 3600.0;
/// Allowed number of gateways; each is a process on this machine.
const GATEWAYS: RangeInclusive<usize> = 1..=400;
/// Allowed number of backends; all of them run in this process.
const BACKENDS: RangeInclusive<usize> = 1..=64;
/// Allowed rate of a flood, in datagrams per second.
const FLOOD_PER_SECOND: RangeInclusive<f64> = 1.0..=10_000.0;

/// Why a scenario cannot be run. `fault` is the position of a fault in the file, counted from 1.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[non_exhaustive]
pub enum ScenarioProblem {
    /// The duration is out of range.
    #[error("`seconds` must be above 0 and at most {MAX_DURATION_SECONDS}")]
    Duration,
    /// The number of gateways is out of range.
    #[error("`gatekeepers` must be from {} to {}", GATEWAYS.start(), GATEWAYS.end())]
    Gateways,
    /// The number of backends is out of range.
    #[error("`checkers` must be from {} to {}", BACKENDS.start(), BACKENDS.end())]
    Backends,
    /// Membership is enabled with a single gateway.
    #[error("[peers] needs at least two gateways")]
    SingleMember,
    /// There are customers, but gateways that run `node` get no customer traffic in a scenario.
    #[error("with `program = \"node\"`, plans must not have customers")]
    NodeWithCustomers,
    /// There is no plan, or no class.
    #[error("a scenario needs at least one plan and one class")]
    NoPlanOrClass,
    /// A limit of a plan is out of range.
    #[error("plan `{0}` needs a `rate` above 0, a `burst` of 1 or more and `asks` of 0 or more")]
    Plan(String),
    /// A fault begins before the start or after the end of the scenario.
    #[error("fault {fault}: `at` must be within the duration of the scenario")]
    FaultTime {
        /// Position of the fault in the file, counted from 1.
        fault: usize,
    },
    /// The target of a fault does not exist.
    #[error("fault {fault} refers to a gateway, backend or plan that the scenario does not have")]
    FaultTarget {
        /// Position of the fault in the file, counted from 1.
        fault: usize,
    },
    /// The rate of a flood is out of range.
    #[error("fault {fault}: `per_second` must be from {} to {}", FLOOD_PER_SECOND.start(), FLOOD_PER_SECOND.end())]
    FloodRate {
        /// Position of the fault in the file, counted from 1.
        fault: usize,
    },
    /// A fault of the membership or of the network between gateways, without a membership.
    #[error("fault {fault} needs a [peers] section")]
    NoMembership {
        /// Position of the fault in the file, counted from 1.
        fault: usize,
    },
}

impl Scenario {
    /// All problems, in the order of the file's sections.
    pub(super) fn check(&self) -> Vec<ScenarioProblem> {
        let fleet = &self.fleet;
        let is_node = fleet.program == GatewayProgram::Node;
        let checks = [
            (
                !(self.duration_seconds > 0.0 && self.duration_seconds <= MAX_DURATION_SECONDS),
                ScenarioProblem::Duration,
            ),
            (!GATEWAYS.contains(&fleet.gateways), ScenarioProblem::Gateways),
            (!BACKENDS.contains(&fleet.backends), ScenarioProblem::Backends),
            (self.peers.is_some() && fleet.gateways < 2, ScenarioProblem::SingleMember),
            (is_node && self.plans.iter().any(|plan| plan.customers > 0), ScenarioProblem::NodeWithCustomers),
            (self.plans.is_empty() || self.classes.is_empty(), ScenarioProblem::NoPlanOrClass),
        ];
        let mut problems: Vec<_> =
            checks.into_iter().filter_map(|(invalid, problem)| invalid.then_some(problem)).collect();
        let valid = self.plans.iter().map(|plan| {
            let valid = plan.rate > 0.0 && plan.burst >= 1.0 && plan.demand_share >= 0.0;
            (plan, valid)
        });
        problems.extend(
            valid.filter(|(_, valid)| !valid).map(|(plan, _)| ScenarioProblem::Plan(plan.name.clone())),
        );
        for (index, fault) in self.faults.iter().enumerate() {
            self.check_fault(index + 1, fault, &mut problems);
        }
        problems
    }

    fn check_fault(&self, number: usize, fault: &Fault, problems: &mut Vec<ScenarioProblem>) {
        if !(fault.at_seconds >= 0.0 && fault.at_seconds < self.duration_seconds) {
            problems.push(ScenarioProblem::FaultTime { fault: number });
        }
        let (target, numbers) = fault.kind.targets();
        let count = match target {
            Target::Gateways => self.fleet.gateways,
            Target::Backends => self.fleet.backends,
            Target::Plans => self.plans.len(),
        };
        if numbers.iter().any(|number| *number >= count) {
            problems.push(ScenarioProblem::FaultTarget { fault: number });
        }
        if matches!(&fault.kind, FaultKind::PeerFlood { per_second, .. } if !FLOOD_PER_SECOND.contains(per_second))
        {
            problems.push(ScenarioProblem::FloodRate { fault: number });
        }
        if self.peers.is_none() && fault.kind.needs_membership() {
            problems.push(ScenarioProblem::NoMembership { fault: number });
        }
    }
}
