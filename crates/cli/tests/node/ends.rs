//! The gateway's own end.

use crate::process::ended;
use crate::support::*;
use std::time::Duration;
use weirusher_fakes::Reply;

/// The process ends without a kill, and in order.
async fn ends_by_itself(site: &mut Site) {
    assert!(ended(&mut site.child).await.success());
}

#[tokio::test]
async fn told_to_stop_it_answers_what_it_took_and_ends() {
    let mut site = Site::start(6).await;
    for worker in &site.workers {
        worker.set_script(slow(150));
    }
    let (open, mut client) = (id(), site.client().await);
    let mut idle = site.client().await;
    assert_eq!(idle.ask(&request(&id(), "iso", 3000)).await.unwrap().0, 200);
    client.send(&request(&open, "iso", 3000)).await;
    while site.tries(&open) == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    site.signal(nix::sys::signal::Signal::SIGTERM);
    idle.closed().await;
    // It still takes what comes, and closes behind each answer.
    let late = id();
    let (status, head, _) = site.client().await.ask(&request(&late, "iso", 3000)).await.unwrap();
    assert!(status == 200 && head.contains("connection: close"), "{head}");
    let (_, head, body) = client.answer().await.unwrap();
    assert_eq!(body, format!("done {open}"));
    assert!(head.contains("connection: close"), "{head}");
    ends_by_itself(&mut site).await;
}

#[tokio::test]
async fn told_to_stop_amid_a_request_it_takes_the_rest_and_answers() {
    let site = Site::start(1).await;
    let (asked, mut client) = (id(), site.client().await);
    let whole = request(&asked, "iso", 9000);
    let (first, rest) = whole.split_at(40);
    client.send(first).await;
    // One that is idle shows when the signal was taken in.
    let mut idle = site.client().await;
    assert_eq!(idle.ask(&request(&id(), "iso", 3000)).await.unwrap().0, 200);
    site.signal(nix::sys::signal::Signal::SIGTERM);
    idle.closed().await;
    client.send(rest).await;
    assert_eq!(client.answer().await.expect("a whole answer").2, format!("done {asked}"));
}

#[tokio::test]
async fn told_to_stop_it_takes_on_whoever_waits_to_be_accepted() {
    let site = Site::with(1, 64, &[]).await;
    // More than it has slots for, each for the while that a silent one is borne: one that asks waits behind them.
    let mut silent = Vec::new();
    for _ in 0..200 {
        silent.push(site.client().await);
    }
    let (asked, mut last) = (id(), site.client().await);
    last.send(&request(&asked, "iso", 20_000)).await;
    site.signal(nix::sys::signal::Signal::SIGTERM);
    assert_eq!(last.answer().await.expect("a whole answer").2, format!("done {asked}"));
}

#[tokio::test]
async fn told_to_stop_twice_under_workers_that_hang_it_answers_each_in_its_time_and_ends() {
    let mut site = Site::start(2).await;
    let mut idle = site.client().await;
    assert_eq!(idle.ask(&request(&id(), "iso", 3000)).await.unwrap().0, 200);
    site.workers.iter().for_each(|worker| worker.set_script(|_| Reply::NoReply));
    let patience = 1500;
    let mut clients = Vec::new();
    for nth in 0..4 {
        let mut client = site.client().await;
        let short = store(&id(), "x").replace("3000m", &format!("{patience}m"));
        client.send(&if nth % 2 == 0 { short } else { request(&id(), "iso", patience) }).await;
        clients.push(client);
    }
    let sent = std::time::Instant::now();
    site.signal(nix::sys::signal::Signal::SIGTERM);
    // One that is idle shows when the first was taken in.
    idle.closed().await;
    site.signal(nix::sys::signal::Signal::SIGTERM);
    // It still takes what comes, and that gets its answer too.
    let mut late = site.client().await;
    late.send(&request(&id(), "iso", patience)).await;
    clients.push(late);
    for client in &mut clients {
        let (status, head, _) = client.answer().await.expect("an answer, whole");
        assert!(status >= 400 && head.contains("connection: close"), "{status} {head}");
    }
    assert!(sent.elapsed() < LIMIT / 5, "nobody waits past its time by much: {:?}", sent.elapsed());
    ends_by_itself(&mut site).await;
}

#[tokio::test]
async fn told_to_stop_before_it_is_ready_it_answers_what_it_took_and_ends() {
    let (mut site, silent) = Site::without_a_list().await;
    silent.wait_for_requests(1).await;
    let mut front = site.client().await;
    assert_eq!(front.ask(READY).await.unwrap().0, 503);
    let mut client = site.client().await;
    client.send(&request(&id(), "iso", 1500)).await;
    site.signal(nix::sys::signal::Signal::SIGTERM);
    front.closed().await;
    let (status, ..) = client.answer().await.expect("an answer, whole");
    assert!(status >= 400, "{status}");
    ends_by_itself(&mut site).await;
}
