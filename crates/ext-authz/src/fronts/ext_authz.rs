//! `envoy.service.auth.v3.Authorization/Check`.

use crate::attributes::admit;
use crate::driver::{CheckIn, FrontEvent};
use crate::stats::Stats;
use envoy_types::pb::envoy::config::core::v3::header_value_option::HeaderAppendAction;
use envoy_types::pb::envoy::config::core::v3::{HeaderValue, HeaderValueOption};
use envoy_types::pb::envoy::service::auth::v3::{
    CheckRequest, CheckResponse, DeniedHttpResponse, OkHttpResponse, authorization_server::Authorization,
    check_response::HttpResponse,
};
use envoy_types::pb::envoy::r#type::v3::HttpStatus;
use envoy_types::pb::google::protobuf::{Struct, Value, value};
use envoy_types::pb::google::rpc::Status as RpcStatus;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use tokio::sync::{mpsc, oneshot};
use tonic::{Code, Request, Response, Status};
use weirusher_config::RequestRules;
use weirusher_core::{CallerId, CheckFailure, CheckOutcome, DeliveryId, Grant};

/// Seconds of advice where the driver's queue is full: about the time it takes to work it off.
const QUEUE_ADVICE: f64 = 1.0;

/// The front.
pub struct ExtAuthz {
    pub rules: Arc<RequestRules>,
    pub driver: mpsc::Sender<FrontEvent>,
    pub next: Arc<AtomicU64>,
    pub stats: Arc<Stats>,
}

/// A Check that waits. Dropped before its answer was read, when the client resets the stream or its
/// connection breaks, it tells the driver; with a full queue it does not, and the attempt's limit closes it.
struct Waiting {
    caller: CallerId,
    reply: oneshot::Receiver<(CheckOutcome, DeliveryId)>,
    driver: mpsc::Sender<FrontEvent>,
    read: bool,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if self.read {
            return;
        }
        let event = match self.reply.try_recv() {
            Ok((_, delivery)) => FrontEvent::Undelivered(delivery),
            Err(_) => FrontEvent::Gone(self.caller),
        };
        let _ = self.driver.try_send(event);
    }
}

#[tonic::async_trait]
impl Authorization for ExtAuthz {
    async fn check(&self, request: Request<CheckRequest>) -> Result<Response<CheckResponse>, Status> {
        let check = match admit(&self.rules, request.get_ref().attributes.as_ref()) {
            Ok(check) => check,
            Err(bad) => {
                self.stats.add(|s| &s.bad_checks);
                return Ok(Response::new(denied(400, Code::InvalidArgument, &bad.to_string(), None)));
            }
        };
        let (reply, receiver) = oneshot::channel();
        let caller = self.next.fetch_add(1, Relaxed);
        let check = CheckIn { caller, check, reply };
        if self.driver.try_send(FrontEvent::Check(Box::new(check))).is_err() {
            self.stats.add(|s| &s.queue_full);
            return Ok(Response::new(refused(QUEUE_ADVICE)));
        }
        let mut waiting = Waiting { caller, reply: receiver, driver: self.driver.clone(), read: false };
        let answer = (&mut waiting.reply).await;
        waiting.read = true;
        Ok(Response::new(match answer {
            Ok((CheckOutcome::Allowed(allowed), _)) => allowed_response(&self.rules, &allowed),
            Ok((CheckOutcome::Rejected { retry_after }, _)) => refused(retry_after),
            Ok((CheckOutcome::Failed(failure), _)) => failed(failure),
            Err(_) => denied(503, Code::Unavailable, "the gateway is stopping", None),
        }))
    }
}

fn header(key: &str, value: String) -> HeaderValueOption {
    let header = Some(HeaderValue { key: key.to_string(), value, raw_value: Vec::new() });
    // In place of what a client sent under that name: the default would add to it.
    let append_action = HeaderAppendAction::OverwriteIfExistsOrAdd.into();
    HeaderValueOption { header, append_action, ..HeaderValueOption::default() }
}

fn status(code: Code, message: &str) -> Option<RpcStatus> {
    Some(RpcStatus { code: code as i32, message: message.to_string(), details: Vec::new() })
}

/// The request may go out: headers for the backend and the proxy, and the same as dynamic metadata.
fn allowed_response(rules: &RequestRules, allowed: &Grant) -> CheckResponse {
    let values = [
        (&rules.ticket_header, allowed.ticket.clone()),
        (&rules.backend_header, allowed.backend.to_string()),
        (&rules.timeout_header, format!("{:.3}", allowed.timeout)),
    ];
    let field = |(name, text): &(&String, String)| {
        (name.to_string(), Value { kind: Some(value::Kind::StringValue(text.clone())) })
    };
    let metadata = Struct { fields: values.iter().map(field).collect() };
    let headers = values.into_iter().map(|(name, value)| header(name, value)).collect();
    let ok = OkHttpResponse { headers, ..OkHttpResponse::default() };
    CheckResponse {
        status: status(Code::Ok, ""),
        dynamic_metadata: Some(metadata),
        http_response: Some(HttpResponse::OkResponse(ok)),
    }
}

fn refused(retry_after: f64) -> CheckResponse {
    denied(429, Code::ResourceExhausted, "over the quota or the fleet's capacity", Some(retry_after))
}

fn failed(failure: CheckFailure) -> CheckResponse {
    match failure {
        CheckFailure::RequestFailed => denied(503, Code::Unavailable, "failed; it may have run", None),
        CheckFailure::InvalidTicket => denied(503, Code::Unauthenticated, "the ticket is not valid", None),
        CheckFailure::Duplicate => {
            denied(503, Code::AlreadyExists, "this request is being decided already", None)
        }
        CheckFailure::UnknownAttempt => {
            denied(503, Code::Unavailable, "its earlier attempt is not known here", None)
        }
    }
}

fn denied(http: i32, code: Code, message: &str, retry_after: Option<f64>) -> CheckResponse {
    // Whole seconds, as HTTP has them, rounded up: a client that comes too early is refused again.
    let advice =
        retry_after.map(|seconds| header("retry-after", format!("{}", seconds.ceil().max(0.0) as u64)));
    let status_code = Some(HttpStatus { code: http });
    let headers = advice.into_iter().collect();
    let response = DeniedHttpResponse { status: status_code, headers, body: message.to_string() };
    CheckResponse {
        status: status(code, message),
        dynamic_metadata: None,
        http_response: Some(HttpResponse::DeniedResponse(response)),
    }
}
