//! Request bodies of gRPC calls whose memory is granted by a budget.
//!
//! The decoder of a call reserves the announced length of a message at once and holds what has arrived of it. Therefore it
//! is given only complete messages; until then their bytes are kept in a buffer that asks the budget before it grows.

use bytes::{Buf, Bytes};
use http_body::{Body, Frame};
use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tonic::Status;
use weirusher_buffers::{BudgetExhausted, ByteBudget, SegmentedBuffer, SegmentedBytes};

/// Bytes ahead of a message: a flag and the message's length.
const PREFIX_BYTES: usize = 5;

/// Collects the messages of a body, each with its prefix.
#[derive(Debug)]
struct MessageCollector {
    /// The longest message that is collected.
    max_bytes: usize,
    /// The bytes of the incomplete message.
    bytes: SegmentedBuffer,
    /// Its prefix, as far as that was received.
    prefix: Vec<u8>,
    /// Number of its bytes that are still to come, once the prefix is complete.
    missing: usize,
    complete: VecDeque<SegmentedBytes>,
}

impl MessageCollector {
    fn new(max_bytes: usize, budget: ByteBudget) -> Self {
        let (bytes, prefix) = (SegmentedBuffer::new(budget), Vec::new());
        Self { max_bytes, bytes, prefix, missing: 0, complete: VecDeque::new() }
    }

    /// Adds the bytes of a frame. Of a message that is too long only the prefix counts, at which the decoder fails.
    fn receive(&mut self, mut frame: &[u8]) -> Result<(), BudgetExhausted> {
        while frame.has_remaining() {
            let prefix = (PREFIX_BYTES - self.prefix.len()).min(frame.len());
            if prefix > 0 {
                self.prefix.extend_from_slice(&frame[..prefix]);
                self.take(prefix, &mut frame)?;
                if self.prefix.len() < PREFIX_BYTES {
                    return Ok(());
                }
                let length = (&self.prefix[1..]).get_u32() as usize;
                self.missing = if length > self.max_bytes { 0 } else { length };
            }
            let count = self.missing.min(frame.len());
            self.take(count, &mut frame)?;
            self.missing -= count;
            if self.missing == 0 {
                self.end_message();
            }
        }
        Ok(())
    }

    fn take(&mut self, count: usize, frame: &mut &[u8]) -> Result<(), BudgetExhausted> {
        self.bytes.append(&frame[..count])?;
        frame.advance(count);
        Ok(())
    }

    /// Ends the message that is being received, complete or not.
    fn end_message(&mut self) {
        self.prefix.clear();
        self.missing = 0;
        self.complete.push_back(self.bytes.take());
    }

    /// Takes the next piece of a complete message.
    fn next_piece(&mut self) -> Option<Bytes> {
        loop {
            match self.complete.front_mut()?.take_segment() {
                Some(piece) => return Some(piece),
                None => drop(self.complete.pop_front()),
            }
        }
    }
}

/// A body that fails with [`tonic::Code::ResourceExhausted`] if the budget has no memory for an incomplete message.
pub struct BudgetedBody {
    body: tonic::body::Body,
    messages: MessageCollector,
    /// The end of the body or its trailers, which follow the messages.
    end: Option<Option<Result<Frame<Bytes>, Status>>>,
}

impl BudgetedBody {
    /// Wraps the body of a request with messages of at most `max_bytes`.
    pub fn new(body: tonic::body::Body, max_bytes: usize, budget: ByteBudget) -> Self {
        Self { body, messages: MessageCollector::new(max_bytes, budget), end: None }
    }
}

impl Body for BudgetedBody {
    type Data = Bytes;
    type Error = Status;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Status>>> {
        let this = &mut *self;
        loop {
            if let Some(piece) = this.messages.next_piece() {
                return Poll::Ready(Some(Ok(Frame::data(piece))));
            }
            if let Some(end) = this.end.take() {
                return Poll::Ready(end);
            }
            match ready!(Pin::new(&mut this.body).poll_frame(cx)).map(|frame| frame.map(Frame::into_data)) {
                Some(Ok(Ok(data))) => {
                    if this.messages.receive(&data).is_err() {
                        drop(this.messages.bytes.take());
                        let error = Status::resource_exhausted("no memory is left for messages");
                        return Poll::Ready(Some(Err(error)));
                    }
                }
                Some(Ok(Err(trailers))) => this.end_with(Some(Ok(trailers))),
                Some(Err(error)) => return Poll::Ready(Some(Err(error))),
                None => this.end_with(None),
            }
        }
    }
}

impl BudgetedBody {
    /// Passes on the incomplete message, at which the decoder fails, and the end behind it.
    fn end_with(&mut self, end: Option<Result<Frame<Bytes>, Status>>) {
        self.messages.end_message();
        self.end = Some(end);
    }
}

#[cfg(test)]
mod tests;
