//! Delays of up to 0.15 s between reading the clock and writing to a socket, as a busy machine causes. Deadlines,
//! idempotency windows and drains allow for them.

use crate::support::{Harness, endpoint_list, request, store_request, unique_id};
use serde_json::Value;
use std::time::{Duration, Instant};
use weirusher_fakes::Reply;
use weirusher_fault_shim::{Action, Call, Fault, FaultShim};

/// The longest delay that the gateway allows for.
const DELAY: Duration = Duration::from_millis(150);
/// Tolerance of the time limits, in seconds, as they are measured on sockets.
const SLACK: f64 = 0.05;

/// Delays each write to a backend.
fn delay_sends(shim: &FaultShim, harness: &Harness) -> Vec<weirusher_fault_shim::FaultHandle> {
    let delayed = Fault::new(Call::Send, Action::Delay(DELAY));
    harness
        .backends
        .iter()
        .map(|backend| shim.inject(delayed.with_peer_port(backend.address.port())))
        .collect()
}

/// Changes the settings of a configuration.
fn change_settings(text: &str, change: impl FnOnce(&mut Value)) -> String {
    let mut config: Value = serde_json::from_str(text).unwrap();
    change(&mut config["settings"]);
    config.to_string()
}

/// Sends a request with an idempotency window whose backends do not respond, and delays its retries. Returns how many
/// were delayed, and how many seconds after the first attempt the last one arrived.
async fn delayed_retry(window: f64) -> (u64, f64) {
    // A hedged request is sent after 0.4 of the latency objective, which is 0.88 s.
    let with_window = |text: String| {
        change_settings(&text, |settings| {
            settings["Classes"] = serde_json::json!([
                {"Name": "pay", "Effect": "deduplicated", "Group": "all", "Window": window, "Slo": 2.2,
                    "Deadline": 4.0}]);
        })
    };
    let shim = FaultShim::new().unwrap();
    let harness = Harness::start_with_shim(2, &shim, with_window).await;
    harness.backends.iter().for_each(|backend| backend.set_script(|_| Reply::NoReply));
    let (id, mut client) = (unique_id(), harness.client().await);
    client
        .send(&store_request(&id, "x").replace("X-Qos: store", "X-Qos: pay").replace("3000m", "4000m"))
        .await;
    while harness.attempts(&id) == 0 {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    let delayed = delay_sends(&shim, &harness);
    assert!(client.response().await.expect("a complete response").status >= 400);
    let received = harness.backends.iter().flat_map(weirusher_fakes::ScriptedServer::received);
    let mut arrived: Vec<Instant> = received.map(|received| received.received_at).collect();
    arrived.sort();
    let last = (*arrived.last().unwrap() - arrived[0]).as_secs_f64();
    (delayed.into_iter().map(|fault| shim.end(fault)).sum(), last)
}

#[tokio::test]
async fn a_retry_does_not_arrive_after_its_idempotency_window() {
    let (short, long) = (0.95, 2.0);
    let (delayed, last) = delayed_retry(long).await;
    assert!(
        delayed == 1 && (0.95..long).contains(&last),
        "{delayed} delayed retries, the last attempt {last:.3} s after the first"
    );
    let (delayed, last) = delayed_retry(short).await;
    assert!(last <= short + SLACK, "{delayed} delayed retries, the last attempt {last:.3} s after the first");
}

#[tokio::test]
async fn a_backend_gets_no_later_deadline_than_the_client() {
    let shim = FaultShim::new().unwrap();
    let harness = Harness::start_with_shim(2, &shim, |text| text).await;
    let delayed = delay_sends(&shim, &harness);
    for _ in 0..5 {
        let (id, mut client) = (unique_id(), harness.client().await);
        client.send(&store_request(&id, "x")).await;
        let sent = Instant::now();
        assert_eq!(client.response().await.expect("a complete response").status, 200);
        let received = harness.backends.iter().flat_map(weirusher_fakes::ScriptedServer::received);
        let attempt = received
            .into_iter()
            .find(|received| received.request.headers.get("x-trace-id") == Some(&id))
            .unwrap();
        let forwarded =
            attempt.request.headers.get("x-expires-in").unwrap().trim_end_matches('u').to_string();
        let left = 3.0 - (attempt.received_at - sent).as_secs_f64();
        let forwarded = forwarded.parse::<f64>().unwrap() / 1e6;
        assert!(forwarded <= left + 0.15, "deadline of {forwarded:.3} s forwarded with {left:.3} s left");
    }
    assert!(delayed.into_iter().map(|fault| shim.end(fault)).sum::<u64>() >= 5);
}

#[tokio::test]
async fn no_attempt_begins_after_the_grace_of_a_drain() {
    let grace = 0.5;
    let short_grace = |text: String| {
        change_settings(&text, |settings| settings["Rules"]["StopSendingWithin"] = grace.into())
    };
    let shim = FaultShim::new().unwrap();
    let harness = Harness::start_with_shim(2, &shim, short_grace).await;
    let delayed = delay_sends(&shim, &harness);
    let serving: Vec<_> = harness.backends.iter().map(|backend| backend.address).collect();
    let end = Instant::now() + Duration::from_millis(2200);
    let send_requests = async || {
        let mut client = harness.client().await;
        while Instant::now() < end {
            assert!(matches!(
                client.exchange(&request(&unique_id(), "iso", 3000)).await.unwrap().status,
                200 | 429
            ));
        }
    };
    let drain = async {
        tokio::time::sleep(Duration::from_millis(700)).await;
        harness.discovery.set_list(
            3,
            endpoint_list(3, &[("s-0", serving[0], "DRAINING"), ("s-1", serving[1], "SERVING")]),
        );
        Instant::now()
    };
    let (notified, _) = tokio::join!(drain, futures::future::join_all((0..6).map(|_| send_requests())));
    assert!(delayed.into_iter().map(|fault| shim.end(fault)).sum::<u64>() > 5);
    let received = harness.backends[0].received();
    let last = received.last().unwrap().received_at.saturating_duration_since(notified).as_secs_f64();
    assert!(received.len() > 1 && last <= grace + SLACK, "last attempt {last:.3} s after the notification");
}
