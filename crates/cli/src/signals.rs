//! The signals that stop a process.

use tokio::signal::unix::{SignalKind, signal};

/// Waits for SIGINT or SIGTERM; for ever where they cannot be watched.
pub async fn stop_requested() {
    let (Ok(mut interrupt), Ok(mut terminate)) =
        (signal(SignalKind::interrupt()), signal(SignalKind::terminate()))
    else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
}
