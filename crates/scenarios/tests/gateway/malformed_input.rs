//! Malformed checks and misbehaving peers are answered with an error or closed, are counted, and do not affect others.

use crate::site::{Site, SiteOptions};
use envoy_types::pb::envoy::config::core::v3::header_value_option::HeaderAppendAction;
use envoy_types::pb::envoy::service::auth::v3::attribute_context::{HttpRequest, Request};
use envoy_types::pb::envoy::service::auth::v3::authorization_client::AuthorizationClient;
use envoy_types::pb::envoy::service::auth::v3::check_response::HttpResponse;
use envoy_types::pb::envoy::service::auth::v3::{AttributeContext, CheckRequest};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use weirusher_fakes::{BehaviourProfile, ClientOutcome};

fn check(headers: &[(&str, &str)]) -> CheckRequest {
    let headers = headers.iter().map(|(n, v)| (n.to_string(), v.to_string())).collect();
    let http = HttpRequest { path: "/only".into(), headers, ..HttpRequest::default() };
    let request = Some(Request { http: Some(http), time: None });
    CheckRequest { attributes: Some(AttributeContext { request, ..AttributeContext::default() }) }
}

async fn status(site: &Site, request: CheckRequest) -> i32 {
    let mut client =
        AuthorizationClient::connect(format!("http://{}", site.gateways[0].ext_authz)).await.unwrap();
    match client.check(request).await.unwrap().into_inner().http_response {
        Some(HttpResponse::DeniedResponse(denied)) => denied.status.unwrap().code,
        Some(HttpResponse::OkResponse(_)) => 200,
        other => panic!("{other:?}"),
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn malformed_checks_are_answered_400_and_counted() {
    let site = Site::start(SiteOptions::default()).await;
    assert_eq!(status(&site, CheckRequest::default()).await, 400);
    assert_eq!(status(&site, check(&[])).await, 400);
    assert_eq!(status(&site, check(&[("x-customer", "a,b")])).await, 400);
    assert_eq!(
        status(&site, check(&[("x-customer", "a"), ("x-envoy-expected-rq-timeout-ms", "-3")])).await,
        400
    );
    assert_eq!(site.stats(0).await["process"]["bad_checks"], 4);
    assert_eq!(status(&site, check(&[("x-customer", "a"), ("x-weirusher-ticket", "w1.1.AA.BB")])).await, 503);
    assert_eq!(site.stats(0).await["ledger"]["bad_tickets"], 1);
    assert_eq!(status(&site, check(&[("x-customer", "a")])).await, 200);
}

/// The headers that a backend receives: those that the client sent, modified as the check response instructs the proxy.
/// The error is the status code of a denied check.
async fn forwarded(site: &Site, sent: &[(&str, &str)]) -> Result<Vec<(String, String)>, i32> {
    let mut client =
        AuthorizationClient::connect(format!("http://{}", site.gateways[0].ext_authz)).await.unwrap();
    let ok = match client.check(check(sent)).await.unwrap().into_inner().http_response {
        Some(HttpResponse::OkResponse(ok)) => ok,
        Some(HttpResponse::DeniedResponse(denied)) => return Err(denied.status.unwrap().code),
        other => panic!("{other:?}"),
    };
    let mut headers: Vec<_> = sent.iter().map(|(n, v)| (n.to_string(), v.to_string())).collect();
    for option in ok.headers {
        let overwrites = option.append_action() == HeaderAppendAction::OverwriteIfExistsOrAdd;
        let header = option.header.unwrap();
        headers.retain(|(name, _)| !overwrites || *name != header.key);
        headers.push((header.key, header.value));
    }
    Ok(headers)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gateway_headers_sent_by_a_client_have_no_effect() {
    let site = Site::start(SiteOptions::default()).await;
    let (server, ticket) = ("x-weirusher-server", "x-weirusher-ticket");
    let value = |headers: &[(String, String)], name: &str| -> Vec<String> {
        headers.iter().filter(|(n, _)| n == name).map(|(_, v)| v.clone()).collect()
    };
    let spoofed = [("x-customer", "a"), (server, "127.0.0.1:1"), ("x-weirusher-timeout", "999")];
    let first = forwarded(&site, &spoofed).await.unwrap();
    for (name, sent) in &spoofed[1..] {
        let seen = value(&first, name);
        assert!(seen.len() == 1 && seen[0] != *sent, "{name}: {seen:?}");
    }
    // The ticket of another customer's request neither continues that request nor starts one for the thief.
    let stolen = value(&first, ticket).remove(0);
    let thief = [("x-customer", "b"), spoofed[1], spoofed[2], (ticket, stolen.as_str())];
    assert_eq!(forwarded(&site, &thief).await, Err(503));
    let stats = site.stats(0).await;
    assert_eq!((&stats["ledger"]["bad_tickets"], &stats["owed"]), (&1.into(), &1.into()), "{stats}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_oversized_message_fails_only_its_own_call() {
    let site = Site::start(SiteOptions::default()).await;
    let mut client =
        AuthorizationClient::connect(format!("http://{}", site.gateways[0].ext_authz)).await.unwrap();
    let large = "x".repeat(600 * 1024);
    assert!(client.check(check(&[("x-customer", "a"), ("x-large", &large)])).await.is_err());
    assert!(client.check(check(&[("x-customer", "a")])).await.is_ok());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn peers_that_send_garbage_or_stall_do_not_affect_others() {
    let site = Site::start(SiteOptions::default()).await;
    let front = site.gateways[0].ext_authz;
    let mut slow = Vec::new();
    for n in 0..50 {
        let mut stream = TcpStream::connect(front).await.unwrap();
        // Half of the peers begin a valid HTTP/2 preface and stall; the others send garbage.
        let bytes: &[u8] =
            if n % 2 == 0 { b"PRI * HTTP/2.0\r\n" } else { b"\x00\xffnothing of the kind\r\n\r\n" };
        stream.write_all(bytes).await.unwrap();
        slow.push(stream);
    }
    for _ in 0..20 {
        assert_eq!(site.send(BehaviourProfile::default()).await.outcome, ClientOutcome::Served);
    }
    // All of them are closed, including those that began a valid preface.
    site.wait_until(0, "/process/connections_mute", |n| n == 50).await;
    let mut byte = [0; 64];
    assert!(matches!(slow[0].read(&mut byte).await, Ok(0) | Err(_)), "a stalled peer was not closed");
    site.assert_rules_kept();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn thousands_of_streams_from_one_peer_do_not_starve_another() {
    let site =
        Site::start(SiteOptions { plan: "rate = 100000\nburst = 100000", ..SiteOptions::default() }).await;
    let client =
        AuthorizationClient::connect(format!("http://{}", site.gateways[0].ext_authz)).await.unwrap();
    let mut calls = tokio::task::JoinSet::new();
    for _ in 0..3000 {
        let mut client = client.clone();
        calls.spawn(async move { client.check(check(&[("x-customer", "flood")])).await });
    }
    // Meanwhile, another peer gets a response: served, or rejected with `Retry-After`.
    let outcome = site.send(BehaviourProfile::default()).await;
    assert!(matches!(outcome.outcome, ClientOutcome::Served | ClientOutcome::Rejected), "{outcome:?}");
    let mut answered = 0;
    while let Some(call) = calls.join_next().await {
        call.unwrap().expect("each stream of the flood is answered");
        answered += 1;
    }
    assert_eq!(answered, 3000);
    site.assert_rules_kept();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_admin_page_limits_its_connections() {
    let site = Site::start(SiteOptions::default()).await;
    let mut idle = Vec::new();
    for _ in 0..40 {
        idle.push(TcpStream::connect(site.gateways[0].admin).await.unwrap());
    }
    // Connections over the limit are closed at once.
    let mut byte = [0; 1];
    let read = tokio::time::timeout(Duration::from_secs(5), idle[39].read(&mut byte)).await;
    assert!(matches!(read, Ok(Ok(0) | Err(_))), "{read:?}");
    assert_eq!(site.send(BehaviourProfile::default()).await.outcome, ClientOutcome::Served);
}
