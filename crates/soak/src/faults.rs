//! Injection of the faults of a plan.

mod crowd;
mod signals;

use crate::backend::Health;
use crate::fleet::Fleet;
use crate::node::Node;
use crate::plan::{FaultKind, PlannedFault};
use crate::record::BackendRestart;
use nix::sys::signal::Signal;
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{Instant, sleep};
use weirusher_fakes::Link;
use weirusher_fault_shim::{Action, Call, Errno, Fault};

/// The longest pause or delay of a process.
const MAX_PAUSE: Duration = Duration::from_millis(150);
/// The longest time for which `accept` fails.
const MAX_ACCEPT_FAULT: Duration = Duration::from_millis(250);
/// The longest time for which any other system call fails.
const MAX_SYSTEM_CALL_FAULT: Duration = Duration::from_secs(2);
/// The minimum duration of a drain; the duration of the fault is added to it.
const MIN_DRAIN: Duration = Duration::from_millis(800);
/// The time from the removal of a drained backend from the endpoint list to its restart.
const BACKEND_RESTART_DELAY: Duration = Duration::from_millis(500);
/// Offsets by which the wall clock is stepped, in seconds.
const CLOCK_STEPS_SECONDS: [i64; 4] = [-3600, -5, 5, 3600];
const NANOS_PER_SECOND: i64 = 1_000_000_000;
/// Texts of invalid configuration files.
const INVALID_CONFIGS: [&str; 4] = ["", "{", "[]", r#"{"name":"n0","listen":"x"}"#];

/// Waits until a fault is due and injects it; returns once the fault has ended.
///
/// # Errors
/// A process does not start, or a configuration cannot be written.
pub async fn inject(fleet: Arc<Fleet>, fault: PlannedFault) -> io::Result<()> {
    sleep(fault.at).await;
    let mut rng = fastrand::Rng::with_seed(fault.seed);
    let node = fleet.nodes[rng.usize(0..fleet.nodes.len())].clone();
    let backend = rng.usize(0..fleet.backends.len());
    match fault.kind {
        FaultKind::Restart
        | FaultKind::Crash
        | FaultKind::Reload
        | FaultKind::InvalidReload
        | FaultKind::SignalSeries => {
            // A node has one of these faults at a time; further ones are skipped.
            let Ok(_lock) = node.signal_lock.try_lock() else { return Ok(()) };
            fleet.recorder.count_fault(fault.kind.name());
            return signal_node(&node, fault, &mut rng).await;
        }
        FaultKind::DrainBackend => {
            drain_and_restart(&fleet, backend, fault).await;
            return Ok(());
        }
        _ => {}
    }
    fleet.recorder.count_fault(fault.kind.name());
    match fault.kind {
        FaultKind::SickBackend => set_health_for(&fleet, backend, Health::Faulty, fault.duration * 2).await,
        FaultKind::HungBackend => set_health_for(&fleet, backend, Health::Hung, fault.duration * 2).await,
        FaultKind::DownBackend => set_health_for(&fleet, backend, Health::Down, fault.duration).await,
        FaultKind::SlowCounter => {
            fleet.slow_counter.store(true, Ordering::Relaxed);
            sleep(fault.duration).await;
            fleet.slow_counter.store(false, Ordering::Relaxed);
        }
        FaultKind::SilentDiscovery => node.silence_discovery(fault.duration).await,
        FaultKind::ResetDiscovery => node.discovery.iter().for_each(Link::reset),
        FaultKind::Crowd => crowd::open_connections(&node, fault.duration, &mut rng).await,
        FaultKind::CounterUnreachable => disconnect_counter(&node, fault.duration).await,
        _ => inject_in_process(&node, fault, &mut rng).await,
    }
    Ok(())
}

/// Injects a fault that signals the process of a node.
async fn signal_node(node: &Arc<Node>, fault: PlannedFault, rng: &mut fastrand::Rng) -> io::Result<()> {
    match fault.kind {
        FaultKind::Restart => {
            // One in four restarts has a reload of an invalid configuration just before the shutdown.
            if rng.u8(0..4) == 0 {
                node.reload_invalid(INVALID_CONFIGS[rng.usize(0..INVALID_CONFIGS.len())])?;
            }
            node.restart().await
        }
        FaultKind::Crash => node.crash().await,
        FaultKind::Reload => node.reload().await,
        FaultKind::SignalSeries => signals::send_series(node, rng).await,
        _ => {
            node.reload_invalid(INVALID_CONFIGS[rng.usize(0..INVALID_CONFIGS.len())])?;
            sleep(fault.duration).await;
            node.restore_config()
        }
    }
}

/// Injects a fault of the scheduling, the clock or the system calls of a process.
async fn inject_in_process(node: &Node, fault: PlannedFault, rng: &mut fastrand::Rng) {
    match fault.kind {
        FaultKind::Pause => {
            let pause = MAX_PAUSE.mul_f64(0.2 + 0.7 * rng.f64());
            if node.signal(Signal::SIGSTOP) {
                sleep(pause).await;
                node.signal(Signal::SIGCONT);
            }
        }
        FaultKind::SystemCall => fail_system_call(node, fault.duration, rng).await,
        FaultKind::ShortTransfers => {
            let bytes = 1 << rng.usize(0..7);
            let short = |call| Fault::new(call, Action::Short(bytes));
            let (send, receive) = (short(Call::Send), short(Call::Receive));
            tokio::join!(inject_for(node, send, fault.duration), inject_for(node, receive, fault.duration));
        }
        FaultKind::ProcessingDelay => {
            let delay = Fault::new(Call::Clock, Action::Delay(MAX_PAUSE)).times(1).skip(rng.u32(0..60));
            inject_for(node, delay, fault.duration).await;
        }
        FaultKind::ClockStep => {
            let seconds = CLOCK_STEPS_SECONDS[rng.usize(0..CLOCK_STEPS_SECONDS.len())];
            node.shim.set_clock_offset(seconds * NANOS_PER_SECOND);
            sleep(fault.duration).await;
            node.shim.set_clock_offset(0);
        }
        other => unreachable!("{other:?} is not a fault within a process"),
    }
}

/// Makes a random system call fail, for the given time or for up to three calls within it.
async fn fail_system_call(node: &Node, duration: Duration, rng: &mut fastrand::Rng) {
    let (call, errno) = draw_system_call(rng);
    let max_duration = if call == Call::Accept { MAX_ACCEPT_FAULT } else { MAX_SYSTEM_CALL_FAULT };
    // The number of interrupted waits is always limited: a process whose every wait is interrupted makes no
    // progress, which would not be a temporary fault.
    let is_limited = call == Call::EpollWait || rng.bool();
    let times = is_limited.then(|| rng.u32(1..4));
    let injected_at = Instant::now();
    inject_for(node, Fault { times, ..Fault::new(call, Action::Fail(errno)) }, duration.min(max_duration))
        .await;
    if matches!(call, Call::Connect | Call::Socket) {
        node.record_outage(injected_at);
    }
}

/// Chooses a system call at random, with an error that it may return temporarily.
fn draw_system_call(rng: &mut fastrand::Rng) -> (Call, Errno) {
    const CALLS: [(Call, Errno); 13] = [
        (Call::Accept, Errno::ECONNABORTED),
        (Call::Accept, Errno::EINTR),
        (Call::Accept, Errno::EMFILE),
        (Call::Accept, Errno::ENFILE),
        (Call::Accept, Errno::ENOBUFS),
        (Call::Socket, Errno::ENFILE),
        (Call::Socket, Errno::ENOBUFS),
        (Call::Connect, Errno::EADDRNOTAVAIL),
        (Call::Connect, Errno::ENETUNREACH),
        (Call::Connect, Errno::EHOSTUNREACH),
        (Call::Connect, Errno::ETIMEDOUT),
        (Call::Connect, Errno::EINTR),
        (Call::EpollWait, Errno::EINTR),
    ];
    CALLS[rng.usize(0..CALLS.len())]
}

/// Injects a fault into the process of a node for `duration`.
async fn inject_for(node: &Node, fault: Fault, duration: Duration) {
    let injected = node.shim.inject(fault);
    sleep(duration).await;
    node.shim.end(injected);
}

/// Stalls the traffic between a node and the counter in both directions for `duration`, and then resets the
/// connections.
async fn disconnect_counter(node: &Node, duration: Duration) {
    for link in &node.counter {
        link.update_fault(|fault| (fault.stall_to_target, fault.stall_from_target) = (true, true));
    }
    sleep(duration).await;
    for link in &node.counter {
        link.update_fault(|fault| (fault.stall_to_target, fault.stall_from_target) = (false, false));
        link.reset();
    }
}

/// Changes the health of a backend for `duration`.
async fn set_health_for(fleet: &Fleet, backend: usize, health: Health, duration: Duration) {
    fleet.backends[backend].set_health(health).await;
    sleep(duration).await;
    fleet.backends[backend].set_health(Health::Healthy).await;
}

/// Drains a backend, removes it from the endpoint list, and lists it again as restarted. Does nothing if the
/// backend cannot be drained.
async fn drain_and_restart(fleet: &Fleet, backend: usize, fault: PlannedFault) {
    if !fleet.drain_backend(backend) {
        return;
    }
    fleet.recorder.count_fault(fault.kind.name());
    sleep(MIN_DRAIN + fault.duration).await;
    fleet.change_endpoints(|endpoints| endpoints.remove(backend));
    sleep(BACKEND_RESTART_DELAY).await;
    let restart = BackendRestart { backend, at: Instant::now() };
    fleet.recorder.with(|records| records.backend_restarts.push(restart));
    fleet.change_endpoints(|endpoints| endpoints.restart(backend));
}
