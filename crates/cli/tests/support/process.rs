//! Waits for processes to exit.

use std::process::{Child, ExitStatus};
use std::time::Duration;

/// Time limit for the exit of a process.
const EXIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Waits until a process has exited or was killed, and returns its exit status.
pub async fn wait_for_exit(child: &mut Child) -> ExitStatus {
    let exited = async {
        while child.try_wait().unwrap().is_none() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(EXIT_TIMEOUT, exited).await.expect("the process exits");
    child.wait().unwrap()
}
