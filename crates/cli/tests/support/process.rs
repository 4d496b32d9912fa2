//! Waiting for processes.

use std::process::{Child, ExitStatus};
use std::time::Duration;

/// Limit for a process that is to end.
const END_LIMIT: Duration = Duration::from_secs(30);

/// Waits until a process has ended, whatever ends it, and returns how.
pub async fn ended(child: &mut Child) -> ExitStatus {
    let ended = async {
        while child.try_wait().unwrap().is_none() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(END_LIMIT, ended).await.expect("it ends");
    child.wait().unwrap()
}
