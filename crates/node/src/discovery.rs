//! Discovery: calls to its agent, on as many connections as [`EndpointWatch`] wants.

use crate::context::NodeContext;
use bytes::BytesMut;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::{AbortHandle, JoinSet};
use weirusher::EndpointListKind;
use weirusher_core::{EndpointWatch, PollTiming, WatchConnection, WatchOutput};
use weirusher_platform::list::{ListState, MOST_LIST};
use weirusher_platform::response::ResponseReader;

/// The pause behind an answer that came at once and told nothing new: one that always does keeps nobody busy, and its
/// watch lasts, as the next call comes in time.
const NO_NEWS: Duration = Duration::from_millis(10);

/// Causes that are logged between two answers.
const MOST_CAUSES: usize = 8;

/// A call's answer and the connection it came on, where that goes on.
type Answer = (Option<TcpStream>, BytesMut);

/// Who follows the list.
struct Follower {
    node: Rc<NodeContext>,
    address: SocketAddr,
    watch: EndpointWatch,
    list: ListState,
    calls: JoinSet<(WatchConnection, io::Result<Answer>)>,
    tasks: HashMap<WatchConnection, AbortHandle>,
    begun: UnboundedSender<WatchConnection>,
    /// When the last call was made.
    asked: f64,
    /// What went wrong since the last answer, so that each cause is logged once and not for every call.
    trouble: Vec<String>,
}

/// Follows the list at `address` until it is aborted.
pub async fn run(
    node: Rc<NodeContext>,
    address: SocketAddr,
    zones: Vec<String>,
    terms: PollTiming,
    seed: u64,
) {
    let (begun, told) = unbounded_channel();
    let watch = EndpointWatch::new(node.now(), terms, seed);
    let (calls, tasks) = (JoinSet::new(), HashMap::new());
    let list = ListState::new(zones);
    let (asked, trouble) = (f64::NEG_INFINITY, Vec::new());
    Follower { node, address, watch, list, calls, tasks, begun, asked, trouble }.follow(told).await;
}

impl Follower {
    async fn follow(mut self, mut begun: UnboundedReceiver<WatchConnection>) {
        loop {
            let now = self.node.now();
            let steps = self.watch.handle_timeout(now);
            self.carry_out(steps);
            let next = self.node.clock.instant(self.watch.next_timeout());
            tokio::select! {
                // First what has come: a process that was kept from running must not ask anew for it.
                biased;
                Some(ended) = self.calls.join_next() => {
                    // One that was dropped tells nothing.
                    if let Ok((line, answer)) = ended {
                        self.ended(line, answer);
                    }
                }
                Some(line) = begun.recv() => self.watch.handle_partial_response(self.node.now(), line),
                () = tokio::time::sleep_until(next) => {}
            }
        }
    }

    fn carry_out(&mut self, steps: Vec<WatchOutput>) {
        for step in steps {
            match step {
                WatchOutput::Open(line) => {
                    if !self.tasks.is_empty() {
                        self.note("no answer in time".into());
                    }
                    self.call(line, None, ListState::WHOLE.to_string(), Duration::ZERO);
                }
                WatchOutput::Close(line) => {
                    if let Some(task) = self.tasks.remove(&line) {
                        task.abort();
                    }
                }
            }
        }
    }

    fn call(&mut self, line: WatchConnection, stream: Option<TcpStream>, target: String, pause: Duration) {
        let (address, begun) = (self.address, self.begun.clone());
        self.asked = self.node.now() + pause.as_secs_f64();
        let task = self.calls.spawn_local(async move {
            if !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
            (line, ask(line, stream, address, target, begun).await)
        });
        self.tasks.insert(line, task);
    }

    fn ended(&mut self, line: WatchConnection, answer: io::Result<Answer>) {
        // One that was given up is older than what is held: it must not move the version either.
        if self.tasks.remove(&line).is_none() {
            return;
        }
        let (stream, body) = match answer {
            Ok(answer) => answer,
            Err(error) => return self.failed(line, error.to_string()),
        };
        let version = self.list.version();
        match self.list.take(&body) {
            Ok(Some(update)) => {
                let now = self.node.now();
                let Some(steps) = self.watch.handle_response(now, line) else { return };
                self.node.current_until.set(now + self.watch.max_staleness());
                self.carry_out(steps);
                if !std::mem::take(&mut self.trouble).is_empty() {
                    tracing::info!("discovery answers again");
                }
                // Most answers bring no news: nothing is worked through for them.
                if update.kind != EndpointListKind::Delta || !update.addresses.is_empty() {
                    self.node.list(update);
                } else {
                    self.node.list_confirmed();
                }
                let waited = now - self.asked >= self.watch.wait() / 2.0;
                let pause = if waited || self.list.version() != version { Duration::ZERO } else { NO_NEWS };
                self.call(line, stream, self.list.target(self.watch.wait()), pause);
            }
            Ok(None) => self.failed(line, "changes to an older list than the one that is held".into()),
            Err(error) => self.failed(line, error.to_string()),
        }
    }

    fn failed(&mut self, line: WatchConnection, error: String) {
        self.watch.handle_closed(self.node.now(), line);
        self.note(error);
    }

    fn note(&mut self, error: String) {
        if self.trouble.len() < MOST_CAUSES && !self.trouble.contains(&error) {
            tracing::info!(error, "discovery is asked anew; the last list stays in use");
            self.trouble.push(error);
        }
    }
}

async fn ask(
    line: WatchConnection,
    stream: Option<TcpStream>,
    address: SocketAddr,
    target: String,
    begun: UnboundedSender<WatchConnection>,
) -> io::Result<Answer> {
    let invalid = |text: String| io::Error::new(io::ErrorKind::InvalidData, text);
    let stream = match stream {
        Some(stream) => stream,
        None => weirusher_net::connect(address).await?,
    };
    let call = format!("GET {target} HTTP/1.1\r\nHost: discovery.local\r\n\r\n");
    weirusher_net::write_all(&stream, call.as_bytes()).await?;
    let (mut reader, mut buffer) = (ResponseReader::new(MOST_LIST), BytesMut::with_capacity(4096));
    loop {
        let answer = match weirusher_net::read(&stream, &mut buffer).await? {
            0 => Some(reader.ended().ok_or(io::ErrorKind::UnexpectedEof)?),
            _ => reader.read(&mut buffer).map_err(|e| invalid(e.to_string()))?,
        };
        if let Some(response) = answer {
            return match response.status {
                200 => Ok(((!response.closes).then_some(stream), response.body.into())),
                status => Err(invalid(format!("status {status}"))),
            };
        }
        let _ = begun.send(line); // Whoever follows the list is gone: so is this call.
    }
}
