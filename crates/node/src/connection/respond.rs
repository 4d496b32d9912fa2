//! Writes responses to a client, and closes the connection after the last one.

use super::{Connection, Progress};
use crate::context::ClientResponse;
use crate::log::log_step;
use crate::metrics::CloseReason;
use bytes::{Buf, BytesMut};
use std::time::Duration;
use tokio::task::yield_now;
use weirusher::Reason;
use weirusher_buffers::SegmentedBytes;
use weirusher_core::Outcome;
use weirusher_platform::client::{
    RequestError, write_error, write_failed, write_readiness, write_rejected, write_served, write_unavailable,
};

/// Longest time that a client may take to read a response. It bounds how long a client that does not read
/// occupies a slot.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Longest lingering close (RFC 9112, section 9.6). Closing a socket with unread bytes sends a reset, which
/// may discard the last response before the client reads it.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of bytes of an invalid request that a lingering close reads and discards.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;
/// Initial capacity of the buffer for the head of a response, in bytes.
const HEAD_CAPACITY: usize = 128;

impl Connection {
    /// Writes all bytes.
    ///
    /// # Errors
    /// The client has disconnected, or did not read the bytes in time.
    pub(super) async fn write(&mut self, bytes: impl Buf) -> Result<(), CloseReason> {
        match tokio::time::timeout(WRITE_TIMEOUT, self.socket.write_all(bytes)).await {
            Ok(written) => Ok(written?),
            Err(_) => Err(CloseReason::ResponseUnread),
        }
    }

    pub(super) async fn write_response(
        &mut self,
        response: ClientResponse,
        close: bool,
    ) -> Result<(), CloseReason> {
        let mut head = BytesMut::with_capacity(HEAD_CAPACITY);
        let body = match response {
            ClientResponse::Served(body) => {
                write_served(&mut head, body.len(), close);
                body
            }
            ClientResponse::Outcome(Outcome::Rejected { reason: Reason::Stopping, .. }) => {
                write_unavailable(&mut head, close);
                SegmentedBytes::default()
            }
            ClientResponse::Outcome(Outcome::Rejected { retry_after, .. }) => {
                write_rejected(&mut head, retry_after, close);
                SegmentedBytes::default()
            }
            ClientResponse::Outcome(Outcome::Failed { .. }) => {
                write_failed(&mut head, close);
                SegmentedBytes::default()
            }
        };
        self.respond(head.chain(body)).await
    }

    /// Writes a response. No other response may be written for the same message afterwards.
    async fn respond(&mut self, response: impl Buf) -> Result<(), CloseReason> {
        self.progress = Progress::Responding;
        weirusher_panics::fault_point("response started");
        self.write(response).await
    }

    /// Answers the current message after a panic. If its head was read and no byte of a response was written,
    /// the response is the one for a request that may have been executed; the connection stays open only if
    /// the message was read completely. Otherwise the connection is closed without a response.
    pub(super) async fn respond_after_panic(&mut self) -> Result<(), CloseReason> {
        let is_complete = match self.progress {
            Progress::Waiting | Progress::Responding => return Err(CloseReason::Panicked),
            Progress::HeadRead => false,
            Progress::Pending => true,
        };
        let close = !is_complete || self.is_last_response();
        let mut head = BytesMut::with_capacity(HEAD_CAPACITY);
        write_failed(&mut head, close);
        self.respond(head).await?;
        if is_complete {
            return self.finish_message(close).await;
        }
        self.lingering_close_discarding().await;
        Err(CloseReason::Panicked)
    }

    pub(super) async fn answer_readiness_check(&mut self, close: bool) -> Result<(), CloseReason> {
        let close = close || self.is_last_response();
        let is_ready = self.slot.node.has_endpoint_list.get() && !self.is_shutting_down();
        let mut head = BytesMut::new();
        write_readiness(&mut head, is_ready, close);
        self.respond(head).await?;
        self.finish_message(close).await
    }

    /// Answers an invalid request with an error and closes the connection.
    pub(super) async fn reject_invalid(&mut self, error: RequestError) -> Result<(), CloseReason> {
        log_step!(self.slot.node, %error, connection = self.slot.id, "request invalid");
        self.buffer.reset(); // The rest of the request is of no use, and others may need the memory.
        let mut head = BytesMut::new();
        write_error(&mut head, error);
        self.respond(head).await?;
        self.lingering_close_discarding().await;
        Err(CloseReason::InvalidRequest)
    }

    /// Closes the connection after its last response, once the client has closed its side as well. Requests
    /// that the client has pipelined after it stay unread; the client sends them again on another connection.
    pub(super) async fn lingering_close(&mut self) {
        if self.socket.shutdown_write().is_ok() {
            // After the timeout the connection is closed anyway.
            let _ = tokio::time::timeout(LINGER_TIMEOUT, self.socket.wait_closed()).await;
        }
    }

    /// Closes the connection after an error. The rest of the invalid request is read and discarded, up to
    /// [`MAX_DISCARDED_BYTES`].
    async fn lingering_close_discarding(&mut self) {
        self.buffer.reset();
        if self.socket.shutdown_write().is_err() {
            return;
        }
        let discard = async {
            let mut remaining = MAX_DISCARDED_BYTES;
            while remaining > 0 {
                match self.socket.discard(remaining).await {
                    Ok(count @ 1..) => remaining -= count,
                    _ => break,
                }
                yield_now().await;
            }
        };
        // After the timeout the connection is closed anyway.
        let _ = tokio::time::timeout(LINGER_TIMEOUT, discard).await;
    }
}
