//! Injects the faults of a plan.

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

/// The longest that a process is paused.
const MAX_PAUSE: Duration = Duration::from_millis(150);
/// The longest that `accept` fails.
const MAX_ACCEPT_FAULT: Duration = Duration::from_millis(250);
/// The longest that another system call fails.
const MAX_CALL_FAULT: Duration = Duration::from_secs(2);
/// A drain lasts so much longer than the plan says.
const MIN_DRAIN: Duration = Duration::from_millis(800);
/// From a drained backend's removal from the list to its restart.
const BACKEND_RESTART_DELAY: Duration = Duration::from_millis(500);
/// Steps of the wall clock, in seconds.
const CLOCK_STEPS: [i64; 4] = [-3600, -5, 5, 3600];
const NANOS_PER_SECOND: i64 = 1_000_000_000;
/// Files that are no valid configuration.
const INVALID_CONFIGS: [&str; 4] = ["", "{", "[]", r#"{"name":"n0","listen":"x"}"#];

/// Waits until a fault is due and injects it; returns once it has ended.
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
            // One at a time for each node.
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
        FaultKind::SickBackend => degrade(&fleet, backend, Health::Sick, fault.duration * 2).await,
        FaultKind::HungBackend => degrade(&fleet, backend, Health::Hung, fault.duration * 2).await,
        FaultKind::DownBackend => degrade(&fleet, backend, Health::Down, fault.duration).await,
        FaultKind::SlowCounter => {
            fleet.slow_counter.store(true, Ordering::Relaxed);
            sleep(fault.duration).await;
            fleet.slow_counter.store(false, Ordering::Relaxed);
        }
        FaultKind::SilentDiscovery => node.silence_discovery(fault.duration).await,
        FaultKind::ResetDiscovery => node.discovery.iter().for_each(Link::reset),
        FaultKind::Crowd => crowd::gather(&node, fault.duration, &mut rng).await,
        FaultKind::CounterUnreachable => disconnect_counter(&node, fault.duration).await,
        _ => inject_in_process(&node, fault, &mut rng).await,
    }
    Ok(())
}

/// Sends a signal to a node's process.
async fn signal_node(node: &Arc<Node>, fault: PlannedFault, rng: &mut fastrand::Rng) -> io::Result<()> {
    match fault.kind {
        FaultKind::Restart => {
            // An invalid configuration just before the shutdown, now and then.
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

/// Faults of a process's clock, scheduling and system calls.
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
            let seconds = CLOCK_STEPS[rng.usize(0..CLOCK_STEPS.len())];
            node.shim.set_clock_offset(seconds * NANOS_PER_SECOND);
            sleep(fault.duration).await;
            node.shim.set_clock_offset(0);
        }
        other => unreachable!("{other:?} is no fault within a process"),
    }
}

/// A system call fails, a few times or for a while.
async fn fail_system_call(node: &Node, duration: Duration, rng: &mut fastrand::Rng) {
    let (call, errno) = draw_system_call(rng);
    let longest = if call == Call::Accept { MAX_ACCEPT_FAULT } else { MAX_CALL_FAULT };
    // A process whose every wait is interrupted makes no progress: that is no temporary fault.
    let is_limited = call == Call::Wait || rng.bool();
    let times = is_limited.then(|| rng.u32(1..4));
    let injected_at = Instant::now();
    inject_for(node, Fault { times, ..Fault::new(call, Action::Fail(errno)) }, duration.min(longest)).await;
    if matches!(call, Call::Connect | Call::Socket) {
        node.record_outage(injected_at);
    }
}

/// A system call that may fail temporarily, and how.
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
        (Call::Wait, Errno::EINTR),
    ];
    CALLS[rng.usize(0..CALLS.len())]
}

async fn inject_for(node: &Node, fault: Fault, duration: Duration) {
    let injected = node.shim.inject(fault);
    sleep(duration).await;
    node.shim.end(injected);
}

/// The counter receives and answers nothing from a node for a while; then the connections are reset.
async fn disconnect_counter(node: &Node, duration: Duration) {
    for link in &node.counter {
        link.set(|fault| (fault.stall_to_target, fault.stall_from_target) = (true, true));
    }
    sleep(duration).await;
    for link in &node.counter {
        link.set(|fault| (fault.stall_to_target, fault.stall_from_target) = (false, false));
        link.reset();
    }
}

async fn degrade(fleet: &Fleet, backend: usize, health: Health, duration: Duration) {
    fleet.backends[backend].set_health(health).await;
    sleep(duration).await;
    fleet.backends[backend].set_health(Health::Healthy).await;
}

/// A backend is drained, removed from the list, and listed again as just started.
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
