//! Builds and reads the messages of Envoy's external authorisation and access log services.

use crate::capture::CheckOutcome;
use crate::client_request::{AttemptOutcome, ClientRequest};
use envoy_types::pb::envoy::data::accesslog::v3::{
    AccessLogCommon, AccessLogType, HttpAccessLogEntry, HttpRequestProperties, HttpResponseProperties,
    ResponseFlags,
};
use envoy_types::pb::envoy::service::auth::v3::attribute_context::{
    HttpRequest, Request as AttributeRequest,
};
use envoy_types::pb::envoy::service::auth::v3::{
    AttributeContext, CheckRequest, CheckResponse, DeniedHttpResponse, OkHttpResponse,
    check_response::HttpResponse,
};
use envoy_types::pb::google::protobuf::{Duration as ProtoDuration, UInt32Value};
use std::collections::HashMap;
use std::time::Duration;

/// Status code of a check response that allows the request (`google.rpc.Code.OK`).
const RPC_OK: i32 = 0;

/// Builds the check for a request, with the ticket of its last attempt and the time until its deadline.
pub(super) fn check_request(
    client: &ClientRequest,
    ticket: Option<&str>,
    remaining: Duration,
) -> CheckRequest {
    let mut headers: HashMap<String, String> = [
        ("x-customer".to_string(), client.customer.clone()),
        ("x-units".to_string(), client.units.to_string()),
        ("x-envoy-expected-rq-timeout-ms".to_string(), remaining.as_millis().to_string()),
    ]
    .into();
    headers.extend(ticket.map(|ticket| ("x-weirusher-ticket".to_string(), ticket.to_string())));
    let http =
        HttpRequest { method: "POST".into(), path: client.path.clone(), headers, ..HttpRequest::default() };
    let request = Some(AttributeRequest { http: Some(http), time: None });
    CheckRequest { attributes: Some(AttributeContext { request, ..AttributeContext::default() }) }
}

/// Reads the outcome of a check from the response.
pub(super) fn check_outcome(response: CheckResponse) -> CheckOutcome {
    let code = response.status.as_ref().map(|status| status.code);
    match response.http_response {
        Some(HttpResponse::OkResponse(ok)) if code == Some(RPC_OK) => allowed_outcome(&ok),
        Some(HttpResponse::DeniedResponse(denied)) => denied_outcome(&denied),
        _ => CheckOutcome::Invalid,
    }
}

fn allowed_outcome(ok: &OkHttpResponse) -> CheckOutcome {
    let value = |name: &str| {
        let mut headers = ok.headers.iter().filter_map(|option| option.header.as_ref());
        headers.find(|header| header.key == name).map_or_else(String::new, |header| header.value.clone())
    };
    CheckOutcome::Allowed {
        backend: value("x-weirusher-server"),
        timeout_seconds: value("x-weirusher-timeout").parse().unwrap_or(0.0),
        ticket: value("x-weirusher-ticket"),
    }
}

fn denied_outcome(denied: &DeniedHttpResponse) -> CheckOutcome {
    let mut headers = denied.headers.iter().filter_map(|option| option.header.as_ref());
    match denied.status.as_ref().map(|status| status.code) {
        Some(429) => {
            let advice = headers.find(|header| header.key == "retry-after");
            let seconds = advice.and_then(|header| header.value.parse().ok());
            CheckOutcome::Rejected { retry_after_seconds: seconds.unwrap_or(0.0) }
        }
        Some(503) => CheckOutcome::Failed,
        _ => CheckOutcome::Invalid,
    }
}

/// Builds the access log entry of an attempt that took `duration`; `request_ended`: no retry follows.
pub(super) fn log_entry(
    ticket: &str,
    outcome: AttemptOutcome,
    request_ended: bool,
    duration: Duration,
) -> HttpAccessLogEntry {
    let (mut flags, mut status) = (ResponseFlags::default(), 0);
    let mut response = HttpResponseProperties::default();
    match outcome {
        AttemptOutcome::Responded(code) => status = u32::from(code),
        AttemptOutcome::Rejected => {
            status = 503;
            response.response_headers.insert("x-weirusher-turned-away".into(), "1".into());
        }
        AttemptOutcome::NoConnection => flags.upstream_connection_failure = true,
        AttemptOutcome::ConnectionLost => flags.upstream_connection_termination = true,
        AttemptOutcome::Timeout => flags.upstream_request_timeout = true,
        AttemptOutcome::ClientClosed => flags.downstream_connection_termination = true,
    }
    response.response_code = Some(UInt32Value { value: status });
    let kind = if request_ended { AccessLogType::DownstreamEnd } else { AccessLogType::UpstreamEnd };
    let duration =
        ProtoDuration { seconds: duration.as_secs() as i64, nanos: duration.subsec_nanos() as i32 };
    let common = AccessLogCommon {
        response_flags: Some(flags),
        access_log_type: kind.into(),
        time_to_last_upstream_rx_byte: Some(duration),
        ..AccessLogCommon::default()
    };
    let request_headers = [("x-weirusher-ticket".to_string(), ticket.to_string())].into();
    HttpAccessLogEntry {
        common_properties: Some(common),
        request: Some(HttpRequestProperties { request_headers, ..HttpRequestProperties::default() }),
        response: Some(response),
        ..HttpAccessLogEntry::default()
    }
}
