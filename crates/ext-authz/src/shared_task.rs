//! Tasks that all requests depend on. A panic of one stops the gateway in order: without it the others would go on half dead.

use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinHandle};
use weirusher_panics::Panicked;

/// Spawns the tasks, ends them, and learns of the panic of one.
#[derive(Clone, Default)]
pub struct SharedTasks {
    failed: watch::Sender<bool>,
    handles: Arc<Mutex<Vec<AbortHandle>>>,
}

impl SharedTasks {
    /// No task yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Spawns a task.
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

    /// Ends all tasks.
    pub fn abort(&self) {
        self.handles.lock().unwrap_or_else(PoisonError::into_inner).iter().for_each(AbortHandle::abort);
    }

    /// Waits until a task has panicked.
    pub async fn failed(&self) {
        let _ = self.failed.subscribe().wait_for(|failed| *failed).await; // The sender is this value's own, and lives.
    }
}
