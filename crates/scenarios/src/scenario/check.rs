//! Finds what cannot be run in a scenario that is well-formed.

use super::fault::{Fault, FaultKind, Target};
use super::{GatewayProgram, Scenario};
use std::ops::RangeInclusive;

/// Longest scenario: a run has to end by itself.
const MAX_DURATION_SECONDS: f64 = 3600.0;
/// Gateways on one machine, each a process.
const GATEWAYS: RangeInclusive<usize> = 1..=400;
/// Backends, which all run in this process.
const BACKENDS: RangeInclusive<usize> = 1..=64;
/// Datagrams a second of a flood.
const FLOOD_PER_SECOND: RangeInclusive<f64> = 1.0..=10_000.0;

/// Something in a scenario that cannot be run. `fault` is the number of a fault in the file, from 1.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[non_exhaustive]
pub enum ScenarioProblem {
    /// Its length.
    #[error("`seconds` must be above 0 and at most {MAX_DURATION_SECONDS}")]
    Duration,
    /// The number of gateways.
    #[error("`gatekeepers` must be from {} to {}", GATEWAYS.start(), GATEWAYS.end())]
    Gateways,
    /// The number of backends.
    #[error("`checkers` must be from {} to {}", BACKENDS.start(), BACKENDS.end())]
    Backends,
    /// A membership of one.
    #[error("[peers] needs two gateways or more")]
    SingleMember,
    /// Customers of gateways that serve none here.
    #[error("plans must have no customers with `program = \"node\"`")]
    NodeWithCustomers,
    /// No plan, or no class.
    #[error("a scenario needs a plan and a class")]
    NoPlanOrClass,
    /// A plan's figures.
    #[error("plan `{0}` needs a `rate` above 0, a `burst` of 1 or more and `asks` of 0 or more")]
    Plan(String),
    /// A fault before the start or after the end.
    #[error("fault {fault} must begin within the scenario")]
    FaultTime {
        /// Its number.
        fault: usize,
    },
    /// A fault's gateway, backend or plan.
    #[error("fault {fault} names what the fleet does not have")]
    FaultTarget {
        /// Its number.
        fault: usize,
    },
    /// A flood's rate.
    #[error("fault {fault}: `per_second` must be from {} to {}", FLOOD_PER_SECOND.start(), FLOOD_PER_SECOND.end())]
    FloodRate {
        /// Its number.
        fault: usize,
    },
    /// A fault of the membership without a membership.
    #[error("fault {fault} needs [peers]")]
    NoMembership {
        /// Its number.
        fault: usize,
    },
}

impl Scenario {
    /// All that cannot be run, in the order of the file's sections.
    pub(super) fn check(&self) -> Vec<ScenarioProblem> {
        let fleet = &self.fleet;
        let is_node = fleet.program == GatewayProgram::Node;
        let found = [
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
            found.into_iter().filter_map(|(wrong, problem)| wrong.then_some(problem)).collect();
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
