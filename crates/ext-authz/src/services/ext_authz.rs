//! `envoy.service.auth.v3.Authorization/Check`: decides whether an attempt may be sent, and to which backend.

use crate::attributes::parse_check;
use crate::engine_task::{PendingCheck, ServiceEvent};
use crate::metrics::Metrics;
use envoy_types::pb::envoy::config::core::v3::header_value_option::HeaderAppendAction;
use envoy_types::pb::envoy::config::core::v3::{HeaderValue, HeaderValueOption};
use envoy_types::pb::envoy::service::auth::v3::{
    CheckRequest, CheckResponse, DeniedHttpResponse, OkHttpResponse, authorization_server::Authorization,
    check_response::HttpResponse,
};
use envoy_types::pb::envoy::r#type::v3::{HttpStatus, StatusCode};
use envoy_types::pb::google::protobuf::{Struct, Value, value};
use envoy_types::pb::google::rpc::Status as RpcStatus;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use tokio::sync::{mpsc, oneshot};
use tonic::{Code, Request, Response, Status};
use weirusher_config::RequestRules;
use weirusher_core::{CallerId, CheckFailure, CheckOutcome, DeliveryId, Grant};
use weirusher_panics::Panicked;

/// Retry-After in seconds when the queue of the engine is full; a full queue is emptied in about this time.
const QUEUE_FULL_RETRY_AFTER_SECONDS: f64 = 1.0;

/// The authorisation service.
pub struct ExtAuthz {
    pub rules: Arc<RequestRules>,
    pub engine: mpsc::Sender<ServiceEvent>,
    pub next_caller: Arc<AtomicU64>,
    pub metrics: Arc<Metrics>,
}

/// Waits for the outcome of a check. If it is dropped before the response is built, because the client reset
/// the stream, the connection broke or the task panicked, it notifies the engine. If the engine's queue is
/// full, the notification is lost and the attempt is closed at its deadline.
struct OutcomeWaiter {
    caller: CallerId,
    outcome: oneshot::Receiver<(CheckOutcome, DeliveryId)>,
    engine: mpsc::Sender<ServiceEvent>,
    /// The delivery of the outcome, once it was received.
    delivery: Option<DeliveryId>,
    /// Whether the response has been built.
    responded: bool,
}

impl OutcomeWaiter {
    /// Waits for the outcome; `None` if the engine task has ended.
    async fn wait(&mut self) -> Option<CheckOutcome> {
        let (outcome, delivery) = (&mut self.outcome).await.ok()?;
        self.delivery = Some(delivery);
        Some(outcome)
    }
}

impl Drop for OutcomeWaiter {
    fn drop(&mut self) {
        if self.responded {
            return;
        }
        let undelivered =
            self.delivery.or_else(|| self.outcome.try_recv().ok().map(|(_, delivery)| delivery));
        let event = undelivered.map_or(ServiceEvent::ClientClosed(self.caller), ServiceEvent::Undelivered);
        let _ = self.engine.try_send(event);
    }
}

#[tonic::async_trait]
impl Authorization for ExtAuthz {
    async fn check(&self, request: Request<CheckRequest>) -> Result<Response<CheckResponse>, Status> {
        // If the task panics after a grant, `OutcomeWaiter` reports the grant as undelivered, and the engine
        // closes its attempt as not sent.
        let response = weirusher_panics::catch(self.decide(request)).await;
        Ok(Response::new(response.unwrap_or_else(|Panicked| failed(CheckFailure::RequestFailed))))
    }
}

impl ExtAuthz {
    /// Decides a check, and returns the response to it.
    async fn decide(&self, request: Request<CheckRequest>) -> CheckResponse {
        let parsed = parse_check(&self.rules, request.get_ref().attributes.as_ref());
        drop(request); // It may be large, and the check may be pending for long.
        let check = match parsed {
            Ok(check) => check,
            Err(error) => {
                self.metrics.increment(|m| &m.invalid_checks);
                return denied(StatusCode::BadRequest, Code::InvalidArgument, &error.to_string(), None);
            }
        };
        let (sender, outcome) = oneshot::channel();
        let caller = self.next_caller.fetch_add(1, Relaxed);
        let pending = PendingCheck { caller, check, outcome: sender };
        if self.engine.try_send(ServiceEvent::Check(Box::new(pending))).is_err() {
            self.metrics.increment(|m| &m.queue_full);
            return rejected(QUEUE_FULL_RETRY_AFTER_SECONDS);
        }
        let engine = self.engine.clone();
        let mut waiter = OutcomeWaiter { caller, outcome, engine, delivery: None, responded: false };
        weirusher_panics::fault_point("check pending");
        let outcome = waiter.wait().await;
        weirusher_panics::fault_point("check decided");
        let response = match outcome {
            Some(CheckOutcome::Allowed(grant)) => allowed(&self.rules, &grant),
            Some(CheckOutcome::Rejected { retry_after }) => rejected(retry_after),
            Some(CheckOutcome::Failed(failure)) => failed(failure),
            None => {
                denied(StatusCode::ServiceUnavailable, Code::Unavailable, "the gateway is stopping", None)
            }
        };
        waiter.responded = true;
        response
    }
}

fn header(key: &str, value: String) -> HeaderValueOption {
    let header = Some(HeaderValue { key: key.to_string(), value, raw_value: Vec::new() });
    // The default action would append to a header of the same name that the client sent.
    let append_action = HeaderAppendAction::OverwriteIfExistsOrAdd.into();
    HeaderValueOption { header, append_action, ..HeaderValueOption::default() }
}

fn status(code: Code, message: &str) -> Option<RpcStatus> {
    Some(RpcStatus { code: code as i32, message: message.to_string(), details: Vec::new() })
}

/// A response that allows the attempt. The values for the backend and the proxy are sent as headers and as
/// dynamic metadata.
fn allowed(rules: &RequestRules, grant: &Grant) -> CheckResponse {
    let values = [
        (&rules.ticket_header, grant.ticket.clone()),
        (&rules.backend_header, grant.backend.to_string()),
        (&rules.timeout_header, format!("{:.3}", grant.timeout)),
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

fn rejected(retry_after: f64) -> CheckResponse {
    let message = "over the quota or the fleet's capacity";
    denied(StatusCode::TooManyRequests, Code::ResourceExhausted, message, Some(retry_after))
}

fn failed(failure: CheckFailure) -> CheckResponse {
    let (code, message) = match failure {
        CheckFailure::RequestFailed => (Code::Unavailable, "failed; it may have run"),
        CheckFailure::InvalidTicket => (Code::Unauthenticated, "the ticket is not valid"),
        CheckFailure::Duplicate => (Code::AlreadyExists, "this request is being decided already"),
        CheckFailure::UnknownAttempt => (Code::Unavailable, "its earlier attempt is not known here"),
    };
    denied(StatusCode::ServiceUnavailable, code, message, None)
}

/// A response that denies the attempt. The client receives `http` as the status and `message` as the body.
/// `retry_after` is in seconds.
fn denied(http: StatusCode, code: Code, message: &str, retry_after: Option<f64>) -> CheckResponse {
    // HTTP has whole seconds only. Rounded up, as a client that retries too early would be rejected again.
    let retry_after =
        retry_after.map(|seconds| header("retry-after", format!("{}", seconds.ceil().max(0.0) as u64)));
    let status_code = Some(HttpStatus { code: http as i32 });
    let headers = retry_after.into_iter().collect();
    let response = DeniedHttpResponse { status: status_code, headers, body: message.to_string() };
    CheckResponse {
        status: status(code, message),
        dynamic_metadata: None,
        http_response: Some(HttpResponse::DeniedResponse(response)),
    }
}

#[cfg(test)]
mod tests;
