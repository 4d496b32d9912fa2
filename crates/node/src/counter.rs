//! The counter, over one pipelined connection to each address it has.

use crate::hub::{Call, Hub};
use bytes::BytesMut;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use weirusher::Status;
use weirusher_core::{Backoff, GIVE_UP_CONNECTION, Pipeline};
use weirusher_platform::counter::{MOST_ANSWER, outcome, write_call};
use weirusher_platform::response::ResponseReader;

/// Most bytes that wait to be written; past that, calls are turned away: the counter reads too slowly.
const MOST_UNWRITTEN: usize = 64 * 1024;

/// Tells a client of the counter that the counter has moved.
#[derive(Debug, Default)]
pub struct Moved {
    set: Cell<bool>,
    told: Notify,
}

impl Moved {
    pub fn set(&self) {
        self.set.set(true);
        self.told.notify_one();
    }
}

/// Calls the counter at `address` until it has moved and has answered what was out.
pub async fn run(hub: Rc<Hub>, address: SocketAddr, seed: u64, moved: Rc<Moved>) {
    let mut backoff = Backoff::new(seed);
    let limit = Duration::from_secs_f64(hub.count_limit * GIVE_UP_CONNECTION);
    while !moved.set.get() {
        let connected = tokio::select! {
            connected = tokio::time::timeout(limit, TcpStream::connect(address)) => connected.ok().and_then(Result::ok),
            () = turn_away(&hub) => None,
            () = moved.told.notified() => return,
        };
        if let Some(stream) = connected {
            let mut line = Line::new(&hub);
            // One that answered is no failure; one that closes at once must not be hammered.
            if line.serve(stream, &moved).await {
                backoff.reset();
            }
            for (call, spent) in line.pipeline.broken(hub.now()) {
                hub.counted(call, Status::Reset, 0.0, spent);
            }
        }
        let pause = tokio::time::sleep(Duration::from_secs_f64(backoff.pause()));
        tokio::select! {
            () = pause => {}
            () = turn_away(&hub) => {}
            () = moved.told.notified() => {}
        }
    }
}

/// Without a connection, calls end at once: the module falls back on its safe share.
async fn turn_away(hub: &Rc<Hub>) {
    loop {
        let calls = std::mem::take(&mut hub.state.borrow_mut().calls);
        for Call { call, .. } in calls {
            hub.counted(call, Status::ConnectFailed, 0.0, 0.0);
        }
        hub.called.notified().await;
    }
}

/// One connection's calls.
struct Line<'a> {
    hub: &'a Rc<Hub>,
    pipeline: Pipeline<u64>,
    reader: ResponseReader,
    unwritten: BytesMut,
    unread: BytesMut,
    answered: bool,
}

impl<'a> Line<'a> {
    fn new(hub: &'a Rc<Hub>) -> Self {
        Self {
            hub,
            pipeline: Pipeline::new(hub.count_limit),
            reader: ResponseReader::new(MOST_ANSWER),
            unwritten: BytesMut::new(),
            unread: BytesMut::new(),
            answered: false,
        }
    }

    /// Serves calls until the connection ends; tells whether it answered any.
    async fn serve(&mut self, mut stream: TcpStream, moved: &Moved) -> bool {
        let _ = stream.set_nodelay(true); // Without it calls are merely slower.
        let (mut reader, mut writer) = stream.split();
        loop {
            if moved.set.get() && self.pipeline.deadline().is_none() {
                break;
            }
            let due = self.pipeline.deadline().map(|at| self.hub.clock.instant(at));
            tokio::select! {
                // First what has come: a process that was kept from running must not give up answers that wait
                // in its socket. Limits and writing come before calls, so that a flood of those puts neither off.
                biased;
                read = reader.read_buf(&mut self.unread) => {
                    if !matches!(read, Ok(1..)) || !self.answers() {
                        break;
                    }
                }
                () = async { tokio::time::sleep_until(due.unwrap_or_else(tokio::time::Instant::now)).await },
                    if due.is_some() =>
                {
                    if self.give_up() {
                        tracing::warn!("the counter answers nothing; its connection is dropped");
                        break;
                    }
                }
                written = writer.write_buf(&mut self.unwritten), if !self.unwritten.is_empty() => {
                    if !matches!(written, Ok(1..)) {
                        break;
                    }
                }
                () = moved.told.notified(), if !moved.set.get() => {}
                () = self.hub.called.notified(), if !moved.set.get() => self.send(),
            }
        }
        self.answered
    }

    fn send(&mut self) {
        let calls = std::mem::take(&mut self.hub.state.borrow_mut().calls);
        for Call { call, counter, amount, ttl } in calls {
            if self.unwritten.len() > MOST_UNWRITTEN || self.pipeline.send(self.hub.now(), call).is_err() {
                self.hub.counted(call, Status::Full, 0.0, 0.0);
            } else {
                write_call(&mut self.unwritten, counter, amount, ttl);
            }
        }
    }

    /// Tells the calls that have waited too long; whether the connection is dead.
    fn give_up(&mut self) -> bool {
        let now = self.hub.now();
        for (call, spent) in self.pipeline.give_up(now) {
            self.hub.counted(call, Status::Timeout, 0.0, spent);
        }
        self.pipeline.dead(now)
    }

    /// Hands the answers on that have come; `false`: the connection is of no further use.
    fn answers(&mut self) -> bool {
        loop {
            let response = match self.reader.read(&mut self.unread) {
                Ok(Some(response)) => response,
                Ok(None) => return true,
                Err(error) => {
                    tracing::warn!(%error, "the counter's connection is dropped");
                    return false;
                }
            };
            let Ok(call) = self.pipeline.answered(self.hub.now()) else {
                tracing::warn!("the counter answers what was not asked; its connection is dropped");
                return false;
            };
            self.answered = true;
            let told = outcome(&response);
            if let Some((call, spent)) = call {
                // One with no total was added, but how much there is nobody knows.
                let (status, total) = told.unwrap_or((Status::Timeout, 0.0));
                self.hub.counted(call, status, total, spent);
            }
            if told.is_none() || response.closes {
                return false;
            }
        }
    }
}
