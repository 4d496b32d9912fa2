//! A client connection: serves requests one after another, each with exactly one response.
//!
//! A request is read (`read.rs`), registered in the request table, and waits for its response, which is then
//! written to the client (`respond.rs`). Each phase is a method of [`Connection`].

mod read;
mod respond;

use crate::client_slot::ClientSlot;
use crate::client_socket::ClientSocket;
use crate::close_signal::CloseSignal;
use crate::context::{ClientResponse, NodeContext};
use crate::log::log_step;
use crate::metrics::CloseReason;
use bytes::Buf;
use read::{ReadError, Received};
use std::io;
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::task::yield_now;
use weirusher::{RequestId, Time};
use weirusher_buffers::{Growth, ReadBuffer};
use weirusher_core::IncomingRequest;
use weirusher_panics::Panicked;
use weirusher_platform::backend::ForwardedRequest;
use weirusher_platform::client::{ClientRequest, RequestError};
use weirusher_wire::head::HeadSearch;
use weirusher_wire::http1::MAX_HEAD_BYTES;

/// Sizes of the read buffer. A request whose head and body are short needs no grant of memory; a head that is too
/// long is noticed before the buffer is full.
const BUFFER_GROWTH: Growth = Growth { initial: 1024, max: MAX_HEAD_BYTES + 1024 };

/// Withdraws a pending request if it is dropped before the request has its response, as when the client
/// disconnects.
struct WithdrawOnDrop {
    node: Rc<NodeContext>,
    id: RequestId,
    answered: bool,
}

impl Drop for WithdrawOnDrop {
    fn drop(&mut self) {
        if !self.answered {
            self.node.handle_client_gone(&self.id);
        }
    }
}

/// A failed read or write means that the client has closed or reset the connection.
impl From<io::Error> for CloseReason {
    fn from(_: io::Error) -> Self {
        Self::ClientClosed
    }
}

/// The progress of the current message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// No message is being read, or its head is incomplete.
    Waiting,
    /// The head was read.
    HeadRead,
    /// The message was read completely and has no response yet.
    Pending,
    /// The response is being written.
    Responding,
}

/// A client connection.
pub struct Connection {
    slot: ClientSlot,
    socket: ClientSocket,
    close_signal: Rc<CloseSignal>,
    buffer: ReadBuffer,
    head_search: HeadSearch,
    /// Whether a request has been received in part.
    is_reading: bool,
    progress: Progress,
    accepted_at: Time,
    /// When the first byte of the most recent request was received.
    first_byte_at: Time,
    /// Number of requests read so far.
    requests: u64,
}

impl Connection {
    /// Wraps a connection that was accepted just now.
    pub fn new(slot: ClientSlot, socket: ClientSocket, close_signal: Rc<CloseSignal>) -> Self {
        let accepted_at = slot.node.now();
        let buffer = ReadBuffer::new(BUFFER_GROWTH, slot.node.memory.requests.clone());
        Self {
            slot,
            socket,
            close_signal,
            buffer,
            head_search: HeadSearch::default(),
            is_reading: false,
            progress: Progress::Waiting,
            accepted_at,
            first_byte_at: accepted_at,
            requests: 0,
        }
    }

    /// Serves the requests of the connection until it closes. After each message all other tasks have their turn,
    /// however many further messages have arrived.
    pub async fn serve(mut self) {
        let reason = loop {
            let served = match weirusher_panics::catch(self.serve_next()).await {
                Ok(served) => served,
                Err(Panicked) => self.respond_after_panic().await,
            };
            if let Err(reason) = served {
                break reason;
            }
            yield_now().await;
        };
        let node = &self.slot.node;
        node.connections.closed(reason);
        if matches!(reason, CloseReason::Idle | CloseReason::NoRequest | CloseReason::Shutdown) {
            let has_unread_request =
                matches!(HeadSearch::default().find_end(self.buffer.chunk()), Ok(Some(_)));
            node.handle_connection_closed(
                usize::from(self.progress == Progress::Pending) + usize::from(has_unread_request),
            );
        }
        let (connection, requests, open) = (self.slot.id, self.requests, node.now() - self.accepted_at);
        log_step!(node, %reason, connection, requests, open, "connection closed");
    }

    /// Reads and answers one message.
    ///
    /// # Errors
    /// The connection is to be closed, for the returned reason.
    async fn serve_next(&mut self) -> Result<(), CloseReason> {
        match self.read_message().await {
            Ok(Received::ReadinessCheck { close }) => self.answer_readiness_check(close).await,
            Ok(Received::Request { request, forwarded }) => self.handle_request(request, forwarded).await,
            Err(ReadError::Invalid(error)) => self.reject_invalid(error).await,
            Err(ReadError::Closed(reason)) => Err(reason),
        }
    }

    /// Handles a request from its last byte to its response.
    async fn handle_request(
        &mut self,
        request: ClientRequest,
        forwarded: ForwardedRequest,
    ) -> Result<(), CloseReason> {
        let node = self.slot.node.clone();
        self.buffer.shrink();
        if node.may_read() {
            self.socket.read_ahead(&mut self.buffer)?;
        }
        if self.socket.is_disconnected() {
            return Err(CloseReason::ClientClosed);
        }
        let unread_for = self.socket.time_since_received().as_secs_f64();
        self.log_request_read(&request, unread_for);
        self.requests += 1;
        self.progress = Progress::Pending;
        self.close_signal.withdraw();
        self.slot.set_active();
        let close = request.closes_connection;
        let id = request.id.clone();
        let incoming = incoming_request(request, unread_for);
        let Some(response) = node.handle_request(incoming, forwarded, self.socket.clone()) else {
            return self.reject_invalid(RequestError::DuplicateId).await;
        };
        let mut withdraw = WithdrawOnDrop { node, id, answered: false };
        weirusher_panics::fault_point("request pending");
        let response = self.await_response(response).await?;
        withdraw.answered = true;
        let close = close || self.is_last_response();
        self.write_response(response, close).await?;
        self.finish_message(close).await
    }

    /// Waits for the response, or until the client closes the connection.
    async fn await_response(
        &mut self,
        mut response: oneshot::Receiver<ClientResponse>,
    ) -> Result<ClientResponse, CloseReason> {
        tokio::select! {
            biased;
            response = &mut response => response.map_err(|_| CloseReason::ClientGone),
            _ = self.socket.wait_disconnected(&mut self.buffer) => Err(CloseReason::ClientGone),
        }
    }

    /// Ends a message that was answered. The connection is closed, continues with the bytes that were read
    /// ahead, or becomes idle.
    async fn finish_message(&mut self, close: bool) -> Result<(), CloseReason> {
        self.progress = Progress::Waiting;
        if close {
            self.lingering_close().await;
            let shutting_down = self.is_shutting_down();
            return Err(if shutting_down {
                CloseReason::Shutdown
            } else {
                CloseReason::ClientRequestedClose
            });
        }
        self.is_reading = false;
        if self.buffer.is_empty() {
            self.set_idle();
        } else {
            self.set_reading();
        }
        Ok(())
    }

    /// Whether the response that is about to be written is the last one on the connection: during a shutdown,
    /// unless further bytes were read ahead.
    fn is_last_response(&self) -> bool {
        self.is_shutting_down() && self.buffer.is_empty()
    }

    fn is_shutting_down(&self) -> bool {
        self.slot.node.is_shutting_down()
    }

    /// Records that a request has been received in part.
    fn set_reading(&mut self) {
        if std::mem::replace(&mut self.is_reading, true) {
            return;
        }
        self.close_signal.withdraw();
        self.first_byte_at = self.slot.node.now();
        self.slot.set_reading(self.first_byte_at);
    }

    fn set_idle(&mut self) {
        self.buffer.shrink();
        self.slot.set_idle();
    }

    /// Logs a request and the history of its connection. The times are relative to the shutdown signal, or to
    /// the present if the node is not shutting down.
    fn log_request_read(&self, request: &ClientRequest, unread_for: f64) {
        let node = &self.slot.node;
        let origin = node.shutdown_started_at.get().unwrap_or(node.now());
        log_step!(
            node,
            id = %request.id,
            time_budget = request.time_budget,
            unread_for,
            connection = self.slot.id,
            earlier_requests = self.requests,
            accepted = self.accepted_at - origin,
            first_byte = self.first_byte_at - origin,
            last_byte = node.now() - origin,
            "request read"
        );
    }
}

/// Converts a request for the proxy core. Its time budget is reduced by the `unread_for` seconds for which it
/// was buffered in the socket.
fn incoming_request(request: ClientRequest, unread_for: f64) -> IncomingRequest {
    IncomingRequest {
        id: request.id,
        customer: request.customer,
        plan: request.plan,
        class: request.class,
        units: request.units,
        time_budget: request.time_budget - unread_for,
        customer_instances: request.customer_instances,
        first_instance: request.first_instance,
        is_retry: request.is_retry,
    }
}

#[cfg(test)]
mod tests;
