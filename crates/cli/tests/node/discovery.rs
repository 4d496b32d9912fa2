//! Discovery and the configuration: drains, silence, moves.

use crate::common::{STOP_WITHIN, configuration};
use crate::support::*;
use std::time::Duration;
use weirusher_standins::{Agent, Scripted, counting};

#[tokio::test]
async fn a_drained_worker_gets_nothing_new_and_a_new_one_at_its_address_no_old_connection() {
    let site = Site::start(2).await;
    let mut client = site.client().await;
    for _ in 0..8 {
        assert_eq!(client.ask(&request(&id(), "iso", 3000)).await.unwrap().0, 200);
    }
    let before = site.workers[0].connections();
    // Told by the watch that is out: the old worker is gone, a new one stands at its address.
    let workers = [&site.workers[0], &site.workers[1]].map(|worker| worker.address);
    site.discovery.tell(3, list(3, &[("s-9", workers[0], "SERVING"), ("s-1", workers[1], "DRAINING")]));
    site.discovery.taken(3).await;
    let drained = site.workers[1].came().len();
    for _ in 0..8 {
        assert_eq!(client.ask(&request(&id(), "iso", 3000)).await.unwrap().0, 200);
    }
    assert_eq!(site.workers[1].came().len(), drained, "nothing new");
    assert_eq!(site.workers[0].connections(), before + 1, "a connection of its own");
}

/// Asks again and again while the agent tells that `s-0` leaves, which counts from `told` on, and gives the seconds
/// after that in which the last request came to it.
async fn last_at_a_leaving_worker(site: &Site, agent: &Agent) -> f64 {
    let serving: Vec<_> = site.workers.iter().map(|worker| worker.address).collect();
    agent.tell(3, list(3, &[("s-0", serving[0], "DRAINING"), ("s-1", serving[1], "SERVING")]));
    agent.come_back();
    let told = std::time::Instant::now();
    let mut client = site.client().await;
    while told.elapsed().as_secs_f64() < 3.5 * STOP_WITHIN {
        assert_eq!(client.ask(&request(&id(), "iso", 3000)).await.unwrap().0, 200);
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    site.workers[0].came().last().map_or(0.0, |last| last.at.saturating_duration_since(told).as_secs_f64())
}

#[tokio::test]
async fn a_drain_that_a_silent_agent_has_at_its_return_is_kept_whatever_was_asked_meanwhile() {
    // It moves to an agent that is silent as it is first asked: that call is never answered.
    let site = Site::start(2).await;
    let entries = [("s-0", site.workers[0].address, "SERVING"), ("s-1", site.workers[1].address, "SERVING")];
    let agent = Agent::start(ANYWHERE, 2, list(2, &entries)).await.unwrap();
    agent.fall_silent();
    let moved = configuration(site.listen, agent.address(), site.counter.address, 256);
    std::fs::write(&site.file, moved).unwrap();
    site.signal(nix::sys::signal::Signal::SIGHUP);
    agent.wait_for(1).await;
    let last = last_at_a_leaving_worker(&site, &agent).await;
    assert!(last <= STOP_WITHIN, "{last} s after it was told");
}

#[tokio::test]
async fn a_drain_that_an_open_watch_misses_is_kept() {
    let site = Site::start(2).await;
    site.discovery.fall_silent();
    let last = last_at_a_leaving_worker(&site, &site.discovery).await;
    assert!(last <= STOP_WITHIN, "{last} s after it was told");
}

#[tokio::test]
async fn a_new_configuration_moves_counter_and_discovery_and_loses_nothing() {
    let site = Site::start(1).await;
    site.workers[0].set_script(slow(200));
    let (open, mut client) = (id(), site.client().await);
    client.send(&request(&open, "iso", 3000)).await;
    site.workers[0].wait_for(1).await;
    // One that cannot be used changes nothing.
    std::fs::write(&site.file, "{").unwrap();
    site.signal(nix::sys::signal::Signal::SIGHUP);
    assert_eq!(client.answer().await.unwrap().2, format!("done {open}"));
    let counter = Scripted::start(ANYWHERE, counting()).await.unwrap();
    let entries = [("s-0", site.workers[0].address, "SERVING")];
    let discovery = Agent::start(ANYWHERE, 2, list(2, &entries)).await.unwrap();
    std::fs::write(&site.file, configuration(site.listen, discovery.address(), counter.address, 256))
        .unwrap();
    site.signal(nix::sys::signal::Signal::SIGHUP);
    tokio::time::timeout(LIMIT, discovery.taken(2)).await.expect("the new discovery is watched");
    let moved = async {
        while counter.came().is_empty() {
            let customer =
                request(&id(), "iso", 3000).replace("b4d65521", &format!("{:08x}", fastrand::u32(1..)));
            assert_eq!(client.ask(&customer).await.unwrap().0, 200);
        }
    };
    tokio::time::timeout(LIMIT, moved).await.expect("the new counter is called");
}

#[tokio::test]
async fn a_known_list_that_cannot_be_used_keeps_nobody_from_starting() {
    let spoil = |text: String| text.replace(r#""endpoints":[]"#, r#""endpoints":7"#);
    let site = Site::configured(1, 256, &[], spoil).await;
    assert!(std::fs::read_to_string(&site.file).unwrap().contains(r#""endpoints":7"#));
    assert_eq!(site.client().await.ask(&request(&id(), "iso", 3000)).await.unwrap().0, 200);
}
