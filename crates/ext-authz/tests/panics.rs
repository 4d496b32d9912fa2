//! Panics in the tasks of `weirusher run`: clients still get a response, and no state is left behind. All tasks run on
//! the thread of the test, as fault points are armed per thread.

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
use weirusher_panics::{arm, fault_triggered, silence_injected_panics};

/// Time limit for anything that a test waits for.
const LIMIT: Duration = Duration::from_secs(20);
/// Longer than any test takes, so that no attempt times out and releases its slot.
const ATTEMPT_MILLIS: u64 = 60_000;
/// Status codes in a check's response (`google.rpc.Code`).
const OK: i32 = 0;
const REJECTED: i32 = 8;
const UNAVAILABLE: i32 = 14;
/// The plan's limit of attempts in flight. If panics leaked attempts, this many would exhaust it.
const MAX_IN_FLIGHT: usize = 4;

struct Fixture {
    gateway: GatewayHandle,
    channel: Channel,
    _dir: tempfile::TempDir,
}

/// Starts a gateway with a cached list of one backend, an unreachable discovery and no counter.
async fn start_gateway() -> Fixture {
    silence_injected_panics();
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
    let fixture = Fixture { gateway, channel, _dir: dir };
    while fixture.check().await != Some(OK) {
        tokio::time::sleep(Duration::from_millis(2)).await; // The cached list is not loaded yet.
    }
    fixture
}

impl Fixture {
    /// Returns the status code in the response to a check; `None` if there was no response.
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

    /// Returns a value from `GET /stats`.
    async fn metric(&self, section: &str, name: &str) -> u64 {
        let page = weirusher_peers::page::get(self.gateway.admin, "/stats").await.unwrap();
        let stats: serde_json::Value = serde_json::from_slice(&page.body).unwrap();
        let section = if section.is_empty() { &stats } else { &stats[section] };
        section[name].as_u64().unwrap()
    }

    /// Sends a stream of reports, and returns the code with which it ends.
    async fn report(&self) -> Code {
        let entries = LogEntries::HttpLogs(HttpAccessLogEntries::default());
        let message =
            StreamAccessLogsMessage { log_entries: Some(entries), ..StreamAccessLogsMessage::default() };
        let stream = futures::stream::iter([message]);
        let ended = AccessLogServiceClient::new(self.channel.clone()).stream_access_logs(stream).await;
        ended.map_or_else(|status| status.code(), |_| Code::Ok)
    }
}

/// A panic in a check's task must neither reset the check's stream nor leave its attempt in flight.
#[tokio::test]
async fn a_panicking_check_gets_a_response_and_leaks_no_attempt() {
    let fixture = start_gateway().await;
    let pending_before = fixture.metric("", "owed").await;
    let undelivered_before = fixture.metric("ledger", "undelivered").await;
    for round in 0..1000 {
        arm(if round % 2 == 0 { "check pending" } else { "check decided" });
        assert_eq!(fixture.check().await, Some(UNAVAILABLE), "round {round}");
        assert!(fault_triggered());
    }
    while fixture.metric("", "owed").await > pending_before {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    assert!(fixture.metric("ledger", "undelivered").await >= undelivered_before + 500);
    assert_eq!(fixture.metric("process", "queue_full").await, 0);
    // One attempt has been in flight since `start_gateway`.
    for _ in 1..MAX_IN_FLIGHT {
        assert_eq!(fixture.check().await, Some(OK));
    }
    assert_eq!(fixture.check().await, Some(REJECTED));
}

#[tokio::test]
async fn a_panicking_report_stream_ends_with_a_status() {
    let fixture = start_gateway().await;
    arm("reports read");
    assert_eq!(fixture.report().await, Code::Internal);
    assert!(fault_triggered());
    assert_eq!(fixture.report().await, Code::Ok);
    assert_eq!(fixture.check().await, Some(OK));
}

/// Without its engine, a gateway that kept running would fail every check.
#[tokio::test]
async fn a_panicking_engine_stops_the_gateway_gracefully() {
    let fixture = start_gateway().await;
    arm("engine");
    assert!(fixture.check().await.is_some(), "the check that caused the panic gets a response");
    assert!(fault_triggered());
    tokio::time::timeout(LIMIT, fixture.gateway.failed()).await.expect("the panic is reported");
    assert!(fixture.check().await.is_some(), "a check before the stop gets a response");
    let Fixture { gateway, channel, .. } = fixture;
    drop(channel);
    tokio::time::timeout(LIMIT, gateway.stop()).await.expect("the gateway stops in time");
}
