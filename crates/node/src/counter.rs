//! The counter, over a few pipelined connections to each address it has.

use crate::context::{Call, NodeContext};
use bytes::BytesMut;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use weirusher::Status;
use weirusher_core::{CounterConnections, EndedCall, Route};
use weirusher_platform::counter::{MOST_ANSWER, outcome, write_call};
use weirusher_platform::response::{Response, ResponseReader};

/// Most bytes that wait to be written on a line; past that, calls are turned away: the counter reads too slowly.
const MOST_UNWRITTEN: usize = 64 * 1024;
/// Limits of a call that a new connection may take.
const CONNECT: f64 = 5.0;

/// One address of the counter.
pub struct Counter {
    node: Rc<NodeContext>,
    address: SocketAddr,
    lines: RefCell<CounterConnections>,
    wires: RefCell<Vec<Rc<Wire>>>,
    moved: Cell<bool>,
    told: Notify,
}

/// What waits to be written on a line.
#[derive(Default)]
struct Wire {
    unwritten: RefCell<BytesMut>,
    wake: Notify,
}

impl Counter {
    pub fn new(node: Rc<NodeContext>, address: SocketAddr, seed: u64) -> Rc<Self> {
        let lines = RefCell::new(CounterConnections::new(node.count_limit, seed));
        let (wires, moved, told) = (RefCell::default(), Cell::new(false), Notify::new());
        Rc::new(Self { node, address, lines, wires, moved, told })
    }

    /// The counter is elsewhere now: no call is taken any more, and what is out is waited for.
    pub fn moved(&self) {
        self.moved.set(true);
        self.told.notify_one();
        self.wires.borrow().iter().for_each(|wire| wire.wake.notify_one());
    }

    /// Takes calls until the counter has moved.
    pub async fn run(self: Rc<Self>) {
        while !self.moved.get() {
            let calls = std::mem::take(&mut self.node.state.borrow_mut().calls);
            for call in calls {
                self.send(call);
            }
            tokio::select! {
                () = self.node.called.notified() => {}
                () = self.told.notified() => {}
            }
        }
        // Its successor may have missed the note.
        self.node.called.notify_one();
    }

    fn send(self: &Rc<Self>, Call { call, counter, amount, ttl }: Call) {
        let route = self.lines.borrow_mut().send(self.node.now(), call, counter);
        let line = match route {
            Route::Existing(line) | Route::New(line) => line,
            // At once: the module falls back on its safe share.
            Route::Unavailable => return self.node.counted(call, Status::ConnectFailed, 0.0, 0.0),
        };
        if let Route::New(_) = route {
            self.open(line);
        }
        let wire = self.wires.borrow()[line].clone();
        write_call(&mut wire.unwritten.borrow_mut(), counter, amount, ttl);
        wire.wake.notify_one();
    }

    fn open(self: &Rc<Self>, line: usize) {
        let mut wires = self.wires.borrow_mut();
        while wires.len() <= line {
            wires.push(Rc::default());
        }
        wires[line] = Rc::default();
        tokio::task::spawn_local(self.clone().line(line, wires[line].clone()));
    }

    /// A line's life, from its connecting to its end.
    async fn line(self: Rc<Self>, line: usize, wire: Rc<Wire>) {
        let limit = Duration::from_secs_f64(CONNECT * self.node.count_limit);
        let connected = tokio::time::timeout(limit, weirusher_net::connect(self.address)).await;
        // Without a connection nothing was added; after that it may have been.
        let (status, end) = match connected {
            Ok(Ok(stream)) => (Status::Reset, self.serve(line, &wire, stream).await),
            Ok(Err(error)) => (Status::ConnectFailed, Some(error)),
            Err(late) => (Status::ConnectFailed, Some(late.into())),
        };
        if let Some(error) = end {
            tracing::debug!(%error, line, "the counter's connection is dropped");
        }
        let left = self.lines.borrow_mut().closed(self.node.now(), line);
        for EndedCall { call, elapsed } in left {
            self.node.counted(call, status, 0.0, elapsed);
        }
    }

    /// Serves a line's calls until the connection ends, and tells why unless it is in order.
    async fn serve(&self, line: usize, wire: &Wire, stream: TcpStream) -> Option<io::Error> {
        let mut answers = ResponseReader::new(MOST_ANSWER);
        let (mut unread, mut unwritten) = (BytesMut::new(), BytesMut::new());
        loop {
            let due = self.lines.borrow().deadline(line);
            if due.is_none() && self.moved.get() {
                return None;
            }
            let at = due.map(|at| self.node.clock.instant(at));
            unwritten.unsplit(wire.unwritten.take());
            if unwritten.len() > MOST_UNWRITTEN {
                return Some(io::ErrorKind::WriteZero.into());
            }
            tokio::select! {
                // First what has come: a process that was kept from running must not give up answers that
                // wait in its socket.
                biased;
                read = weirusher_net::read(&stream, &mut unread) => match read {
                    Ok(1..) => {
                        if let Err(error) = self.answers(line, &mut answers, &mut unread) {
                            return Some(error);
                        }
                    }
                    Ok(_) => return answers.ended().and_then(|last| self.answer(line, Some(last)).err()),
                    Err(error) => return Some(error),
                },
                () = async { tokio::time::sleep_until(at.unwrap_or_else(tokio::time::Instant::now)).await },
                    if at.is_some() =>
                {
                    if self.give_up(line, answers.begun()) {
                        return Some(io::ErrorKind::TimedOut.into());
                    }
                }
                written = weirusher_net::write(&stream, &mut unwritten), if !unwritten.is_empty() => {
                    if let Err(error) = written {
                        return Some(error);
                    }
                }
                () = wire.wake.notified() => {}
            }
        }
    }

    /// Tells the calls that have waited too long; whether the line is of no further use. Where an answer has
    /// `begun` and does not end, it is spoilt: the first of them was added.
    fn give_up(&self, line: usize, begun: bool) -> bool {
        let now = self.node.now();
        let late = self.lines.borrow_mut().take_timed_out(now, line);
        let spoilt = begun && !late.is_empty();
        for (nth, EndedCall { call, elapsed }) in late.into_iter().enumerate() {
            let status = if spoilt && nth == 0 { Status::Error } else { Status::Timeout };
            self.node.counted(call, status, 0.0, elapsed);
        }
        spoilt || self.lines.borrow().is_unresponsive(now, line)
    }

    /// Hands the answers on that have come. An error: the line is of no further use.
    fn answers(&self, line: usize, answers: &mut ResponseReader, unread: &mut BytesMut) -> io::Result<()> {
        loop {
            match answers.read(unread) {
                Ok(Some(response)) => self.answer(line, Some(response))?,
                Ok(None) => {
                    if answers.begun() {
                        self.lines.borrow_mut().response_started(self.node.now(), line);
                    }
                    return Ok(());
                }
                // What cannot be read is an answer too.
                Err(_) => self.answer(line, None)?,
            }
        }
    }

    /// Hands one answer on; `None`: it cannot be read. An error: the line is of no further use.
    fn answer(&self, line: usize, response: Option<Response>) -> io::Result<()> {
        let invalid = |error: String| io::Error::new(io::ErrorKind::InvalidData, error);
        let closes = response.as_ref().is_none_or(|response| response.closes);
        let told = response.as_ref().and_then(outcome);
        let answered = self.lines.borrow_mut().response_completed(self.node.now(), line);
        if let Some(EndedCall { call, elapsed }) = answered.map_err(|e| invalid(e.to_string()))? {
            // One with no total was added, but how much there is nobody knows.
            let (status, total) = told.unwrap_or((Status::Error, 0.0));
            self.node.counted(call, status, total, elapsed);
        }
        if told.is_none() || closes {
            return Err(invalid("its answer holds no total, or is the last".into()));
        }
        Ok(())
    }
}
