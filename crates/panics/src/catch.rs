//! Catches the panic of a future.

use futures::FutureExt;
use std::panic::AssertUnwindSafe;

/// A future ended by a panic. The hook has logged it with its place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Panicked;

/// Runs a future to its end or its panic. What it shares with others must bear being left at any point; the caller sees to
/// the rest.
///
/// # Errors
/// It panicked.
pub async fn catch<T>(future: impl Future<Output = T>) -> Result<T, Panicked> {
    AssertUnwindSafe(future).catch_unwind().await.map_err(|_| Panicked)
}
