//! The counter client, which pipelines calls over one RESP connection.

use crate::engine_task::{ClientEvent, CounterCall};
use crate::metrics::Metrics;
use bytes::BytesMut;
use futures::StreamExt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::sync::mpsc;
use tokio_util::codec::FramedRead;
use weirusher::Status;
use weirusher_clock::Clock;
use weirusher_core::{Backoff, EndedCall, Pipeline, UNRESPONSIVE_TIMEOUTS};
use weirusher_net::Stream;
use weirusher_wire::resp::{self, Frame, RespCodec, RespError};

/// Maximum number of bytes that wait to be written. Beyond it, the counter reads too slowly and calls are
/// rejected.
const MAX_UNWRITTEN_BYTES: usize = 256 * 1024;
/// Maximum number of calls that are taken from the queue at once, to be written together.
const BATCH: usize = 256;
/// Responses per call: one to the command that creates the counter with its expiry, one to the addition.
const RESPONSES_PER_CALL: u8 = 2;

pub struct CounterClient {
    pub address: SocketAddr,
    /// Time limit for a call in seconds.
    pub call_timeout: f64,
    pub clock: Clock,
    pub calls: mpsc::Receiver<CounterCall>,
    pub engine: mpsc::Sender<ClientEvent>,
    pub metrics: Arc<Metrics>,
    /// Feeds the backoff's jitter.
    pub seed: u64,
}

/// The engine task has ended, so the client stops.
struct Stopped;

/// Why a session ended.
enum SessionEnd {
    /// The connection failed, or is closed as unusable.
    Connection,
    /// The engine task has ended.
    Stopped,
}

impl From<Stopped> for SessionEnd {
    fn from(Stopped: Stopped) -> Self {
        Self::Stopped
    }
}

/// The state of one connection.
struct Session {
    pipeline: Pipeline<u64>,
    /// Bytes that are yet to be written to the socket.
    unwritten: BytesMut,
    /// Responses received so far for the oldest call in the pipeline.
    responses: u8,
    /// Whether any response has been received.
    responded: bool,
}

impl CounterClient {
    /// Runs until the engine task ends.
    pub async fn run(mut self) {
        let mut backoff = Backoff::new(self.seed);
        loop {
            let connect_timeout = Duration::from_secs_f64(self.call_timeout * UNRESPONSIVE_TIMEOUTS);
            let connect = tokio::time::timeout(connect_timeout, Stream::connect(self.address));
            let connected = tokio::select! {
                connected = connect => connected.ok().and_then(Result::ok),
                Stopped = reject_calls(&mut self.calls, &self.engine, &self.metrics) => return,
            };
            if let Some(stream) = connected {
                self.metrics.increment(|m| &m.counter_connections);
                match self.serve(stream).await {
                    Err(Stopped) => return,
                    // Only a connection that received a response resets the backoff.
                    Ok(responded) if responded => backoff.reset(),
                    Ok(_) => {}
                }
            }
            let delay = tokio::time::sleep(Duration::from_secs_f64(backoff.next_delay()));
            tokio::select! {
                () = delay => {}
                Stopped = reject_calls(&mut self.calls, &self.engine, &self.metrics) => return,
            }
        }
    }

    /// Sends calls until the connection ends. Returns whether any response was received.
    async fn serve(&mut self, stream: Stream) -> Result<bool, Stopped> {
        let (reader, mut writer) = tokio::io::split(stream);
        let mut frames = FramedRead::new(reader, RespCodec);
        let mut batch = Vec::new();
        let mut session = Session {
            pipeline: Pipeline::new(self.call_timeout),
            unwritten: BytesMut::new(),
            responses: 0,
            responded: false,
        };
        loop {
            let deadline = session.pipeline.deadline();
            let handled = tokio::select! {
                // Responses come first: after the process was suspended, those that wait in the socket are
                // read before their calls time out. Timeouts and writes come before new calls, so that a
                // flood of calls delays neither.
                biased;
                frame = frames.next() => self.handle_frame(&mut session, frame).await,
                () = self.clock.sleep_until(deadline) => self.handle_timeout(&mut session).await,
                written = writer.write_buf(&mut session.unwritten), if !session.unwritten.is_empty() => {
                    match written {
                        Ok(1..) => Ok(()),
                        Ok(0) | Err(_) => Err(SessionEnd::Connection),
                    }
                }
                received = self.calls.recv_many(&mut batch, BATCH) => {
                    if received == 0 {
                        return Err(Stopped);
                    }
                    for call in batch.drain(..) {
                        self.send(&mut session, &call).await?;
                    }
                    Ok(())
                }
            };
            match handled {
                Ok(()) => {}
                Err(SessionEnd::Connection) => break,
                Err(SessionEnd::Stopped) => return Err(Stopped),
            }
        }
        for EndedCall { call, elapsed } in session.pipeline.close(self.clock.now()) {
            self.metrics.increment(|m| &m.counter_lost);
            self.respond(call, Status::Reset, 0.0, elapsed).await?;
        }
        Ok(session.responded)
    }

    async fn send(&self, session: &mut Session, call: &CounterCall) -> Result<(), Stopped> {
        let overloaded = session.unwritten.len() > MAX_UNWRITTEN_BYTES;
        if overloaded || session.pipeline.send(self.clock.now(), call.call).is_err() {
            self.metrics.increment(|m| &m.counter_lost);
            return self.respond(call.call, Status::Rejected, 0.0, 0.0).await;
        }
        self.metrics.increment(|m| &m.counter_calls);
        resp::write_add(&mut session.unwritten, call.counter, call.amount, call.ttl);
        Ok(())
    }

    /// Handles a frame, an error or the end of the stream.
    async fn handle_frame(
        &self,
        session: &mut Session,
        frame: Option<Result<Frame, RespError>>,
    ) -> Result<(), SessionEnd> {
        let frame = match frame {
            None => return Err(SessionEnd::Connection),
            Some(Err(error)) => {
                tracing::warn!(%error, "failed to read a response from the counter; closing the connection");
                return Err(SessionEnd::Connection);
            }
            Some(Ok(frame)) => frame,
        };
        session.responded = true;
        session.responses = (session.responses + 1) % RESPONSES_PER_CALL;
        if session.responses == 0 { self.handle_response(session, &frame).await } else { Ok(()) }
    }

    /// Handles the last of the responses to a call.
    async fn handle_response(&self, session: &mut Session, frame: &Frame) -> Result<(), SessionEnd> {
        match session.pipeline.response_completed(self.clock.now()) {
            Err(error) => {
                tracing::warn!(%error, "unexpected response from the counter; closing the connection");
                return Err(SessionEnd::Connection);
            }
            Ok(None) => {} // The call has already timed out.
            Ok(Some(EndedCall { call, elapsed })) => match resp::number(frame) {
                Some(total) => {
                    self.metrics.increment(|m| &m.counter_responses);
                    self.respond(call, Status::Ok, total, elapsed).await?;
                }
                None => {
                    self.metrics.increment(|m| &m.counter_errors);
                    // An error response: nothing was added.
                    self.respond(call, Status::Rejected, 0.0, elapsed).await?;
                }
            },
        }
        Ok(())
    }

    /// Ends calls that have timed out, and ends the session if the connection is unresponsive.
    async fn handle_timeout(&self, session: &mut Session) -> Result<(), SessionEnd> {
        let now = self.clock.now();
        for EndedCall { call, elapsed } in session.pipeline.take_timed_out(now) {
            self.metrics.increment(|m| &m.counter_timeouts);
            self.respond(call, Status::Timeout, 0.0, elapsed).await?;
        }
        if session.pipeline.is_unresponsive(now) {
            tracing::warn!("the counter is unresponsive; closing the connection");
            return Err(SessionEnd::Connection);
        }
        Ok(())
    }

    async fn respond(&self, call: u64, status: Status, total: f64, elapsed: f64) -> Result<(), Stopped> {
        let response = ClientEvent::CounterResponse { call, status, total, elapsed };
        self.engine.send(response).await.map_err(|_| Stopped)
    }
}

/// Fails calls at once while there is no connection, so that admission uses the fallback limit without delay.
/// Returns when the engine task has ended.
async fn reject_calls(
    calls: &mut mpsc::Receiver<CounterCall>,
    engine: &mpsc::Sender<ClientEvent>,
    metrics: &Metrics,
) -> Stopped {
    while let Some(CounterCall { call, .. }) = calls.recv().await {
        metrics.increment(|m| &m.counter_lost);
        let status = Status::ConnectFailed;
        let response = ClientEvent::CounterResponse { call, status, total: 0.0, elapsed: 0.0 };
        if engine.send(response).await.is_err() {
            break;
        }
    }
    Stopped
}
