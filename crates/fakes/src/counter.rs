//! A fake counter: the commands of a RESP server that gateways use, in memory.

use crate::capture::CaptureEvent;
use crate::connections;
use crate::lock::lock;
use crate::recorder::Recorder;
use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio_util::codec::Framed;
use weirusher_wire::resp::{self, Frame, RespCodec};

/// Names that it holds at most; a further one is an error.
const MAX_NAMES: usize = 1_000_000;

/// What is wrong with the counter.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum CounterFault {
    /// Nothing.
    #[default]
    None,
    /// It executes commands, and answers nothing.
    Silent,
    /// It answers the first byte of a frame, and no more until the fault ends; then it closes the connection.
    PartialReply,
    /// It executes a command and closes the connection instead of answering.
    ConnectionReset,
    /// It answers with a frame of another type.
    WrongType,
    /// It answers this many seconds late.
    Delayed(f64),
}

/// A count, and when it expires.
#[derive(Debug, Clone, Copy)]
struct Count {
    total: f64,
    expires: Option<Instant>,
}

impl Count {
    fn is_live(&self, now: Instant) -> bool {
        self.expires.is_none_or(|expires| expires > now)
    }
}

struct Shared {
    counts: Mutex<HashMap<String, Count>>,
    recorder: Recorder,
    fault: watch::Sender<CounterFault>,
}

/// A counter's process. Dropping it kills it.
pub struct Counter {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    _tasks: JoinSet<()>,
}

impl Counter {
    /// Starts a counter on `address`; port 0 chooses one.
    ///
    /// # Errors
    /// It cannot listen.
    pub async fn start(address: SocketAddr, recorder: Recorder) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared { counts: Mutex::default(), recorder, fault: watch::Sender::default() });
        let mut tasks = JoinSet::new();
        tasks.spawn({
            let shared = shared.clone();
            connections::serve(listener, move |stream| serve_connection(stream, shared.clone()))
        });
        Ok(Self { address, shared, _tasks: tasks })
    }

    /// Sets what is wrong with it.
    pub fn set_fault(&self, fault: CounterFault) {
        self.shared.fault.send_replace(fault);
    }

    /// Loses all counts, as a restart without persistence does.
    ///
    /// # Panics
    /// If another thread has panicked while it held the lock.
    pub fn clear(&self) {
        lock(&self.shared.counts).clear();
        self.shared.recorder.record(CaptureEvent::CounterCleared);
    }
}

async fn serve_connection(stream: TcpStream, shared: Arc<Shared>) {
    let mut framed = Framed::new(stream, RespCodec);
    while let Some(Ok(command)) = framed.next().await {
        let reply = shared.execute(&command);
        let fault = *shared.fault.borrow();
        let sent = match fault {
            CounterFault::None => framed.send(reply).await.is_ok(),
            CounterFault::Silent => true,
            CounterFault::PartialReply => {
                framed.get_mut().write_all(b"$").await.is_ok() && stall(&shared).await
            }
            CounterFault::ConnectionReset => false,
            CounterFault::WrongType => framed.send(Frame::Array(vec![Frame::Null])).await.is_ok(),
            CounterFault::Delayed(seconds) => {
                tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
                framed.send(reply).await.is_ok()
            }
        };
        if !sent {
            return;
        }
    }
}

/// Waits until the fault ends; the connection is closed then.
async fn stall(shared: &Shared) -> bool {
    let mut fault = shared.fault.subscribe();
    let _ = fault.wait_for(|f| *f != CounterFault::PartialReply).await; // An error means that the counter ends, and the connection with it.
    false
}

impl Shared {
    fn execute(&self, command: &Frame) -> Frame {
        let error = |text: &str| Frame::Error(text.to_string().into());
        let Some(words) = resp::words(command) else { return error("ERR a command is an array of texts") };
        match words[..] {
            ["SET", key, value, "PX", millis, "NX"] => match (value.parse(), millis.parse()) {
                (Ok(value), Ok(millis)) => self.set(key, value, Duration::from_millis(millis)),
                _ => error("ERR value is not a number"),
            },
            ["INCRBYFLOAT", key, amount] => match amount.parse::<f64>() {
                Ok(amount) if amount.is_finite() => self.add(key, amount),
                _ => error("ERR value is not a valid float"),
            },
            ["GET", key] => self.get(key).map_or(Frame::Null, bulk),
            ["PING"] => Frame::SimpleString(Bytes::from_static(b"PONG")),
            _ => error("ERR unknown command"),
        }
    }

    fn get(&self, key: &str) -> Option<f64> {
        let counts = lock(&self.counts);
        counts.get(key).filter(|count| count.is_live(Instant::now())).map(|count| count.total)
    }

    fn set(&self, key: &str, total: f64, ttl: Duration) -> Frame {
        if self.get(key).is_some() {
            return Frame::Null;
        }
        let mut counts = lock(&self.counts);
        let now = Instant::now();
        if counts.len() >= MAX_NAMES {
            counts.retain(|_, count| count.is_live(now));
        }
        if counts.len() >= MAX_NAMES {
            return Frame::Error("ERR out of names".to_string().into());
        }
        counts.insert(key.to_string(), Count { total, expires: Some(now + ttl) });
        Frame::SimpleString(Bytes::from_static(b"OK"))
    }

    fn add(&self, key: &str, amount: f64) -> Frame {
        const NEW: Count = Count { total: 0.0, expires: None };
        let exists = self.get(key).is_some();
        let mut counts = lock(&self.counts);
        let count = counts.entry(key.to_string()).or_insert(NEW);
        if !exists {
            *count = NEW; // It may have expired.
        }
        count.total += amount;
        let total = count.total;
        drop(counts);
        self.recorder.record(CaptureEvent::CounterAdded { key: key.to_string(), amount, total });
        bulk(total)
    }
}

fn bulk(total: f64) -> Frame {
    Frame::BulkString(total.to_string().into())
}
