//! Graceful shutdown: on SIGTERM the gateway answers what is pending and ends.

use crate::process::ended;
use crate::support::{ClientResponse, LIMIT, READY, Site, delayed_echo, id, request, store};
use std::time::Duration;
use weirusher_fakes::Reply;

/// Waits until the process ends by itself, with success.
async fn ends_by_itself(site: &mut Site) {
    assert!(ended(&mut site.child).await.success());
}

#[tokio::test]
async fn pending_and_late_requests_are_answered_and_the_process_ends() {
    let mut site = Site::start(6).await;
    for backend in &site.backends {
        backend.set_script(delayed_echo(150));
    }
    let (open, mut client) = (id(), site.client().await);
    let mut idle = site.client().await;
    assert_eq!(idle.exchange(&request(&id(), "iso", 3000)).await.unwrap().status, 200);
    client.send(&request(&open, "iso", 3000)).await;
    while site.attempts(&open) == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    site.signal(nix::sys::signal::Signal::SIGTERM);
    idle.closed().await;
    // It still accepts requests, and closes after each response.
    let late = id();
    let ClientResponse { status, head, .. } =
        site.client().await.exchange(&request(&late, "iso", 3000)).await.unwrap();
    assert!(status == 200 && head.contains("connection: close"), "{head}");
    let ClientResponse { head, body, .. } = client.response().await.unwrap();
    assert_eq!(body, format!("done {open}"));
    assert!(head.contains("connection: close"), "{head}");
    ends_by_itself(&mut site).await;
}

#[tokio::test]
async fn a_request_of_which_half_was_read_at_sigterm_is_answered() {
    let site = Site::start(1).await;
    let (request_id, mut client) = (id(), site.client().await);
    let text = request(&request_id, "iso", 9000);
    let (first, rest) = text.split_at(40);
    client.send(first).await;
    // The close of an idle connection shows that the signal was handled.
    let mut idle = site.client().await;
    assert_eq!(idle.exchange(&request(&id(), "iso", 3000)).await.unwrap().status, 200);
    site.signal(nix::sys::signal::Signal::SIGTERM);
    idle.closed().await;
    client.send(rest).await;
    assert_eq!(client.response().await.expect("a complete response").body, format!("done {request_id}"));
}

#[tokio::test]
async fn connections_in_the_accept_queue_at_sigterm_are_served() {
    let site = Site::with(1, 64, &[]).await;
    // More silent connections than slots, each of which keeps one for a while: the request waits behind them.
    let mut silent = Vec::new();
    for _ in 0..200 {
        silent.push(site.client().await);
    }
    let (request_id, mut last) = (id(), site.client().await);
    last.send(&request(&request_id, "iso", 20_000)).await;
    site.signal(nix::sys::signal::Signal::SIGTERM);
    assert_eq!(last.response().await.expect("a complete response").body, format!("done {request_id}"));
}

#[tokio::test]
async fn a_second_sigterm_with_hanging_backends_changes_nothing() {
    let mut site = Site::start(2).await;
    let mut idle = site.client().await;
    assert_eq!(idle.exchange(&request(&id(), "iso", 3000)).await.unwrap().status, 200);
    site.backends.iter().for_each(|backend| backend.set_script(|_| Reply::NoReply));
    let deadline = 1500;
    let mut clients = Vec::new();
    for nth in 0..4 {
        let mut client = site.client().await;
        let short = store(&id(), "x").replace("3000m", &format!("{deadline}m"));
        client.send(&if nth % 2 == 0 { short } else { request(&id(), "iso", deadline) }).await;
        clients.push(client);
    }
    let sent = std::time::Instant::now();
    site.signal(nix::sys::signal::Signal::SIGTERM);
    // The close of an idle connection shows that the first signal was handled.
    idle.closed().await;
    site.signal(nix::sys::signal::Signal::SIGTERM);
    // A request that is accepted now gets its response too.
    let mut late = site.client().await;
    late.send(&request(&id(), "iso", deadline)).await;
    clients.push(late);
    for client in &mut clients {
        let ClientResponse { status, head, .. } = client.response().await.expect("a complete response");
        assert!(status >= 400 && head.contains("connection: close"), "{status} {head}");
    }
    assert!(
        sent.elapsed() < LIMIT / 5,
        "responses are not much later than the deadline: {:?}",
        sent.elapsed()
    );
    ends_by_itself(&mut site).await;
}

#[tokio::test]
async fn sigterm_before_it_is_ready_leaves_no_request_without_a_response() {
    let (mut site, silent) = Site::without_a_list().await;
    silent.wait_for_requests(1).await;
    let mut front = site.client().await;
    assert_eq!(front.exchange(READY).await.unwrap().status, 503);
    let mut client = site.client().await;
    client.send(&request(&id(), "iso", 1500)).await;
    site.signal(nix::sys::signal::Signal::SIGTERM);
    front.closed().await;
    let ClientResponse { status, .. } = client.response().await.expect("a complete response");
    assert!(status >= 400, "{status}");
    ends_by_itself(&mut site).await;
}
