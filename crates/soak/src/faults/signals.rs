//! The `signal_series` fault: reloads of configurations that are often unusable, then a shutdown that is
//! disturbed by further signals, and sometimes a second shutdown early in the life of the next process.

use super::INVALID_CONFIGS;
use crate::node::{Node, UnusableConfig};
use nix::sys::signal::Signal;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// The maximum number of reloads in a series.
const MAX_RELOADS: usize = 6;
/// The longest pause after each reload, in milliseconds.
const MAX_PAUSE_MILLIS: u64 = 30;
/// In half of the series the next process is stopped too, within this many milliseconds of its start.
const EARLY_STOP_MILLIS: u64 = 1000;

/// Sends a series of signals. Afterwards the node runs a new process with a valid configuration.
///
/// # Errors
/// A configuration cannot be written, or a process does not start.
pub(super) async fn send_series(node: &Arc<Node>, rng: &mut fastrand::Rng) -> io::Result<()> {
    for _ in 0..rng.usize(1..=MAX_RELOADS) {
        if rng.u8(0..3) == 0 {
            node.restore_config()?;
        } else {
            node.replace_config(draw_unusable_config(rng))?;
        }
        node.signal(Signal::SIGHUP);
        sleep(Duration::from_millis(rng.u64(0..=MAX_PAUSE_MILLIS))).await;
    }
    tokio::join!(node.stop(), signal_during_shutdown(node, rng));
    node.start().await?;
    if rng.bool() {
        sleep(Duration::from_millis(rng.u64(0..EARLY_STOP_MILLIS))).await;
        node.stop().await;
        node.start().await?;
    }
    Ok(())
}

/// Chooses an unusable configuration at random.
fn draw_unusable_config(rng: &mut fastrand::Rng) -> UnusableConfig {
    match rng.u8(0..4) {
        0 => UnusableConfig::Missing,
        1 => UnusableConfig::Directory,
        2 => UnusableConfig::UnreadPipe,
        _ => UnusableConfig::Text(INVALID_CONFIGS[rng.usize(0..INVALID_CONFIGS.len())]),
    }
}

/// Sends up to three signals during a shutdown: a second SIGTERM, a reload, or a pause of no more than the
/// platform may cause ([`MAX_PAUSE`](super::MAX_PAUSE)).
async fn signal_during_shutdown(node: &Node, rng: &mut fastrand::Rng) {
    for _ in 0..rng.usize(0..=3) {
        sleep(Duration::from_millis(rng.u64(0..400))).await;
        match rng.u8(0..3) {
            0 => drop(node.signal(Signal::SIGTERM)),
            1 => drop(node.signal(Signal::SIGHUP)),
            _ => {
                if node.signal(Signal::SIGSTOP) {
                    sleep(super::MAX_PAUSE.mul_f64(0.2 + 0.7 * rng.f64())).await;
                    node.signal(Signal::SIGCONT);
                }
            }
        }
    }
}
