//! The access log stream that reports attempts to one gateway.

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

/// Maximum number of reports in one message, and of messages that wait for the stream.
const MAX_BATCH: usize = 64;
/// Delay before a broken stream is opened again.
const REOPEN_DELAY: Duration = Duration::from_millis(50);

/// Keeps a stream open and sends the entries on it. Entries that were handed to a stream before it broke are lost.
pub(super) async fn stream_forever(channel: Channel, mut entries: mpsc::Receiver<HttpAccessLogEntry>) {
    let mut batch = Vec::with_capacity(MAX_BATCH);
    loop {
        let (messages, stream) = mpsc::channel(MAX_BATCH);
        let mut client = AccessLogServiceClient::new(channel.clone());
        let mut call = std::pin::pin!(client.stream_access_logs(ReceiverStream::new(stream)));
        loop {
            tokio::select! {
                _ = &mut call => break,
                received = entries.recv_many(&mut batch, MAX_BATCH) => {
                    if received == 0 {
                        return;
                    }
                    let logs = HttpAccessLogEntries { log_entry: std::mem::take(&mut batch) };
                    let log_entries = Some(LogEntries::HttpLogs(logs));
                    // While the stream accepts nothing, this waits; the sender drops reports once the queue of entries
                    // is full.
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
