//! Asks the task of a client connection to close it. No request of a client is meant here.

use std::cell::Cell;
use tokio::sync::Notify;

/// Asks one task to close its connection. The request is withdrawn when a client request arrives on the connection, which
/// is served first.
#[derive(Debug, Default)]
pub struct CloseRequest {
    requested: Cell<bool>,
    changed: Notify,
}

impl CloseRequest {
    /// Asks for the close.
    pub fn request(&self) {
        self.requested.set(true);
        self.changed.notify_one();
    }

    /// Withdraws the request.
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
