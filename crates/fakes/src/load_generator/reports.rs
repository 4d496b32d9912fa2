//! The access log stream on which attempts are reported to one gateway.

use envoy_types::pb::envoy::data::accesslog::v3::HttpAccessLogEntry;
use envoy_types::pb::envoy::service::accesslog::v3::access_log_service_client::AccessLogServiceClient;
use envoy_types::pb::envoy::service::accesslog::v3::{
    StreamAccessLogsMessage, stream_access_logs_message::HttpAccessLogEntries,
    stream_access_logs_message::LogEntries,
};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::Channel;

/// Reports in one message at most.
const BATCH: usize = 64;
/// Pause before a broken stream is opened again.
const REOPEN_DELAY: Duration = Duration::from_millis(50);

/// Keeps a stream open and sends the entries on it. Entries that a broken stream had taken are lost.
pub(super) async fn stream_forever(channel: Channel, mut entries: mpsc::Receiver<HttpAccessLogEntry>) {
    let mut batch = Vec::with_capacity(BATCH);
    loop {
        let (messages, stream) = mpsc::channel(BATCH);
        let mut client = AccessLogServiceClient::new(channel.clone());
        let mut call = std::pin::pin!(client.stream_access_logs(ReceiverStream::new(stream)));
        loop {
            tokio::select! {
                _ = &mut call => break,
                taken = entries.recv_many(&mut batch, BATCH) => {
                    if taken == 0 {
                        return;
                    }
                    let logs = HttpAccessLogEntries { log_entry: std::mem::take(&mut batch) };
                    let log_entries = Some(LogEntries::HttpLogs(logs));
                    // A stream that takes nothing stops here, and the queue above drops what exceeds it.
                    tokio::select! {
                        _ = &mut call => break,
                        _ = messages.send(StreamAccessLogsMessage { identifier: None, log_entries }) => {}
                    }
                }
            }
        }
        tokio::time::sleep(REOPEN_DELAY).await;
    }
}
