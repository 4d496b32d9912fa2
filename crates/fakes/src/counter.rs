//! A fake counter: an in-memory RESP server with the commands that gateways use.

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

/// Maximum number of keys; `SET` of a further one fails.
const MAX_KEYS: usize = 1_000_000;

/// A fault of the counter.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum CounterFault {
    /// No fault.
    #[default]
    None,
    /// Executes commands and does not reply.
    Silent,
    /// Sends only the first byte of a reply, and closes the connection when the fault ends.
    PartialReply,
    /// Executes a command and closes the connection instead of replying.
    ConnectionClosed,
    /// Replies with a frame of another type than the command's.
    WrongType,
    /// Replies this many seconds late.
    Delayed(f64),
}

/// A total, and when it expires.
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

/// A counter. Dropping it closes its listener and connections, as killing its process does.
pub struct Counter {
    /// The address that it listens on.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    _tasks: JoinSet<()>,
}

impl Counter {
    /// Starts a counter on `address`; port 0 selects a free port.
    ///
    /// # Errors
    /// If it cannot listen on the address.
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

    /// Sets the fault that applies from now on.
    pub fn set_fault(&self, fault: CounterFault) {
        self.shared.fault.send_replace(fault);
    }

    /// Deletes all counts, as a restart without persistence does.
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
                framed.get_mut().write_all(b"$").await.is_ok() && wait_for_fault_end(&shared).await
            }
            CounterFault::ConnectionClosed => false,
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

/// Waits until the fault ends. Returns `false`: the connection is to be closed.
async fn wait_for_fault_end(shared: &Shared) -> bool {
    let mut fault = shared.fault.subscribe();
    // It cannot fail: `shared` holds the sender. Dropping the counter ends this task and closes the connection.
    let _ = fault.wait_for(|f| *f != CounterFault::PartialReply).await;
    false
}

impl Shared {
    fn execute(&self, command: &Frame) -> Frame {
        let error = |text: &str| Frame::Error(text.to_string().into());
        let Some(args) = resp::words(command) else { return error("ERR a command is an array of texts") };
        match args[..] {
            ["SET", key, value, "PX", millis, "NX"] => match (value.parse(), millis.parse()) {
                (Ok(value), Ok(millis)) => self.set(key, value, Duration::from_millis(millis)),
                _ => error("ERR value is not a number"),
            },
            ["INCRBYFLOAT", key, amount] => match amount.parse::<f64>() {
                Ok(amount) if amount.is_finite() => self.add(key, amount),
                _ => error("ERR value is not a valid float"),
            },
            ["GET", key] => self.get(key).map_or(Frame::Null, bulk_string),
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
        if counts.len() >= MAX_KEYS {
            counts.retain(|_, count| count.is_live(now));
        }
        if counts.len() >= MAX_KEYS {
            return Frame::Error("ERR out of names".to_string().into());
        }
        counts.insert(key.to_string(), Count { total, expires: Some(now + ttl) });
        Frame::SimpleString(Bytes::from_static(b"OK"))
    }

    fn add(&self, key: &str, amount: f64) -> Frame {
        const ZERO: Count = Count { total: 0.0, expires: None };
        let exists = self.get(key).is_some();
        let mut counts = lock(&self.counts);
        let count = counts.entry(key.to_string()).or_insert(ZERO);
        if !exists {
            *count = ZERO; // The key may hold an expired count.
        }
        count.total += amount;
        let total = count.total;
        drop(counts);
        self.recorder.record(CaptureEvent::CounterAdded { key: key.to_string(), amount, total });
        bulk_string(total)
    }
}

fn bulk_string(total: f64) -> Frame {
    Frame::BulkString(total.to_string().into())
}
