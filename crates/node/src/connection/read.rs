//! Reads the messages of a client connection.

use super::{Connection, Progress};
use crate::byte_budget::BytePermit;
use crate::metrics::CloseReason;
use bytes::Bytes;
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
    Request { request: ClientRequest, forwarded: ForwardedRequest, permit: BytePermit },
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

impl From<HttpError> for ReadError {
    fn from(error: HttpError) -> Self {
        Self::Invalid(error.into())
    }
}

impl Connection {
    /// Reads the next message, head and body.
    pub(super) async fn read_message(&mut self) -> Result<Received, ReadError> {
        loop {
            if let Some(end) = self.head_search.find_end(&self.buffer)? {
                return self.read_after_head(end).await;
            }
            if !self.buffer.is_empty() {
                self.set_reading();
            }
            self.read_more().await?;
        }
    }

    /// Parses the head, which ends at offset `end` of the buffer, and reads the body.
    async fn read_after_head(&mut self, end: usize) -> Result<Received, ReadError> {
        let head = self.buffer.split_to(end);
        self.progress = Progress::HeadRead;
        weirusher_panics::fault_point("head read");
        let mut slots = EMPTY_HEADERS;
        let head = parse_request(&head, &mut slots)?;
        let mut request = match read_head(&self.slot.node.catalog, &head)? {
            ClientMessage::ReadinessCheck => {
                return Ok(Received::ReadinessCheck { close: head.fields.closes_connection() });
            }
            ClientMessage::Request(request) => request,
        };
        let (body, permit) = self.read_body(&mut request).await?;
        let forwarded = ForwardedRequest::new(&head, &request.id, body);
        Ok(Received::Request { request, forwarded, permit })
    }

    async fn read_body(&mut self, request: &mut ClientRequest) -> Result<(Bytes, BytePermit), ReadError> {
        let mut permit = self.slot.node.request_bodies.permit();
        let mut reader = BodyReader::new(request.framing, MAX_BODY_BYTES);
        loop {
            let body = reader.read(&mut self.buffer)?;
            let bytes = body.as_ref().map_or(self.buffer.len() + reader.buffered(), Bytes::len);
            if !permit.try_grow_to(bytes) {
                return Err(RequestError::BodyBudgetExhausted.into());
            }
            if let Some(body) = body {
                return Ok((body, permit));
            }
            self.set_reading();
            if std::mem::take(&mut request.expects_continue) {
                self.write(CONTINUE).await.map_err(ReadError::Closed)?;
            }
            self.read_more().await?;
        }
    }

    /// Waits for more bytes.
    ///
    /// # Errors
    /// The connection is to be closed.
    async fn read_more(&mut self) -> Result<(), ReadError> {
        if !self.slot.node.may_read() {
            return Err(self.close_requested());
        }
        let read = tokio::select! {
            biased;
            read = self.socket.read(&mut self.buffer) => read,
            () = self.close_signal.requested() => {
                // Bytes that have just arrived are served, because the client sent them before it could see
                // the close.
                let before = self.buffer.len();
                let closed = self.socket.read_ahead(&mut self.buffer).is_err();
                return if self.buffer.len() > before && !closed { Ok(()) } else { Err(self.close_requested()) };
            }
        };
        match read {
            Ok(1..) => Ok(()),
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
