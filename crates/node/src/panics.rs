//! Panics of tasks. One in the task of a connection or an attempt ends that message or attempt; one in a task that all
//! requests depend on, or amid a change of the shared state, shuts the node down in order.

use crate::context::{NodeContext, NodeState};
use std::cell::{Cell, Ref, RefCell, RefMut};
use std::ops::{Deref, DerefMut};
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::task::{JoinHandle, spawn_local};
use weirusher_panics::Panicked;

/// Spawns a task that all requests depend on: its panic shuts the node down.
pub fn spawn_shared(
    node: &Rc<NodeContext>,
    name: &'static str,
    task: impl Future<Output = ()> + 'static,
) -> JoinHandle<()> {
    let node = node.clone();
    spawn_local(async move {
        if weirusher_panics::catch(task).await == Err(Panicked) {
            tracing::error!(task = name, "a task that all requests depend on has panicked");
            node.failure.raise();
        }
    })
}

/// Whether the node has to shut down because a panic may have left its shared parts broken.
#[derive(Debug, Default)]
pub struct Failure {
    raised: Cell<bool>,
    changed: Notify,
}

impl Failure {
    /// The node has to shut down.
    pub fn raise(&self) {
        self.raised.set(true);
        self.changed.notify_one();
    }

    /// Whether it was raised.
    pub fn is_raised(&self) -> bool {
        self.raised.get()
    }

    /// Waits until it is raised.
    pub async fn wait(&self) {
        while !self.raised.get() {
            self.changed.notified().await;
        }
    }
}

/// The state that all tasks share. A panic while it is borrowed mutably may leave it inconsistent, which raises the node's
/// [`Failure`].
pub struct SharedState {
    state: RefCell<NodeState>,
    failure: Rc<Failure>,
}

impl SharedState {
    /// A state whose panics raise `failure`.
    pub fn new(state: NodeState, failure: Rc<Failure>) -> Self {
        Self { state: RefCell::new(state), failure }
    }

    /// The state, for reading.
    pub fn borrow(&self) -> Ref<'_, NodeState> {
        self.state.borrow()
    }

    /// The state, for a change.
    pub fn borrow_mut(&self) -> StateGuard<'_> {
        let was_panicking = std::thread::panicking();
        StateGuard { state: self.state.borrow_mut(), failure: &self.failure, was_panicking }
    }
}

/// A mutable borrow of the state.
pub struct StateGuard<'a> {
    state: RefMut<'a, NodeState>,
    failure: &'a Failure,
    /// It was borrowed by a destructor during another panic, which did not begin under it.
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
