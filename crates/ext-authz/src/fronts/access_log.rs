//! `envoy.service.accesslog.v3.AccessLogService/StreamAccessLogs`: how attempts' ends are learned.

use crate::driver::FrontEvent;
use crate::stats::Stats;
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
use weirusher::Status as End;
use weirusher_config::RequestRules;
use weirusher_core::Completion;

/// Response header by which a backend says that it turned the request away and ran nothing.
const TURNED_AWAY: &str = "x-weirusher-turned-away";
/// Response header that states the true units.
const UNITS: &str = "x-weirusher-units";

/// The front.
pub struct AccessLog {
    pub rules: Arc<RequestRules>,
    pub driver: mpsc::Sender<FrontEvent>,
    pub stats: Arc<Stats>,
    /// Set once no entry is waited for any more.
    pub ends: watch::Receiver<bool>,
}

#[tonic::async_trait]
impl AccessLogService for AccessLog {
    async fn stream_access_logs(
        &self,
        request: Request<Streaming<StreamAccessLogsMessage>>,
    ) -> Result<Response<StreamAccessLogsResponse>, Status> {
        let (mut stream, mut ends) = (request.into_inner(), self.ends.clone());
        loop {
            let message = tokio::select! {
                biased;
                message = stream.message() => message?,
                _ = ends.wait_for(|ends| *ends) => None, // A dropped sender ends it as well.
            };
            let Some(message) = message else { break };
            let Some(LogEntries::HttpLogs(entries)) = message.log_entries else { continue };
            for entry in &entries.log_entry {
                match read(&self.rules.ticket_header, entry) {
                    Some(event) => {
                        // A full queue holds this stream back, and no other: reports are not dropped.
                        let sent = self.driver.send(event).await;
                        sent.map_err(|_| Status::unavailable("the gateway is stopping"))?;
                    }
                    None => self.stats.add(|s| &s.entries_without_ticket),
                }
            }
        }
        Ok(Response::new(StreamAccessLogsResponse {}))
    }
}

/// An entry as an event; `None` without a ticket.
fn read(ticket_header: &str, entry: &HttpAccessLogEntry) -> Option<FrontEvent> {
    let ticket = entry.request.as_ref()?.request_headers.get(ticket_header)?.clone();
    let common = entry.common_properties.as_ref();
    let response = entry.response.as_ref();
    let header = |name: &str| response.and_then(|r| r.response_headers.get(name));
    let code = response.and_then(|r| r.response_code.as_ref()).map_or(0, |code| code.value);
    let flags = common.and_then(|c| c.response_flags.as_ref());
    let status = status(flags, code, header(TURNED_AWAY).is_some());
    // An entry of an upstream's end leaves the request open; every other one closes it.
    let attempt_only = common.is_some_and(|c| c.access_log_type == AccessLogType::UpstreamEnd as i32);
    let completion = if attempt_only { Completion::Attempt(status) } else { Completion::Request(status) };
    let settled = header(UNITS).and_then(|text| text.parse().ok());
    Some(FrontEvent::Report { ticket, completion, spent: common.and_then(spent), settled })
}

/// How the attempt ended, by the published response flags first, then by the backend's answer.
fn status(flags: Option<&ResponseFlags>, code: u32, turned_away: bool) -> End {
    let flagged = flags.and_then(|f| {
        let found = [
            (f.upstream_connection_failure, End::ConnectFailed),
            (f.upstream_overflow || f.no_healthy_upstream || f.no_route_found, End::NotSent),
            (f.upstream_request_timeout || f.duration_timeout || f.stream_idle_timeout, End::Timeout),
            (f.downstream_connection_termination || f.downstream_remote_reset, End::Cancelled),
            (f.upstream_connection_termination || f.upstream_remote_reset, End::Reset),
            (f.local_reset || f.upstream_protocol_error, End::Reset),
        ];
        found.into_iter().find(|(set, _)| *set).map(|(_, status)| status)
    });
    flagged.unwrap_or(match code {
        _ if turned_away => End::Rejected,
        100..=499 => End::Ok,
        500.. => End::Error,
        0..=99 => End::Reset,
    })
}

/// Seconds from the first byte sent to the last received.
fn spent(common: &AccessLogCommon) -> Option<f64> {
    let seconds = |d: &Duration| d.seconds as f64 + f64::from(d.nanos) / 1e9;
    let last = common.time_to_last_upstream_rx_byte.as_ref()?;
    Some(seconds(last) - common.time_to_first_upstream_tx_byte.as_ref().map_or(0.0, seconds))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn flags_go_before_codes_and_a_turned_away_request_never_ran() {
        let timeout = ResponseFlags { upstream_request_timeout: true, ..ResponseFlags::default() };
        let refused = ResponseFlags { upstream_connection_failure: true, ..ResponseFlags::default() };
        assert_eq!(status(Some(&timeout), 504, false), End::Timeout);
        assert_eq!(status(Some(&refused), 503, false), End::ConnectFailed);
        assert_eq!(status(None, 200, false), End::Ok);
        assert_eq!(status(None, 500, false), End::Error);
        assert_eq!(status(None, 503, true), End::Rejected);
        assert_eq!(status(None, 0, false), End::Reset);
    }
}
