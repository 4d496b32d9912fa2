//! The faults of a scenario.

use serde::Deserialize;
use weirusher_fakes::Flood;

/// A fault: when it begins, how long it lasts, and what it is.
#[derive(Debug, Clone, Deserialize)]
#[allow(missing_docs)]
pub struct Fault {
    #[serde(rename = "at")]
    pub at_seconds: f64,
    #[serde(default, rename = "lasts")]
    pub duration_seconds: f64,
    #[serde(flatten)]
    pub kind: FaultKind,
}

/// The kinds of faults. `which` are numbers of gateways or backends.
#[derive(Debug, Clone, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
#[allow(missing_docs)]
pub enum FaultKind {
    /// SIGKILL; at its end they are started again, with a wall clock that is shifted.
    #[serde(rename = "kill-gatekeepers")]
    KillGateways {
        which: Vec<usize>,
        #[serde(default)]
        clock_shift_seconds: f64,
    },
    /// SIGSTOP; SIGCONT at its end.
    #[serde(rename = "pause-gatekeepers")]
    PauseGateways { which: Vec<usize> },
    /// A second process under the same number, as by a mistake of configuration; killed at its end.
    #[serde(rename = "twin-gatekeeper")]
    DuplicateGateway { which: Vec<usize> },
    /// Conditions for all datagrams between gateways.
    #[serde(rename = "peer-way")]
    PeerConditions {
        #[serde(default, rename = "loss")]
        loss_probability: f64,
        #[serde(default, rename = "double")]
        duplicate_probability: f64,
        /// Least and most.
        #[serde(default)]
        delay_ms: [f64; 2],
        #[serde(default, rename = "replay")]
        replay_probability: f64,
        #[serde(default)]
        replay_after_seconds: f64,
    },
    /// The network between gateways is partitioned: by the remainder of their numbers or, with `stripes`, by
    /// neighbourhood.
    #[serde(rename = "peer-cut")]
    PeerPartition {
        groups: usize,
        #[serde(default)]
        stripes: bool,
    },
    /// The direction from each of these gateways to each of those is blocked.
    PeerBlock { from: Vec<usize>, to: Vec<usize> },
    /// Each gateway receives from the next one only.
    PeerRing,
    /// A gateway is flooded with datagrams that seem to come from another.
    PeerFlood {
        from: usize,
        to: usize,
        per_second: f64,
        #[serde(rename = "how")]
        flood: Flood,
    },
    /// SIGTERM; at its end they are started again.
    #[serde(rename = "stop-gatekeepers")]
    StopGateways { which: Vec<usize> },
    /// The counter misbehaves.
    Counter {
        how: CounterFaultKind,
        #[serde(default, rename = "seconds")]
        delay_seconds: f64,
    },
    /// The counter loses all counts.
    #[serde(rename = "counter-emptied")]
    CounterCleared,
    /// The counter cannot be reached.
    #[serde(rename = "counter-gone")]
    CounterUnreachable,
    /// The endpoint list has backends as draining; at its end they are replaced by new ones in slow start.
    Drain { which: Vec<usize> },
    /// SIGKILL; at its end there are replacements in slow start at the same addresses.
    #[serde(rename = "kill-checkers")]
    KillBackends { which: Vec<usize> },
    /// Their work takes `factor` times as long.
    #[serde(rename = "slow-checkers")]
    SlowBackends { which: Vec<usize>, factor: f64 },
    /// No gateway is notified of changes of the endpoint list.
    ListFrozen,
    /// Links fail.
    Link {
        #[serde(rename = "between")]
        ends: LinkEnds,
        which: Vec<usize>,
        #[serde(default)]
        delay_ms: f64,
        #[serde(default, rename = "stall_up")]
        stall_to_target: bool,
        #[serde(default, rename = "stall_down")]
        stall_from_target: bool,
        #[serde(default, rename = "refuse")]
        refuse_connections: bool,
        #[serde(default)]
        reset: bool,
        #[serde(default)]
        bytes_per_second: f64,
    },
    /// Customers of a plan demand `factor` times as much.
    #[serde(rename = "hot")]
    DemandSurge { plan: usize, factor: f64 },
}

/// What a misbehaving counter does.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[allow(missing_docs)]
pub enum CounterFaultKind {
    Silent,
    #[serde(rename = "half")]
    PartialReply,
    #[serde(rename = "reset")]
    ConnectionReset,
    WrongType,
    #[serde(rename = "late")]
    Delayed,
}

/// The two ends of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[allow(missing_docs)]
pub enum LinkEnds {
    #[serde(rename = "edge-gatekeeper")]
    LoadGeneratorGateway,
    #[serde(rename = "gatekeeper-counter")]
    GatewayCounter,
    #[serde(rename = "gatekeeper-discovery")]
    GatewayDiscovery,
    #[serde(rename = "edge-checker")]
    LoadGeneratorBackend,
}

/// What the numbers of a fault refer to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Target {
    Gateways,
    Backends,
    Plans,
}

impl FaultKind {
    /// Whether it is a fault of the membership or the network between gateways, which only [peers] has.
    pub(crate) fn needs_membership(&self) -> bool {
        match self {
            Self::DuplicateGateway { .. }
            | Self::PeerConditions { .. }
            | Self::PeerPartition { .. }
            | Self::PeerBlock { .. }
            | Self::PeerRing
            | Self::PeerFlood { .. } => true,
            Self::KillGateways { .. }
            | Self::PauseGateways { .. }
            | Self::StopGateways { .. }
            | Self::Counter { .. }
            | Self::CounterCleared
            | Self::CounterUnreachable
            | Self::Drain { .. }
            | Self::KillBackends { .. }
            | Self::SlowBackends { .. }
            | Self::ListFrozen
            | Self::Link { .. }
            | Self::DemandSurge { .. } => false,
        }
    }

    /// The numbers that it names, and of what.
    pub(super) fn targets(&self) -> (Target, Vec<usize>) {
        match self {
            Self::KillGateways { which, .. }
            | Self::StopGateways { which }
            | Self::PauseGateways { which }
            | Self::DuplicateGateway { which } => (Target::Gateways, which.clone()),
            Self::PeerBlock { from, to } => (Target::Gateways, [from.as_slice(), to].concat()),
            Self::PeerFlood { from, to, .. } => (Target::Gateways, vec![*from, *to]),
            Self::Drain { which } | Self::KillBackends { which } | Self::SlowBackends { which, .. } => {
                (Target::Backends, which.clone())
            }
            Self::Link { ends: LinkEnds::LoadGeneratorBackend, which, .. } => {
                (Target::Backends, which.clone())
            }
            Self::Link { which, .. } => (Target::Gateways, which.clone()),
            Self::DemandSurge { plan, .. } => (Target::Plans, vec![*plan]),
            Self::PeerConditions { .. }
            | Self::PeerPartition { .. }
            | Self::PeerRing
            | Self::Counter { .. }
            | Self::CounterCleared
            | Self::CounterUnreachable
            | Self::ListFrozen => (Target::Gateways, Vec::new()),
        }
    }
}
