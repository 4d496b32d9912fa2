//! A process that is held up for 0.15 s between reading its clock and writing: deadlines, windows and drains allow for it.

use crate::support::*;
use serde_json::Value;
use std::time::{Duration, Instant};
use weirusher_fakes::Reply;
use weirusher_fault_shim::{Action, Call, Fault, FaultShim};

/// The longest that a process is held up.
const HELD_UP: Duration = Duration::from_millis(150);
/// By how much every limit of the platform is longer on sockets.
const SLACK: f64 = 0.05;

/// Each write to a server is held up.
fn held_up_before_sending(shim: &FaultShim, site: &Site) -> Vec<weirusher_fault_shim::Injected> {
    let held_up = Fault::new(Call::Send, Action::Delay(HELD_UP));
    site.workers.iter().map(|worker| shim.inject(held_up.to(worker.address.port()))).collect()
}

fn changed(text: &str, change: impl FnOnce(&mut Value)) -> String {
    let mut config: Value = serde_json::from_str(text).unwrap();
    change(&mut config["settings"]);
    config.to_string()
}

/// A request whose servers hang, and whose repeat is held up: how often that was, and how long behind the first it came.
async fn held_up_repeat(window: f64) -> (u64, f64) {
    // A hedged request goes out at 0.4 of the aim, 0.88 s.
    let keyed = |text: String| {
        changed(&text, |settings| {
            settings["Classes"] = serde_json::json!([
                {"Name": "pay", "Effect": "deduplicated", "Group": "all", "Window": window, "Slo": 2.2, "Deadline": 4.0}]);
        })
    };
    let shim = FaultShim::new().unwrap();
    let site = Site::shimmed(2, &shim, keyed).await;
    site.workers.iter().for_each(|worker| worker.set_script(|_| Reply::NoReply));
    let (id, mut client) = (id(), site.client().await);
    client.send(&store(&id, "x").replace("X-Qos: store", "X-Qos: pay").replace("3000m", "4000m")).await;
    while site.tries(&id) == 0 {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    let held_up = held_up_before_sending(&shim, &site);
    assert!(client.answer().await.expect("a whole response").0 >= 400);
    let came = site.workers.iter().flat_map(|worker| worker.received());
    let mut arrived: Vec<Instant> = came.map(|came| came.received_at).collect();
    arrived.sort();
    let last = (*arrived.last().unwrap() - arrived[0]).as_secs_f64();
    (held_up.into_iter().map(|fault| shim.end(fault)).sum(), last)
}

#[tokio::test]
async fn a_repeat_does_not_arrive_behind_its_window() {
    let (short, long) = (0.95, 2.0);
    let (held_up, last) = held_up_repeat(long).await;
    assert!(held_up == 1 && (0.95..long).contains(&last), "{held_up} repeats, {last:.3} s behind the first");
    let (held_up, last) = held_up_repeat(short).await;
    assert!(last <= short + SLACK, "{held_up} repeats, {last:.3} s behind the first");
}

#[tokio::test]
async fn a_server_is_not_told_to_have_time_that_the_client_has_not() {
    let shim = FaultShim::new().unwrap();
    let site = Site::shimmed(2, &shim, |text| text).await;
    let held_up = held_up_before_sending(&shim, &site);
    for _ in 0..5 {
        let (id, mut client) = (id(), site.client().await);
        client.send(&store(&id, "x")).await;
        let sent = Instant::now();
        assert_eq!(client.answer().await.expect("a whole response").0, 200);
        let came = site.workers.iter().flat_map(|worker| worker.received());
        let attempt =
            came.into_iter().find(|came| came.request.headers.get("x-trace-id") == Some(&id)).unwrap();
        let told = attempt.request.headers.get("x-expires-in").unwrap().trim_end_matches('u').to_string();
        let left = 3.0 - (attempt.received_at - sent).as_secs_f64();
        let told = told.parse::<f64>().unwrap() / 1e6;
        assert!(told <= left + 0.15, "told {told:.3} s with {left:.3} left");
    }
    assert!(held_up.into_iter().map(|fault| shim.end(fault)).sum::<u64>() >= 5);
}

#[tokio::test]
async fn nothing_new_begins_at_a_server_behind_the_grace_of_its_drain() {
    let grace = 0.5;
    let brisk =
        |text: String| changed(&text, |settings| settings["Rules"]["StopSendingWithin"] = grace.into());
    let shim = FaultShim::new().unwrap();
    let site = Site::shimmed(2, &shim, brisk).await;
    let held_up = held_up_before_sending(&shim, &site);
    let serving: Vec<_> = site.workers.iter().map(|worker| worker.address).collect();
    let end = Instant::now() + Duration::from_millis(2200);
    let ask = async || {
        let mut client = site.client().await;
        while Instant::now() < end {
            assert!(matches!(client.ask(&request(&id(), "iso", 3000)).await.unwrap().0, 200 | 429));
        }
    };
    let drain = async {
        tokio::time::sleep(Duration::from_millis(700)).await;
        site.discovery
            .set_list(3, list(3, &[("s-0", serving[0], "DRAINING"), ("s-1", serving[1], "SERVING")]));
        Instant::now()
    };
    let (told, _) = tokio::join!(drain, futures::future::join_all((0..6).map(|_| ask())));
    assert!(held_up.into_iter().map(|fault| shim.end(fault)).sum::<u64>() > 5);
    let came = site.workers[0].received();
    let last = came.last().unwrap().received_at.saturating_duration_since(told).as_secs_f64();
    assert!(came.len() > 1 && last <= grace + SLACK, "{last:.3} s after it was told");
}
