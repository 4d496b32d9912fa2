//! Clients' connections: one request after another, each with one answer.

use crate::byte_budget::BytePermit;
use crate::client_socket::ClientSocket;
use crate::close_request::CloseRequest;
use crate::context::{CompleteResponse, NodeContext, Reply, Slot, event};
use crate::metrics::CloseReason;
use bytes::{Buf, Bytes, BytesMut};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use weirusher::{Reason, RequestId, Time};
use weirusher_core::{IncomingRequest, Outcome};
use weirusher_platform::backend::Passed;
use weirusher_platform::client::{self, Asked, BadRequest, Demand};
use weirusher_wire::body::BodyReader;
use weirusher_wire::head::{HeadSearch, NO_HEADERS, request};
use weirusher_wire::http1::HttpError;

/// Bytes of a connection's buffer, to begin with and again once it is empty.
const BUFFER: usize = 1024;
/// The longest that a connection stays open behind its last answer, until its client has closed it: a close over unread
/// bytes is a reset, which may overtake the answer.
const LINGER: Duration = Duration::from_millis(300);
/// Bytes behind a bad request that are read and dropped meanwhile.
const LINGER_BYTES: usize = 256 * 1024;
/// The longest that a client may take to read an answer: one that does not read holds its slot for no longer.
const UNREAD: Duration = Duration::from_millis(2500);

/// A request whose client waits; dropped unanswered, the client has left.
struct Open {
    node: Rc<NodeContext>,
    job: RequestId,
    answered: bool,
}

impl Drop for Open {
    fn drop(&mut self) {
        if !self.answered {
            self.node.left(&self.job);
        }
    }
}

/// What a connection brought next.
enum Next {
    Ready { closes: bool },
    Request(Demand, Passed, BytePermit),
    Bad(BadRequest),
}

/// Why nothing usable was read.
enum Unread {
    Closed(CloseReason),
    Bad(BadRequest),
}

impl From<BadRequest> for Unread {
    fn from(bad: BadRequest) -> Self {
        Self::Bad(bad)
    }
}

impl From<HttpError> for Unread {
    fn from(error: HttpError) -> Self {
        Self::Bad(error.into())
    }
}

/// A client's end of the connection broke: nobody is left to be told.
impl From<io::Error> for CloseReason {
    fn from(_: io::Error) -> Self {
        Self::ClientClosed
    }
}

/// A client's connection, and where it stands.
pub struct Connection {
    slot: Slot,
    socket: ClientSocket,
    close: Rc<CloseRequest>,
    buffer: BytesMut,
    search: HeadSearch,
    /// A part of a request has come.
    reading: bool,
    /// A request that was read has no answer yet.
    unanswered: bool,
    /// When it was accepted.
    accepted: Time,
    /// When the first byte of the request that is being read came, or of the last one.
    request_began: Time,
    /// Requests read from it so far.
    requests: u64,
}

impl Connection {
    pub fn new(slot: Slot, socket: ClientSocket, close: Rc<CloseRequest>) -> Self {
        let (buffer, search) = (BytesMut::with_capacity(BUFFER), HeadSearch::default());
        let accepted = slot.node.now();
        let (request_began, requests, reading, unanswered) = (accepted, 0, false, false);
        Self { slot, socket, close, buffer, search, reading, unanswered, accepted, request_began, requests }
    }

    /// Serves its requests, one behind another, until it is closed.
    pub async fn serve(mut self) {
        let reason = loop {
            if let Err(reason) = self.turn().await {
                break reason;
            }
        };
        let node = &self.slot.node;
        node.connections.closed(reason);
        if matches!(reason, CloseReason::Idle | CloseReason::NoRequest | CloseReason::Stopping) {
            let behind = matches!(HeadSearch::default().end(&self.buffer), Ok(Some(_)));
            node.closed(usize::from(self.unanswered) + usize::from(behind));
        }
        let (connection, requests, open) = (self.slot.id, self.requests, node.now() - self.accepted);
        event!(node, %reason, connection, requests, open, "connection closed");
    }

    /// Writes an answer whole, or gives the client up that does not read it.
    async fn put(&mut self, answer: impl Buf) -> Result<(), CloseReason> {
        match tokio::time::timeout(UNREAD, self.socket.write_all(answer)).await {
            Ok(written) => Ok(written?),
            Err(_) => Err(CloseReason::ResponseUnread),
        }
    }

    /// Ends the connection after its last answer, so that it arrives: waits until the client has closed too. What it
    /// sent behind its last request stays unread, and is sent anew elsewhere.
    async fn linger(&mut self) {
        if self.socket.finish().is_ok() {
            let _ = tokio::time::timeout(LINGER, self.socket.closed()).await; // It is closed in either case.
        }
    }

    /// The same behind an error: what still comes of a request that cannot be used is dropped, within a bound.
    async fn linger_and_drop(&mut self) {
        if self.socket.finish().is_err() {
            return;
        }
        let drop_rest = async {
            let mut left = LINGER_BYTES;
            while left > 0 {
                self.buffer.clear();
                match self.socket.read(&mut self.buffer).await {
                    Ok(many @ 1..) => left = left.saturating_sub(many),
                    _ => break,
                }
            }
        };
        let _ = tokio::time::timeout(LINGER, drop_rest).await; // It is closed in either case.
    }

    /// One request and its answer; an error: the connection is over.
    async fn turn(&mut self) -> Result<(), CloseReason> {
        match self.next().await? {
            Next::Ready { closes } => {
                let close = closes || self.closes_now();
                let mut out = BytesMut::new();
                client::write_ready(&mut out, self.slot.node.ready.get() && !self.stopping(), close);
                self.put(out).await?;
                self.answered(close).await
            }
            Next::Request(demand, passed, _permit) => self.request(demand, passed).await,
            Next::Bad(bad) => self.turn_down(bad).await,
        }
    }

    fn stopping(&self) -> bool {
        self.slot.node.is_stopping()
    }

    /// The answer that is about to be written is the last one: the gateway stops, and nothing was read that is not
    /// answered.
    fn closes_now(&self) -> bool {
        self.stopping() && self.buffer.is_empty()
    }

    /// An answer was written, and the connection goes on: with what was read ahead, or idle.
    fn goes_on(&mut self) {
        self.reading = false;
        if self.buffer.is_empty() {
            self.idle();
        } else {
            self.note_reading();
        }
    }

    /// A part of a request has come: the rest has as long as a new connection's first byte.
    fn note_reading(&mut self) {
        if std::mem::replace(&mut self.reading, true) {
            return;
        }
        self.close.withdraw();
        let node = &self.slot.node;
        self.request_began = node.now();
        let state = &mut *node.state.borrow_mut();
        state.slots.set_reading(self.request_began, self.slot.id);
        node.idlers.set(state.slots.next_eviction());
    }

    fn idle(&mut self) {
        if self.buffer.is_empty() && self.buffer.capacity() != BUFFER {
            self.buffer = BytesMut::with_capacity(BUFFER);
        }
        let state = &mut *self.slot.node.state.borrow_mut();
        state.slots.set_idle(self.slot.node.now(), self.slot.id);
        self.slot.node.idlers.set(state.slots.next_eviction());
    }

    // ---- Reading ----

    async fn next(&mut self) -> Result<Next, CloseReason> {
        match self.read().await {
            Ok(next) => Ok(next),
            Err(Unread::Bad(bad)) => Ok(Next::Bad(bad)),
            Err(Unread::Closed(reason)) => Err(reason),
        }
    }

    async fn read(&mut self) -> Result<Next, Unread> {
        loop {
            if let Some(end) = self.search.end(&self.buffer)? {
                return self.whole(end).await;
            }
            if !self.buffer.is_empty() {
                self.note_reading();
            }
            self.more().await?;
        }
    }

    /// Reads on; an error: the connection is to be closed.
    async fn more(&mut self) -> Result<(), Unread> {
        if !self.slot.node.may_read() {
            return Err(self.asked_to_close());
        }
        let read = tokio::select! {
            biased;
            read = self.socket.read(&mut self.buffer) => read,
            () = self.close.made() => {
                // What came just now is served: the client could not know.
                let before = self.buffer.len();
                let gone = self.socket.read_ahead(&mut self.buffer).is_err();
                return if self.buffer.len() > before && !gone { Ok(()) } else { Err(self.asked_to_close()) };
            }
        };
        match read {
            Ok(1..) => Ok(()),
            _ => Err(Unread::Closed(CloseReason::ClientClosed)),
        }
    }

    /// How a connection ends that was asked to close: half a request that it brought is told to be too slow.
    fn asked_to_close(&self) -> Unread {
        let reason = match self.requests {
            _ if self.reading => return BadRequest::Slow.into(),
            _ if self.stopping() => CloseReason::Stopping,
            0 => CloseReason::NoRequest,
            _ => CloseReason::Idle,
        };
        Unread::Closed(reason)
    }

    /// A head is whole: reads it and its body.
    async fn whole(&mut self, end: usize) -> Result<Next, Unread> {
        let head = self.buffer.split_to(end);
        let mut slots = NO_HEADERS;
        let parsed = request(&head, &mut slots)?;
        let mut demand = match client::read(&self.slot.node.names, &parsed)? {
            Asked::Ready => return Ok(Next::Ready { closes: parsed.fields.closes() }),
            Asked::Demand(demand) => demand,
        };
        let mut permit = self.slot.node.requests.permit();
        let mut reader = BodyReader::new(demand.framing, client::MOST_BODY);
        let body = loop {
            let body = reader.read(&mut self.buffer)?;
            let bytes = body.as_ref().map_or(self.buffer.len() + reader.held(), Bytes::len);
            if !permit.grow(bytes) {
                return Err(BadRequest::NoRoom.into());
            }
            if let Some(body) = body {
                break body;
            }
            self.note_reading();
            if std::mem::take(&mut demand.expects) {
                self.put(client::GO_ON).await.map_err(Unread::Closed)?;
            }
            self.more().await?;
        };
        let passed = Passed::new(&parsed, &demand.job, body);
        Ok(Next::Request(demand, passed, permit))
    }

    // ---- Answering ----

    async fn request(&mut self, demand: Demand, passed: Passed) -> Result<(), CloseReason> {
        let node = self.slot.node.clone();
        if node.may_read() {
            self.socket.read_ahead(&mut self.buffer)?;
        }
        let waited = self.socket.waited().as_secs_f64();
        self.note_accepted(&demand, waited);
        self.requests += 1;
        self.unanswered = true;
        self.close.withdraw();
        let Demand { job, customer, class, plan, units, spread, patience, repeat, closes, .. } = demand;
        {
            let state = &mut *node.state.borrow_mut();
            state.slots.set_active(node.now(), self.slot.id);
            if !state.slots.has_free() {
                // One that was to give way may be it: another has to.
                node.idlers.set(state.slots.next_eviction());
            }
        }
        let time_budget = patience - waited;
        let request = IncomingRequest {
            id: job.clone(),
            customer,
            plan,
            class,
            units,
            time_budget,
            customer_instances: spread.0,
            first_instance: spread.1,
            is_retry: repeat,
        };
        let Some(reply) = node.request(request, passed, self.socket.clone()) else {
            return self.turn_down(BadRequest::Doubled).await;
        };
        let mut open = Open { node, job, answered: false };
        let reply = self.answer(reply).await?;
        open.answered = true;
        let close = closes || self.closes_now();
        self.write(reply, close).await?;
        self.unanswered = false;
        self.answered(close).await
    }

    /// What the log tells of a request that was read: its id, and what its connection did before. While the gateway
    /// stops, times are told from the moment of its signal on.
    fn note_accepted(&self, demand: &Demand, waited: f64) {
        let node = &self.slot.node;
        let since = node.stopping_since.get().unwrap_or(node.now());
        let (id, deadline, connection) = (&demand.job, demand.patience, self.slot.id);
        let (accepted, began, read) = (self.accepted - since, self.request_began - since, node.now() - since);
        event!(
            node,
            %id,
            deadline,
            waited,
            connection,
            earlier_requests = self.requests,
            accepted,
            began,
            read,
            "request read"
        );
    }

    /// An answer is written: the connection goes on, or was closed.
    async fn answered(&mut self, close: bool) -> Result<(), CloseReason> {
        if close {
            self.linger().await;
            let reason = if self.stopping() { CloseReason::Stopping } else { CloseReason::ClientAsked };
            return Err(reason);
        }
        self.goes_on();
        Ok(())
    }

    /// Waits for the answer, and for the client to go.
    async fn answer(&mut self, mut reply: oneshot::Receiver<Reply>) -> Result<Reply, CloseReason> {
        tokio::select! {
            biased;
            reply = &mut reply => reply.map_err(|_| CloseReason::ClientGone),
            _ = self.socket.gone(&mut self.buffer) => Err(CloseReason::ClientGone),
        }
    }

    async fn write(&mut self, reply: Reply, close: bool) -> Result<(), CloseReason> {
        let mut out = BytesMut::with_capacity(128);
        let body = match reply {
            Reply::Served(CompleteResponse { body, .. }) => {
                client::write_served(&mut out, body.len(), close);
                body
            }
            Reply::Decided(Outcome::Rejected { reason: Reason::Stopping, .. }) => {
                client::write_unavailable(&mut out, close);
                Bytes::new()
            }
            Reply::Decided(Outcome::Rejected { retry_after, .. }) => {
                client::write_refused(&mut out, retry_after, close);
                Bytes::new()
            }
            Reply::Decided(Outcome::Failed { .. }) => {
                client::write_failed(&mut out, close);
                Bytes::new()
            }
        };
        self.put(out.chain(body)).await
    }

    /// An error and a close; what still arrives is dropped within a bound.
    async fn turn_down(&mut self, bad: BadRequest) -> Result<(), CloseReason> {
        event!(self.slot.node, error = %bad, connection = self.slot.id, "request rejected");
        let mut out = BytesMut::new();
        client::write_error(&mut out, bad);
        self.put(out).await?;
        self.linger_and_drop().await;
        Err(CloseReason::BadRequest)
    }
}

#[cfg(test)]
mod tests;
