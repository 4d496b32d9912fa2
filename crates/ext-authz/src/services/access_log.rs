//! `envoy.service.accesslog.v3.AccessLogService/StreamAccessLogs`: reads reports of how attempts ended.

use crate::engine_task::{AttemptReport, ServiceEvent};
use crate::metrics::Metrics;
use envoy_types::pb::envoy::data::accesslog::v3::{
    AccessLogCommon, AccessLogType, HttpAccessLogEntry, ResponseFlags,
};
use envoy_types::pb::envoy::service::accesslog::v3::{
    StreamAccessLogsMessage, StreamAccessLogsResponse, access_log_service_server::AccessLogService,
    stream_access_logs_message::LogEntries,
};
use envoy_types::pb::google::protobuf::Duration;
use std::sync::Arc;
use tokio::sync::{mpsc, watch};
use tonic::{Request, Response, Status, Streaming};
use weirusher::Status as AttemptStatus;
use weirusher_config::RequestRules;
use weirusher_core::Completion;
use weirusher_panics::Panicked;

/// Response header by which a backend states that it rejected the request without executing it.
const REJECTED_HEADER: &str = "x-weirusher-turned-away";
/// Response header by which a backend states the units that the request used.
const SETTLED_UNITS_HEADER: &str = "x-weirusher-units";
const NANOS_PER_SECOND: f64 = 1e9;

/// The access log service.
pub struct AccessLog {
    pub rules: Arc<RequestRules>,
    pub engine: mpsc::Sender<ServiceEvent>,
    pub metrics: Arc<Metrics>,
    /// Set once the gateway no longer waits for reports.
    pub reports_done: watch::Receiver<bool>,
}

#[tonic::async_trait]
impl AccessLogService for AccessLog {
    async fn stream_access_logs(
        &self,
        request: Request<Streaming<StreamAccessLogsMessage>>,
    ) -> Result<Response<StreamAccessLogsResponse>, Status> {
        // After a panic, the proxy opens another stream. Attempts whose reports are lost are closed at their
        // deadlines.
        let read = weirusher_panics::catch(self.read_reports(request)).await;
        read.unwrap_or_else(|Panicked| Err(Status::internal("the stream's reader panicked")))
    }
}

impl AccessLog {
    /// Passes the reports of a stream to the engine until the stream ends.
    async fn read_reports(
        &self,
        request: Request<Streaming<StreamAccessLogsMessage>>,
    ) -> Result<Response<StreamAccessLogsResponse>, Status> {
        let (mut stream, mut reports_done) = (request.into_inner(), self.reports_done.clone());
        loop {
            let message = tokio::select! {
                biased;
                message = stream.message() => message?,
                _ = reports_done.wait_for(|done| *done) => None, // A dropped sender ends the stream as well.
            };
            let Some(message) = message else { break };
            let Some(LogEntries::HttpLogs(entries)) = message.log_entries else { continue };
            weirusher_panics::fault_point("reports read");
            for entry in &entries.log_entry {
                match attempt_report(&self.rules.ticket_header, entry) {
                    Some(report) => {
                        // Reports are not dropped: a full queue applies backpressure to this stream.
                        let sent = self.engine.send(ServiceEvent::Report(report)).await;
                        sent.map_err(|_| Status::unavailable("the gateway is stopping"))?;
                    }
                    None => self.metrics.increment(|m| &m.entries_without_ticket),
                }
            }
        }
        Ok(Response::new(StreamAccessLogsResponse {}))
    }
}

/// Converts an entry to a report; `None` if the entry has no ticket.
fn attempt_report(ticket_header: &str, entry: &HttpAccessLogEntry) -> Option<AttemptReport> {
    let ticket = entry.request.as_ref()?.request_headers.get(ticket_header)?.clone();
    let common = entry.common_properties.as_ref();
    let response = entry.response.as_ref();
    let header = |name: &str| response.and_then(|r| r.response_headers.get(name));
    let code = response.and_then(|r| r.response_code.as_ref()).map_or(0, |code| code.value);
    let flags = common.and_then(|c| c.response_flags.as_ref());
    let status = attempt_status(flags, code, header(REJECTED_HEADER).is_some());
    // An `UpstreamEnd` entry ends the attempt only; any other entry ends the request.
    let attempt_only = common.is_some_and(|c| c.access_log_type == AccessLogType::UpstreamEnd as i32);
    let completion = if attempt_only { Completion::Attempt(status) } else { Completion::Request(status) };
    let settled_units = header(SETTLED_UNITS_HEADER).and_then(|text| text.parse().ok());
    Some(AttemptReport { ticket, completion, elapsed: common.and_then(elapsed), settled_units })
}

/// Returns how the attempt ended. Envoy's response flags take precedence over the status code.
fn attempt_status(flags: Option<&ResponseFlags>, code: u32, rejected: bool) -> AttemptStatus {
    let flagged = flags.and_then(|f| {
        let causes = [
            (f.upstream_connection_failure, AttemptStatus::ConnectFailed),
            (f.upstream_overflow || f.no_healthy_upstream || f.no_route_found, AttemptStatus::NotSent),
            (
                f.upstream_request_timeout || f.duration_timeout || f.stream_idle_timeout,
                AttemptStatus::Timeout,
            ),
            (f.downstream_connection_termination || f.downstream_remote_reset, AttemptStatus::Cancelled),
            (f.upstream_connection_termination || f.upstream_remote_reset, AttemptStatus::Reset),
            (f.local_reset || f.upstream_protocol_error, AttemptStatus::Reset),
        ];
        causes.into_iter().find(|(set, _)| *set).map(|(_, status)| status)
    });
    flagged.unwrap_or(match code {
        _ if rejected => AttemptStatus::Rejected,
        100..=499 => AttemptStatus::Ok,
        500.. => AttemptStatus::Error,
        0..=99 => AttemptStatus::Reset,
    })
}

/// Seconds from the first byte sent to the backend to the last byte received from it.
fn elapsed(common: &AccessLogCommon) -> Option<f64> {
    let seconds = |d: &Duration| d.seconds as f64 + f64::from(d.nanos) / NANOS_PER_SECOND;
    let last_received = common.time_to_last_upstream_rx_byte.as_ref()?;
    Some(seconds(last_received) - common.time_to_first_upstream_tx_byte.as_ref().map_or(0.0, seconds))
}

#[cfg(test)]
mod tests;
