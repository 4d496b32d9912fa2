//! Injects a scenario's faults into the fleet at their scheduled times.

use crate::fleet::{Fleet, FleetError};
use crate::scenario::{CounterFaultKind, Fault, FaultKind, LinkEnds};
use tokio::sync::watch;
use tokio::time::{Duration, Instant};
use weirusher_fakes::{
    CaptureEvent, CounterFault, Link, LinkFault, NetworkConditions, PeerNetwork, Recorder,
};

/// Milliseconds in a second.
const MS_PER_SECOND: f64 = 1000.0;

/// The beginning or the end of a fault.
struct Step {
    at_seconds: f64,
    fault: usize,
    begins: bool,
}

/// Injects all faults, scheduled relative to `start`. Returns whether every gateway that was stopped exited in time and
/// without error.
///
/// # Errors
/// A gateway or a backend cannot be restarted.
pub(crate) async fn inject(
    fleet: &mut Fleet,
    demand_factors: &watch::Sender<Vec<f64>>,
    start: Instant,
) -> Result<bool, FleetError> {
    let faults = fleet.scenario.faults.clone();
    let mut steps: Vec<Step> = Vec::new();
    for (index, fault) in faults.iter().enumerate() {
        let end_seconds = fault.at_seconds + fault.duration_seconds;
        steps.push(Step { at_seconds: fault.at_seconds, fault: index, begins: true });
        steps.push(Step { at_seconds: end_seconds, fault: index, begins: false });
    }
    steps.sort_by(|a, b| a.at_seconds.total_cmp(&b.at_seconds));
    let mut exited_gracefully = true;
    for step in steps {
        tokio::time::sleep_until(start + Duration::from_secs_f64(step.at_seconds)).await;
        let fault = &faults[step.fault];
        let prefix = if step.begins { "begins:" } else { "over:" };
        let description = format!("{prefix} {:?}", fault.kind);
        fleet.recorder.record(CaptureEvent::Fault { description });
        if fault.kind.needs_membership() {
            inject_between_peers(fleet, fault, step.begins).await?;
        } else if step.begins {
            exited_gracefully &= begin(fleet, &fault.kind, demand_factors).await;
        } else {
            end(fleet, &fault.kind, demand_factors).await?;
        }
    }
    Ok(exited_gracefully)
}

/// Begins a fault. Returns whether the gateways that it stops exited in time and without error.
async fn begin(fleet: &mut Fleet, kind: &FaultKind, demand_factors: &watch::Sender<Vec<f64>>) -> bool {
    match kind {
        FaultKind::KillGateways { which, .. } => fleet.kill_gateways(which).await,
        FaultKind::PauseGateways { which } => which.iter().for_each(|gateway| fleet.pause_gateway(*gateway)),
        FaultKind::StopGateways { which } => return fleet.stop_gateways(which).await,
        FaultKind::Counter { how, delay_seconds } => {
            fleet.counter.set_fault(counter_fault(*how, *delay_seconds));
        }
        FaultKind::CounterCleared => fleet.counter.clear(),
        FaultKind::CounterUnreachable => {
            for gateway in &fleet.gateways {
                gateway.to_counter.update_fault(|link| link.refuse_connections = true);
                gateway.to_counter.reset();
            }
        }
        FaultKind::Drain { which } => {
            which.iter().for_each(|backend| fleet.drain_backend(*backend));
            fleet.publish_endpoints();
        }
        FaultKind::KillBackends { which } => {
            which.iter().for_each(|backend| fleet.kill_backend(*backend));
            fleet.publish_endpoints();
        }
        FaultKind::SlowBackends { which, factor } => set_slowdown(fleet, which, *factor),
        FaultKind::ListFrozen => fleet.discovery.set_frozen(true),
        FaultKind::Link { ends, which, .. } => {
            for number in which {
                record_reachable(fleet, *ends, *number, false);
                if let Some(link) = link(fleet, *ends, *number) {
                    apply_link_fault(link, kind);
                }
            }
        }
        FaultKind::DemandSurge { plan, factor } => demand_factors.send_modify(|f| f[*plan] = *factor),
        _ => unreachable!("faults between gateways are injected by inject_between_peers"),
    }
    true
}

/// Ends a fault.
async fn end(
    fleet: &mut Fleet,
    kind: &FaultKind,
    demand_factors: &watch::Sender<Vec<f64>>,
) -> Result<(), FleetError> {
    match kind {
        FaultKind::KillGateways { which, clock_shift_seconds } => {
            fleet.start_gateways(which, *clock_shift_seconds).await?;
        }
        FaultKind::StopGateways { which } => fleet.start_gateways(which, 0.0).await?,
        FaultKind::PauseGateways { which } => {
            which.iter().for_each(|gateway| fleet.resume_gateway(*gateway));
        }
        FaultKind::Counter { .. } => fleet.counter.set_fault(CounterFault::None),
        FaultKind::CounterCleared => {}
        FaultKind::CounterUnreachable => {
            let links = fleet.gateways.iter().map(|gateway| &gateway.to_counter);
            links.for_each(|link| link.update_fault(|link| link.refuse_connections = false));
        }
        FaultKind::Drain { which } => {
            for backend in which {
                fleet.kill_backend(*backend);
                fleet.start_backend(*backend, true).await?;
            }
            fleet.publish_endpoints();
        }
        FaultKind::KillBackends { which } => {
            for backend in which {
                fleet.start_backend(*backend, true).await?;
            }
            fleet.publish_endpoints();
        }
        FaultKind::SlowBackends { which, .. } => set_slowdown(fleet, which, 1.0),
        FaultKind::ListFrozen => fleet.discovery.set_frozen(false),
        FaultKind::Link { ends, which, .. } => {
            for number in which {
                if let Some(link) = link(fleet, *ends, *number) {
                    link.update_fault(|fault| {
                        *fault = LinkFault { resets: fault.resets, ..LinkFault::default() }
                    });
                }
                record_reachable(fleet, *ends, *number, true);
            }
        }
        FaultKind::DemandSurge { plan, .. } => demand_factors.send_modify(|f| f[*plan] = 1.0),
        _ => unreachable!("faults between gateways are injected by inject_between_peers"),
    }
    Ok(())
}

/// Begins or ends a fault of the membership or of the network between gateways.
async fn inject_between_peers(fleet: &mut Fleet, fault: &Fault, begins: bool) -> Result<(), FleetError> {
    if let FaultKind::DuplicateGateway { which } = &fault.kind {
        for gateway in which {
            if begins {
                fleet.start_duplicate(*gateway).await?;
            } else {
                fleet.kill_duplicate(*gateway).await;
            }
        }
        return Ok(());
    }
    let Some(peers) = &mut fleet.peers else { return Ok(()) };
    let recorder = &fleet.recorder;
    let size = peers.network.addresses.len();
    let pairs = || (0..size).flat_map(move |from| (0..size).map(move |to| (from, to)));
    match &fault.kind {
        kind @ FaultKind::PeerConditions { .. } => {
            let conditions = if begins { conditions(kind) } else { NetworkConditions::default() };
            peers.network.set_conditions(conditions);
        }
        FaultKind::PeerPartition { groups, stripes } => {
            let count = if begins { (*groups).max(1) } else { 1 };
            let group = |gateway: usize| if *stripes { gateway * count / size } else { gateway % count };
            let groups: Vec<usize> = (0..size).map(group).collect();
            peers.network.partition(groups.clone());
            recorder.record(CaptureEvent::NetworkPartitioned { groups });
        }
        FaultKind::PeerBlock { from, to } => {
            let listed = from.iter().flat_map(|from| to.iter().map(move |to| (*from, *to)));
            let blocked = listed.filter(|(from, to)| from != to);
            set_blocked(&peers.network, recorder, blocked, begins);
        }
        FaultKind::PeerRing => {
            let blocked = pairs().filter(|(from, to)| from != to && *from != (to + 1) % size);
            set_blocked(&peers.network, recorder, blocked, begins);
        }
        FaultKind::PeerFlood { from, to, per_second, flood } if begins => {
            peers.network.flood(*from, *to, *per_second, fault.duration_seconds, *flood);
        }
        // A flood ends by itself, after the duration given at its start.
        _ => {}
    }
    Ok(())
}

/// Network conditions of a `PeerConditions` fault.
fn conditions(kind: &FaultKind) -> NetworkConditions {
    let FaultKind::PeerConditions {
        loss_probability,
        duplicate_probability,
        delay_ms: [min_delay, max_delay],
        replay_probability,
        replay_after_seconds,
    } = kind
    else {
        return NetworkConditions::default();
    };
    NetworkConditions {
        loss_probability: *loss_probability,
        duplicate_probability: *duplicate_probability,
        delay_seconds: min_delay / MS_PER_SECOND..=max_delay / MS_PER_SECOND,
        replay_probability: *replay_probability,
        replay_after_seconds: *replay_after_seconds,
    }
}

/// Blocks or unblocks directions between gateways, given as (from, to).
fn set_blocked(
    network: &PeerNetwork,
    recorder: &Recorder,
    directions: impl Iterator<Item = (usize, usize)>,
    blocked: bool,
) {
    for (from, to) in directions {
        network.set_blocked(from, to, blocked);
        recorder.record(CaptureEvent::DirectionBlocked { from, to, blocked });
    }
}

fn counter_fault(kind: CounterFaultKind, delay_seconds: f64) -> CounterFault {
    match kind {
        CounterFaultKind::Silent => CounterFault::Silent,
        CounterFaultKind::PartialReply => CounterFault::PartialReply,
        CounterFaultKind::ConnectionReset => CounterFault::ConnectionClosed,
        CounterFaultKind::WrongType => CounterFault::WrongType,
        CounterFaultKind::Delayed => CounterFault::Delayed(delay_seconds),
    }
}

fn set_slowdown(fleet: &Fleet, which: &[usize], factor: f64) {
    let processes = which.iter().filter_map(|backend| fleet.backends[*backend].process.as_ref());
    processes.for_each(|process| process.slow_down(factor));
}

fn link(fleet: &Fleet, ends: LinkEnds, number: usize) -> Option<&Link> {
    let gateway = fleet.gateways.get(number);
    match ends {
        LinkEnds::LoadGeneratorGateway => gateway.map(|gateway| &gateway.front),
        LinkEnds::GatewayCounter => gateway.map(|gateway| &gateway.to_counter),
        LinkEnds::GatewayDiscovery => gateway.map(|gateway| &gateway.to_discovery),
        LinkEnds::LoadGeneratorBackend => fleet.backends.get(number).map(|backend| &backend.front),
    }
}

fn record_reachable(fleet: &Fleet, ends: LinkEnds, gateway: usize, reachable: bool) {
    if ends == LinkEnds::LoadGeneratorGateway {
        fleet.recorder.record(CaptureEvent::GatewayReachable { gateway, reachable });
    }
}

fn apply_link_fault(link: &Link, kind: &FaultKind) {
    let FaultKind::Link {
        delay_ms,
        stall_to_target,
        stall_from_target,
        refuse_connections,
        reset,
        bytes_per_second,
        ..
    } = kind
    else {
        return;
    };
    link.update_fault(|fault| {
        fault.delay_seconds = delay_ms / MS_PER_SECOND;
        (fault.stall_to_target, fault.stall_from_target) = (*stall_to_target, *stall_from_target);
        (fault.refuse_connections, fault.bytes_per_second) = (*refuse_connections, *bytes_per_second);
    });
    if *reset {
        link.reset();
    }
}
