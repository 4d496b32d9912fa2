//! Series of signals: reloads of files that cannot be used, and shutdowns amid and after them.

use super::INVALID_CONFIGS;
use crate::node::{Node, UnusableConfig};
use nix::sys::signal::Signal;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Most reloads of a series, and the longest pause between two, in milliseconds.
const MAX_RELOADS: usize = 6;
const MAX_PAUSE_MILLIS: u64 = 30;
/// The second process of a series is stopped within so many milliseconds of its start.
const EARLY_STOP_MILLIS: u64 = 1000;

/// Sends a series of signals. At its end the node has a new process, with a valid configuration.
///
/// # Errors
/// A configuration cannot be written, or a process does not start.
pub(super) async fn send_series(node: &Arc<Node>, rng: &mut fastrand::Rng) -> io::Result<()> {
    for _ in 0..rng.usize(1..=MAX_RELOADS) {
        if rng.u8(0..3) == 0 {
            node.restore_config()?;
        } else {
            node.replace_config(draw_config(rng))?;
        }
        node.signal(Signal::SIGHUP);
        sleep(Duration::from_millis(rng.u64(0..=MAX_PAUSE_MILLIS))).await;
    }
    tokio::join!(node.stop(), disturb_shutdown(node, rng));
    node.start().await?;
    if rng.bool() {
        sleep(Duration::from_millis(rng.u64(0..EARLY_STOP_MILLIS))).await;
        node.stop().await;
        node.start().await?;
    }
    Ok(())
}

fn draw_config(rng: &mut fastrand::Rng) -> UnusableConfig {
    match rng.u8(0..4) {
        0 => UnusableConfig::Missing,
        1 => UnusableConfig::Directory,
        2 => UnusableConfig::UnreadPipe,
        _ => UnusableConfig::Text(INVALID_CONFIGS[rng.usize(0..INVALID_CONFIGS.len())]),
    }
}

/// Further signals during a shutdown: the second SIGTERM, a reload, a pause as long as the platform may cause.
async fn disturb_shutdown(node: &Node, rng: &mut fastrand::Rng) {
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
