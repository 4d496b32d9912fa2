//! One attempt of a request: acquires a connection to the backend, writes the request and reads the response.

use crate::backend_connection::{BackendConnection, timeout_duration};
use crate::backends::BackendEndpoint;
use crate::context::NodeContext;
use crate::events::AttemptResult;
use crate::log::log_step;
use crate::receive::receive;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use weirusher::{RequestId, Status};
use weirusher_buffers::{Growth, ReadBuffer};
use weirusher_core::{SendError, SendLimits};
use weirusher_panics::Panicked;
use weirusher_platform::backend::{ForwardedRequest, MAX_RESPONSE_BYTES, attempt_status, parse_load_report};
use weirusher_platform::response::{Response, ResponseReader};
use weirusher_wire::http1::MAX_HEAD_BYTES;

/// Sizes of the read buffer: at first enough for a head and a short body; a head that is too long is noticed before
/// the buffer is full.
const BUFFER_GROWTH: Growth = Growth { initial: 2048, max: MAX_HEAD_BYTES + 2048 };
/// Longest wait for the next bytes of a response that has started. Backends write their short responses at
/// once; a response that stalls is abandoned early, while there is still time for another attempt.
const RESPONSE_STALL_TIMEOUT: Duration = Duration::from_millis(150);
/// If the endpoint list is stale, an attempt first waits this long, so that the runtime reads the data in the
/// socket buffers. After a stall of the process, that data may include a drain notification that arrived
/// before the backend was chosen.
const STALE_LIST_DELAY: Duration = Duration::from_millis(2);

/// An attempt to be made.
pub struct Attempt {
    pub id: RequestId,
    /// Its number within the request.
    pub number: u32,
    /// The process of the backend; `None` if the list has none that accepts new requests.
    pub endpoint: Option<BackendEndpoint>,
    /// Seconds within which the last byte must be written. Later the idempotency window may be over, and the
    /// request could be executed a second time.
    pub write_timeout: f64,
    pub forwarded: Rc<ForwardedRequest>,
    /// Set just before the first byte is written.
    pub write_started: Rc<Cell<bool>>,
}

/// Makes the attempt and reports its result.
pub async fn run(node: Rc<NodeContext>, attempt: Attempt) {
    let exchange = async {
        let endpoint = attempt.endpoint.clone().ok_or(Status::NotSent)?;
        attempt.exchange(&node, endpoint).await
    };
    // A panic counts like a broken connection: once the write has started, the request may have been
    // executed.
    let result = weirusher_panics::catch(exchange).await.unwrap_or_else(|Panicked| {
        Err(if attempt.write_started.get() { Status::Reset } else { Status::NotSent })
    });
    let result = result.unwrap_or_else(AttemptResult::without_response);
    node.handle_attempt_ended(&attempt.id, attempt.number, result);
}

impl Attempt {
    /// Sends the request to the backend and reads the response.
    ///
    /// # Errors
    /// The status of the attempt, if it ends without a complete response.
    async fn exchange(
        &self,
        node: &Rc<NodeContext>,
        endpoint: BackendEndpoint,
    ) -> Result<AttemptResult, Status> {
        if node.now() > node.list_current_until.get() {
            // If a list that arrives in the meantime drains the backend, this attempt is aborted.
            tokio::time::sleep(STALE_LIST_DELAY).await;
        }
        let connection = BackendConnection::acquire(node, &endpoint, self.write_timeout).await?;
        weirusher_panics::fault_point("attempt unsent");
        let limits = match node.check_send(&self.id, self.number, &endpoint) {
            Ok(limits) => limits,
            Err(error) => {
                log_step!(node, id = %self.id, attempt = self.number, %error, "attempt not sent");
                if error != SendError::BackendUnavailable {
                    connection.return_to_pool(endpoint);
                }
                return Err(Status::NotSent);
            }
        };
        let stream = connection.stream().ok_or(Status::NotSent)?;
        self.write_request(stream, &limits).await?;
        weirusher_panics::fault_point("attempt sent");
        let mut buffer = ReadBuffer::new(BUFFER_GROWTH, node.memory.responses.clone());
        let mut reader = ResponseReader::new(MAX_RESPONSE_BYTES, node.memory.responses.clone());
        // Without a complete response the request may have been executed.
        let response = read_response(stream, &mut buffer, &mut reader).await.ok_or(Status::Reset)?;
        if !response.closes_connection && buffer.is_empty() {
            connection.return_to_pool(endpoint);
        }
        Ok(AttemptResult {
            status: attempt_status(&response),
            load: response.load_report.as_deref().map(parse_load_report).unwrap_or_default(),
            response: Some(response.body),
        })
    }

    /// Writes the request.
    ///
    /// # Errors
    /// The connection failed, or the last byte was not written in time. The backend has an incomplete
    /// request, which it does not execute.
    async fn write_request(&self, stream: &TcpStream, limits: &SendLimits) -> Result<(), Status> {
        self.write_started.set(true);
        let written = weirusher_net::write_all(stream, self.forwarded.message(limits.timeout));
        match tokio::time::timeout(timeout_duration(limits.write_timeout), written).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(Status::ConnectFailed),
            Err(_) => Err(Status::NotSent),
        }
    }
}

/// Reads a complete response. Returns `None` if the connection failed, closed or stalled before the end of
/// the response, or if the response is malformed or exceeds the byte budget.
async fn read_response(
    stream: &TcpStream,
    buffer: &mut ReadBuffer,
    reader: &mut ResponseReader,
) -> Option<Response> {
    loop {
        let has_started = reader.has_started();
        let bytes = receive(stream, buffer, reader);
        let read = if has_started {
            tokio::time::timeout(RESPONSE_STALL_TIMEOUT, bytes).await.ok()?
        } else {
            bytes.await
        };
        // Only an orderly close ends a response without a length; a reset is a read error.
        if read.ok()?.ok()? == 0 {
            return reader.finish();
        }
        let response = reader.read(buffer).ok()?;
        if response.is_some() {
            return response;
        }
    }
}
