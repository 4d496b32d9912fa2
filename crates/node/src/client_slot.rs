//! The slot that a client connection occupies.

use crate::close_signal::CloseSignal;
use crate::context::NodeContext;
use std::rc::Rc;
use weirusher::Time;
use weirusher_core::SlotId;

/// A slot for one client connection, freed on drop.
pub struct ClientSlot {
    pub node: Rc<NodeContext>,
    pub id: SlotId,
}

impl ClientSlot {
    /// Takes a slot for an accepted connection, and creates the signal that asks its task to close it.
    pub fn take(node: &Rc<NodeContext>) -> (Self, Rc<CloseSignal>) {
        let state = &mut *node.state.borrow_mut();
        state.last_slot += 1;
        let (id, close_signal) = (state.last_slot, Rc::new(CloseSignal::default()));
        state.slots.insert(node.now(), id);
        state.close_signals.insert(id, close_signal.clone());
        node.eviction_wakeup.set(state.slots.next_eviction());
        (Self { node: node.clone(), id }, close_signal)
    }

    /// Marks the connection as receiving a request.
    pub fn set_reading(&self, now: Time) {
        let state = &mut *self.node.state.borrow_mut();
        state.slots.set_reading(now, self.id);
        self.node.eviction_wakeup.set(state.slots.next_eviction());
    }

    /// Marks the connection as having an open request.
    pub fn set_active(&self) {
        let state = &mut *self.node.state.borrow_mut();
        state.slots.set_active(self.node.now(), self.id);
        if !state.slots.has_free() {
            // This connection may have been the next candidate for eviction; another one takes its place.
            self.node.eviction_wakeup.set(state.slots.next_eviction());
        }
    }

    /// Marks the connection as idle: its request was answered and no further bytes were received.
    pub fn set_idle(&self) {
        let state = &mut *self.node.state.borrow_mut();
        state.slots.set_idle(self.node.now(), self.id);
        self.node.eviction_wakeup.set(state.slots.next_eviction());
    }
}

impl Drop for ClientSlot {
    fn drop(&mut self) {
        let state = &mut *self.node.state.borrow_mut();
        state.slots.remove(self.id);
        state.close_signals.remove(&self.id);
        self.node.slot_freed.notify_one();
    }
}
