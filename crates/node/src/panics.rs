//! Isolation of panics. A panic in the task of a connection or an attempt ends only the current message or
//! attempt. A panic in a task that all requests depend on, or during a change of the shared state, shuts the
//! node down gracefully.

use crate::context::{NodeContext, NodeState};
use std::cell::{Cell, Ref, RefCell, RefMut};
use std::ops::{Deref, DerefMut};
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::task::{JoinHandle, spawn_local};
use weirusher_panics::Panicked;

/// Spawns a task that all requests depend on. If it panics, the node shuts down.
pub fn spawn_shared(
    node: &Rc<NodeContext>,
    name: &'static str,
    task: impl Future<Output = ()> + 'static,
) -> JoinHandle<()> {
    let node = node.clone();
    spawn_local(async move {
        if weirusher_panics::catch(task).await == Err(Panicked) {
            tracing::error!(task = name, "a task that all requests depend on has panicked; shutting down");
            node.failure.raise();
        }
    })
}

/// A flag that shuts the node down after a panic that may have corrupted state shared by all requests.
#[derive(Debug, Default)]
pub struct Failure {
    raised: Cell<bool>,
    changed: Notify,
}

impl Failure {
    /// Requests the shutdown.
    pub fn raise(&self) {
        self.raised.set(true);
        self.changed.notify_one();
    }

    /// Whether the flag was raised.
    pub fn is_raised(&self) -> bool {
        self.raised.get()
    }

    /// Waits until the flag is raised.
    pub async fn wait(&self) {
        while !self.raised.get() {
            self.changed.notified().await;
        }
    }
}

/// The state that all tasks share. A panic while it is mutably borrowed may leave it inconsistent, and
/// therefore raises the node's [`Failure`].
pub struct SharedState {
    state: RefCell<NodeState>,
    failure: Rc<Failure>,
}

impl SharedState {
    /// Wraps `state`. A panic during a mutable borrow raises `failure`.
    pub fn new(state: NodeState, failure: Rc<Failure>) -> Self {
        Self { state: RefCell::new(state), failure }
    }

    /// Borrows the state immutably.
    pub fn borrow(&self) -> Ref<'_, NodeState> {
        self.state.borrow()
    }

    /// Borrows the state mutably.
    pub fn borrow_mut(&self) -> StateGuard<'_> {
        let was_panicking = std::thread::panicking();
        StateGuard { state: self.state.borrow_mut(), failure: &self.failure, was_panicking }
    }
}

/// A mutable borrow of the state.
pub struct StateGuard<'a> {
    state: RefMut<'a, NodeState>,
    failure: &'a Failure,
    /// Whether a destructor took the borrow while a panic was already unwinding. That panic did not start
    /// under this borrow, and must not raise the failure.
    was_panicking: bool,
}

impl Deref for StateGuard<'_> {
    type Target = NodeState;

    fn deref(&self) -> &NodeState {
        &self.state
    }
}

impl DerefMut for StateGuard<'_> {
    fn deref_mut(&mut self) -> &mut NodeState {
        &mut self.state
    }
}

impl Drop for StateGuard<'_> {
    fn drop(&mut self) {
        if std::thread::panicking() && !self.was_panicking {
            self.failure.raise();
        }
    }
}

#[cfg(test)]
mod tests;
