//! Reads the messages of a client connection.

use super::{Connection, Progress};
use crate::metrics::CloseReason;
use bytes::Buf;
use tokio::task::yield_now;
use weirusher_buffers::{BudgetExhausted, SegmentedBytes};
use weirusher_platform::backend::ForwardedRequest;
use weirusher_platform::client::{
    CONTINUE, ClientMessage, ClientRequest, MAX_BODY_BYTES, RequestError, read_head,
};
use weirusher_wire::body::BodyReader;
use weirusher_wire::head::{EMPTY_HEADERS, parse_request};
use weirusher_wire::http1::HttpError;

/// A complete message of a client.
pub(super) enum Received {
    ReadinessCheck { close: bool },
    Request { request: ClientRequest, forwarded: ForwardedRequest },
}

/// Why a message could not be read.
pub(super) enum ReadError {
    /// The connection is to be closed without a response, for this reason.
    Closed(CloseReason),
    /// The message is invalid.
    Invalid(RequestError),
}

impl From<RequestError> for ReadError {
    fn from(error: RequestError) -> Self {
        Self::Invalid(error)
    }
}

impl From<BudgetExhausted> for ReadError {
    fn from(error: BudgetExhausted) -> Self {
        Self::Invalid(error.into())
    }
}

impl From<HttpError> for ReadError {
    fn from(error: HttpError) -> Self {
        Self::Invalid(error.into())
    }
}

impl Connection {
    /// Reads the next message, head and body.
    pub(super) async fn read_message(&mut self) -> Result<Received, ReadError> {
        loop {
            if let Some(end) = self.head_search.find_end(self.buffer.chunk())? {
                return self.read_after_head(end).await;
            }
            if !self.buffer.is_empty() {
                self.set_reading();
            }
            self.read_more(None).await?;
        }
    }

    /// Parses the head, which ends at offset `end` of the buffer, and reads the body.
    async fn read_after_head(&mut self, end: usize) -> Result<Received, ReadError> {
        self.progress = Progress::HeadRead;
        weirusher_panics::fault_point("head read");
        let message = self.parse_head(end);
        self.buffer.advance(end);
        match message? {
            Received::Request { mut request, forwarded } => {
                let forwarded = forwarded.with_body(self.read_body(&mut request).await?);
                Ok(Received::Request { request, forwarded })
            }
            check => Ok(check),
        }
    }

    /// Parses the head, which ends at offset `end` of the buffer. A request has no body yet.
    fn parse_head(&self, end: usize) -> Result<Received, ReadError> {
        let mut slots = EMPTY_HEADERS;
        let head = parse_request(&self.buffer.chunk()[..end], &mut slots)?;
        match read_head(&self.slot.node.catalog, &head)? {
            ClientMessage::ReadinessCheck => {
                Ok(Received::ReadinessCheck { close: head.fields.closes_connection() })
            }
            ClientMessage::Request(request) => {
                let budget = self.slot.node.memory.requests.clone();
                let forwarded = ForwardedRequest::new(&head, &request.id, budget)?;
                Ok(Received::Request { request, forwarded })
            }
        }
    }

    async fn read_body(&mut self, request: &mut ClientRequest) -> Result<SegmentedBytes, ReadError> {
        let budget = self.slot.node.memory.requests.clone();
        let mut reader = BodyReader::new(request.framing, MAX_BODY_BYTES, budget);
        loop {
            if let Some(body) = reader.read(&mut self.buffer)? {
                return Ok(body);
            }
            self.set_reading();
            if std::mem::take(&mut request.expects_continue) {
                self.write(CONTINUE).await.map_err(ReadError::Closed)?;
            }
            self.read_more(Some(&mut reader)).await?;
        }
    }

    /// Waits for more bytes. Those that belong to the body of `reader` go to it, others to the buffer. All other
    /// tasks have their turn before a message is read further.
    ///
    /// # Errors
    /// The connection is to be closed, or the memory for requests is exhausted.
    async fn read_more(&mut self, reader: Option<&mut BodyReader>) -> Result<(), ReadError> {
        if self.is_reading {
            yield_now().await;
        }
        if !self.slot.node.may_read() {
            return Err(self.close_requested());
        }
        if self.buffer.is_full() {
            self.buffer.grow()?;
        }
        let (socket, buffer) = (&self.socket, &mut self.buffer);
        let bytes = async {
            match reader {
                Some(body) if body.expected() > 0 => socket.read_body(body).await,
                _ => socket.read(buffer).await.map(Ok),
            }
        };
        let read = tokio::select! {
            biased;
            read = bytes => read,
            () = self.close_signal.requested() => {
                // Bytes that have just arrived are served, because the client sent them before it could see
                // the close.
                let before = self.buffer.len();
                let closed = self.socket.read_ahead(&mut self.buffer).is_err();
                return if self.buffer.len() > before && !closed { Ok(()) } else { Err(self.close_requested()) };
            }
        };
        match read {
            Ok(Ok(1..)) => Ok(()),
            Ok(Err(error)) => Err(error.into()),
            _ => Err(ReadError::Closed(CloseReason::ClientClosed)),
        }
    }

    /// The error for a connection whose close was requested. An incomplete request is answered with a
    /// timeout.
    fn close_requested(&self) -> ReadError {
        ReadError::Closed(match self.requests {
            _ if self.is_reading => return RequestError::ReadTimeout.into(),
            _ if self.is_shutting_down() => CloseReason::Shutdown,
            0 => CloseReason::NoRequest,
            _ => CloseReason::Idle,
        })
    }
}
