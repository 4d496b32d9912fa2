//! Locking a mutex whose holders never panic.

use std::sync::{Mutex, MutexGuard};

/// Locks a mutex that is held for a few steps only, none of which panics.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder panics")
}
