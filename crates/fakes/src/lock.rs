//! Locks mutexes whose holders never panic.

use std::sync::{Mutex, MutexGuard};

/// Locks a mutex. For mutexes that are held only for short sections that do not panic, so that they are never poisoned.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no thread panics while it holds the lock")
}
