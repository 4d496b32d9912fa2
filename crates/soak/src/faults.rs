//! Carries out the faults of a plan.

use crate::backend::Health;
use crate::fleet::Fleet;
use crate::node::Node;
use crate::plan::{Kind, Planned};
use crate::record::Start;
use nix::sys::signal::Signal;
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{Instant, sleep};
use weirusher_fault_shim::{Action, Call, Errno, Fault};

/// The longest that a process is held up.
const HELD_UP: Duration = Duration::from_millis(150);
/// The longest that no connection can be accepted: a fault of a moment.
const ACCEPT_FAULT: Duration = Duration::from_millis(250);
const NANOS: i64 = 1_000_000_000;
/// Files that are no configuration.
const BAD_FILES: [&str; 4] = ["", "{", "[]", r#"{"name":"n0","listen":"x"}"#];

/// A fault that is carried out on a fleet.
pub async fn play(fleet: Arc<Fleet>, fault: Planned) -> io::Result<()> {
    sleep(fault.at).await;
    let mut rng = fastrand::Rng::with_seed(fault.draw);
    let node = fleet.nodes[rng.usize(0..fleet.nodes.len())].clone();
    let backend = rng.usize(0..fleet.backends.len());
    match fault.kind {
        Kind::Restart | Kind::Crash | Kind::Reload | Kind::BadReload => {
            // One at a time for each process.
            let Ok(_busy) = node.busy.try_lock() else { return Ok(()) };
            fleet.recorder.fault(fault.kind.name());
            return signalled(&node, fault, &mut rng).await;
        }
        Kind::DrainBackend => return drain(&fleet, backend, fault).await,
        _ => {}
    }
    fleet.recorder.fault(fault.kind.name());
    match fault.kind {
        Kind::Pause => {
            let held_up = HELD_UP.mul_f64(0.2 + 0.7 * rng.f64());
            if node.signal(Signal::SIGSTOP) {
                sleep(held_up).await;
                node.signal(Signal::SIGCONT);
            }
        }
        Kind::SilentDiscovery => node.silence(fault.lasts).await,
        Kind::ResetDiscovery => node.discovery.iter().for_each(|link| link.reset()),
        Kind::CutCounter => {
            for link in &node.counter {
                link.set(|fault| (fault.stall_to_target, fault.stall_from_target) = (true, true));
            }
            sleep(fault.lasts).await;
            for link in &node.counter {
                link.set(|fault| (fault.stall_to_target, fault.stall_from_target) = (false, false));
                link.reset();
            }
        }
        Kind::SlowCounter => {
            fleet.slow_counter.store(true, Ordering::Relaxed);
            sleep(fault.lasts).await;
            fleet.slow_counter.store(false, Ordering::Relaxed);
        }
        Kind::SickBackend => ill(&fleet, backend, Health::Sick, fault.lasts * 2).await,
        Kind::HungBackend => ill(&fleet, backend, Health::Hung, fault.lasts * 2).await,
        Kind::DownBackend => ill(&fleet, backend, Health::Down, fault.lasts).await,
        Kind::SystemCall => {
            let (call, errno, most) = system_call(&mut rng);
            // A wait that is always interrupted tells of nothing: that is no fault of a moment.
            let few = call == Call::Wait || rng.bool();
            let times = few.then(|| rng.u32(1..4));
            let wanted = Fault { times, ..Fault::new(call, Action::Fail(errno)) };
            let began = Instant::now();
            hold(&node, wanted, fault.lasts.min(most)).await;
            if matches!(call, Call::Connect | Call::Socket) {
                node.was_cut_off(began);
            }
        }
        Kind::ShortTransfers => {
            let bytes = 1 << rng.usize(0..7);
            let short = |call| Fault::new(call, Action::Short(bytes));
            let (send, receive) = (short(Call::Send), short(Call::Receive));
            tokio::join!(hold(&node, send, fault.lasts), hold(&node, receive, fault.lasts));
        }
        Kind::HeldUp => {
            let wanted = Fault::new(Call::Clock, Action::Delay(HELD_UP)).times(1).skip(rng.u32(0..60));
            hold(&node, wanted, fault.lasts).await;
        }
        Kind::ClockStep => {
            let seconds = [-3600, -5, 5, 3600][rng.usize(0..4)];
            node.shim.set_clock_offset(seconds * NANOS);
            sleep(fault.lasts).await;
            node.shim.set_clock_offset(0);
        }
        Kind::Restart | Kind::Crash | Kind::Reload | Kind::BadReload | Kind::DrainBackend => {}
    }
    Ok(())
}

async fn signalled(node: &Arc<Node>, fault: Planned, rng: &mut fastrand::Rng) -> io::Result<()> {
    match fault.kind {
        Kind::Restart => {
            if rng.u8(0..4) == 0 {
                // A configuration that comes just before.
                node.bad_reload(BAD_FILES[rng.usize(0..BAD_FILES.len())])?;
            }
            node.restart().await
        }
        Kind::Crash => node.crash().await,
        Kind::Reload => node.reload().await,
        _ => {
            node.bad_reload(BAD_FILES[rng.usize(0..BAD_FILES.len())])?;
            sleep(fault.lasts).await;
            node.mend_config()
        }
    }
}

/// A call that may fail for a moment, how, and how long that may last.
fn system_call(rng: &mut fastrand::Rng) -> (Call, Errno, Duration) {
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
    let (call, errno) = CALLS[rng.usize(0..CALLS.len())];
    let most = if call == Call::Accept { ACCEPT_FAULT } else { Duration::from_secs(2) };
    (call, errno, most)
}

async fn hold(node: &Node, fault: Fault, lasts: Duration) {
    let injected = node.shim.inject(fault);
    sleep(lasts).await;
    node.shim.end(injected);
}

async fn ill(fleet: &Fleet, backend: usize, health: Health, lasts: Duration) {
    fleet.backends[backend].set(health).await;
    sleep(lasts).await;
    fleet.backends[backend].set(Health::Well).await;
}

/// A backend is told to leave, is gone from the list, and comes back as one that has just started.
async fn drain(fleet: &Fleet, backend: usize, fault: Planned) -> io::Result<()> {
    if !fleet.list(|listed| listed.leave(backend)) {
        return Ok(());
    }
    fleet.recorder.fault(fault.kind.name());
    sleep(Duration::from_millis(800) + fault.lasts).await;
    fleet.list(|listed| listed.gone(backend));
    sleep(Duration::from_millis(500)).await;
    let start = Start { backend, at: Instant::now() };
    fleet.recorder.with(|records| records.starts.push(start));
    fleet.list(|listed| listed.join(backend));
    Ok(())
}
