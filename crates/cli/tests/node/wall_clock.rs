//! Wall clocks that are stepped: the gateway's own, and those that a list's start times were read from. Slow start goes by the
//! times of notification on the monotonic clock.

use crate::platform::{STOP_WITHIN, configuration};
use crate::process::ended;
use crate::support::{
    Client, ClientResponse, Site, delayed_echo, id, last_attempt_at_draining_backend, list, request, store,
    with_starts,
};
use nix::sys::signal::Signal;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use weirusher_fault_shim::FaultShim;

/// Seconds for which the joining backend's share is measured.
const MEASURED: f64 = 1.5;
/// Largest share of all requests that one of four backends may get at first when it starts at a tenth of its capacity: its
/// budget is 0.16 to 0.23 of what each other one gets.
const MOST: f64 = 0.06;
const CLIENTS: usize = 8;
/// Milliseconds that each backend takes for a response. Where all answer at once, one that is a millisecond late, as on a
/// busy machine, counts as far slower than the others, and gets nearly nothing whatever its start.
const ANSWER_MILLIS: u64 = 10;
const SECOND: i64 = 1_000_000_000;
/// How long after the notification of a drain the clock is stepped: within its grace.
const STEP_INTO_THE_DRAIN: Duration = Duration::from_millis(300);

/// Backends start at a tenth of their capacity, and have warmed up after 12 s.
fn slow_start(text: String) -> String {
    let mut config: Value = serde_json::from_str(&text).unwrap();
    let rules = &mut config["settings"]["Rules"];
    for (key, value) in [("ColdFrom", 0.1), ("Cold", 12.0), ("FallMultiple", 4.0), ("Fall", 1.0)] {
        rules[key] = value.into();
    }
    config["settings"]["Limits"]["SecondCopies"] = false.into();
    config.to_string()
}

/// The correct time plus an offset in seconds, in Unix milliseconds.
fn now_ms(offset: i64) -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as i64 + 1000 * offset
}

/// A list of the site's backends with their start times.
fn started(site: &Site, index: u64, starts: &[i64]) -> String {
    let addresses: Vec<SocketAddr> = site.backends.iter().map(|backend| backend.address).collect();
    let names: Vec<String> = (0..starts.len()).map(|number| format!("s-{number}")).collect();
    let entries: Vec<_> =
        names.iter().zip(&addresses).map(|(name, address)| (name.as_str(), *address, "SERVING")).collect();
    with_starts(&list(index, &entries), starts)
}

/// Sends requests for some seconds; the share of them that the last backend received.
async fn share_of_the_last(site: &Site, seconds: f64) -> f64 {
    let counts = || site.backends.iter().map(|backend| backend.received().len()).collect::<Vec<_>>();
    let before = counts();
    let end = Instant::now() + Duration::from_secs_f64(seconds);
    let ask = async || {
        let mut client = site.client().await;
        while Instant::now() < end {
            let ClientResponse { status, .. } = client.exchange(&request(&id(), "iso", 3000)).await.unwrap();
            assert!(status == 200 || status == 429, "{status}");
            tokio::time::sleep(Duration::from_millis(3)).await;
        }
    };
    futures::future::join_all((0..CLIENTS).map(|_| ask())).await;
    let received: Vec<usize> = counts().iter().zip(before).map(|(after, before)| after - before).collect();
    let all: usize = received.iter().sum();
    assert!(all > 200, "{received:?}");
    *received.last().unwrap() as f64 / all as f64
}

/// Delays the responses of all backends.
fn take_time(site: &Site) {
    site.backends.iter().for_each(|backend| backend.set_script(delayed_echo(ANSWER_MILLIS)));
}

/// A site of three warmed-up backends under load, and a fourth that is not in its list yet.
async fn three_of_four(shim: &FaultShim) -> Site {
    let site = Site::with_shim(4, shim, slow_start).await;
    take_time(&site);
    site.discovery.set_list(3, started(&site, 3, &[0, 0, 0]));
    site.discovery.wait_until_list_received(3).await;
    share_of_the_last(&site, 1.0).await;
    site
}

#[tokio::test]
async fn a_joining_backend_is_in_slow_start_whatever_the_gateway_s_clock_shows() {
    // Wrong at the start, and stepped under load, during a watch.
    for (at_start, step) in [(0, 0), (3600, 0), (-3600, 0), (0, 3600), (0, -3600), (0, 5), (0, -5), (5, -5)] {
        let shim = FaultShim::new().unwrap();
        shim.set_clock_offset(at_start * SECOND);
        let site = three_of_four(&shim).await;
        shim.set_clock_offset((at_start + step) * SECOND);
        site.discovery.set_list(4, started(&site, 4, &[0, 0, 0, now_ms(0)]));
        site.discovery.wait_until_list_received(4).await;
        let share = share_of_the_last(&site, MEASURED).await;
        assert!(
            share <= MOST,
            "{share:.3} with a clock off by {at_start} s at the start, stepped by {step} s"
        );
    }
}

#[tokio::test]
async fn a_joining_backend_is_in_slow_start_whatever_clock_its_start_was_read_from() {
    for offset in [-3600, -5, 5, 3600] {
        let shim = FaultShim::new().unwrap();
        let site = three_of_four(&shim).await;
        site.discovery.set_list(4, started(&site, 4, &[0, 0, 0, now_ms(offset)]));
        site.discovery.wait_until_list_received(4).await;
        let share = share_of_the_last(&site, MEASURED).await;
        assert!(share <= MOST, "{share:.3} with its start read {offset} s off");
    }
}

#[tokio::test]
async fn a_restarted_backend_is_in_slow_start_though_its_start_is_earlier_than_the_one_before() {
    for (before, now) in [(-60, -7200), (-7200, -60), (-60, 0)] {
        let shim = FaultShim::new().unwrap();
        let site = Site::with_shim_and_starts(4, &shim, &[0, 0, 0, now_ms(before)], slow_start).await;
        take_time(&site);
        let warm = share_of_the_last(&site, 1.0).await;
        assert!(warm > MOST, "{warm:.3}: it runs for a minute or longer");
        site.discovery.set_list(3, started(&site, 3, &[0, 0, 0, now_ms(now)]));
        site.discovery.wait_until_list_received(3).await;
        let share = share_of_the_last(&site, MEASURED).await;
        assert!(share <= MOST, "{share:.3} after a start {before} s and then {now} s from now");
    }
}

#[tokio::test]
async fn a_backend_whose_start_was_read_from_a_clock_ahead_warms_up_in_time() {
    let shim = FaultShim::new().unwrap();
    let quick = |text| slow_start(text).replace(r#""Cold":12.0"#, r#""Cold":1.0"#);
    let site = Site::with_shim(4, &shim, quick).await;
    take_time(&site);
    site.discovery.set_list(3, started(&site, 3, &[0, 0, 0]));
    site.discovery.wait_until_list_received(3).await;
    share_of_the_last(&site, 1.0).await;
    site.discovery.set_list(4, started(&site, 4, &[0, 0, 0, now_ms(3600)]));
    site.discovery.wait_until_list_received(4).await;
    share_of_the_last(&site, 1.2).await;
    let share = share_of_the_last(&site, 1.0).await;
    assert!(share > 0.15, "{share:.3} once it is warm");
}

/// Sends requests of a customer whose quota is one request until one is rejected.
async fn use_up(client: &mut Client) {
    let mut last = 0;
    for _ in 0..5 {
        last = client.exchange(&request(&id(), "tiny", 3000)).await.unwrap().status;
    }
    assert_eq!(last, 429);
}

/// One site whose clock is stepped during a counter's window, a reload, a drain and a shutdown.
async fn stepped_amid_everything(step: i64) {
    let shim = FaultShim::new().unwrap();
    let mut site = Site::with_shim(2, &shim, |text| text).await;
    let mut client = site.client().await;
    let mut offset = 0;
    let mut step_clock = || {
        offset += step;
        shim.set_clock_offset(offset * SECOND);
    };

    use_up(&mut client).await;
    step_clock();
    for _ in 0..3 {
        let status = client.exchange(&request(&id(), "tiny", 3000)).await.unwrap().status;
        assert_eq!(status, 429, "the window goes on, stepped by {step} s");
    }

    let again = configuration(site.listen, site.discovery.address(), site.counter.address, 256);
    let reload = site.reload(again);
    step_clock();
    reload.await;
    assert_eq!(client.exchange(&request(&id(), "iso", 3000)).await.unwrap().status, 200);

    let stepping = async {
        tokio::time::sleep(STEP_INTO_THE_DRAIN).await;
        step_clock();
    };
    let (last, ()) = tokio::join!(last_attempt_at_draining_backend(&site, &site.discovery), stepping);
    assert!(last <= STOP_WITHIN, "{last} s after it was notified, stepped by {step} s");

    site.backends[1].set_script(delayed_echo(700));
    let pending = id();
    client.send(&store(&pending, "x")).await;
    while site.attempts(&pending) == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    site.signal(Signal::SIGTERM);
    step_clock();
    assert_eq!(client.response().await.expect("a complete response").status, 200, "stepped by {step} s");
    assert!(ended(&mut site.child).await.success());
}

#[tokio::test]
async fn steps_amid_a_window_a_reload_a_drain_and_a_shutdown_change_nothing() {
    futures::future::join_all([-3600, -5, 5, 3600].map(stepped_amid_everything)).await;
}
