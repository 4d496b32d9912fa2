//! The signals on which a command shuts down.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// A listener for SIGINT and SIGTERM. From its creation on, the signals no longer terminate the process, and one that
/// arrives before [`StopSignals::received`] is awaited is not lost.
pub struct StopSignals {
    /// `None` if the signal handlers could not be installed.
    listeners: Option<(Signal, Signal)>,
}

impl StopSignals {
    /// Installs the signal handlers. Must be called within a tokio runtime.
    pub fn new() -> Self {
        let signals = (signal(SignalKind::interrupt()), signal(SignalKind::terminate()));
        let listeners = match signals {
            (Ok(interrupt), Ok(terminate)) => Some((interrupt, terminate)),
            (Err(_), _) | (_, Err(_)) => None,
        };
        Self { listeners }
    }

    /// Waits for a signal. Never returns if the signal handlers could not be installed.
    pub async fn received(mut self) {
        let Some((interrupt, terminate)) = &mut self.listeners else {
            return std::future::pending().await;
        };
        tokio::select! {
            _ = interrupt.recv() => {}
            _ = terminate.recv() => {}
        }
    }
}
