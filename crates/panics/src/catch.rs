//! Catching the panic of a future.

use futures::FutureExt;
use std::panic::AssertUnwindSafe;

/// A future panicked. The panic hook has logged the message and the source location.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Panicked;

/// Runs a future until it completes or panics. State that it shares with other tasks must stay consistent if the future
/// is abandoned at any point; the caller has to make sure of that, since unwind safety is not checked.
///
/// # Errors
/// The future panicked.
pub async fn catch<T>(future: impl Future<Output = T>) -> Result<T, Panicked> {
    AssertUnwindSafe(future).catch_unwind().await.map_err(|_| Panicked)
}
