//! A timer that other tasks can set to an earlier time.

use std::cell::Cell;
use tokio::sync::Notify;
use weirusher::Time;
use weirusher_clock::Clock;

/// Wakes one task at the earliest time that was set.
#[derive(Debug)]
pub struct Wakeup {
    due: Cell<Time>,
    due_changed: Notify,
}

impl Default for Wakeup {
    fn default() -> Self {
        Self { due: Cell::new(f64::INFINITY), due_changed: Notify::new() }
    }
}

impl Wakeup {
    /// Wakes the task at `due` at the latest. Has no effect if `due` is `None` or an earlier time is already
    /// set.
    pub fn set(&self, due: Option<Time>) {
        if let Some(due) = due.filter(|due| *due < self.due.get()) {
            self.due.set(due);
            self.due_changed.notify_one();
        }
    }

    /// Waits until `due`, or until an earlier time that is set in the meantime. With `None`, only a time that
    /// is set ends the wait.
    pub async fn wait(&self, clock: &Clock, due: Option<Time>) {
        self.due.set(due.unwrap_or(f64::INFINITY));
        loop {
            let due = self.due.get();
            let sleep = tokio::time::sleep_until(clock.instant(due));
            tokio::select! {
                () = sleep, if due.is_finite() => return,
                () = self.due_changed.notified() => {}
            }
        }
    }
}
