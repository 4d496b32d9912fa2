//! Graceful shutdown: on SIGTERM the gateway answers pending requests and exits.

use crate::process::wait_for_exit;
use crate::support::{
    ClientResponse, Harness, READINESS_CHECK, TEST_TIMEOUT, delayed_echo, request, store_request, unique_id,
};
use std::time::Duration;
use weirusher_fakes::Reply;

/// Waits until the process exits by itself, with success.
async fn assert_clean_exit(harness: &mut Harness) {
    assert!(wait_for_exit(&mut harness.child).await.success());
}

#[tokio::test]
async fn pending_and_late_requests_are_answered() {
    let mut harness = Harness::start(6).await;
    for backend in &harness.backends {
        backend.set_script(delayed_echo(150));
    }
    let (open, mut client) = (unique_id(), harness.client().await);
    let mut idle = harness.client().await;
    assert_eq!(idle.exchange(&request(&unique_id(), "iso", 3000)).await.unwrap().status, 200);
    client.send(&request(&open, "iso", 3000)).await;
    while harness.attempts(&open) == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    harness.signal(nix::sys::signal::Signal::SIGTERM);
    idle.wait_for_close().await;
    // The gateway still accepts requests, and closes the connection after each response.
    let late = unique_id();
    let ClientResponse { status, head, .. } =
        harness.client().await.exchange(&request(&late, "iso", 3000)).await.unwrap();
    assert!(status == 200 && head.contains("connection: close"), "{head}");
    let ClientResponse { head, body, .. } = client.response().await.unwrap();
    assert_eq!(body, format!("done {open}"));
    assert!(head.contains("connection: close"), "{head}");
    assert_clean_exit(&mut harness).await;
}

#[tokio::test]
async fn a_request_that_is_half_read_at_sigterm_is_answered() {
    let harness = Harness::start(1).await;
    let (request_id, mut client) = (unique_id(), harness.client().await);
    let text = request(&request_id, "iso", 9000);
    let (first, rest) = text.split_at(40);
    client.send(first).await;
    // The close of an idle connection shows that the gateway has handled the signal.
    let mut idle = harness.client().await;
    assert_eq!(idle.exchange(&request(&unique_id(), "iso", 3000)).await.unwrap().status, 200);
    harness.signal(nix::sys::signal::Signal::SIGTERM);
    idle.wait_for_close().await;
    client.send(rest).await;
    assert_eq!(client.response().await.expect("a complete response").body, format!("done {request_id}"));
}

#[tokio::test]
async fn connections_in_the_accept_queue_at_sigterm_are_served() {
    let harness = Harness::start_with(1, 64, &[]).await;
    // More silent connections than slots. Each holds its slot for a while, and the request waits behind them.
    let mut silent = Vec::new();
    for _ in 0..200 {
        silent.push(harness.client().await);
    }
    let (request_id, mut last) = (unique_id(), harness.client().await);
    last.send(&request(&request_id, "iso", 20_000)).await;
    harness.signal(nix::sys::signal::Signal::SIGTERM);
    assert_eq!(last.response().await.expect("a complete response").body, format!("done {request_id}"));
}

#[tokio::test]
async fn a_second_sigterm_with_hanging_backends_changes_nothing() {
    let mut harness = Harness::start(2).await;
    let mut idle = harness.client().await;
    assert_eq!(idle.exchange(&request(&unique_id(), "iso", 3000)).await.unwrap().status, 200);
    harness.backends.iter().for_each(|backend| backend.set_script(|_| Reply::NoReply));
    let deadline = 1500;
    let mut clients = Vec::new();
    for nth in 0..4 {
        let mut client = harness.client().await;
        let short = store_request(&unique_id(), "x").replace("3000m", &format!("{deadline}m"));
        client.send(&if nth % 2 == 0 { short } else { request(&unique_id(), "iso", deadline) }).await;
        clients.push(client);
    }
    let sent = std::time::Instant::now();
    harness.signal(nix::sys::signal::Signal::SIGTERM);
    // The close of an idle connection shows that the gateway has handled the first signal.
    idle.wait_for_close().await;
    harness.signal(nix::sys::signal::Signal::SIGTERM);
    // A request that is accepted now also gets its response.
    let mut late = harness.client().await;
    late.send(&request(&unique_id(), "iso", deadline)).await;
    clients.push(late);
    for client in &mut clients {
        let ClientResponse { status, head, .. } = client.response().await.expect("a complete response");
        assert!(status >= 400 && head.contains("connection: close"), "{status} {head}");
    }
    assert!(
        sent.elapsed() < TEST_TIMEOUT / 5,
        "responses much later than the deadline: {:?}",
        sent.elapsed()
    );
    assert_clean_exit(&mut harness).await;
}

#[tokio::test]
async fn requests_are_answered_at_sigterm_before_readiness() {
    let (mut harness, silent) = Harness::start_without_list().await;
    silent.wait_for_requests(1).await;
    let mut probe = harness.client().await;
    assert_eq!(probe.exchange(READINESS_CHECK).await.unwrap().status, 503);
    let mut client = harness.client().await;
    client.send(&request(&unique_id(), "iso", 1500)).await;
    harness.signal(nix::sys::signal::Signal::SIGTERM);
    probe.wait_for_close().await;
    let ClientResponse { status, .. } = client.response().await.expect("a complete response");
    assert!(status >= 400, "{status}");
    assert_clean_exit(&mut harness).await;
}
