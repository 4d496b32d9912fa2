//! Wall clocks that are stepped: the gateway's own, and those that a list's times were read from. Slow start goes by what
//! was notified when, on the monotonic clock.

use crate::platform::{STOP_WITHIN, configuration};
use crate::process::ended;
use crate::support::*;
use nix::sys::signal::Signal;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use weirusher_fault_shim::FaultShim;

/// Seconds for which the joining server's share is measured.
const MEASURED: f64 = 1.5;
/// The most of all requests that a server may get in its first moments that starts at a tenth of its capacity, among
/// four: its budget is 0.16 to 0.23 of what the others carry.
const MOST: f64 = 0.06;
const CLIENTS: usize = 8;
/// Milliseconds that each server takes for an answer. Where all answer at once, one that is late by a millisecond, as on a
/// busy machine, counts as far slower than the others, and is sent nearly nothing whatever its start.
const ANSWER_MILLIS: u64 = 10;
const SECOND: i64 = 1_000_000_000;
/// How long after the news of a drain the clock is stepped: within its grace.
const STEP_INTO_THE_DRAIN: Duration = Duration::from_millis(300);

/// Servers start at a tenth of their capacity, and are warm after 12 s.
fn slow_start(text: String) -> String {
    let mut config: Value = serde_json::from_str(&text).unwrap();
    let rules = &mut config["settings"]["Rules"];
    for (key, value) in [("ColdFrom", 0.1), ("Cold", 12.0), ("FallMultiple", 4.0), ("Fall", 1.0)] {
        rules[key] = value.into();
    }
    config["settings"]["Limits"]["SecondCopies"] = false.into();
    config.to_string()
}

/// Now by the true clock, in Unix milliseconds, so many seconds off.
fn now_ms(offset: i64) -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as i64 + 1000 * offset
}

/// A list of the site's servers by their last starts.
fn started(site: &Site, index: u64, starts: &[i64]) -> String {
    let addresses: Vec<SocketAddr> = site.workers.iter().map(|worker| worker.address).collect();
    let names: Vec<String> = (0..starts.len()).map(|number| format!("s-{number}")).collect();
    let entries: Vec<_> =
        names.iter().zip(&addresses).map(|(name, address)| (name.as_str(), *address, "SERVING")).collect();
    with_starts(&list(index, &entries), starts)
}

/// Clients ask for a while; the share that came to the last server.
async fn share_of_the_last(site: &Site, seconds: f64) -> f64 {
    let counts = || site.workers.iter().map(|worker| worker.received().len()).collect::<Vec<_>>();
    let before = counts();
    let end = Instant::now() + Duration::from_secs_f64(seconds);
    let ask = async || {
        let mut client = site.client().await;
        while Instant::now() < end {
            let (status, ..) = client.ask(&request(&id(), "iso", 3000)).await.unwrap();
            assert!(status == 200 || status == 429, "{status}");
            tokio::time::sleep(Duration::from_millis(3)).await;
        }
    };
    futures::future::join_all((0..CLIENTS).map(|_| ask())).await;
    let came: Vec<usize> = counts().iter().zip(before).map(|(after, before)| after - before).collect();
    let all: usize = came.iter().sum();
    assert!(all > 200, "{came:?}");
    *came.last().unwrap() as f64 / all as f64
}

/// Has its servers take their time for each answer.
fn take_time(site: &Site) {
    site.workers.iter().for_each(|worker| worker.set_script(slow(ANSWER_MILLIS)));
}

/// A site of three servers that run for long, under load, and a fourth that is not in its list yet.
async fn three_of_four(shim: &FaultShim) -> Site {
    let site = Site::shimmed(4, shim, slow_start).await;
    take_time(&site);
    site.discovery.set_list(3, started(&site, 3, &[0, 0, 0]));
    site.discovery.wait_until_list_received(3).await;
    share_of_the_last(&site, 1.0).await;
    site
}

#[tokio::test]
async fn a_server_that_joins_starts_slowly_whatever_the_gateway_s_clock_shows() {
    // Off at the start, and stepped by so much under load, amid a watch.
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
async fn a_server_that_joins_starts_slowly_whatever_clock_its_start_was_read_from() {
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
async fn a_server_that_restarts_starts_slowly_though_its_start_is_earlier_than_the_one_before() {
    for (before, now) in [(-60, -7200), (-7200, -60), (-60, 0)] {
        let shim = FaultShim::new().unwrap();
        let site = Site::shimmed_with_starts(4, &shim, &[0, 0, 0, now_ms(before)], slow_start).await;
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
async fn a_server_whose_start_was_read_from_a_clock_ahead_is_warm_in_its_time() {
    let shim = FaultShim::new().unwrap();
    let quick = |text| slow_start(text).replace(r#""Cold":12.0"#, r#""Cold":1.0"#);
    let site = Site::shimmed(4, &shim, quick).await;
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

/// Asks as a customer whose quota is one request, until it is refused; then it stays so.
async fn use_up(client: &mut Client) {
    let mut last = 0;
    for _ in 0..5 {
        last = client.ask(&request(&id(), "tiny", 3000)).await.unwrap().0;
    }
    assert_eq!(last, 429);
}

/// One site, its clock stepped by so many seconds amid a counter's window, a reload, a drain and a shutdown.
async fn stepped_amid_everything(step: i64) {
    let shim = FaultShim::new().unwrap();
    let mut site = Site::shimmed(2, &shim, |text| text).await;
    let mut client = site.client().await;
    let mut offset = 0;
    let mut step_clock = || {
        offset += step;
        shim.set_clock_offset(offset * SECOND);
    };

    use_up(&mut client).await;
    step_clock();
    for _ in 0..3 {
        let status = client.ask(&request(&id(), "tiny", 3000)).await.unwrap().0;
        assert_eq!(status, 429, "the window goes on, stepped by {step} s");
    }

    let again = configuration(site.listen, site.discovery.address(), site.counter.address, 256);
    let reload = site.reload(again);
    step_clock();
    reload.await;
    assert_eq!(client.ask(&request(&id(), "iso", 3000)).await.unwrap().0, 200);

    let stepping = async {
        tokio::time::sleep(STEP_INTO_THE_DRAIN).await;
        step_clock();
    };
    let (last, ()) = tokio::join!(last_at_a_leaving_worker(&site, &site.discovery), stepping);
    assert!(last <= STOP_WITHIN, "{last} s after it was told, stepped by {step} s");

    site.workers[1].set_script(slow(700));
    let pending = id();
    client.send(&store(&pending, "x")).await;
    while site.tries(&pending) == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    site.signal(Signal::SIGTERM);
    step_clock();
    assert_eq!(client.answer().await.expect("a whole response").0, 200, "stepped by {step} s");
    assert!(ended(&mut site.child).await.success());
}

#[tokio::test]
async fn steps_amid_a_window_a_reload_a_drain_and_a_shutdown_change_nothing() {
    futures::future::join_all([-3600, -5, 5, 3600].map(stepped_amid_everything)).await;
}
