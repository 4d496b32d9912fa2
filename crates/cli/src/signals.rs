//! The signals that stop a process.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Watches SIGINT and SIGTERM from the moment it is made, so that no signal after that is lost or ends the process.
pub struct StopSignals {
    /// `None` where signals cannot be watched.
    watched: Option<(Signal, Signal)>,
}

impl StopSignals {
    /// Starts to watch, which takes a tokio runtime.
    pub fn new() -> Self {
        let signals = (signal(SignalKind::interrupt()), signal(SignalKind::terminate()));
        let watched = match signals {
            (Ok(interrupt), Ok(terminate)) => Some((interrupt, terminate)),
            (Err(_), _) | (_, Err(_)) => None,
        };
        Self { watched }
    }

    /// Waits for a signal; for ever where they cannot be watched.
    pub async fn received(mut self) {
        let Some((interrupt, terminate)) = &mut self.watched else {
            return std::future::pending().await;
        };
        tokio::select! {
            _ = interrupt.recv() => {}
            _ = terminate.recv() => {}
        }
    }
}
