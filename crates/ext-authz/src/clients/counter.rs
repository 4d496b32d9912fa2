//! The counter, over one pipelined RESP connection.

use crate::driver::{CounterCall, WorldEvent};
use crate::stats::Stats;
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
use weirusher_wire::resp::{self, Frame, RespCodec};

/// Most bytes that wait to be written; past that, calls are turned away: the counter reads too slowly.
const MOST_UNWRITTEN: usize = 256 * 1024;
/// Calls taken at once, so that they leave together.
const BATCH: usize = 256;
/// Answers to one call: of the name's expiry, and of the add.
const ANSWERS: u8 = 2;

pub struct CounterClient {
    pub address: SocketAddr,
    pub limit: f64,
    pub clock: Clock,
    pub calls: mpsc::Receiver<CounterCall>,
    pub world: mpsc::Sender<WorldEvent>,
    pub stats: Arc<Stats>,
    pub seed: u64,
}

/// The driver is gone.
struct Stopped;

impl CounterClient {
    pub async fn run(mut self) {
        let mut backoff = Backoff::new(self.seed);
        loop {
            let limit = Duration::from_secs_f64(self.limit * UNRESPONSIVE_TIMEOUTS);
            let connect = tokio::time::timeout(limit, Stream::connect(self.address));
            let connected = tokio::select! {
                connected = connect => connected.ok().and_then(Result::ok),
                stopped = turn_away(&mut self.calls, &self.world, &self.stats) => match stopped { Stopped => return },
            };
            if let Some(stream) = connected {
                self.stats.add(|s| &s.counter_connections);
                match self.serve(stream).await {
                    Err(Stopped) => return,
                    // One that answered is no failure; one that closes at once must not be hammered.
                    Ok(answered) if answered => backoff.reset(),
                    Ok(_) => {}
                }
            }
            let pause = tokio::time::sleep(Duration::from_secs_f64(backoff.next_delay()));
            tokio::select! {
                () = pause => {}
                stopped = turn_away(&mut self.calls, &self.world, &self.stats) => match stopped { Stopped => return },
            }
        }
    }

    /// Serves calls until the connection ends; tells whether it answered any.
    async fn serve(&mut self, stream: Stream) -> Result<bool, Stopped> {
        let (reader, mut writer) = tokio::io::split(stream);
        let mut frames = FramedRead::new(reader, RespCodec);
        let (mut pipeline, mut unwritten, mut batch) =
            (Pipeline::new(self.limit), BytesMut::new(), Vec::new());
        let (mut part, mut answered) = (0, false);
        loop {
            let due = pipeline.deadline().map(|at| self.clock.instant(at));
            tokio::select! {
                // First what has come: a process that was kept from running must not give up answers that wait
                // in its socket. Limits and writing come before calls, so that a flood of those puts neither off.
                biased;
                frame = frames.next() => {
                    let Some(Ok(frame)) = frame else {
                        if let Some(Err(error)) = frame {
                            tracing::warn!(%error, "the counter's connection is dropped");
                        }
                        break;
                    };
                    part = (part + 1) % ANSWERS;
                    if part == 0 && !self.answer(&mut pipeline, &frame).await? {
                        break;
                    }
                    answered = true;
                }
                () = async { tokio::time::sleep_until(due.unwrap_or_else(tokio::time::Instant::now)).await },
                    if due.is_some() =>
                {
                    let now = self.clock.now();
                    for EndedCall { call, elapsed: spent } in pipeline.take_timed_out(now) {
                        self.stats.add(|s| &s.counter_given_up);
                        self.tell(call, Status::Timeout, 0.0, spent).await?;
                    }
                    if pipeline.is_unresponsive(now) {
                        tracing::warn!("the counter answers nothing; its connection is dropped");
                        break;
                    }
                }
                written = writer.write_buf(&mut unwritten), if !unwritten.is_empty() => {
                    if !matches!(written, Ok(n) if n > 0) {
                        break;
                    }
                }
                taken = self.calls.recv_many(&mut batch, BATCH) => {
                    if taken == 0 {
                        return Err(Stopped);
                    }
                    for call in batch.drain(..) {
                        self.send(&mut pipeline, &mut unwritten, &call).await?;
                    }
                }
            }
        }
        for EndedCall { call, elapsed: spent } in pipeline.close(self.clock.now()) {
            self.stats.add(|s| &s.counter_lost);
            self.tell(call, Status::Reset, 0.0, spent).await?;
        }
        Ok(answered)
    }

    async fn send(
        &self,
        pipeline: &mut Pipeline<u64>,
        unwritten: &mut BytesMut,
        call: &CounterCall,
    ) -> Result<(), Stopped> {
        if unwritten.len() > MOST_UNWRITTEN || pipeline.send(self.clock.now(), call.call).is_err() {
            self.stats.add(|s| &s.counter_lost);
            return self.tell(call.call, Status::Rejected, 0.0, 0.0).await;
        }
        self.stats.add(|s| &s.counter_calls);
        resp::add(unwritten, call.counter, call.amount, call.ttl);
        Ok(())
    }

    /// Hands an answer on; `false` where nothing was asked.
    async fn answer(&self, pipeline: &mut Pipeline<u64>, frame: &Frame) -> Result<bool, Stopped> {
        match pipeline.response_completed(self.clock.now()) {
            Err(error) => {
                tracing::warn!(%error, "the counter's connection is dropped");
                return Ok(false);
            }
            Ok(None) => {}
            Ok(Some(EndedCall { call, elapsed: spent })) => match resp::number(frame) {
                Some(total) => {
                    self.stats.add(|s| &s.counter_answered);
                    self.tell(call, Status::Ok, total, spent).await?;
                }
                None => {
                    self.stats.add(|s| &s.counter_errors);
                    self.tell(call, Status::Rejected, 0.0, spent).await?; // An error answer: nothing was added.
                }
            },
        }
        Ok(true)
    }

    async fn tell(&self, call: u64, status: Status, total: f64, spent: f64) -> Result<(), Stopped> {
        self.world.send(WorldEvent::Counted { call, status, total, spent }).await.map_err(|_| Stopped)
    }
}

/// Without a connection, calls end at once: the module falls back on its safe share.
async fn turn_away(
    calls: &mut mpsc::Receiver<CounterCall>,
    world: &mpsc::Sender<WorldEvent>,
    stats: &Stats,
) -> Stopped {
    while let Some(CounterCall { call, .. }) = calls.recv().await {
        stats.add(|s| &s.counter_lost);
        let end = WorldEvent::Counted { call, status: Status::ConnectFailed, total: 0.0, spent: 0.0 };
        if world.send(end).await.is_err() {
            break;
        }
    }
    Stopped
}
