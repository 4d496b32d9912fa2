//! Panics in the tasks of `weirusher run`: who is answered, and what is left of them. All tasks run on the test's thread.

use envoy_types::pb::envoy::service::accesslog::v3::{
    StreamAccessLogsMessage,
    access_log_service_client::AccessLogServiceClient,
    stream_access_logs_message::{HttpAccessLogEntries, LogEntries},
};
use envoy_types::pb::envoy::service::auth::v3::attribute_context::{HttpRequest, Request};
use envoy_types::pb::envoy::service::auth::v3::{
    AttributeContext, CheckRequest, authorization_client::AuthorizationClient,
};
use std::time::Duration;
use tonic::Code;
use tonic::transport::{Channel, Endpoint};
use weirusher_config::Config;
use weirusher_ext_authz::GatewayHandle;
use weirusher_panics::{arm, quiet, was_reached};

/// Limit for what must happen.
const LIMIT: Duration = Duration::from_secs(20);
/// Longer than a test: no attempt times out and frees its place.
const ATTEMPT_MILLIS: u64 = 60_000;
/// Codes of a check's response (`google.rpc.Code`).
const OK: i32 = 0;
const REJECTED: i32 = 8;
const UNAVAILABLE: i32 = 14;
/// Checks after which the plan's limit of attempts in flight would be used up if a panic kept one.
const MAX_IN_FLIGHT: usize = 4;

struct Site {
    gateway: GatewayHandle,
    channel: Channel,
    _dir: tempfile::TempDir,
}

/// A gateway with a cached list of one backend, without discovery and a counter.
async fn site() -> Site {
    quiet();
    let dir = tempfile::tempdir().unwrap();
    let cache = dir.path().join("endpoints.json");
    std::fs::write(&cache, r#"[{"address": "127.0.0.1:9", "zone": 0, "started": 0.0}]"#).unwrap();
    let text = format!(
        "default_plan = \"only\"\n[instance]\nnumber = 0\ngateways = 1\n[listen]\next_authz = \"127.0.0.1:0\"\n\
         drain_seconds = 2\n[[tickets.keys]]\nid = 1\nsecret = \"0123456789abcdef0123456789abcdef\"\n\
         [discovery]\naddress = \"127.0.0.1:9\"\nkeep = \"{}\"\n[[plan]]\nname = \"only\"\nrate = 1e6\nburst = 1e6\n\
         open = {MAX_IN_FLIGHT}\n[[class]]\nname = \"only\"\naim_ms = {ATTEMPT_MILLIS}\neffect = \"unsafe\"\n",
        cache.display()
    );
    let gateway = weirusher_ext_authz::start(Config::parse(&text).unwrap()).await.unwrap();
    let channel = Endpoint::from_shared(format!("http://{}", gateway.ext_authz)).unwrap().connect_lazy();
    let site = Site { gateway, channel, _dir: dir };
    while site.check().await != Some(OK) {
        tokio::time::sleep(Duration::from_millis(2)).await; // The cached list is not loaded yet.
    }
    site
}

impl Site {
    /// The code of a check's response; `None`: there was none.
    async fn check(&self) -> Option<i32> {
        let headers = [("x-customer".to_string(), "acme".to_string())].into();
        let http = HttpRequest { method: "GET".into(), path: "/".into(), headers, ..HttpRequest::default() };
        let request = Some(Request { http: Some(http), ..Request::default() });
        let attributes = Some(AttributeContext { request, ..AttributeContext::default() });
        let mut client = AuthorizationClient::new(self.channel.clone());
        let response = tokio::time::timeout(LIMIT, client.check(CheckRequest { attributes }))
            .await
            .expect("in time")
            .ok()?;
        Some(response.into_inner().status?.code)
    }

    /// A figure of the admin page.
    async fn figure(&self, section: &str, name: &str) -> u64 {
        let page = weirusher_peers::page::get(self.gateway.admin, "/stats").await.unwrap();
        let stats: serde_json::Value = serde_json::from_slice(&page.body).unwrap();
        let section = if section.is_empty() { &stats } else { &stats[section] };
        section[name].as_u64().unwrap()
    }

    /// The code with which a stream of reports ends.
    async fn report(&self) -> Code {
        let entries = LogEntries::HttpLogs(HttpAccessLogEntries::default());
        let message =
            StreamAccessLogsMessage { log_entries: Some(entries), ..StreamAccessLogsMessage::default() };
        let stream = futures::stream::iter([message]);
        let ended = AccessLogServiceClient::new(self.channel.clone()).stream_access_logs(stream).await;
        ended.map_or_else(|status| status.code(), |_| Code::Ok)
    }
}

/// Guards against a check that is reset as its task panics, and against attempts that stay in flight.
#[tokio::test]
async fn a_check_whose_task_panics_is_answered_and_leaves_nothing_behind() {
    let site = site().await;
    let granted_before = site.figure("", "owed").await;
    let undelivered_before = site.figure("ledger", "undelivered").await;
    for round in 0..1000 {
        arm(if round % 2 == 0 { "check pending" } else { "check decided" });
        assert_eq!(site.check().await, Some(UNAVAILABLE), "round {round}");
        assert!(was_reached());
    }
    while site.figure("", "owed").await > granted_before {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    assert!(site.figure("ledger", "undelivered").await >= undelivered_before + 500);
    assert_eq!(site.figure("process", "queue_full").await, 0);
    // One is in flight since the start of the site.
    for _ in 1..MAX_IN_FLIGHT {
        assert_eq!(site.check().await, Some(OK));
    }
    assert_eq!(site.check().await, Some(REJECTED));
}

#[tokio::test]
async fn a_stream_of_reports_whose_task_panics_ends_with_a_status() {
    let site = site().await;
    arm("reports read");
    assert_eq!(site.report().await, Code::Internal);
    assert!(was_reached());
    assert_eq!(site.report().await, Code::Ok);
    assert_eq!(site.check().await, Some(OK));
}

/// Guards against a gateway that goes on without its engine, and rejects all checks for ever.
#[tokio::test]
async fn a_panic_of_the_engine_stops_the_gateway_in_order() {
    let site = site().await;
    arm("engine");
    assert!(site.check().await.is_some(), "the check that met it is answered");
    assert!(was_reached());
    tokio::time::timeout(LIMIT, site.gateway.failed()).await.expect("the panic is noticed");
    assert!(site.check().await.is_some(), "one that comes before the stop is answered");
    let Site { gateway, channel, .. } = site;
    drop(channel);
    tokio::time::timeout(LIMIT, gateway.stop()).await.expect("it stops");
}
