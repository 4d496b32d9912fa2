//! Tasks that all requests depend on. If one panics, the gateway is shut down gracefully: it cannot serve
//! requests without that task, but the other tasks would keep running.

use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinHandle};
use weirusher_panics::Panicked;

/// Spawns tasks, aborts them, and reports when one has panicked.
#[derive(Clone, Default)]
pub struct SharedTasks {
    failed: watch::Sender<bool>,
    handles: Arc<Mutex<Vec<AbortHandle>>>,
}

impl SharedTasks {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Spawns a task. `name` identifies it in the log.
    pub fn spawn(
        &self,
        name: &'static str,
        task: impl Future<Output = ()> + Send + 'static,
    ) -> JoinHandle<()> {
        let failed = self.failed.clone();
        let task = tokio::spawn(async move {
            if weirusher_panics::catch(task).await == Err(Panicked) {
                tracing::error!(task = name, "a task that all requests depend on has panicked");
                failed.send_replace(true);
            }
        });
        self.handles.lock().unwrap_or_else(PoisonError::into_inner).push(task.abort_handle());
        task
    }

    /// Aborts all tasks.
    pub fn abort(&self) {
        self.handles.lock().unwrap_or_else(PoisonError::into_inner).iter().for_each(AbortHandle::abort);
    }

    /// Waits until a task has panicked.
    pub async fn failed(&self) {
        // Never an error: `self` keeps the sender alive.
        let _ = self.failed.subscribe().wait_for(|failed| *failed).await;
    }
}
