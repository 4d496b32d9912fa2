//! Faults of a scenario, as its file describes them.

use serde::Deserialize;
use weirusher_fakes::Flood;

/// A fault, its start time and its duration.
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

/// Kinds of faults. `which` holds numbers of gateways or backends, counted from 0.
#[derive(Debug, Clone, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
#[allow(missing_docs)]
pub enum FaultKind {
    /// Kills gateways with SIGKILL; at the end of the fault they are restarted, with a shifted wall clock.
    #[serde(rename = "kill-gatekeepers")]
    KillGateways {
        which: Vec<usize>,
        #[serde(default)]
        clock_shift_seconds: f64,
    },
    /// Suspends gateways with SIGSTOP, until SIGCONT at the end of the fault.
    #[serde(rename = "pause-gatekeepers")]
    PauseGateways { which: Vec<usize> },
    /// Starts a second process with the number of a running gateway, as a configuration mistake would; it is killed
    /// at the end of the fault.
    #[serde(rename = "twin-gatekeeper")]
    DuplicateGateway { which: Vec<usize> },
    /// Applies loss, duplication, delay and replay to all datagrams between gateways.
    #[serde(rename = "peer-way")]
    PeerConditions {
        #[serde(default, rename = "loss")]
        loss_probability: f64,
        #[serde(default, rename = "double")]
        duplicate_probability: f64,
        /// Minimum and maximum; delays are uniformly distributed between them.
        #[serde(default)]
        delay_ms: [f64; 2],
        #[serde(default, rename = "replay")]
        replay_probability: f64,
        #[serde(default)]
        replay_after_seconds: f64,
    },
    /// Partitions the network between gateways into groups: by gateway number modulo `groups` or, with `stripes`, into
    /// ranges of consecutive gateway numbers.
    #[serde(rename = "peer-cut")]
    PeerPartition {
        groups: usize,
        #[serde(default)]
        stripes: bool,
    },
    /// Blocks datagrams from each gateway in `from` to each gateway in `to`, in this direction only.
    PeerBlock { from: Vec<usize>, to: Vec<usize> },
    /// Blocks all datagrams to each gateway except those from the gateway with the next number; gateway 0 follows the
    /// last one.
    PeerRing,
    /// Floods a gateway with datagrams whose source address is that of another gateway.
    PeerFlood {
        from: usize,
        to: usize,
        per_second: f64,
        #[serde(rename = "how")]
        flood: Flood,
    },
    /// Shuts gateways down with SIGTERM; at the end of the fault they are restarted.
    #[serde(rename = "stop-gatekeepers")]
    StopGateways { which: Vec<usize> },
    /// The counter misbehaves in the given way.
    Counter {
        how: CounterFaultKind,
        #[serde(default, rename = "seconds")]
        delay_seconds: f64,
    },
    /// The counter loses all its counts.
    #[serde(rename = "counter-emptied")]
    CounterCleared,
    /// Cuts all gateways off from the counter: connections are reset, and new ones are refused.
    #[serde(rename = "counter-gone")]
    CounterUnreachable,
    /// Marks backends as draining in the endpoint list; at the end of the fault, new ones in slow start replace them.
    Drain { which: Vec<usize> },
    /// Kills backends; at the end of the fault, new ones in slow start replace them at the same addresses.
    #[serde(rename = "kill-checkers")]
    KillBackends { which: Vec<usize> },
    /// Requests take `factor` times as long at these backends.
    #[serde(rename = "slow-checkers")]
    SlowBackends { which: Vec<usize>, factor: f64 },
    /// Discovery publishes no changes of the endpoint list.
    ListFrozen,
    /// Links are slow, stall, are reset or refuse connections.
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
    /// Multiplies the demand of a plan's customers by `factor`.
    #[serde(rename = "hot")]
    DemandSurge { plan: usize, factor: f64 },
}

/// How a misbehaving counter replies.
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

/// The processes that a link connects.
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

/// What the target numbers of a fault refer to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Target {
    Gateways,
    Backends,
    Plans,
}

impl FaultKind {
    /// Whether the fault affects the membership or the network between gateways, which exist only with `[peers]`.
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

    /// The target numbers of the fault, and what they refer to.
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
