//! Steps of wall clocks: the gateway's own, and those from which discovery reads start times. Slow start depends on
//! when the gateway was notified, by its monotonic clock, and not on wall clocks.

use crate::platform::{DRAIN_GRACE, configuration};
use crate::process::wait_for_exit;
use crate::support::{
    Client, ClientResponse, Harness, delayed_echo, endpoint_list, last_attempt_at_draining_backend, request,
    store_request, unique_id, with_start_times,
};
use nix::sys::signal::Signal;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use weirusher_fault_shim::FaultShim;

/// Seconds over which the joining backend's share of the requests is measured.
const MEASURING_TIME: f64 = 1.5;
/// Largest share of all requests that one of four backends may get at first when it starts at a tenth of its capacity.
/// Its budget is 0.16 to 0.23 of what each other backend gets.
const MAX_INITIAL_SHARE: f64 = 0.06;
const CLIENTS: usize = 8;
/// Response time of the backends, in milliseconds. If they responded at once, a backend that is late by a millisecond,
/// as happens on a busy machine, would count as far slower than the others and get almost no requests, slow start or
/// not.
const RESPONSE_MS: u64 = 10;
const NANOS_PER_SECOND: i64 = 1_000_000_000;
/// Time from the notification of a drain to the step of the clock, which is within the drain's grace.
const DRAIN_STEP_DELAY: Duration = Duration::from_millis(300);

/// Changes the configuration so that backends start at a tenth of their capacity and are warmed up after 12 s.
fn with_slow_start(text: String) -> String {
    let mut config: Value = serde_json::from_str(&text).unwrap();
    let rules = &mut config["settings"]["Rules"];
    for (key, value) in [("ColdFrom", 0.1), ("Cold", 12.0), ("FallMultiple", 4.0), ("Fall", 1.0)] {
        rules[key] = value.into();
    }
    config["settings"]["Limits"]["SecondCopies"] = false.into();
    config.to_string()
}

/// The current time plus an offset in seconds, in Unix milliseconds.
fn now_ms(offset: i64) -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as i64 + 1000 * offset
}

/// An endpoint list of the first backends, one for each of the start times.
fn list_with_start_times(harness: &Harness, index: u64, start_times: &[i64]) -> String {
    let addresses: Vec<SocketAddr> = harness.backends.iter().map(|backend| backend.address).collect();
    let names: Vec<String> = (0..start_times.len()).map(|number| format!("s-{number}")).collect();
    let entries: Vec<_> =
        names.iter().zip(&addresses).map(|(name, address)| (name.as_str(), *address, "SERVING")).collect();
    with_start_times(&endpoint_list(index, &entries), start_times)
}

/// Sends requests for some seconds, and returns the share of them that the last backend received.
async fn share_of_last_backend(harness: &Harness, seconds: f64) -> f64 {
    let counts = || harness.backends.iter().map(|backend| backend.received().len()).collect::<Vec<_>>();
    let before = counts();
    let end = Instant::now() + Duration::from_secs_f64(seconds);
    let send_requests = async || {
        let mut client = harness.client().await;
        while Instant::now() < end {
            let ClientResponse { status, .. } =
                client.exchange(&request(&unique_id(), "iso", 3000)).await.unwrap();
            assert!(status == 200 || status == 429, "{status}");
            tokio::time::sleep(Duration::from_millis(3)).await;
        }
    };
    futures::future::join_all((0..CLIENTS).map(|_| send_requests())).await;
    let received: Vec<usize> = counts().iter().zip(before).map(|(after, before)| after - before).collect();
    let all: usize = received.iter().sum();
    assert!(all > 200, "{received:?}");
    *received.last().unwrap() as f64 / all as f64
}

/// Delays the responses of all backends by [`RESPONSE_MS`].
fn delay_responses(harness: &Harness) {
    harness.backends.iter().for_each(|backend| backend.set_script(delayed_echo(RESPONSE_MS)));
}

/// Starts a gateway with three warmed-up backends and a fourth one that is not in its list yet.
async fn start_three_of_four(shim: &FaultShim) -> Harness {
    let harness = Harness::start_with_shim(4, shim, with_slow_start).await;
    delay_responses(&harness);
    harness.discovery.set_list(3, list_with_start_times(&harness, 3, &[0, 0, 0]));
    harness.discovery.wait_until_list_received(3).await;
    share_of_last_backend(&harness, 1.0).await;
    harness
}

#[tokio::test]
async fn slow_start_does_not_depend_on_the_gateway_clock() {
    // Offset of the clock at the start, and step while a watch is pending, both in seconds.
    for (at_start, step) in [(0, 0), (3600, 0), (-3600, 0), (0, 3600), (0, -3600), (0, 5), (0, -5), (5, -5)] {
        let shim = FaultShim::new().unwrap();
        shim.set_clock_offset(at_start * NANOS_PER_SECOND);
        let harness = start_three_of_four(&shim).await;
        shim.set_clock_offset((at_start + step) * NANOS_PER_SECOND);
        harness.discovery.set_list(4, list_with_start_times(&harness, 4, &[0, 0, 0, now_ms(0)]));
        harness.discovery.wait_until_list_received(4).await;
        let share = share_of_last_backend(&harness, MEASURING_TIME).await;
        assert!(
            share <= MAX_INITIAL_SHARE,
            "share of {share:.3} with a clock off by {at_start} s at the start, stepped by {step} s"
        );
    }
}

#[tokio::test]
async fn slow_start_does_not_depend_on_the_clock_of_the_start_time() {
    for offset in [-3600, -5, 5, 3600] {
        let shim = FaultShim::new().unwrap();
        let harness = start_three_of_four(&shim).await;
        harness.discovery.set_list(4, list_with_start_times(&harness, 4, &[0, 0, 0, now_ms(offset)]));
        harness.discovery.wait_until_list_received(4).await;
        let share = share_of_last_backend(&harness, MEASURING_TIME).await;
        assert!(
            share <= MAX_INITIAL_SHARE,
            "share of {share:.3} with a start time that is off by {offset} s"
        );
    }
}

/// The restart is recognised even if the new start time is earlier than the previous one.
#[tokio::test]
async fn a_restarted_backend_is_in_slow_start() {
    for (before, now) in [(-60, -7200), (-7200, -60), (-60, 0)] {
        let shim = FaultShim::new().unwrap();
        let harness =
            Harness::start_with_shim_and_times(4, &shim, &[0, 0, 0, now_ms(before)], with_slow_start).await;
        delay_responses(&harness);
        let warm = share_of_last_backend(&harness, 1.0).await;
        assert!(
            warm > MAX_INITIAL_SHARE,
            "share of {warm:.3} though the backend has run for a minute or longer"
        );
        harness.discovery.set_list(3, list_with_start_times(&harness, 3, &[0, 0, 0, now_ms(now)]));
        harness.discovery.wait_until_list_received(3).await;
        let share = share_of_last_backend(&harness, MEASURING_TIME).await;
        assert!(
            share <= MAX_INITIAL_SHARE,
            "share of {share:.3} after start times {before} s and then {now} s from now"
        );
    }
}

#[tokio::test]
async fn a_backend_with_a_start_time_in_the_future_warms_up() {
    let shim = FaultShim::new().unwrap();
    let short_slow_start = |text| with_slow_start(text).replace(r#""Cold":12.0"#, r#""Cold":1.0"#);
    let harness = Harness::start_with_shim(4, &shim, short_slow_start).await;
    delay_responses(&harness);
    harness.discovery.set_list(3, list_with_start_times(&harness, 3, &[0, 0, 0]));
    harness.discovery.wait_until_list_received(3).await;
    share_of_last_backend(&harness, 1.0).await;
    harness.discovery.set_list(4, list_with_start_times(&harness, 4, &[0, 0, 0, now_ms(3600)]));
    harness.discovery.wait_until_list_received(4).await;
    share_of_last_backend(&harness, 1.2).await;
    let share = share_of_last_backend(&harness, 1.0).await;
    assert!(share > 0.15, "share of {share:.3} after slow start");
}

/// Sends requests of a customer with a quota of one request until one is rejected.
async fn exhaust_quota(client: &mut Client) {
    let mut last = 0;
    for _ in 0..5 {
        last = client.exchange(&request(&unique_id(), "tiny", 3000)).await.unwrap().status;
    }
    assert_eq!(last, 429);
}

/// Steps the clock of a gateway during a window of the counter, a reload, a drain and a shutdown.
async fn check_clock_steps(step: i64) {
    let shim = FaultShim::new().unwrap();
    let mut harness = Harness::start_with_shim(2, &shim, |text| text).await;
    let mut client = harness.client().await;
    let mut offset = 0;
    let mut step_clock = || {
        offset += step;
        shim.set_clock_offset(offset * NANOS_PER_SECOND);
    };

    exhaust_quota(&mut client).await;
    step_clock();
    for _ in 0..3 {
        let status = client.exchange(&request(&unique_id(), "tiny", 3000)).await.unwrap().status;
        assert_eq!(status, 429, "the window must not end with a step of {step} s");
    }

    let same = configuration(harness.listen, harness.discovery.address(), harness.counter.address, 256);
    let reload = harness.reload(same);
    step_clock();
    reload.await;
    assert_eq!(client.exchange(&request(&unique_id(), "iso", 3000)).await.unwrap().status, 200);

    let stepping = async {
        tokio::time::sleep(DRAIN_STEP_DELAY).await;
        step_clock();
    };
    let (last, ()) = tokio::join!(last_attempt_at_draining_backend(&harness, &harness.discovery), stepping);
    assert!(last <= DRAIN_GRACE, "last attempt {last} s after the notification, with a step of {step} s");

    harness.backends[1].set_script(delayed_echo(700));
    let pending = unique_id();
    client.send(&store_request(&pending, "x")).await;
    while harness.attempts(&pending) == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    harness.signal(Signal::SIGTERM);
    step_clock();
    assert_eq!(client.response().await.expect("a complete response").status, 200, "with a step of {step} s");
    assert!(wait_for_exit(&mut harness.child).await.success());
}

#[tokio::test]
async fn clock_steps_do_not_affect_operations() {
    futures::future::join_all([-3600, -5, 5, 3600].map(check_clock_steps)).await;
}
