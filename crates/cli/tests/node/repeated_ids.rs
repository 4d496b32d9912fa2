//! Requests that come again under their id, on another connection.

use crate::support::{Harness, delayed_echo, store_request, unique_id};
use std::time::Duration;

/// Guards against an unsafe request that runs twice: its client resets while it runs, and sends it again.
#[tokio::test]
async fn an_unsafe_request_that_comes_again_after_a_reset_runs_once() {
    let harness = Harness::start(2).await;
    harness.backends.iter().for_each(|backend| backend.set_script(delayed_echo(200)));
    for _ in 0..20 {
        let id = unique_id();
        let mut client = harness.client().await;
        client.send(&store_request(&id, "x")).await;
        while harness.attempts(&id) == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        client.0.set_zero_linger().unwrap();
        drop(client);
        tokio::time::sleep(Duration::from_millis(20)).await;
        let response = harness.client().await.exchange(&store_request(&id, "x")).await;
        assert_eq!(response.map(|response| response.status), Some(409));
        assert_eq!(harness.attempts(&id), 1);
    }
}
