//! Asks the task of a client connection to close it.

use std::cell::Cell;
use tokio::sync::Notify;

/// Asks the task of one connection to close it. The signal is withdrawn when a request arrives on the
/// connection, because that request is served first.
#[derive(Debug, Default)]
pub struct CloseSignal {
    requested: Cell<bool>,
    changed: Notify,
}

impl CloseSignal {
    /// Requests the close.
    pub fn request(&self) {
        self.requested.set(true);
        self.changed.notify_one();
    }

    /// Withdraws the signal.
    pub fn withdraw(&self) {
        self.requested.set(false);
    }

    /// Waits until the close is requested.
    pub async fn requested(&self) {
        while !self.requested.get() {
            self.changed.notified().await;
        }
    }
}
