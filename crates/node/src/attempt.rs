//! One attempt over one connection of its own, which goes back to the pool only when nothing is left on it.

use crate::byte_budget::BytePermit;
use crate::context::{CompleteResponse, Endpoint, NodeContext, event};
use bytes::{Buf, BytesMut};
use socket2::SockRef;
use std::cell::Cell;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use weirusher::{BackendId, LoadReport, RequestId, Status};
use weirusher_core::{Reservation, SendError};
use weirusher_platform::backend::{MOST_ANSWER, Passed, load, outcome};
use weirusher_platform::response::{Response, ResponseReader};

/// Bytes read at once, to begin with: an answer's head and a short body.
const FIRST_READ: usize = 2048;

/// Once an answer has begun, the longest wait for more of it: it is short, and is written at once. One that is
/// longer in coming is spoilt, and another attempt may still be in time.
const STALLED: Duration = Duration::from_millis(150);

/// What an attempt waits where the list is overdue: as long as what waits in the sockets takes to be read. A process that
/// was kept from running has a drain there, told long ago, beside the requests that it decides on.
const OVERDUE_LIST: Duration = Duration::from_millis(2);

/// An attempt to be made.
pub struct Attempt {
    pub job: RequestId,
    pub attempt: u32,
    pub server: BackendId,
    pub address: Option<SocketAddr>,
    /// Seconds within which its last byte must be on its way: past that its effect would come twice.
    pub within: f64,
    pub passed: Rc<Passed>,
    /// Set as its first byte is written.
    pub begun: Rc<Cell<bool>>,
}

/// A connection in use, or being made; dropped, it is closed and counted so.
struct Lease {
    node: Rc<NodeContext>,
    stream: Option<TcpStream>,
    /// It went back to the pool.
    kept: bool,
}

impl Drop for Lease {
    fn drop(&mut self) {
        if !self.kept {
            self.node.state.borrow_mut().pool.release();
        }
    }
}

impl Lease {
    fn new(node: &Rc<NodeContext>, stream: Option<TcpStream>) -> Self {
        Self { node: node.clone(), stream, kept: false }
    }

    fn keep(mut self, endpoint: Endpoint) {
        let Some(stream) = self.stream.take() else { return };
        self.kept = true;
        let state = &mut *self.node.state.borrow_mut();
        state.pool.put(self.node.now(), endpoint, stream); // What comes back is dropped.
        self.node.idlers.set(state.pool.next_eviction());
    }
}

/// Makes the attempt and tells its end.
pub async fn run(node: Rc<NodeContext>, attempt: Attempt) {
    let (status, load, whole) = match attempt.address {
        None => (Status::NotSent, LoadReport::default(), None),
        Some(address) => exchange(&node, &attempt, (attempt.server.clone(), address)).await,
    };
    node.ended(&attempt.job, attempt.attempt, status, load, whole);
}

async fn exchange(
    node: &Rc<NodeContext>,
    attempt: &Attempt,
    endpoint: Endpoint,
) -> (Status, LoadReport, Option<CompleteResponse>) {
    let nothing = |status| (status, LoadReport::default(), None);
    if node.now() > node.current_until.get() {
        // The list ends this one, where it tells that the backend leaves.
        tokio::time::sleep(OVERDUE_LIST).await;
    }
    let lease = match connection(node, &endpoint, attempt.within).await {
        Ok(lease) => lease,
        Err(status) => return nothing(status),
    };
    let limits = match node.may_send(attempt) {
        Ok(limits) => limits,
        Err(blocked) => {
            event!(node, id = %attempt.job, attempt = attempt.attempt, %blocked, "attempt not sent");
            if blocked != SendError::BackendUnavailable {
                // It serves the next request.
                lease.keep(endpoint);
            }
            return nothing(Status::NotSent);
        }
    };
    let Some(stream) = lease.stream.as_ref() else { return nothing(Status::NotSent) };
    let mut buffer = BytesMut::with_capacity(FIRST_READ);
    attempt.passed.write_head(&mut buffer, limits.timeout);
    attempt.begun.set(true);
    match tokio::time::timeout(
        limit(limits.write_timeout),
        weirusher_net::write_all(stream, Buf::chain(&buffer[..], attempt.passed.body())),
    )
    .await
    {
        Ok(Ok(())) => {}
        Ok(Err(_)) => return nothing(Status::ConnectFailed),
        // Broken off before its last byte: it does not run.
        Err(_) => return nothing(Status::NotSent),
    }
    buffer.clear();
    let mut permit = node.answers.permit();
    match read(stream, &mut buffer, &mut permit).await {
        Ok(Some(response)) => {
            let report = response.report.as_deref().map(load).unwrap_or_default();
            if !response.closes && buffer.is_empty() {
                lease.keep(endpoint);
            }
            (outcome(&response), report, Some(CompleteResponse { body: response.body, _permit: permit }))
        }
        // Broken off, spoilt, or too long to be held: it may have run.
        Ok(None) | Err(_) => nothing(Status::Reset),
    }
}

/// Seconds as a limit; none that a timer can hold is longer than a day.
fn limit(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.0, 86_400.0))
}

/// A connection that is surely empty, from the pool, or a new one that comes up `within` so many seconds.
async fn connection(node: &Rc<NodeContext>, endpoint: &Endpoint, within: f64) -> Result<Lease, Status> {
    loop {
        let pooled = node.state.borrow_mut().pool.take(node.now(), endpoint);
        let Some(stream) = pooled else { break };
        let lease = Lease::new(node, Some(stream));
        // Anything to be read, an end included, is no answer of ours.
        if lease.stream.as_ref().is_some_and(quiet) {
            return Ok(lease);
        }
    }
    // One that gives way is dropped here.
    if matches!(node.state.borrow_mut().pool.reserve(), Reservation::Exhausted) {
        return Err(Status::NotSent);
    }
    let mut lease = Lease::new(node, None);
    let limit = limit(within.min(node.connect_timeout));
    let stream = match tokio::time::timeout(limit, weirusher_net::connect(endpoint.1)).await {
        Ok(Ok(stream)) => stream,
        // Its time was cut short by what it carries: that tells nothing of the server.
        Err(_) if within < node.connect_timeout => return Err(Status::NotSent),
        _ => return Err(Status::ConnectFailed),
    };
    lease.stream = Some(stream);
    Ok(lease)
}

/// Whether nothing at all is to be read from a connection, its end included. The socket is asked itself: the runtime
/// knows only of what was there as it last asked the system.
fn quiet(stream: &TcpStream) -> bool {
    let read = SockRef::from(stream).peek(&mut [MaybeUninit::uninit(); 1]);
    matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
}

/// The answer, whole; `None`: the connection ended before. A reset is an error, and no answer's end.
async fn read(
    stream: &TcpStream,
    buffer: &mut BytesMut,
    permit: &mut BytePermit,
) -> io::Result<Option<Response>> {
    let mut reader = ResponseReader::new(MOST_ANSWER);
    loop {
        let more = weirusher_net::read(stream, buffer);
        let begun = reader.begun();
        let read = if begun { tokio::time::timeout(STALLED, more).await? } else { more.await };
        if read? == 0 {
            return Ok(reader.ended());
        }
        let read = reader.read(buffer).map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))?;
        let bytes = read.as_ref().map_or(buffer.len() + reader.held(), |response| response.body.len());
        if !permit.grow(bytes) {
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        if read.is_some() {
            return Ok(read);
        }
    }
}

#[cfg(test)]
mod tests;
